package sched

import "time"

// A task that needs several slots would starve if tasks with one slot took every slot
// that comes free. If such a task has waited for reservationDelay, one server is reserved
// for its kind until the task starts, but for at most reservationTimeout. A search that
// finds no server is repeated after reservationDelay.
const (
	reservationDelay   = 200 * time.Millisecond
	reservationTimeout = 2 * time.Second
)

// reservation keeps the free slots of a server for a kind. Tasks that come before the
// waiting task in the queue may still use them.
type reservation struct {
	kind     *kind
	server   *server
	orderKey int64 // of the queue of the waiting task
	until    time.Time
}

// tryReserve reserves the server with the most free slots for the kind of a queue if the
// kind needs several slots and the job has waited for reservationDelay.
func (s *Scheduler) tryReserve(now time.Time, q *taskQueue) {
	k := q.class.kind
	if k.slots < 2 || now.Sub(q.job.arrived) < reservationDelay || now.Before(k.reserveNotBefore) {
		return
	}
	s.endReservation(k)
	k.reserveNotBefore = now.Add(reservationDelay)
	var best *server
	for _, v := range k.service.servers {
		if v.reservation != nil || v.Slots < k.slots || v.estimates[k.name] == nil || v.blockedUntil.After(now) ||
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
	k.reserveNotBefore = now.Add(reservationTimeout)
	k.reservation = &reservation{kind: k, server: best, orderKey: q.orderKey, until: k.reserveNotBefore}
	best.reservation = k.reservation
}

// endReservation ends the reservation of a kind, if there is one.
func (s *Scheduler) endReservation(k *kind) {
	if r := k.reservation; r != nil {
		r.server.reservation = nil
		k.reservation = nil
		k.reserveNotBefore = time.Time{}
	}
}

// endServerReservation ends the reservation of a server, if there is one.
func (s *Scheduler) endServerReservation(v *server) {
	if v.reservation != nil {
		s.endReservation(v.reservation.kind)
	}
}
