package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

const (
	// tableReadInterval is the interval of the table reads. Together with one watch, renewed every
	// 30 s, these are all the calls that an entry makes to the store. An entry without a majority by
	// heartbeats also reads the configuration at this interval.
	tableReadInterval = time.Second
	// membershipInterval is the interval of membership decisions.
	membershipInterval = 250 * time.Millisecond
	// watchRetryDelay follows a watch that returned nothing new, so that repeated answers do not cause
	// a busy loop.
	watchRetryDelay = 500 * time.Millisecond
)

// Run keeps the view up to date and this entry in the table until ctx ends, and then returns nil. It
// must be called only once.
func (c *Cluster) Run(ctx context.Context) error {
	defer c.stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.runReads(ctx) })
	g.Go(func() error { return c.watchConfig(ctx) })
	g.Go(func() error { return c.runHeartbeats(ctx) })
	g.Go(func() error { return c.runMembership(ctx) })
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runReads reads the table every tableReadInterval. While the freshness of this entry depends on the
// store, it also reads the configuration, since an unanswered watch does not prove that nothing has
// changed.
func (c *Cluster) runReads(ctx context.Context) error {
	return runEvery(ctx, tableReadInterval, func() {
		var needConfig bool
		c.inspect(func(st *member.State, now time.Time) { needConfig = st.NeedsConfigRead(now) })
		// The reads run concurrently, since freshness counts from the older of the two.
		var wg sync.WaitGroup
		wg.Go(func() { _, _, _ = c.read(ctx, tableRecord) })
		if needConfig {
			wg.Go(func() { _, _, _ = c.read(ctx, configRecord) })
		}
		wg.Wait()
	})
}

// watchConfig watches the configuration in the store until ctx ends.
func (c *Cluster) watchConfig(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		c.metrics.storeWatches.Inc()
		item, err := c.opts.Store.Watch(ctx, configKey, revision)
		if errors.Is(err, store.ErrNotModified) {
			continue
		}
		before := c.Versions().GetConfig()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			// The answer may be late or out of order, so the record is read again.
			if _, r, err := c.read(ctx, configRecord); err == nil {
				revision = r
			} else {
				revision = item.Revision
			}
		}
		if c.Versions().GetConfig() == before {
			boottime.Sleep(ctx, watchRetryDelay)
		}
	}
	return ctx.Err()
}

// runEvery calls f at once and then once per period until ctx ends. It returns the error of ctx.
func runEvery(ctx context.Context, period time.Duration, f func()) error {
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
