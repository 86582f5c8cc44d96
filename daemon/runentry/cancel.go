package runentry

import (
	"context"
	"slices"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/jobs"
)

// cancelAnswerLimit is how long a cancel waits for the answers of registrars. A silent link is closed after 200 ms.
const cancelAnswerLimit = 500 * time.Millisecond

// pendingCancel is a cancel that awaits the answers of registrars.
type pendingCancel struct {
	job  string
	done chan jobs.CancelResult // has space for the result
}

// Cancel ends a job on behalf of its caller, and sends the cancel to the registrars of the job, which pass it on to the entry that owns
// the job and grant the job to no other one. It waits for their answers if this entry does not own the job. It makes no store call.
func (e *Entry) Cancel(ctx context.Context, id string) jobs.CancelResult {
	began := boottime.Now()
	c, result := e.beginCancel(id)
	if c != nil {
		result = e.awaitCancel(ctx, c)
	}
	e.counters.cancels(result).Inc()
	e.Log.InfoLimited(event.CancelAnswered, event.Fields{"job": id, "result": result.String(), "took_ms": boottime.Now().Sub(began).Milliseconds()})
	return result
}

// beginCancel sends a cancel to the registrars. It returns the cancel if answers are awaited, and otherwise its result.
func (e *Entry) beginCancel(id string) (*pendingCancel, jobs.CancelResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	e.dropJobsAfterPause(now)
	result := e.scheduler.RequestCancel(now, id)
	e.flush()
	if result != jobs.CancelPending {
		return nil, result
	}
	c := &pendingCancel{job: id, done: make(chan jobs.CancelResult, 1)}
	e.cancels = append(e.cancels, c)
	return c, result
}

// awaitCancel waits for the result of a cancel, at most for cancelAnswerLimit.
func (e *Entry) awaitCancel(ctx context.Context, c *pendingCancel) jobs.CancelResult {
	timer := time.NewTimer(cancelAnswerLimit)
	defer timer.Stop()
	select {
	case result := <-c.done:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = slices.DeleteFunc(e.cancels, func(o *pendingCancel) bool { return o == c })
	return e.scheduler.FinalCancelState(boottime.Now(), c.job)
}

// settleCancels delivers the results of cancels that await no answer any more. The caller must hold e.mu.
func (e *Entry) settleCancels(now time.Time) {
	if len(e.cancels) == 0 {
		return
	}
	e.cancels = slices.DeleteFunc(e.cancels, func(c *pendingCancel) bool {
		result := e.scheduler.CancelState(now, c.job)
		if result == jobs.CancelPending {
			return false
		}
		c.done <- result
		return true
	})
}
