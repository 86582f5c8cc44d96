package runentry

import (
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// intervalStats counts the jobs of one second. Log lines of individual jobs are sampled under load, so
// these counts are what shows an overload to an operator.
type intervalStats struct {
	start time.Time
	// offered counts submitted jobs, served those that completed, and late those that completed after their
	// latency objective.
	offered, served, late, abandoned int
	// unanswered counts orders that ended with result.StartTooLate, usually because the backend server did
	// not respond before their expiry.
	unanswered int
	failed     result.Counts // jobs that ended without success, by result code
}

func newIntervalStats(now time.Time) intervalStats {
	return intervalStats{start: now, failed: result.Counts{}}
}

// empty reports whether nothing was counted.
func (s *intervalStats) empty() bool {
	return s.offered+s.served+s.abandoned+s.unanswered == 0 && len(s.failed) == 0
}

// count adds the outcome of a job with the given response time.
func (s *intervalStats) count(o jobs.Outcome, took time.Duration) {
	if o.Code != 0 {
		s.failed[o.Code]++
		return
	}
	s.served++
	if o.LatencyObjective > 0 && took > o.LatencyObjective {
		s.late++
	}
}

// logInterval logs and resets the counts once a second has passed. It logs nothing if nothing happened.
// The caller must hold e.mu.
func (e *Entry) logInterval(now time.Time) {
	if now.Sub(e.interval.start) < time.Second {
		return
	}
	if !e.interval.empty() {
		waiting, runs := e.scheduler.Tasks()
		free, capacity := e.scheduler.Capacity()
		e.Log.Info(event.EntrySecondCounts, event.Fields{
			"offered": e.interval.offered, "served": e.interval.served, "late": e.interval.late, "ended": e.interval.failed.String(),
			"abandoned": e.interval.abandoned, "unanswered": e.interval.unanswered, "waiting": waiting, "runs": runs,
			"free_cpu": free, "room_cpu": capacity, "servers": e.scheduler.Servers(), "reserved_permille": e.scheduler.Stats().ReservedPermille,
		})
	}
	e.counters.setInterference(e.scheduler.Interference())
	e.interval = newIntervalStats(now)
}
