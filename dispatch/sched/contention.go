package sched

import "time"

// propagationTime is the time within which a start by another entry shows in the slot
// counts: two one-way latencies of at most 1.5 ms and the delays of two processes.
const propagationTime = 6 * time.Millisecond

// Several entries share the servers, and an entry learns of starts by others late: an
// agent sends an entry only about ten slot reports each second. If each entry sent a
// start for every slot that it believes free, many starts would be refused. mayUse
// therefore applies these rules:
//   - The slots of each server are divided among the entries. Within its share of a
//     server, an entry may use every slot that it believes free.
//   - A slot beyond that share may be used only if the slot count is recent and another
//     slot of the server is free too. At high load the last free slot may be used as well,
//     from 2 propagationTime after it came free, in each window of propagationTime with
//     probability 1/N, where N is the number of entries. This rule does not apply to tasks
//     that need more slots than the share, which would otherwise never start.
//   - Of the slots beyond its share, an entry reuses at once those that its own tasks
//     returned, unless it holds over two slots more than its share of the slots in use. It
//     leaves other slots alone for propagationTime after they came free, so that their
//     last holder can reuse them, and for twice that time if it holds its share of the
//     slots in use or more. After that it uses them, in each window of propagationTime,
//     with probability 2/N, which leaves about one claiming entry. From unrestrictedAge on
//     it uses them without restriction.
//   - When an entry reaches its share of all slots of the service, it suspends the
//     previous rule for propagationTime and uses no slots by it.

// unrestrictedAge is the time since it came free after which any entry may use a slot.
const unrestrictedAge = 6 * propagationTime

// mayUse reports whether this entry may use the given number of slots of an available
// server now.
func (s *Scheduler) mayUse(now time.Time, v *server, slots int) bool {
	svc := v.service
	if s.withinServerShare(v, slots) {
		return true
	}
	if s.serverShare(v) >= slots && (v.free < 2*slots || now.Sub(v.countedAt) > maxCountAge) {
		window := uint64(now.Sub(v.freedAt) / propagationTime)
		return svc.load >= highLoad && window >= 2 && s.windowDraw(v, window) == 0
	}
	if svc.held >= s.serviceShare(svc) && now.Sub(svc.shareReachedAt) < propagationTime {
		return false
	}
	age := now.Sub(v.freedAt)
	if age >= unrestrictedAge || v.free-v.freshSlots >= slots {
		return true
	}
	excess := svc.held*s.entryCount - (svc.slots - svc.free)
	if excess <= shareTolerance*s.entryCount && v.free-v.freshSlots+v.returnedSlots >= slots {
		return true
	}
	window := uint64(age / propagationTime)
	if window == 0 || window == 1 && excess >= 0 {
		return false
	}
	return s.windowDraw(v, window) < targetClaimants
}

// Limits on the use of slots beyond this entry's share of a server.
const (
	// highLoad is the load from which the last free slot of a server may be used too. If
	// it were left to the entries that have it in their share, it would often stay idle
	// while tasks wait at other entries.
	highLoad = 0.8
	// maxCountAge is the age from which a slot count is considered outdated: a busy agent
	// sends slot reports about every tenth of a second.
	maxCountAge = 100 * time.Millisecond
)

// withinServerShare reports whether the given number of slots, added to those that this
// entry holds at the server, is within its share of the server.
func (s *Scheduler) withinServerShare(v *server, slots int) bool {
	return s.entryCount == 1 || v.held+slots <= s.serverShare(v)
}

// serverShare returns the number of slots of a server that belong to this entry. The
// entries that get the remainder of the division differ from server to server; the shares
// of all entries add up to the slots of the server.
func (s *Scheduler) serverShare(v *server) int {
	rank := (s.entryIndex + int(v.nameHash%uint32(s.entryCount))) % s.entryCount
	return (v.Slots + s.entryCount - 1 - rank) / s.entryCount
}

// shareTolerance is the number of slots that an entry may hold above its share before it
// leaves to others the slots that its own tasks returned. If entries exchanged slots over
// small differences, starts would be refused and slots would stay idle.
const shareTolerance = 2

// targetClaimants is the number of entries that may claim a slot in one window. It is 2
// because about half of the entries want the slot, which leaves about one claimant.
const targetClaimants = 2

// windowDraw returns a random number from 0 to the number of entries minus 1. It returns
// the same number for all calls in one window of a server.
func (s *Scheduler) windowDraw(v *server, window uint64) int {
	if v.drawWindow != window || !v.drawFreedAt.Equal(v.freedAt) {
		v.drawWindow, v.drawFreedAt = window, v.freedAt
		v.drawResult = s.rng.IntN(s.entryCount)
	}
	return v.drawResult
}

// serviceShare returns the number of slots of a service that belong to this entry,
// rounded up.
func (s *Scheduler) serviceShare(svc *service) int {
	return (s.capacity(svc) + s.entryCount - 1) / s.entryCount
}

// recordHeld counts the slots of one start as held by this entry.
func (s *Scheduler) recordHeld(now time.Time, v *server, slots int) {
	svc := v.service
	share := s.serviceShare(svc)
	if svc.held < share && svc.held+slots >= share {
		svc.shareReachedAt = now
	}
	svc.held += slots
	v.held += slots
	v.outstanding++
	v.limitFreshSlots()
}

// recordFreed updates the fresh slots of a server after a change of its free slots. before
// is their number before the change, and returned the number of slots that an ended task
// of this entry has returned.
func (v *server) recordFreed(now time.Time, before, returned int) {
	if v.free > before {
		if now.Sub(v.freedAt) >= unrestrictedAge {
			v.freshSlots, v.returnedSlots = 0, 0
		}
		v.freshSlots += v.free - before
		v.returnedSlots += returned
		v.freedAt = now
	}
	v.limitFreshSlots()
}

// limitFreshSlots keeps freshSlots within the free slots, and returnedSlots within
// freshSlots.
func (v *server) limitFreshSlots() {
	v.freshSlots = min(v.freshSlots, v.free)
	v.returnedSlots = min(v.returnedSlots, v.freshSlots)
}
