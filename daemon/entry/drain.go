package entry

import (
	"context"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
)

const (
	// drainPollInterval is how often a drain checks whether all calls have been answered.
	drainPollInterval = 20 * time.Millisecond
	// drainRetryDelay is the pause before a failed change of the entry table is repeated. Such
	// a change fails during a store outage.
	drainRetryDelay = 500 * time.Millisecond
	// drainIdleTimeout is how long an entry that cannot change the table must have had no work
	// before it stops. Once the store answers again, the other entries remove the stopped
	// entry because it is silent.
	drainIdleTimeout = 2 * time.Second
)

// Drain takes this entry out of service without interrupting a request. It refuses new
// submissions of callers, marks itself as leaving so that it is no longer the home of any
// key, waits until all submissions and calls in progress have been answered, and leaves
// the entry table. It returns an error when ctx ends before that.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	begun := time.Now()
	e.opts.Log.Info(event.DrainStarted, event.Fields{"submissions": e.home.pending.Load(), "calls": e.openCalls.Load()})
	if err := e.changeTable(ctx, e.opts.Cluster.SetLeaving); err != nil {
		return err
	}
	for e.busy() {
		if !boottime.Sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	if err := e.changeTable(ctx, e.opts.Cluster.Leave); err != nil {
		return err
	}
	e.opts.Log.Info(event.DrainEnded, event.Fields{"duration": time.Since(begun).String()})
	return nil
}

// busy reports whether this entry has submissions or calls in progress.
func (e *Entry) busy() bool { return e.home.pending.Load() > 0 || e.openCalls.Load() > 0 }

// changeTable repeats a change of the entry table until it succeeds. It gives up without
// an error when the change still fails, as in a store outage, after this entry has had no
// work for drainIdleTimeout. It returns the last error of the change when ctx ends.
func (e *Entry) changeTable(ctx context.Context, change func(context.Context) error) error {
	idleSince := time.Now()
	for {
		err := change(ctx)
		if err == nil {
			return nil
		}
		if e.busy() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > drainIdleTimeout {
			e.opts.Log.Warn(event.DrainTableUnchanged, event.Fields{"error": err.Error()})
			return nil
		}
		if !boottime.Sleep(ctx, drainRetryDelay) {
			return err
		}
	}
}
