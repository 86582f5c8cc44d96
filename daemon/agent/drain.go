package agent

import (
	"context"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/periodic"
)

// drainPollInterval is how often Drain checks whether it is done.
const drainPollInterval = 20 * time.Millisecond

// Drain refuses new starts and waits until no task runs, every waiting Start call
// has its outcome, and every result whose Start call was abandoned has been
// collected or is older than resultRetention. Run must be in progress. Drain
// returns the error of ctx if ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.fence.Drain()
	a.notifyAll()
	a.opts.Log.Info(event.AgentDrainStarted, event.Fields{"running": len(a.runs)})
	a.mu.Unlock()
	if err := periodic.Wait(ctx, drainPollInterval, a.idle); err != nil {
		a.opts.Log.Error(event.AgentDrainTimedOut, event.Fields{"running": a.Status().Running})
		return err
	}
	a.opts.Log.Info(event.AgentDrainEnded, event.Fields{})
	return nil
}

// idle reports whether nothing is left that Drain waits for.
func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs) == 0 && a.waitingCalls == 0 && len(a.uncollected) == 0
}

// resultRetention is how long after the end of a run its uncollected result delays
// Drain: a home that lost its connection reconnects within this time.
func (a *Agent) resultRetention() time.Duration { return a.opts.Settings.Limits.PeerSilence }
