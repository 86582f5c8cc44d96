package entry

import (
	"context"
	"time"

	"poplargw.example/daemon/event"
)

const (
	// drainPoll is how often a drain looks whether everything has been answered.
	drainPoll = 20 * time.Millisecond
	// drainRetry is the pause between changes of the table that failed, as in a store outage.
	drainRetry = 500 * time.Millisecond
)

// Drain takes this entry out of service without interrupting a request: it refuses new
// submissions of callers, gives up the homes of its keys, waits until everything that it
// holds or has received has been answered, and leaves the entry table. It returns the
// error of ctx when that takes longer.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	begun := time.Now()
	e.o.Log.Info(event.DrainStarted, event.Fields{"submissions": e.home.pending.Load(), "calls": e.calls.Load()})
	if err := repeat(ctx, e.o.Cluster.SetLeaving); err != nil {
		return err
	}
	for e.home.pending.Load() > 0 || e.calls.Load() > 0 {
		if !sleep(ctx, drainPoll) {
			return ctx.Err()
		}
	}
	if err := repeat(ctx, e.o.Cluster.Leave); err != nil {
		return err
	}
	e.o.Log.Info(event.DrainEnded, event.Fields{"duration": time.Since(begun).String()})
	return nil
}

// repeat calls f until it succeeds, and returns its last error when ctx ends.
func repeat(ctx context.Context, f func(context.Context) error) error {
	for {
		err := f(ctx)
		if err == nil || !sleep(ctx, drainRetry) {
			return err
		}
	}
}
