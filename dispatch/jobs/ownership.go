package jobs

import (
	"cmp"
	"slices"
	"time"
)

// An entry orders tasks of a job only while it owns the job: a caller may submit a job to another entry, or once
// more to this one, while runs of its former submission are still being stopped. Two agents, the registrars of the
// job, record which entry owns it; see package owner. All entries choose the same ones. An entry requests the job
// from both, and releases it when the job has ended here and none of its runs is left.

const (
	// registrarsPerJob is the number of agents that record the owner of a job. The second one keeps the record
	// while the first one is away.
	registrarsPerJob = 2
	// MaxRegistrars bounds the number of agents that record owners, because each entry needs a link to all of them.
	MaxRegistrars = 8
	// contactMargin is how long before registrars may take the entry for lost its ownership ends here: the newest message
	// that they have is older than their newest answer, and a tick may be late.
	contactMargin = 200 * time.Millisecond
	// registrarWait is how long a job waits for links to registrars that were lost or have been listed only just now. A lost
	// link is dialed again at once, and one attempt takes 250 ms at most.
	registrarWait = 300 * time.Millisecond
)

// requestState is the state of the request for a job at one registrar.
type requestState int

const (
	requested requestState = iota
	granted
	held      // another entry owns the job
	withdrawn // released because an earlier registrar in the order has another owner
)

// request is the request for a job at one registrar.
type request struct {
	agent  string
	number uint64
	state  requestState
}

// ownership is what the entry knows of the owner of one job.
type ownership struct {
	job      string
	order    []string // registrars, the same order at all entries
	requests []*request
	// owned is set once the registrars have granted the job, until it is released or lapses.
	owned bool
	since time.Time // of the submission, or when the ownership lapsed
	// confirmed is the time of the newest message of a registrar that has granted the job; zero if none has, because
	// none was reachable.
	confirmed time.Time
	// linkChanges is the value of Scheduler.linkChanges for which requests were sent last.
	linkChanges uint64
	// heldLost is when the link to a registrar that had another owner was lost last, heldBy that registrar.
	heldLost time.Time
	heldBy   string
	// awaits is what the job waits for because records may be lost, and recordWaits what it has waited for so far.
	awaits      recordWait
	recordWaits recordWaits
	// runs is the number of runs of the job that may not have ended, of all its submissions to this entry.
	runs int
	// ownerLost is when a registrar granted the job and said that its former owner was lost; zero if none has. formerRunsEnded is set once
	// the agents have shown that no run of that owner goes on.
	ownerLost       time.Time
	formerRunsEnded bool
}

func (o *ownership) request(agent string) *request {
	for _, r := range o.requests {
		if r.agent == agent {
			return r
		}
	}
	return nil
}

// granted reports whether the agent has granted the job.
func (o *ownership) granted(agent string) bool {
	r := o.request(agent)
	return r != nil && r.state == granted
}

// own requests the ownership of a job that has been admitted, unless the entry has it from a former submission.
func (s *Scheduler) own(now time.Time, j *job) {
	o := s.ownerships[j.ID]
	if o == nil {
		o = &ownership{job: j.ID, order: s.orderFor(now, j.ID)}
		s.ownerships[j.ID] = o
	}
	o.since = now
	s.advance(now, o)
}

// advance sends the requests that are due and lets the job begin if the entry owns it by now.
func (s *Scheduler) advance(now time.Time, o *ownership) {
	s.withdraw(now, o)
	if !o.owned && s.awaitsRecords(now, o) {
		s.yield(now, o)
		o.recordWaits.add(now, o.awaits)
	} else {
		s.sendRequests(o)
	}
	o.owned = o.owned || s.conceded(now, o)
	s.confirm(o)
	j := s.jobs[o.job]
	if j == nil || j.mayOrder || !o.owned || !s.hasContact(o) || s.awaitsFormerRuns(o) || o.runs > 0 && !j.begun {
		return
	}
	j.mayOrder, j.begun = true, true
	s.endRecordWait(o, true)
	s.dispatchJob(now, j)
}

// hasContact reports whether a registrar that has granted the job is reachable, or the job is owned without any. Without contact, the
// entry does not learn that the job was cancelled elsewhere.
func (s *Scheduler) hasContact(o *ownership) bool {
	return o.confirmed.IsZero() || slices.ContainsFunc(o.requests, func(r *request) bool { return r.state == granted && s.reachable(r.agent) })
}

// suspendOrders is called when the link to an agent has ended or was replaced. Jobs whose last registrar it was are not ordered until
// the first frame over a new link, which carries the cancels, or the grant of another registrar.
func (s *Scheduler) suspendOrders(agent string) {
	for _, o := range s.ownerships {
		if o.owned && o.granted(agent) && !s.hasContact(o) {
			if j := s.jobs[o.job]; j != nil {
				j.mayOrder = false
			}
		}
	}
}

// confirm records the newest message of the registrars that have granted the job.
func (s *Scheduler) confirm(o *ownership) {
	for _, r := range o.requests {
		if v := s.servers[r.agent]; r.state == granted && s.reachable(r.agent) && v.lastContact.After(o.confirmed) {
			o.confirmed = v.lastContact
		}
	}
}

// lapsed reports whether the registrars of a job that the entry owns may have taken it for lost and granted the job to
// another entry.
func (s *Scheduler) lapsed(now time.Time, o *ownership) bool {
	return o.owned && !o.confirmed.IsZero() && now.Sub(o.confirmed) > s.limits.LostAfter-contactMargin
}

// settled reports whether nothing is due for a job: the entry owns it, no link has changed since, and a registrar was heard
// not long ago. Most jobs are settled, so a tick costs little with many jobs.
func (s *Scheduler) settled(now time.Time, o *ownership) bool {
	if !o.ownerLost.IsZero() && !o.formerRunsEnded {
		return false
	}
	return o.owned && o.linkChanges == s.linkChanges && (o.confirmed.IsZero() || now.Sub(o.confirmed) < (s.limits.LostAfter-contactMargin)/2)
}

// lapse ends the ownership of a job, and requests it again from the registrars. They keep the entry's record, if they
// still have it, until the runs of the job have ended.
func (s *Scheduler) lapse(now time.Time, o *ownership) {
	o.owned, o.since, o.confirmed = false, now, time.Time{}
	o.formerRunsEnded = false
	if j := s.jobs[o.job]; j != nil {
		j.mayOrder = false
	}
	for _, r := range o.requests {
		if r.state == withdrawn {
			continue
		}
		r.state, r.number = requested, 0 // no answer has this number
		if v := s.servers[r.agent]; v != nil && v.linked {
			s.sendRequest(o, r, s.batch(v))
		}
	}
}

// conceded reports whether the entry owns the job: the first reachable registrars have all granted it, and none has
// another owner. A single grant is not enough: that registrar may be new, or may have had no link to the owner for a
// while; the owner is recorded at two. Without a reachable registrar the job begins only if there are none; see lacksRegistrar.
func (s *Scheduler) conceded(now time.Time, o *ownership) bool {
	if s.heldElsewhere(o) {
		return false
	}
	registrars := s.reachableRegistrars(o)
	if len(registrars) == 0 {
		return s.withoutRegistrars(o)
	}
	return !slices.ContainsFunc(registrars, func(agent string) bool { return !o.granted(agent) }) && !s.awaitsLinks(now, o) && !s.awaitsRecords(now, o)
}

// runOrdered and runEnded count the runs of a job that may not have ended.
func (s *Scheduler) runOrdered(id string) {
	if o := s.ownerships[id]; o != nil {
		o.runs++
	}
}

func (s *Scheduler) runEnded(now time.Time, id string) {
	o := s.ownerships[id]
	if o == nil {
		return
	}
	o.runs--
	s.advance(now, o)
	s.release(o)
}

// release gives up a job that has ended here, once none of its runs is left.
func (s *Scheduler) release(o *ownership) {
	if s.jobs[o.job] != nil || o.runs > 0 {
		return
	}
	delete(s.ownerships, o.job)
	s.endRecordWait(o, false)
	for _, r := range o.requests {
		if r.state != withdrawn {
			s.releaseAt(r.agent, o.job)
		}
	}
}

// Disown ends all ownerships, because the process did not run for so long that agents may have granted the jobs to
// others. What is left of their runs keeps its record until it has ended.
func (s *Scheduler) Disown(now time.Time) {
	for _, o := range s.ownershipsByJob() {
		s.lapse(now, o)
	}
}

// HasOwnerships reports whether the agent records this entry as the owner of a job, or may do so.
func (s *Scheduler) HasOwnerships(agent string) bool {
	for _, o := range s.ownerships {
		if o.request(agent) != nil {
			return true
		}
	}
	return false
}

// ownershipsByJob returns the ownerships ordered by job, so that decisions are deterministic.
func (s *Scheduler) ownershipsByJob() []*ownership {
	return s.selectOwnerships(func(*ownership) bool { return true })
}

// selectOwnerships returns the ownerships that the filter accepts, ordered by job.
func (s *Scheduler) selectOwnerships(accepts func(*ownership) bool) []*ownership {
	var list []*ownership
	for _, o := range s.ownerships {
		if accepts(o) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *ownership) int { return cmp.Compare(a.job, b.job) })
	return list
}

// advanceOwnerships repeats what depends on time or on the links to registrars.
func (s *Scheduler) advanceOwnerships(now time.Time) {
	for _, o := range s.selectOwnerships(func(o *ownership) bool { return !s.settled(now, o) }) {
		s.confirm(o)
		if s.lapsed(now, o) {
			s.lapse(now, o)
		}
		s.advance(now, o)
	}
}
