package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

const (
	// readEvery is the period of the table reads. With one watch, renewed each 30 s, it is what an entry costs
	// the store. An entry that has no majority by heartbeats reads the configuration in the same period.
	readEvery = time.Second
	// tickEvery is the period of membership decisions.
	tickEvery = 250 * time.Millisecond
	// watchPause follows a watch that brought nothing new, so that repeated answers cannot
	// make the watch spin.
	watchPause = 500 * time.Millisecond
)

// Run keeps the view current and this entry in the table until ctx ends. It must be called once.
func (c *Cluster) Run(ctx context.Context) error {
	defer c.stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.reads(ctx) })
	g.Go(func() error { return c.watch(ctx) })
	g.Go(func() error { return c.heartbeats(ctx) })
	g.Go(func() error { return c.membership(ctx) })
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// reads reads the table each second. While this entry depends on the store for its freshness it also
// reads the configuration: an unanswered watch is no evidence that nothing changed.
func (c *Cluster) reads(ctx context.Context) error {
	return every(ctx, readEvery, func() {
		var need bool
		c.inspect(func(st *member.State, now time.Time) { need = st.NeedsConfigRead(now) })
		// Both at once: evidence is as old as the older of the two reads.
		var both sync.WaitGroup
		both.Go(func() { _, _, _ = c.read(ctx, tableRecord) })
		if need {
			both.Go(func() { _, _, _ = c.read(ctx, configRecord) })
		}
		both.Wait()
	})
}

// watch waits for changes of the configuration.
func (c *Cluster) watch(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		c.metrics.storeWatches.Inc()
		item, err := c.o.Store.Watch(ctx, configKey, revision)
		if errors.Is(err, store.ErrNotModified) {
			continue
		}
		before := c.Versions().GetConfig()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			// The answer may be late or out of order; only a read that begins now counts.
			if _, r, err := c.read(ctx, configRecord); err == nil {
				revision = r
			} else {
				revision = item.Revision
			}
		}
		if c.Versions().GetConfig() == before {
			pause(ctx, watchPause)
		}
	}
	return ctx.Err()
}

// every calls f at once and then with the period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) error {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pause waits and tells whether ctx still lasts.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
