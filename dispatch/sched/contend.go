package sched

import "time"

// settleTime is the time in which a start of another entry shows in the slot counts:
// two one-way latencies of at most 1.5 ms and the delays of two processes.
const settleTime = 6 * time.Millisecond

// Several entries share the servers. Without a rule each of them would send a start
// for every slot that comes free under load, and all but one would be refused: with
// two entries more than a third of the starts were, in a simulation of an overloaded
// fleet. The rule is:
//   - An entry uses the slots that its own tasks return at once, unless it holds more
//     than its part of the slots in use by over two slots.
//   - Other slots it leaves alone for settleTime after they came free, in which their
//     last holder may use them again; for twice that if it holds its part or more.
//   - After that, it uses them in each further settleTime with a probability that
//     leaves about one claimant, until claimTime.
//   - When it reaches its part of all slots, it pauses for settleTime.

// claimTime is the age from which a free slot is used without restriction.
const claimTime = 6 * settleTime

// mayUse tells whether this entry may use slots of an open server now.
func (s *Scheduler) mayUse(now time.Time, v *server, slots int) bool {
	sv := v.service
	if s.entries == 1 {
		return true
	}
	if sv.held >= s.part(sv) && now.Sub(sv.reachedAt) < settleTime {
		return false
	}
	age := now.Sub(v.freedAt)
	if age >= claimTime || v.free-v.fresh >= slots {
		return true
	}
	excess := sv.held*s.entries - (sv.slots - sv.free)
	if excess <= tolerance*s.entries && v.free-v.fresh+v.returned >= slots {
		return true
	}
	window := uint64(age / settleTime)
	if window == 0 || window == 1 && excess >= 0 {
		return false
	}
	return s.draw(v, window) < claimants
}

// tolerance is the number of slots that an entry may hold above its part before it
// leaves its own slots to others. Entries that exchange slots over small differences
// cause refusals and idle slots.
const tolerance = 2

// claimants is the number of entries that are to claim a slot in one window. About
// half of the entries want it.
const claimants = 2

// draw returns a random number below the number of entries that is the same for all calls
// in one window of a server.
func (s *Scheduler) draw(v *server, window uint64) int {
	if v.window != window || !v.drawnFor.Equal(v.freedAt) {
		v.window, v.drawnFor = window, v.freedAt
		v.drawn = s.rng.IntN(s.entries)
	}
	return v.drawn
}

// part is this entry's part of the slots of a service.
func (s *Scheduler) part(sv *service) int {
	return (s.capacity(sv) + s.entries - 1) / s.entries
}

// hold records slots that this entry takes.
func (s *Scheduler) hold(now time.Time, v *server, slots int) {
	sv := v.service
	part := s.part(sv)
	if sv.held < part && sv.held+slots >= part {
		sv.reachedAt = now
	}
	sv.held += slots
	v.held += slots
	v.tasks++
	v.limitFresh()
}

// freed records that the free slots of a server have changed from before, with the
// slots that an ended task of this entry has returned.
func (v *server) freed(now time.Time, before, returned int) {
	if v.free > before {
		if now.Sub(v.freedAt) >= claimTime {
			v.fresh, v.returned = 0, 0
		}
		v.fresh += v.free - before
		v.returned += returned
		v.freedAt = now
	}
	v.limitFresh()
}

func (v *server) limitFresh() {
	v.fresh = min(v.fresh, v.free)
	v.returned = min(v.returned, v.fresh)
}
