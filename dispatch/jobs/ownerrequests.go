package jobs

import (
	"math"
	"slices"
	"time"

	"poplargw.example/dispatch/owner"
)

// sendRequests requests the job from the first registrars that are reachable, unless one of them has another owner. For
// a job that the entry owns, it keeps that number of records when a registrar is lost.
func (s *Scheduler) sendRequests(o *ownership) {
	o.linkChanges = s.linkChanges
	if s.heldElsewhere(o) {
		return
	}
	o.requests = slices.DeleteFunc(o.requests, func(r *request) bool { return r.state == withdrawn })
	for _, agent := range s.reachableRegistrars(o) {
		if o.request(agent) == nil {
			r := &request{agent: agent}
			o.requests = append(o.requests, r)
			b := s.batch(s.servers[agent])
			s.sendRequest(o, r, b)
			if o.owned {
				b.Owned = append(b.Owned, o.job)
			}
		}
	}
}

// heldElsewhere reports whether a reachable registrar has another owner.
func (s *Scheduler) heldElsewhere(o *ownership) bool {
	return slices.ContainsFunc(o.requests, func(r *request) bool { return r.state == held && s.reachable(r.agent) })
}

// sendRequest adds a request to a batch for the registrar.
func (s *Scheduler) sendRequest(o *ownership, r *request, b *Batch) {
	s.lastRequest++
	r.number, r.state = s.lastRequest, requested
	b.Requests = append(b.Requests, owner.Request{Job: o.job, Number: r.number})
}

// JobAnswered records the answer of a registrar to a request. Answers to requests that were withdrawn or repeated
// since are ignored, unless they say that the job was cancelled: that remains so.
func (s *Scheduler) JobAnswered(now time.Time, agent string, a owner.Answer) {
	if a.Cancelled {
		s.Cancel(a.Job)
	}
	o := s.ownerships[a.Job]
	if o == nil {
		return
	}
	r := o.request(agent)
	if r == nil || r.number != a.Number || r.state == withdrawn {
		return
	}
	if a.OwnerLost {
		s.recordOwnerLost(now, o)
	}
	if a.Granted {
		r.state = granted
	} else {
		r.state = held
	}
	s.advance(now, o)
}

// withdraw withdraws the requests at the registrars that come after one which has another owner, so that two entries never
// wait for each other. An entry that has runs of the job left keeps its records until they have ended.
//
// Requests at registrars that have restarted are withdrawn as well: the owner has no record there yet.
func (s *Scheduler) withdraw(now time.Time, o *ownership) {
	if o.owned || o.runs > 0 {
		return
	}
	s.withdrawUnlisted(o)
	first := s.firstHeld(o)
	if first == noneHeld {
		return
	}
	for _, r := range o.requests {
		later := slices.Index(o.order, r.agent) > first
		restarted := r.state == requested && s.limits.OwnerLostAfter > 0 && s.recordState(now, r.agent) == maybeLost
		if r.state != withdrawn && (later || restarted) {
			r.state = withdrawn
			s.releaseAt(r.agent, o.job)
		}
	}
}

// noneHeld is the result of firstHeld if no reachable agent has another owner.
const noneHeld = math.MaxInt

// firstHeld returns the position of the first reachable registrar that has another owner. One that is no longer listed has
// the position -1, before all others.
func (s *Scheduler) firstHeld(o *ownership) int {
	first := noneHeld
	for _, r := range o.requests {
		if r.state == held && s.reachable(r.agent) {
			first = min(first, slices.Index(o.order, r.agent))
		}
	}
	return first
}

// withdrawUnlisted withdraws the requests at agents that are no registrars any more, because other entries do not ask
// them. One that has another owner is still waited for: that owner may not have registered at the present ones yet.
func (s *Scheduler) withdrawUnlisted(o *ownership) {
	for _, r := range o.requests {
		isListed := slices.Contains(o.order, r.agent)
		if r.state != withdrawn && r.state != held && !isListed {
			r.state = withdrawn
			s.releaseAt(r.agent, o.job)
		}
	}
}

// releaseAt tells a registrar that the entry does not own or want a job. It drops a request that the same frame would
// carry, because agents handle the releases of a frame first.
func (s *Scheduler) releaseAt(agent, id string) {
	v := s.servers[agent]
	if v == nil || !v.linked {
		return
	}
	b := s.batch(v)
	b.Requests = slices.DeleteFunc(b.Requests, func(r owner.Request) bool { return r.Job == id })
	b.Releases = append(b.Releases, id)
}

// restoreOwnerships adds to the first frame over a new link to an agent the jobs that the entry owns by its record, or of
// which it has runs left, and the requests for those that it does not own.
func (s *Scheduler) restoreOwnerships(agent string, b *Batch) {
	for _, o := range s.ownershipsByJob() {
		r := o.request(agent)
		if r == nil || r.state == withdrawn {
			continue
		}
		if o.owned || o.runs > 0 {
			b.Owned = append(b.Owned, o.job)
		}
		if !o.owned {
			s.sendRequest(o, r, b)
		}
	}
}
