package sched

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// StartReply handles the outcome of a StartTask.
func (s *Scheduler) StartReply(now time.Time, ref StartRef, r StartReply) []Action {
	s.begin(now)
	a := s.attempts[ref]
	if a == nil {
		return nil
	}
	delete(s.attempts, ref)
	s.settle(a)
	s.slotsFromReply(now, a, r)
	s.learn(now, a, r)
	if a.job.done {
		s.forgetOrphan(ref.Key)
		return s.end(now)
	}
	a.job.outstanding--
	s.resolve(now, a, r)
	return s.end(now)
}

func (s *Scheduler) forgetOrphan(k submission.Key) {
	if s.orphans[k]--; s.orphans[k] <= 0 {
		delete(s.orphans, k)
	}
}

func (s *Scheduler) resolve(now time.Time, a *attempt, r StartReply) {
	j := a.job
	switch {
	case r.Failure == nil:
		j.ran = true
		j.results[a.ref.Task] = r.Result
		j.remaining--
		if j.remaining == 0 {
			s.complete(j)
			return
		}
		s.reorder(j)
	case a.attach && r.Failure.Code == result.NoRecord:
		// The record existed at the claim, so the task has started and its trace is lost.
		s.fail(now, j, result.Failure{
			Code:    result.OutcomeUnknown,
			Message: fmt.Sprintf("agent %s lost the start record of task %d", a.to.Agent, a.ref.Task),
		})
	case r.Failure.Effect == result.NotRun:
		s.refused(now, a, r.Failure)
	default:
		if r.Failure.Effect == result.Run {
			j.ran = true
		} else {
			j.mayHaveRun = true
		}
		s.fail(now, j, *r.Failure)
	}
}

// refused places a task again after a refusal, or ends the job when that cannot help.
func (s *Scheduler) refused(now time.Time, a *attempt, f *result.Failure) {
	j, t := a.job, &a.job.tasks[a.ref.Task]
	switch {
	case behind(f.Code):
		t.stale++
		s.againAfter(now, j, a.ref.Task, staleDelay(t.stale))
	case int(t.retries) >= s.opts.RetryBudget:
		s.fail(now, j, result.Failure{
			Code: result.RetriesUsed, RetryAfter: f.RetryAfter,
			Message: fmt.Sprintf("task %d was refused %d times, last: %s", a.ref.Task, t.retries+1, f.Error()),
		})
	default:
		t.retries++
		var d time.Duration
		if a.attach {
			d = staleWait
		}
		s.againAfter(now, j, a.ref.Task, d)
	}
}

// behind tells whether a refusal says that this entry must catch up: its token or table
// was old, or it stopped being fresh before the start was sent. That is over within
// milliseconds or SetActive pauses all starts, so the retry budget is not used.
func behind(c result.Code) bool {
	return c == result.StaleToken || c == result.StaleTable || c == result.NotReady
}

// staleDelay is the wait before the start that follows the nth stale refusal of a task.
func staleDelay(n uint16) time.Duration {
	if n <= immediateStale {
		return 0
	}
	return staleWait << min(n-immediateStale-1, maxStaleShift)
}

func (s *Scheduler) againAfter(now time.Time, j *job, i uint32, d time.Duration) {
	if d > 0 {
		s.delay(now, j, i, d)
		return
	}
	s.again(now, j, i)
}

// again puts a refused task back at the front of its job's queue.
func (s *Scheduler) again(now time.Time, j *job, i uint32) {
	if j.Tasks[i].Prior != nil {
		s.attach(now, j, i)
		return
	}
	s.enqueue(s.push(j, i))
	s.touch(j.service)
}
