package runentry

import (
	"context"
	"time"

	"poplargw.example/daemon/steady"
)

// drainPoll is the time between two looks whether all callers have been answered.
const drainPoll = 20 * time.Millisecond

// Drain goes on serving for a while, in which the load balancer turns callers to other entries, then
// rejects further jobs, and returns when all callers have been answered or ctx ends.
func (e *Entry) Drain(ctx context.Context, serve time.Duration) error {
	steady.Sleep(ctx, serve)
	e.Leave()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !e.Idle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
