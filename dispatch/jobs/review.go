package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

// reviewInterval is the least time between two estimates of whether a late job can still be served.
const reviewInterval = 100 * time.Millisecond

// review moves jobs that can no longer meet their objective to the late queue, and ends jobs whose
// callers no longer wait or whose result would come too late to be useful; these callers are answered
// immediately. A job that may have started continues while its caller waits, because the caller could
// not tell whether it has run.
func (s *Scheduler) review(now time.Time) {
	for _, j := range s.jobsByArrival() {
		switch {
		case !now.Before(j.giveUpTime()), s.cannotFinishInTime(now, j):
			s.finish(j, s.giveUpOutcome(now, j))
		case j.queued && !j.late && s.isLate(now, j):
			s.dequeue(j)
			s.enqueue(now, j)
			j.reviewedAt = time.Time{}
		}
	}
}

// giveUpOutcome returns the outcome of a job that is given up: a rejection if it has not run.
func (s *Scheduler) giveUpOutcome(now time.Time, j *job) Outcome {
	if !j.mayHaveRun() {
		return s.rejection(now, j, s.expectedLateWait(now, j))
	}
	return Outcome{Code: result.DeadlineExceeded}
}

// cannotFinishInTime reports whether a job that has not run cannot end while its result is useful.
func (s *Scheduler) cannotFinishInTime(now time.Time, j *job) bool {
	if !j.queued || j.mayHaveRun() {
		return false
	}
	for _, t := range j.tasks {
		minRunTime := time.Duration(minRunTimeFactor * float64(j.expectedRunTime(t)))
		if t.state == taskWaiting && now.Add(minRunTime).After(j.usefulUntil()) {
			return true
		}
	}
	if !j.late || now.Sub(j.reviewedAt) < reviewInterval {
		return false
	}
	j.reviewedAt = now
	return now.Add(s.expectedLateWait(now, j) + j.criticalPath).After(j.usefulUntil())
}
