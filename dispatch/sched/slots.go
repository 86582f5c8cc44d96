package sched

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
)

// setSlots changes the slots and free slots of a server and the sums of its service.
func (s *Scheduler) setSlots(v *server, slots, free int) {
	sv := v.service
	sv.slots += slots - v.Slots
	sv.free += free - v.free
	if slots != v.Slots {
		sv.largest, sv.capacity = -1, -1
	}
	v.Slots, v.free = slots, free
}

// count applies a slot count of the agent. Starts older than inFlight are included in
// it; younger ones may be. A count that is not below the estimate leaves the estimate
// as it is as far as it is possible. A lower count shows starts of other entries, and
// then no young start is taken as included: too low an estimate lasts until the next
// message, too high a one costs refusals.
func (s *Scheduler) count(now time.Time, v *server, free int) {
	free = min(free, v.Slots)
	young := 0
	keep := v.recent[:0]
	for _, a := range v.recent {
		if !a.answered && now.Sub(a.at) < inFlight {
			keep = append(keep, a)
			young += a.slots
		}
	}
	clear(v.recent[len(keep):])
	v.recent = keep
	estimate := max(free-young, 0)
	if free >= v.free {
		estimate = max(estimate, v.free)
	}
	s.setSlots(v, v.Slots, estimate)
	v.counted, v.since = free, 0
	v.counts++
	v.countedAt = now
}

// slotsFromReply updates the slots of the server that answered.
func (s *Scheduler) slotsFromReply(now time.Time, a *attempt, r StartReply) {
	v := a.server
	if v == nil || v.gone {
		return
	}
	ag := v.agent
	current := r.HasSlots && a.incarnation == ag.incarnation
	if current {
		ag.heard = now
	}
	if a.count == v.counts {
		v.since -= a.slots
	}
	before := v.free
	switch {
	case current && r.Sequence >= ag.counted:
		ag.counted = r.Sequence
		s.setSlots(v, v.Slots, min(v.free+a.slots, r.FreeSlots))
		s.count(now, v, r.FreeSlots)
	case r.Failure != nil && r.Failure.Code == result.NoFreeSlot:
		s.setSlots(v, v.Slots, 0)
	default:
		s.setSlots(v, v.Slots, max(min(v.free+a.slots, v.counted-v.since), 0))
	}
	v.freed(now, before, a.slots)
	s.refresh(v)
	s.touch(v.service)
}

// block keeps new starts away from a server, or from all servers of its agent, for as
// long as a refusal is expected to hold.
func (s *Scheduler) block(now time.Time, v *server, c result.Code) {
	if c == result.NoFreeSlot || behind(c) {
		return
	}
	switch c {
	case result.NoFreeConnection:
		v.blocked = now.Add(blockConnection)
	case result.UnknownServer, result.DomainOut, result.ServerOut, result.ServerLeaving:
		v.blocked = now.Add(blockClosed)
	case result.AgentDraining:
		v.agent.block(now.Add(blockClosed))
	case result.StartTooLate:
		v.blocked = now.Add(blockUnready)
	default:
		v.agent.block(now.Add(blockUnready))
	}
}

func (a *agent) block(until time.Time) {
	for _, v := range a.servers {
		v.blocked = until
	}
}

// reserve takes the slots of a start that is being emitted.
func (s *Scheduler) reserve(now time.Time, v *server, a *attempt) {
	a.count = v.counts
	s.setSlots(v, v.Slots, v.free-a.slots)
	v.since += a.slots
	s.hold(now, v, a.slots)
	v.recent = append(v.recent, a)
	v.unanswered = append(v.unanswered, a)
	s.refresh(v)
}

// settle gives back what an attempt held at this entry. The slot estimate is not changed.
func (s *Scheduler) settle(a *attempt) {
	a.answered = true
	if a.kind != nil {
		a.kind.running--
	}
	if a.team != nil {
		a.team.Held -= a.slots
	}
	if a.server != nil {
		a.server.dropAnswered()
		a.server.held -= a.slots
		a.server.service.held -= a.slots
		a.server.tasks--
		a.job.held -= a.slots
	}
	if !a.job.done {
		s.share(a.job)
	}
}

// dropAnswered keeps the list of unanswered starts short: it drops answered ones at the
// front always, and all when they are the most.
func (v *server) dropAnswered() {
	for len(v.unanswered) > 0 && v.unanswered[0].answered {
		v.unanswered[0] = nil
		v.unanswered = v.unanswered[1:]
	}
	if len(v.unanswered) > 2*v.tasks {
		v.unanswered = slices.DeleteFunc(v.unanswered, func(a *attempt) bool { return a.answered })
	}
}
