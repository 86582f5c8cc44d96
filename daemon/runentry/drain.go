package runentry

import (
	"context"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/periodic"
	"poplargw.example/dispatch/result"
)

// drainPollInterval is how often Drain checks whether every caller has been answered.
const drainPollInterval = 20 * time.Millisecond

// Drain stops the entry gracefully. It keeps accepting jobs for gracePeriod, while the load balancer
// redirects callers to other entries. From then on it rejects new jobs that may last until the end of ctx: connections of
// callers may outlast gracePeriod, and a rejected caller loses its answer although there is time for a short job. It
// returns nil once every caller has been answered. If ctx ends first, it gives up the jobs that are left, so that their callers are answered before the process
// ends, and returns the context's error.
func (e *Entry) Drain(ctx context.Context, gracePeriod time.Duration) error {
	boottime.Sleep(ctx, gracePeriod)
	e.Leave(endOf(ctx))
	err := periodic.Wait(ctx, drainPollInterval, e.Idle)
	if err != nil {
		e.giveUpAll(result.Draining)
	}
	return err
}

// giveUpAll gives up all jobs with the given code. Those of which nothing has run are answered as not run, with retry advice.
func (e *Entry) giveUpAll(code result.Code) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.waiters {
		e.scheduler.GiveUp(id, code)
	}
	e.flush()
}

// endOf returns the deadline of ctx on the clock of package boottime, or the zero time if it has none or has ended.
func endOf(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok || ctx.Err() != nil {
		return time.Time{}
	}
	return boottime.Now().Add(time.Until(deadline))
}
