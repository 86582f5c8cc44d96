package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

const (
	// minShare is the least share of the backend servers that an entry counts on: another entry with
	// much more load cannot take all of it, as room is granted first come, first served.
	minShare = 0.2
	// reviewShare of the objective is how long a job may wait before the entry decides for good
	// whether it can be served: a caller that is to be rejected should not lose more time.
	reviewShare = 4
	// shortfall is the part of the expected run time below which a job cannot end in time: declared
	// times are off by about two fifths.
	shortfall = 0.5
	// answerTime is what is left for the way back to the caller.
	answerTime = 5 * time.Millisecond
)

// admissible tells whether a new job can end in time behind those that wait, and how long the
// backlog lasts.
func (s *Scheduler) admissible(now time.Time, j *job) (time.Duration, bool) {
	wait := s.wait(j)
	if wait == 0 {
		return 0, true
	}
	if len(j.tasks)+s.waitingTasks() > s.limits.MaxWaiting {
		return wait, false
	}
	return wait, !now.Add(wait + j.work).After(j.limit)
}

func (s *Scheduler) waitingTasks() int {
	n := 0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, j := range list {
			for _, t := range j.tasks {
				if t.state == waiting {
					n++
				}
			}
		}
	}
	return n
}

// wait is how long the tasks before the job's need at the rate at which this entry gets room.
func (s *Scheduler) wait(j *job) time.Duration {
	backlog := 0.0
	for _, o := range s.onTime {
		if o != j && o.Queue.Service == j.Queue.Service {
			backlog += o.waitingDemand()
		}
	}
	if backlog == 0 {
		return 0
	}
	total, used := s.capacity(j.Queue.Service)
	if total <= 0 {
		return retryLater
	}
	share := minShare
	if used > 0 {
		share = max(share, float64(s.own(j.Queue.Service))/float64(used))
	}
	return time.Duration(backlog / (share * float64(total)) * float64(time.Second))
}

// review moves jobs that cannot meet their objective behind the others, and ends those that cannot
// meet their deadline. Each is answered at once.
func (s *Scheduler) review(now time.Time) {
	for _, j := range s.jobs {
		switch {
		case !now.Add(answerTime).Before(j.limit), s.hopeless(now, j):
			s.finish(j, s.rejection(j))
		case j.queued && !j.late && now.Add(j.work).After(j.objective):
			s.dequeue(j)
			s.enqueue(now, j)
		}
	}
}

func (s *Scheduler) rejection(j *job) Outcome {
	if !j.mayHaveRun() {
		return Outcome{Code: result.DeadlineUnmet, RetryAfter: max(s.wait(j), retryLater)}
	}
	return Outcome{Code: result.DeadlineExceeded}
}

// hopeless tells whether a job with waiting tasks cannot end in time.
func (s *Scheduler) hopeless(now time.Time, j *job) bool {
	if !j.queued {
		return false
	}
	for _, t := range j.tasks {
		least := time.Duration(shortfall * float64(j.expected(t)))
		if t.state == waiting && now.Add(least).After(j.limit) {
			return true
		}
	}
	if j.reviewed || !j.started.IsZero() || now.Sub(j.Arrived) < j.objective.Sub(j.Arrived)/reviewShare {
		return false
	}
	j.reviewed = true
	return now.Add(s.wait(j) + j.work).After(j.limit)
}
