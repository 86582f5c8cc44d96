package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

// reviewInterval is the least time between two estimates of whether a late job can still be served.
const reviewInterval = 100 * time.Millisecond

// review moves jobs that can no longer meet their objective to the late queue, and ends jobs whose
// callers no longer wait, whose result would come too late to be useful, for which the capacity has become too
// small, or which no registrar can grant; these callers are answered immediately. A job that may have started continues while its caller waits, because the caller could
// not tell whether it has run.
func (s *Scheduler) review(now time.Time) {
	for _, j := range s.jobsByArrival() {
		switch {
		case !now.Before(j.giveUpTime()), s.cannotFinishInTime(now, j):
			s.finish(j, s.giveUpOutcome(now, j))
		case s.outgrown(now, j), s.cannotBeOwned(now, j):
			s.finish(j, Outcome{Code: result.NotReady, RetryAfter: defaultRetryAfter})
		case j.queued && !j.late && s.isLate(now, j):
			s.dequeue(j)
			s.enqueue(now, j)
			j.reviewedAt = time.Time{}
		}
	}
}

// outgrown reports whether a job that has not run has a step that no known backend server has the capacity for any
// more. The capacity may grow again, but nothing tells when; until then, new jobs of this kind are refused as well.
func (s *Scheduler) outgrown(now time.Time, j *job) bool {
	if j.mayHaveRun() || s.partial || s.WarmingUp(now) {
		return false
	}
	for _, step := range j.Steps {
		if !s.fitsAnywhere(j.Queue.Service, step) && s.fittedBefore(j.Queue.Service, step) {
			return true
		}
	}
	return false
}

// giveUpOutcome returns the outcome of a job that is given up: a rejection if it has not run.
func (s *Scheduler) giveUpOutcome(now time.Time, j *job) Outcome {
	if !j.mayHaveRun() {
		return s.rejection(now, j, s.lateWait(now, j))
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
	return now.Add(s.lateWait(now, j) + j.criticalPath).After(j.usefulUntil())
}
