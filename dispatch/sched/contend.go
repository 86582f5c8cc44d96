package sched

import "time"

// settleTime is the time in which a start of another entry shows in the slot counts:
// two one-way latencies of at most 1.5 ms and the delays of two processes.
const settleTime = 6 * time.Millisecond

// Several entries share the servers, and an entry learns of the starts of others late: an
// agent may send about ten reports of slots to an entry each second. Without a rule each
// entry would send a start for every slot that it believes free, and many would be refused.
// The rule is:
//   - The slots of each server are divided among the entries. Within its share of a server
//     an entry uses every slot that it believes free.
//   - It uses further slots only if the server has another one free by a recent count. Under
//     high load it also uses a single one, from 2 settleTime after it came free, in one of
//     as many periods of settleTime as there are entries, chosen at random. This does not hold
//     for tasks that need more slots than its share, which would else never start.
//   - Of further slots it uses those that its own tasks return at once, unless it holds more
//     than its part of the slots in use by over two slots. Others it leaves alone for
//     settleTime after they came free, in which their last holder may use them again; for
//     twice that if it holds its part or more. After that, it uses them in each further
//     settleTime with a probability that leaves about one claimant, until claimTime.
//   - When it reaches its part of all slots, it pauses for settleTime.

// claimTime is the age from which a free slot is used without restriction.
const claimTime = 6 * settleTime

// mayUse tells whether this entry may use slots of an open server now.
func (s *Scheduler) mayUse(now time.Time, v *server, slots int) bool {
	sv := v.service
	if s.owns(v, slots) {
		return true
	}
	if s.shareOf(v) >= slots && (v.free < 2*slots || now.Sub(v.countedAt) > borrowAge) {
		window := uint64(now.Sub(v.freedAt) / settleTime)
		return sv.load >= crowded && window >= 2 && s.draw(v, window) == 0
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

// Bounds of the use of slots outside this entry's share of a server.
const (
	// crowded is the load from which a single free slot is used too. Left to the entries
	// that have it in their share, it would often stay idle while tasks wait elsewhere.
	crowded = 0.8
	// borrowAge is the age from which a slot count says little: a tenth of a second is the
	// time between two reports of slots from a busy agent.
	borrowAge = 100 * time.Millisecond
)

// owns tells whether the slots, with those it holds, are within this entry's share of the server.
func (s *Scheduler) owns(v *server, slots int) bool {
	return s.entries == 1 || v.held+slots <= s.shareOf(v)
}

// shareOf is this entry's share of a server. The remainder of the division goes to other
// entries at each server, so that the shares add up to the slots.
func (s *Scheduler) shareOf(v *server) int {
	rank := (s.index + int(v.hash%uint32(s.entries))) % s.entries
	return (v.Slots + s.entries - 1 - rank) / s.entries
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
