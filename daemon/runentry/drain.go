package runentry

import (
	"context"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/periodic"
)

// drainPollInterval is how often Drain checks whether every caller has been answered.
const drainPollInterval = 20 * time.Millisecond

// Drain stops the entry gracefully. It keeps accepting jobs for gracePeriod, while the load balancer
// redirects callers to other entries, and then rejects new jobs. It returns nil once every caller has
// been answered, or the context's error if ctx ends first.
func (e *Entry) Drain(ctx context.Context, gracePeriod time.Duration) error {
	boottime.Sleep(ctx, gracePeriod)
	e.Leave()
	return periodic.Wait(ctx, drainPollInterval, e.Idle)
}
