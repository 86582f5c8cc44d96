package jobs

import (
	"slices"
	"time"
)

// A cancel reaches one entry, which may not be the owner of the job, and the job may come to another entry later. So the entry sends each
// cancel to the registrars of the job, which record it, pass it on to the owner, and grant the job to no entry from then on. All registrars are asked,
// not only the two that an owner asks: an owner that is cut off from some of them uses others.

const (
	// cancelRetention is how long an entry sends a cancel to registrars over new links, because they may have lost it.
	cancelRetention = time.Minute
	// maxCancels bounds the cancels that are kept for that; the oldest are dropped first.
	maxCancels = 4096
	// maxUnrecorded is the number of registrars that may lack the record of a cancel: an owner needs the grants of two, if it reaches two.
	maxUnrecorded = registrarsPerJob - 1
)

// CancelResult tells what has become of a cancel.
type CancelResult int

// Results of a cancel.
const (
	// CancelPending: answers of registrars are awaited.
	CancelPending CancelResult = iota
	// CancelDone: the owner of the job was told, or its registrars have recorded the cancel.
	CancelDone
	// CancelNoJob: no entry has the job, as all its registrars have said. They have recorded the cancel.
	CancelNoJob
	// CancelUnanswered: another entry may have the job and not learn of the cancel.
	CancelUnanswered
)

// String returns the name of the result as used in logs and metrics.
func (r CancelResult) String() string {
	return [...]string{"pending", "done", "no_job", "unanswered"}[r]
}

// CancelAnswer is the answer of a registrar to a cancel. An agent of an earlier version sets PassedOn alone.
type CancelAnswer struct {
	PassedOn bool // the owner of the job was told
	Recorded bool // the agent grants the job to no entry
	MayHave  bool // an entry may have the job; always set if the agent has a record of an owner
}

// cancel is a cancel that a caller has sent to this entry.
type cancel struct {
	job string
	at  time.Time
	// ownedHere is set if this entry had the job and owned it, heldHere if it had the job.
	ownedHere, heldHere bool
	answers             map[string]CancelAnswer // by agent
}

// RequestCancel ends a job, if the entry has it, and sends the cancel to the registrars of the job. It returns CancelPending if the result
// depends on their answers; see CancelState.
func (s *Scheduler) RequestCancel(now time.Time, id string) CancelResult {
	s.observeRegistrars(now)
	s.expireCancels(now)
	c := s.cancels[id]
	if c == nil {
		c = &cancel{job: id, answers: map[string]CancelAnswer{}}
		s.cancels[id] = c
		s.cancelOrder = append(s.cancelOrder, c)
	}
	o := s.ownerships[id]
	c.at = now
	c.heldHere = s.jobs[id] != nil
	c.ownedHere = c.heldHere && o != nil && o.owned
	order := s.orderFor(now, id)
	s.sendCancel(c, order)
	s.Cancel(id)
	return s.CancelState(now, id)
}

// sendCancel sends a cancel to all reachable registrars. Those after the first two get that of a job which ends here with the next frame, so
// that a cancel at the owner costs no further frames.
func (s *Scheduler) sendCancel(c *cancel, order []string) {
	n := 0
	for _, agent := range order {
		if !s.reachable(agent) {
			continue
		}
		v := s.servers[agent]
		if n++; n <= registrarsPerJob || !c.ownedHere {
			s.dirty[agent] = v
		}
		delete(c.answers, agent)
		v.batch.Cancels = append(v.batch.Cancels, c.job)
	}
}

// restoreCancels adds the cancels of the last minute to the first frame over a new link: the agent may have lost them, or was not
// reachable when they came.
func (s *Scheduler) restoreCancels(now time.Time, agent string, b *Batch) {
	if !slices.Contains(s.registrars, agent) {
		return
	}
	s.expireCancels(now)
	for _, c := range s.cancelOrder {
		delete(c.answers, agent)
		b.Cancels = append(b.Cancels, c.job)
	}
}

// CancelAnswered records the answer of a registrar to a cancel.
func (s *Scheduler) CancelAnswered(agent, id string, a CancelAnswer) {
	if c := s.cancels[id]; c != nil {
		c.answers[agent] = a
	}
}

// Cancelled reports whether a caller has cancelled the job at this entry within cancelRetention.
func (s *Scheduler) Cancelled(id string) bool { return s.cancels[id] != nil }

// CancelState returns the result of a cancel as far as the answers tell.
func (s *Scheduler) CancelState(now time.Time, id string) CancelResult {
	return s.cancelState(now, id, false)
}

// FinalCancelState returns the result of a cancel whose further answers are not awaited.
func (s *Scheduler) FinalCancelState(now time.Time, id string) CancelResult {
	return s.cancelState(now, id, true)
}

func (s *Scheduler) cancelState(now time.Time, id string, isFinal bool) CancelResult {
	c := s.cancels[id]
	if c == nil {
		return CancelUnanswered
	}
	t := s.countCancelAnswers(now, c, s.orderFor(now, id))
	switch {
	case c.ownedHere || t.passedOn:
		return CancelDone
	case t.awaited > 0 && !isFinal:
		return CancelPending
	case t.registrars > 0 && t.answered == t.registrars && !t.mayHave && !c.heldHere:
		return CancelNoJob
	case t.recorded >= min(registrarsPerJob, t.registrars) && t.recorded > 0 && t.registrars-t.recorded <= maxUnrecorded:
		return CancelDone
	case t.registrars > 0 && t.answered == t.registrars && !t.mayHave:
		return CancelDone
	}
	return CancelUnanswered
}

// cancelTally sums up the answers to a cancel.
type cancelTally struct {
	registrars, answered, recorded int
	awaited                        int // registrars that have not answered and are reachable, or whose links are about to open
	passedOn, mayHave              bool
}

// countCancelAnswers sums up the answers of the registrars. Agents that record no owners are none.
func (s *Scheduler) countCancelAnswers(now time.Time, c *cancel, order []string) cancelTally {
	var t cancelTally
	for _, agent := range order {
		if v := s.servers[agent]; v != nil && v.linked && v.reported && !v.recordsOwners {
			continue
		}
		t.registrars++
		a, ok := c.answers[agent]
		switch {
		case ok:
			t.answered++
			t.passedOn = t.passedOn || a.PassedOn
			t.mayHave = t.mayHave || a.MayHave
			if a.Recorded {
				t.recorded++
			}
		case s.reachable(agent), s.linkAwaited(now, agent):
			t.awaited++
		}
	}
	return t
}

// expireCancels drops the cancels that are older than cancelRetention or too many.
func (s *Scheduler) expireCancels(now time.Time) {
	n := 0
	for n < len(s.cancelOrder) && (len(s.cancelOrder)-n >= maxCancels || now.Sub(s.cancelOrder[n].at) > cancelRetention) {
		delete(s.cancels, s.cancelOrder[n].job)
		n++
	}
	s.cancelOrder = s.cancelOrder[n:]
}
