package runentry

import (
	"context"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// State is the state of a job as known to the entry.
type State int

// Job states. Unknown is also the state of a job that ended some time ago; see maxHistoryAge.
const (
	Unknown State = iota
	Queued
	Running
	Completed
	Failed
	Cancelled
)

// Submit runs a job and returns its outcome. If the entry already has a job with the same ID, Submit waits
// for that one. If ctx ends because the caller disconnected, Submit returns an outcome that holds only the
// job ID and, unless other callers are waiting for the job, stops its runs.
func (e *Entry) Submit(ctx context.Context, j jobs.Job) jobs.Outcome {
	done := make(chan jobs.Outcome, 1)
	if o, ok := e.admit(j, done); !ok {
		e.recordOutcome(j, o)
		return o
	}
	select {
	case o := <-done:
		e.recordOutcome(j, o)
		return o
	case <-ctx.Done():
		return e.abandon(j, done)
	}
}

// admit accepts a job and registers done for its outcome, or rejects the job and returns the outcome and
// false. A job that was cancelled here stays cancelled when it is submitted again. An entry short of CPU time rejects new jobs so that it can finish those that it has: each
// additional job delays all others.
func (e *Entry) admit(j jobs.Job, done chan jobs.Outcome) (jobs.Outcome, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	e.dropJobsAfterPause(now)
	e.interval.offered++
	if known, _ := e.scheduler.Has(j.ID); !known {
		if e.history.states[j.ID] == Cancelled || e.scheduler.Cancelled(j.ID) {
			return jobs.Outcome{Job: j.ID, Code: result.Cancelled, Effect: result.Unknown}, false
		}
		if e.cpuShort() {
			return jobs.Outcome{Job: j.ID, Code: result.Overloaded, Effect: result.NotRun, RetryAfter: shortageRetryAfter}, false
		}
		if o, ok := e.scheduler.Submit(now, j); !ok {
			return o, false
		}
	}
	e.waiters[j.ID] = append(e.waiters[j.ID], done)
	e.Log.Trace(event.JobAdmitted, event.Fields{"job": j.ID, "queue": j.Queue.Name, "caller": j.Caller, "callers": len(e.waiters[j.ID])})
	e.flush()
	return jobs.Outcome{}, true
}

// abandon removes a waiting caller from a job, and ends the job if no other caller waits for it.
func (e *Entry) abandon(j jobs.Job, done chan jobs.Outcome) jobs.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.waiters[j.ID][:0]
	for _, w := range e.waiters[j.ID] {
		if w != done {
			remaining = append(remaining, w)
		}
	}
	e.waiters[j.ID] = remaining
	if len(remaining) > 0 {
		return jobs.Outcome{Job: j.ID}
	}
	delete(e.waiters, j.ID)
	e.scheduler.Abandon(j.ID)
	e.flush()
	e.counters.abandoned.Inc()
	e.interval.abandoned++
	e.Log.Info(event.JobAbandoned, event.Fields{"job": j.ID, "queue": j.Queue.Name, "after_ms": boottime.Now().Sub(j.Arrived).Milliseconds()})
	return jobs.Outcome{Job: j.ID}
}

// State returns the state of a job, or Unknown. Ended jobs are remembered for about a minute, or less if
// many jobs end.
func (e *Entry) State(id string) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, started := e.scheduler.Has(id); known {
		if started {
			return Running
		}
		return Queued
	}
	return e.history.states[id]
}

// flush logs the scheduler's decisions, delivers outcomes to callers and sends batches to agents. The
// caller must hold e.mu.
func (e *Entry) flush() {
	outcomes, batches := e.scheduler.Take()
	e.logDecisions()
	for _, o := range outcomes {
		e.history.add(o, boottime.Now())
		for _, w := range e.waiters[o.Job] {
			w <- o
		}
		delete(e.waiters, o.Job)
	}
	for _, b := range batches {
		if a := e.agents[b.Agent]; a != nil {
			e.sendBatch(a, b)
		}
	}
}
