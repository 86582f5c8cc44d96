package agent

import (
	"context"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/periodic"
)

// sweep calls sweepOnce every sweepInterval until ctx ends.
func (a *Agent) sweep(ctx context.Context) error {
	periodic.Run(ctx, sweepInterval, a.sweepOnce)
	return nil
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
