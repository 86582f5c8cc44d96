package agent

import (
	"context"
	"time"

	"poplargw.example/daemon/event"
)

// sweep calls sweepOnce every sweepInterval until ctx ends.
func (a *Agent) sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.sweepOnce()
		}
	}
}

// sweepOnce removes backend servers with an expired lease, expired start records,
// and results that were not collected within resultRetention.
func (a *Agent) sweepOnce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for _, name := range a.fence.Sweep(now) {
		b := a.backends[name]
		if b == nil {
			continue
		}
		delete(a.backends, name)
		b.close()
		if !b.leaving {
			a.opts.Log.Warn(event.ServerLeaseEnded, event.Fields{"server": name, "instance": b.instance})
		}
		a.notifyAll()
	}
	for t, at := range a.uncollected {
		if now.Mono-at > a.resultRetention() {
			delete(a.uncollected, t)
		}
	}
}
