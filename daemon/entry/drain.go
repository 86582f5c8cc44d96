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
	// drainIdle is how long an entry that cannot change the table must have held nothing
	// before it stops. The others then remove it for its silence once the store answers.
	drainIdle = 2 * time.Second
)

// Drain takes this entry out of service without interrupting a request: it refuses new
// submissions of callers, gives up the homes of its keys, waits until everything that it
// holds or has received has been answered, and leaves the entry table. It returns the
// error of ctx when that takes longer.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	begun := time.Now()
	e.o.Log.Info(event.DrainStarted, event.Fields{"submissions": e.home.pending.Load(), "calls": e.calls.Load()})
	if err := e.changeTable(ctx, e.o.Cluster.SetLeaving); err != nil {
		return err
	}
	for e.busy() {
		if !sleep(ctx, drainPoll) {
			return ctx.Err()
		}
	}
	if err := e.changeTable(ctx, e.o.Cluster.Leave); err != nil {
		return err
	}
	e.o.Log.Info(event.DrainEnded, event.Fields{"duration": time.Since(begun).String()})
	return nil
}

func (e *Entry) busy() bool { return e.home.pending.Load() > 0 || e.calls.Load() > 0 }

// changeTable repeats a change of the entry table until it succeeds. It gives up without
// an error when this entry has held nothing for drainIdle, as in a store outage, and
// returns the last error of the change when ctx ends.
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
		if time.Since(idleSince) > drainIdle {
			e.o.Log.Warn(event.DrainTableUnchanged, event.Fields{"error": err.Error()})
			return nil
		}
		if !sleep(ctx, drainRetry) {
			return err
		}
	}
}
