package jobs

import (
	"slices"
	"time"
)

// A job for which no registrar is reachable is never ordered. No time since its submission shows that nothing of it
// runs: another entry may read a request for it late from a socket, and be granted the job by registrars that know
// nothing of the runs here. Its caller is told that nothing has run, and finds another entry.

// observeRegistrars records that a registrar is reachable at this time, if one is. It is called before the links or the
// registrars change.
func (s *Scheduler) observeRegistrars(now time.Time) {
	if slices.ContainsFunc(s.registrars, s.reachable) {
		s.registrarSeen = now
	}
}

// lacksRegistrar reports whether the entry has had links to agents, but none to a registrar of the job, for
// registrarWait since the submission or the lapse of the ownership. Links that are about to open have opened by then.
func (s *Scheduler) lacksRegistrar(now time.Time, o *ownership) bool {
	if !s.connected() || s.withoutRegistrars(o) || slices.ContainsFunc(o.order, s.reachable) {
		return false
	}
	since := s.waitingSince(o)
	if s.registrarSeen.After(since) {
		since = s.registrarSeen
	}
	return now.Sub(since) >= registrarWait
}

// LacksRegistrar reports whether jobs that are submitted now are rejected because no registrar is reachable.
func (s *Scheduler) LacksRegistrar(now time.Time) bool {
	s.observeRegistrars(now)
	return s.lacksRegistrar(now, &ownership{order: s.registrars})
}

// cannotBeOwned reports whether a job that has not run waits for its ownership without any reachable registrar.
func (s *Scheduler) cannotBeOwned(now time.Time, j *job) bool {
	o := s.ownerships[j.ID]
	return o != nil && !o.owned && !j.mayOrder && !j.mayHaveRun() && s.lacksRegistrar(now, o)
}
