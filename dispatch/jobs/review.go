package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

// reviewEvery is the time between two looks whether late jobs can still be served.
const reviewEvery = 100 * time.Millisecond

// review moves jobs that cannot meet their objective behind the others, and ends those whose callers have
// left, or whose answer would come too late to be of use. Each is answered at once. One that may have begun
// goes on while its caller waits: the caller could not tell whether it has run.
func (s *Scheduler) review(now time.Time) {
	for _, j := range s.inOrder() {
		switch {
		case !now.Before(j.limit()), s.hopeless(now, j):
			s.finish(j, s.rejection(now, j))
		case j.queued && !j.late && s.isLate(now, j):
			s.dequeue(j)
			s.enqueue(now, j)
			j.reviewed = time.Time{}
		}
	}
}

func (s *Scheduler) rejection(now time.Time, j *job) Outcome {
	if !j.mayHaveRun() {
		return s.turnAway(now, j, s.waitBehind(now, j))
	}
	return Outcome{Code: result.DeadlineExceeded}
}

// hopeless tells whether a job of which nothing has run cannot end while its answer is of use.
func (s *Scheduler) hopeless(now time.Time, j *job) bool {
	if !j.queued || j.mayHaveRun() {
		return false
	}
	for _, t := range j.tasks {
		least := time.Duration(shortfall * float64(j.expected(t)))
		if t.state == waiting && now.Add(least).After(j.useful()) {
			return true
		}
	}
	if !j.late || now.Sub(j.reviewed) < reviewEvery {
		return false
	}
	j.reviewed = now
	return now.Add(s.waitBehind(now, j) + j.work).After(j.useful())
}
