package sched

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
)

// inFlightAge is the age below which an unanswered start may or may not be included in a
// slot count that arrives: a few round trips of at most 3 ms each and the delay of a busy
// process.
const inFlightAge = 20 * time.Millisecond

// Times for which a server gets no start after a refusal, by the cause of the refusal.
const (
	blockConnection = 20 * time.Millisecond  // no free connection; ending tasks return connections
	blockUnready    = 100 * time.Millisecond // late start, missing acknowledgement or transport failure
	blockClosed     = time.Second            // unknown, leaving or out server, or draining agent; the next report or configuration confirms it
)

// setSlots sets the slots and free slots of a server and updates the totals of its
// service.
func (s *Scheduler) setSlots(v *server, slots, free int) {
	svc := v.service
	svc.slots += slots - v.Slots
	svc.free += free - v.free
	if slots != v.Slots {
		svc.largestServer, svc.capacity = -1, -1
	}
	v.Slots, v.free = slots, free
}

// applySlotCount updates the estimated free slots of a server from a count by its agent.
// The count includes starts that are at least inFlightAge old; it is unknown whether it
// includes younger ones. A count that is not below the estimate does not lower it. A
// lower count shows starts by other entries; then it is assumed to include no younger
// start. Too low an estimate lasts only until the next message, while too high an
// estimate causes refusals.
func (s *Scheduler) applySlotCount(now time.Time, v *server, free int) {
	free = min(free, v.Slots)
	inFlightSlots := 0
	kept := v.recentStarts[:0]
	for _, a := range v.recentStarts {
		if !a.answered && now.Sub(a.emittedAt) < inFlightAge {
			kept = append(kept, a)
			inFlightSlots += a.slots
		}
	}
	clear(v.recentStarts[len(kept):])
	v.recentStarts = kept
	estimated := max(free-inFlightSlots, 0)
	if free >= v.free {
		estimated = max(estimated, v.free)
	}
	s.setSlots(v, v.Slots, estimated)
	v.reportedFree, v.startedSinceCount = free, 0
	v.countNumber++
	v.countedAt = now
}

// updateSlotsFromReply updates the free slots of the server that answered a start.
func (s *Scheduler) updateSlotsFromReply(now time.Time, a *attempt, r StartReply) {
	v := a.server
	if v == nil || v.removed {
		return
	}
	ag := v.agent
	current := r.HasSlots && a.incarnation == ag.incarnation
	if current {
		ag.lastContact = now
	}
	if a.countNumber == v.countNumber {
		v.startedSinceCount -= a.slots
	}
	before := v.free
	switch {
	case current && r.Sequence >= ag.countSequence:
		ag.countSequence = r.Sequence
		s.setSlots(v, v.Slots, min(v.free+a.slots, r.FreeSlots))
		s.applySlotCount(now, v, r.FreeSlots)
	case r.Failure != nil && r.Failure.Code == result.NoFreeSlot:
		s.setSlots(v, v.Slots, 0)
	default:
		s.setSlots(v, v.Slots, max(min(v.free+a.slots, v.reportedFree-v.startedSinceCount), 0))
	}
	v.recordFreed(now, before, a.slots)
	s.updateAvailability(v)
	s.markDirty(v.service)
}

// blockAfterRefusal keeps new starts away from a server, or from all servers of its
// agent, for as long as the cause of a refusal is expected to last.
func (s *Scheduler) blockAfterRefusal(now time.Time, v *server, c result.Code) {
	if c == result.NoFreeSlot || isStaleRefusal(c) {
		return
	}
	switch c {
	case result.NoFreeConnection:
		v.blockedUntil = now.Add(blockConnection)
	case result.UnknownServer, result.DomainOut, result.ServerOut, result.ServerLeaving:
		v.blockedUntil = now.Add(blockClosed)
	case result.AgentDraining:
		v.agent.blockServers(now.Add(blockClosed))
	case result.StartTooLate:
		v.blockedUntil = now.Add(blockUnready)
	default:
		v.agent.blockServers(now.Add(blockUnready))
	}
}

// blockServers keeps new starts away from all servers of the agent until the given time.
func (a *agent) blockServers(until time.Time) {
	for _, v := range a.servers {
		v.blockedUntil = until
	}
}

// takeSlots takes the slots of a start that is about to be emitted.
func (s *Scheduler) takeSlots(now time.Time, v *server, a *attempt) {
	a.countNumber = v.countNumber
	s.setSlots(v, v.Slots, v.free-a.slots)
	v.startedSinceCount += a.slots
	s.recordHeld(now, v, a.slots)
	v.recentStarts = append(v.recentStarts, a)
	v.unanswered = append(v.unanswered, a)
	s.updateAvailability(v)
}

// releaseAttempt releases what an answered or dropped attempt held at this entry. It does
// not change the estimate of free slots.
func (s *Scheduler) releaseAttempt(a *attempt) {
	a.answered = true
	if a.kind != nil {
		a.kind.running--
	}
	if a.team != nil {
		a.team.InUse -= a.slots
	}
	if a.server != nil {
		a.server.pruneAnswered()
		a.server.held -= a.slots
		a.server.service.held -= a.slots
		a.server.outstanding--
		a.job.held -= a.slots
	}
	if !a.job.done {
		s.applyFairShare(a.job)
	}
}

// pruneAnswered keeps the list of unanswered starts short. It always drops answered
// starts at the front, and drops all of them if they are more than half of the list.
func (v *server) pruneAnswered() {
	for len(v.unanswered) > 0 && v.unanswered[0].answered {
		v.unanswered[0] = nil
		v.unanswered = v.unanswered[1:]
	}
	if len(v.unanswered) > 2*v.outstanding {
		v.unanswered = slices.DeleteFunc(v.unanswered, func(a *attempt) bool { return a.answered })
	}
}
