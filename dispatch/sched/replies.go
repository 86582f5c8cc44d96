package sched

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Limits on restarts after a stale refusal, which does not count against the retry budget,
// see isStaleRefusal. The first immediateStaleRetries restarts of a task are immediate; the
// delay of the later ones starts at minStaleDelay and doubles each time. minStaleDelay is
// also the delay before an attach-only start is repeated after any other refusal.
const (
	immediateStaleRetries = 3
	minStaleDelay         = 5 * time.Millisecond
	maxStaleDelayShift    = 4 // the longest delay is 80 ms
)

// StartReply handles the outcome of a StartTask. A reply to an unknown or already
// answered start is ignored.
func (s *Scheduler) StartReply(now time.Time, ref StartRef, r StartReply) []Action {
	s.beginEvent(now)
	a := s.attempts[ref]
	if a == nil {
		return nil
	}
	delete(s.attempts, ref)
	s.releaseAttempt(a)
	s.updateSlotsFromReply(now, a, r)
	s.observeReply(now, a, r)
	if a.job.done {
		s.removeOrphanedStart(ref.Key)
		return s.endEvent(now)
	}
	a.job.outstanding--
	s.applyOutcome(now, a, r)
	return s.endEvent(now)
}

// removeOrphanedStart removes one answered start of a finished job from orphanedStarts.
func (s *Scheduler) removeOrphanedStart(k submission.Key) {
	if s.orphanedStarts[k]--; s.orphanedStarts[k] <= 0 {
		delete(s.orphanedStarts, k)
	}
}

// applyOutcome updates a job in progress by the outcome of one of its starts. It
// completes the job, ends it, or places the task again.
func (s *Scheduler) applyOutcome(now time.Time, a *attempt, r StartReply) {
	j := a.job
	switch {
	case r.Failure == nil:
		j.taskRan = true
		j.results[a.ref.Task] = r.Result
		j.remaining--
		if j.remaining == 0 {
			s.completeJob(j)
			return
		}
		s.reorder(j)
	case a.attachOnly && r.Failure.Code == result.NoRecord:
		// The record existed when this entry took over the job, so the task has started,
		// but its outcome is lost.
		s.failJob(now, j, result.Failure{
			Code:    result.OutcomeUnknown,
			Message: fmt.Sprintf("agent %s lost the start record of task %d", a.placement.Agent, a.ref.Task),
		})
	case r.Failure.Effect == result.NotRun:
		s.handleRefusal(now, a, r.Failure)
	default:
		if r.Failure.Effect == result.Run {
			j.taskRan = true
		} else {
			j.mayHaveRun = true
		}
		s.failJob(now, j, *r.Failure)
	}
}

// handleRefusal places a task again after a refusal, or ends the job if its retry budget
// is used up.
func (s *Scheduler) handleRefusal(now time.Time, a *attempt, f *result.Failure) {
	j, t := a.job, &a.job.tasks[a.ref.Task]
	switch {
	case isStaleRefusal(f.Code):
		t.staleRefusals++
		s.retryTaskAfter(now, j, a.ref.Task, staleDelay(t.staleRefusals))
	case int(t.retries) >= s.opts.RetryBudget:
		s.failJob(now, j, result.Failure{
			Code: result.RetriesUsed, RetryAfter: f.RetryAfter,
			Message: fmt.Sprintf("task %d was refused %d times, last: %s", a.ref.Task, t.retries+1, f.Error()),
		})
	default:
		t.retries++
		var d time.Duration
		if a.attachOnly {
			d = minStaleDelay
		}
		s.retryTaskAfter(now, j, a.ref.Task, d)
	}
}

// isStaleRefusal reports whether a refusal means that the state of this entry was out of
// date: its token or table was old, or it stopped being fresh before the start was sent.
// Such a refusal does not count against the retry budget, because the state is up to date
// again within milliseconds, or SetFresh pauses all starts.
func isStaleRefusal(c result.Code) bool {
	return c == result.StaleToken || c == result.StaleTable || c == result.NotReady
}

// staleDelay returns the delay before the start that follows the nth stale refusal of a
// task.
func staleDelay(n uint16) time.Duration {
	if n <= immediateStaleRetries {
		return 0
	}
	return minStaleDelay << min(n-immediateStaleRetries-1, maxStaleDelayShift)
}

// retryTaskAfter places task i of a job again after the delay d, or at once if d is 0.
func (s *Scheduler) retryTaskAfter(now time.Time, j *job, i uint32, d time.Duration) {
	if d > 0 {
		s.delayTask(now, j, i, d)
		return
	}
	s.retryTask(now, j, i)
}

// retryTask puts a refused task back at the front of its queue, or attaches to it again
// if an agent holds its start record.
func (s *Scheduler) retryTask(now time.Time, j *job, i uint32) {
	if j.Tasks[i].Prior != nil {
		s.attach(now, j, i)
		return
	}
	s.enqueue(s.push(j, i))
	s.markDirty(j.service)
}
