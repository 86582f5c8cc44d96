package sched

import "time"

// A task that needs several slots would starve if tasks with one slot took every slot
// that comes free. After reserveAfter one server is kept for it until it has room, at
// most for reserveTime. A search that finds no server is repeated after reserveAfter.
const (
	reserveAfter = 200 * time.Millisecond
	reserveTime  = 2 * time.Second
)

// reservation keeps the free slots of a server for a kind. Tasks that come before the
// waiting one in the queue still use them.
type reservation struct {
	kind   *kind
	server *server
	key    int64 // of the waiting lane
	until  time.Time
}

// tryReserve reserves the server with the most free slots for the head of a queue.
func (s *Scheduler) tryReserve(now time.Time, l *lane) {
	k := l.class.kind
	if k.slots < 2 || now.Sub(l.job.arrived) < reserveAfter || now.Before(k.reserveAt) {
		return
	}
	s.endReservation(k)
	k.reserveAt = now.Add(reserveAfter)
	var best *server
	for _, v := range k.service.servers {
		if v.reserved != nil || v.Slots < k.slots || v.cells[k.name] == nil || v.blocked.After(now) ||
			!s.inService(v) || v.health.Limit(now) == 0 {
			continue
		}
		if best == nil || v.free > best.free {
			best = v
		}
	}
	if best == nil {
		return
	}
	k.reserveAt = now.Add(reserveTime)
	k.reservation = &reservation{kind: k, server: best, key: l.key, until: k.reserveAt}
	best.reserved = k.reservation
}

func (s *Scheduler) endReservation(k *kind) {
	if r := k.reservation; r != nil {
		r.server.reserved = nil
		k.reservation = nil
		k.reserveAt = time.Time{}
	}
}

func (s *Scheduler) unreserve(v *server) {
	if v.reserved != nil {
		s.endReservation(v.reserved.kind)
	}
}
