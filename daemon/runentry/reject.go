package runentry

import (
	"time"

	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// Reject counts and logs a job that the interface to callers has rejected, like one that Submit rejects, and returns
// its outcome: nothing has run. The steps of j may be missing.
func (e *Entry) Reject(j jobs.Job, code result.Code, retryAfter time.Duration) jobs.Outcome {
	e.mu.Lock()
	e.interval.offered++
	e.mu.Unlock()
	o := jobs.Outcome{Job: j.ID, Code: code, Effect: result.NotRun, RetryAfter: retryAfter}
	e.recordOutcome(j, o)
	return o
}
