package jobs

import (
	"maps"
	"slices"
	"time"

	"poplargw.example/dispatch/owner"
)

// The record of an owner is lost when both registrars that have it are lost or restarted together with the owner. Runs of
// that owner may continue for Limits.OwnerLostAfter, while other registrars, or the same ones after their restart, know
// nothing of it. An owner has its record at the first two registrars that it reaches. So a job may begin if at most one
// registrar that may have lost records, or that this entry does not reach, comes before the first one that certainly has
// those of the last moments.

// recordState tells whether a registrar has the records of the owners that were alive within Limits.OwnerLostAfter.
type recordState int

const (
	// noRecords: no owner has asked the agent within that time.
	noRecords recordState = iota
	// complete: the agent is reachable, and its process is older than that.
	complete
	// maybeLost: the agent was lost or has restarted within that time.
	maybeLost
	// unreached: the agent has not been reachable from this entry within that time. An owner may have reached it.
	unreached
)

// recordState returns the state of the records at a registrar. One whose start is not known counts as older.
func (s *Scheduler) recordState(now time.Time, agent string) recordState {
	v := s.servers[agent]
	if v != nil && v.linked && v.reported && !v.recordsOwners {
		return noRecords
	}
	listed, lost := s.registrarListed[agent], now.Sub(s.registrarLost[agent]) < s.limits.OwnerLostAfter
	isRecent := now.Sub(listed) < s.limits.OwnerLostAfter
	if !s.reachable(agent) {
		if lost || isRecent {
			return maybeLost
		}
		return unreached
	}
	// A registrar that has joined the list is not one that owners from before have asked. An entry that has had a list for
	// a short time cannot tell one that was added from one that was missing while it restarted.
	joined := isRecent && listed.After(s.firstListed)
	added := joined && listed.Sub(s.firstListed) >= s.limits.OwnerLostAfter && !v.startedAt.After(listed)
	switch {
	case now.Sub(v.startedAt) < s.limits.OwnerLostAfter && (lost || !added):
		return maybeLost
	case joined:
		return noRecords
	}
	return complete
}

// awaitsRecords reports whether the record of an owner that has died just now may be lost, while its runs may continue.
func (s *Scheduler) awaitsRecords(now time.Time, o *ownership) bool {
	o.awaits = s.awaitedRecords(now, o)
	return o.awaits != awaitsNothing
}

// awaitedRecords returns what a job waits for because records may be lost.
func (s *Scheduler) awaitedRecords(now time.Time, o *ownership) recordWait {
	if s.limits.OwnerLostAfter == 0 {
		return awaitsNothing
	}
	if s.awaitsOtherOwner(now, o) {
		return awaitsOwner
	}
	lost, missing := 0, 0 // missing: those of which this entry has no complete records
	for _, agent := range o.order {
		switch s.recordState(now, agent) {
		case complete:
			return awaitsNothing
		case maybeLost:
			lost++
			missing++
		case unreached:
			missing++
		}
		if lost > 0 && missing >= registrarsPerJob {
			break
		}
	}
	if lost == 0 {
		return awaitsNothing
	}
	return s.awaitedRuns(now, o)
}

// yield withdraws the requests for a job whose record may be lost, so that an owner that is alive gets the record at the
// remaining registrars. Where it has the record, the entry goes on waiting. The request at the registrar that had the other
// owner remains if that process has run on, because its grant ends the wait. An entry that has runs of the job left keeps its
// records until they have ended.
func (s *Scheduler) yield(now time.Time, o *ownership) {
	if o.runs > 0 {
		return
	}
	for _, r := range o.requests {
		endsWait := r.agent == o.heldBy && s.recordState(now, r.agent) == complete
		if !endsWait && (r.state == requested || r.state == granted) {
			r.state = withdrawn
			s.releaseAt(r.agent, o.job)
		}
	}
}

// awaitedRuns returns what is missing to show that all runs from before the loss of records have ended although that is not
// Limits.OwnerLostAfter ago, or awaitsNothing. They have ended if every agent with a link has started since, so that only the
// leases of former processes kept runs going, and these have passed or the agents have said that no run is left. It shortens the
// wait when everything has started together. It cannot tell an agent that runs on and that this entry does not reach, or one that
// was killed after the registrars had started, before this entry had a link to it.
//
// What was shown once remains so until another loss: a link that opens later, and has no report yet, does not change it.
func (s *Scheduler) awaitedRuns(now time.Time, o *ownership) recordWait {
	oldest, ok := s.oldestLinkedStart()
	since := s.lastFormerLost(now)
	for _, agent := range s.reachableRegistrars(o) {
		if started := s.servers[agent].startedAt; started.After(since) {
			since = started
		}
	}
	isShown := !since.IsZero() && !since.After(s.runsEndedFor)
	switch {
	case oldest.IsZero() || !isShown && (!ok || s.awaitsFleet(now)):
		return awaitsReports
	case now.Sub(oldest) >= s.limits.OwnerLostAfter || s.recordsLostSince(now, oldest, o.order):
		return awaitsOwnerLost
	case s.awaitsLostAgents(now):
		return awaitsAgent
	case isShown:
		return awaitsNothing
	case s.allRunsListed(now):
		s.runsEndedFor = now
		return awaitsNothing
	case now.Sub(since) >= s.limits.FormerRunsEnd:
		s.runsEndedFor = since
		return awaitsNothing
	}
	return awaitsLeases
}

// awaitsLostAgents reports whether an agent to which the link was lost within Limits.OwnerLostAfter has no link yet. It may run
// on, and keep runs of a dead owner for longer than the lease of a former process lasts. An agent that has started since the
// loss of records keeps none, whether it runs on or not.
func (s *Scheduler) awaitsLostAgents(now time.Time) bool {
	return slices.ContainsFunc(s.fleet, func(v *server) bool {
		return !v.linked && now.Sub(v.unlinkedAt) < s.limits.OwnerLostAfter && !s.startedSinceLosses(now, v)
	})
}

// lostLink is the loss of a link at a time to an agent of which no process that the entry has reached started before another
// time; zero if that is not known.
type lostLink struct {
	at, started time.Time
}

// recentLostLinks returns the links that were lost within Limits.OwnerLostAfter.
func (s *Scheduler) recentLostLinks(now time.Time) []lostLink {
	return slices.DeleteFunc(s.lostLinks, func(l lostLink) bool { return now.Sub(l.at) >= s.limits.OwnerLostAfter })
}

// lastFormerLost returns when the newest link was lost to an agent that may have run since before the loss of records. It is
// computed when it is needed, because a registrar whose link was not open at the time of the loss may have been reached since.
func (s *Scheduler) lastFormerLost(now time.Time) time.Time {
	if changes := s.linkChanges + s.startChanges; !s.formerLostAt.Equal(now) || s.formerLostChanges != changes {
		s.formerLostAt, s.formerLostChanges, s.formerLost = now, changes, time.Time{}
		s.lostLinks = s.recentLostLinks(now)
		for _, l := range s.lostLinks {
			if l.at.After(s.formerLost) && !s.startedSince(now, l.started) {
				s.formerLost = l.at
			}
		}
	}
	return s.formerLost
}

// startedSinceLosses reports whether all processes of the agent that the entry has reached have started within
// Limits.OwnerLostAfter, and no records may have been lost after that.
func (s *Scheduler) startedSinceLosses(now time.Time, v *server) bool {
	return s.startedSince(now, v.earliestStart())
}

// startedSince reports whether a process that started at a time, which is zero if unknown, has done so within
// Limits.OwnerLostAfter, and no records may have been lost after that.
func (s *Scheduler) startedSince(now, started time.Time) bool {
	return !started.IsZero() && now.Sub(started) < s.limits.OwnerLostAfter && !s.recordsLostSince(now, started, s.registrarsAndLost(now))
}

// recordsLostSince reports whether all records of an owner at the registrars may have been lost after the given start of an
// agent. An owner has two, so the loss of one registrar leaves the other one's record, unless another one was lost as well, is
// not reachable, or has started so much later than the agent that a former process of it may have granted jobs meanwhile.
func (s *Scheduler) recordsLostSince(now, started time.Time, registrars []string) bool {
	lost, missing := 0, 0 // missing: those that this entry cannot ask for their records
	for _, agent := range registrars {
		at := s.registrarLost[agent]
		isLost := now.Sub(at) < s.limits.OwnerLostAfter && started.Before(at)
		if isLost {
			lost++
		}
		if isLost || !s.reachable(agent) || s.servers[agent].startedAt.Sub(started) >= owner.RestoreWindow {
			missing++
		}
	}
	return lost > 0 && missing >= registrarsPerJob
}

// earliestStart returns a time before which the agent's process has not started, or zero if none is known. Over a link without
// a report, the process is that of the former link or a later one.
func (v *server) earliestStart() time.Time {
	if v.startedAt.IsZero() {
		return v.formerStart
	}
	return v.startedAt
}

// awaitsFleet reports whether links to known agents, which may have run for long, are about to open.
func (s *Scheduler) awaitsFleet(now time.Time) bool {
	if now.Sub(s.connectedSince) >= registrarWait {
		return false
	}
	reported := 0
	for _, v := range s.fleet {
		if v.linked && v.reported {
			reported++
		}
	}
	return reported < s.expected.agents || s.awaitsRegistrars()
}

// awaitsRegistrars reports whether a listed registrar has not reported over a link.
func (s *Scheduler) awaitsRegistrars() bool {
	return slices.ContainsFunc(s.registrars, func(agent string) bool {
		v := s.servers[agent]
		return v == nil || !v.linked || !v.reported
	})
}

// linkedStart is the start of the oldest process of the agents with a link; zero if none is known.
type linkedStart struct {
	at    time.Time
	known bool // the start of every agent with a link is known
	// changes is the value of Scheduler.linkChanges and startChanges together for which this holds.
	changes uint64
}

// oldestLinkedStart returns when the oldest process of the agents with a link started, as far as that is known, and whether it is
// known of all of them.
func (s *Scheduler) oldestLinkedStart() (time.Time, bool) {
	changes := s.linkChanges + s.startChanges
	if s.oldest.changes == changes {
		return s.oldest.at, s.oldest.known
	}
	s.oldest = linkedStart{changes: changes, known: true}
	for _, v := range s.fleet {
		if !v.linked {
			continue
		}
		if !v.reported || v.startedAt.IsZero() {
			s.oldest.known = false
			continue
		}
		if s.oldest.at.IsZero() || v.startedAt.Before(s.oldest.at) {
			s.oldest.at = v.startedAt
		}
	}
	return s.oldest.at, s.oldest.known
}

// recordStart records when the agent's process started. A report that was on its way for long makes the start seem later
// than it was, so the earliest one over a link holds.
func (s *Scheduler) recordStart(now time.Time, v *server, uptime time.Duration) {
	started := now.Add(-uptime)
	if uptime > 0 && (v.startedAt.IsZero() || started.Before(v.startedAt)) {
		v.startedAt = started
		s.startChanges++
	}
}

// recordLinkEnd records the loss of an agent that has been reachable over the link that ends. A link over which nothing
// was received does not count: a frozen agent is dialed again and again.
func (s *Scheduler) recordLinkEnd(now time.Time, v *server) {
	if !v.linked || !v.reported {
		return
	}
	s.lostLinks = append(s.recentLostLinks(now), lostLink{at: now, started: v.earliestStart()})
	if !v.recordsOwners {
		return
	}
	if s.mayBeRegistrar(v.agent) {
		s.registrarLost[v.agent], s.runsEndedFor = now, time.Time{}
	}
	s.recordHeldLost(now, v.agent)
}

// mayBeRegistrar reports whether an entry may have asked the agent to record owners: it has been a registrar by a list of this
// entry, or would be one by a list that lacks up to registrarsPerJob of the agents. All other agents record owners only of
// jobs that no entry asks them for, so their loss affects no job.
func (s *Scheduler) mayBeRegistrar(agent string) bool {
	if s.everRegistrar[agent] {
		return true
	}
	score := registrarScore(agent)
	higher := 0
	for _, other := range s.fleetAgents() {
		if registrarScore(other) > score {
			higher++
		}
	}
	return higher < MaxRegistrars+registrarsPerJob
}

// fleetAgents returns all agents that the entry knows: those that are listed, or those that it has had a link to if there is no list.
func (s *Scheduler) fleetAgents() []string {
	if len(s.knownAgents) > 0 {
		return s.knownAgents
	}
	return slices.Collect(maps.Keys(s.servers))
}

// recordHeldLost records that the link to a registrar was lost which had another owner of some jobs. That owner may run on
// without a record at the others: one that had no link to an earlier registrar for a while has asked that one after
// this entry.
func (s *Scheduler) recordHeldLost(now time.Time, agent string) {
	for _, o := range s.ownerships {
		if r := o.request(agent); r != nil && r.state == held {
			o.heldLost, o.heldBy = now, agent
		}
	}
}

// awaitsOtherOwner reports whether another entry owned the job when the link to its registrar was lost, within
// Limits.OwnerLostAfter. A grant by that registrar ends the wait if its process has run on since: the other owner has
// released the job, or is lost for long. The end of a link may be noticed only after the next process has started, so the
// process must be older than that by far.
func (s *Scheduler) awaitsOtherOwner(now time.Time, o *ownership) bool {
	if now.Sub(o.heldLost) >= s.limits.OwnerLostAfter {
		return false
	}
	v := s.servers[o.heldBy]
	ranOn := v != nil && s.reachable(o.heldBy) && !v.startedAt.IsZero() && o.heldLost.Sub(v.startedAt) > s.limits.OwnerLostAfter
	return !ranOn || !o.granted(o.heldBy)
}

// forgetLosses drops the losses that do not matter any more.
func (s *Scheduler) forgetLosses(now time.Time) {
	for agent, lost := range s.registrarLost {
		if now.Sub(lost) >= s.limits.OwnerLostAfter {
			delete(s.registrarLost, agent)
		}
	}
}
