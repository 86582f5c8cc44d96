package runentry

import (
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// second counts what happened to callers within one second. Lines about single jobs are left out under load,
// so an operator's picture of an overload rests on these counts.
type second struct {
	began time.Time
	// offered are jobs that came, late those that were served after their objective.
	offered, served, late, abandoned int
	// unanswered are orders that expired without an answer of the backend server.
	unanswered int
	ended      result.Counts // without those that were served
}

func newSecond(now time.Time) second { return second{began: now, ended: result.Counts{}} }

// empty tells whether nothing happened.
func (s *second) empty() bool {
	return s.offered+s.served+s.abandoned+s.unanswered == 0 && len(s.ended) == 0
}

// count takes in the end of a job that took the given time.
func (s *second) count(o jobs.Outcome, took time.Duration) {
	if o.Code != 0 {
		s.ended[o.Code]++
		return
	}
	s.served++
	if o.Aim > 0 && took > o.Aim {
		s.late++
	}
}

// closeSecond logs the counts of a second that has passed, and begins the next. The caller holds the lock.
func (e *Entry) closeSecond(now time.Time) {
	if now.Sub(e.second.began) < time.Second {
		return
	}
	if !e.second.empty() {
		waiting, runs := e.scheduler.Tasks()
		free, room := e.scheduler.Room()
		e.Log.Info(event.EntrySecond, event.Fields{
			"offered": e.second.offered, "served": e.second.served, "late": e.second.late, "ended": e.second.ended.String(),
			"abandoned": e.second.abandoned, "unanswered": e.second.unanswered, "waiting": waiting, "runs": runs,
			"free_cpu": free, "room_cpu": room, "servers": e.scheduler.Servers(),
		})
	}
	e.second = newSecond(now)
}
