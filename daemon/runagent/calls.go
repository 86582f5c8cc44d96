package runagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

const (
	// startResponseMargin is how long after the expiry of an order the agent still waits for the response.
	startResponseMargin = 20 * time.Millisecond
	// stopTimeout bounds one call of Backend.Stop. Sweeps repeat the call until the run has ended.
	stopTimeout = 150 * time.Millisecond
)

// maxStartAttempts is the maximum number of times that one order is sent.
const maxStartAttempts = 4

// startResponse is the response to one copy of an order.
type startResponse struct {
	clockMS int64
	took    time.Duration
	err     error
}

// startRun sends an order to the backend server, and sends it again while there is no response.
func (a *Agent) startRun(ctx context.Context, ref run.Ref) {
	a.mu.Lock()
	orderSpec := a.specs[ref]
	call := Start{Ref: ref, Spec: orderSpec.text, Checkpoint: orderSpec.checkpoint, Instance: orderSpec.instance, ExpiryMS: a.table.Expiry(ref)}
	timeout := a.table.NextExpiry(boottime.Now(), a.Limits.OrderExpiry) + startResponseMargin
	resendAfter := a.table.ResendDelay()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	responses := make(chan startResponse, maxStartAttempts)
	var attempts sync.WaitGroup
	send := func() {
		attempts.Go(func() {
			sentAt := time.Now()
			clockMS, err := a.Backend.Start(ctx, call)
			responses <- startResponse{clockMS: clockMS, took: time.Since(sentAt), err: err}
		})
	}
	send()
	a.handleStartResponse(ref, awaitStart(responses, resendAfter, send))
	// Outstanding copies are not cancelled before the timeout, because that would close their connections.
	attempts.Wait()
	cancel()
}

// awaitStart returns the response to an order of which one copy has been sent. It calls send to send another
// copy at every resendAfter without a response, and immediately after a connection broke. A response is
// conclusive only if it confirms the run, or if no other copy may have started it.
func awaitStart(responses <-chan startResponse, resendAfter time.Duration, send func()) startResponse {
	ticker := time.NewTicker(resendAfter)
	defer ticker.Stop()
	for sent, received := 1, 0; ; {
		select {
		case v := <-responses:
			received++
			switch {
			case v.err == nil || received == sent && sent == 1 && !v.connectionBroken():
				return v
			case v.connectionBroken() && sent < maxStartAttempts:
				sent++
				send()
			case received == sent:
				return startResponse{err: fmt.Errorf("%d copies of the order sent, none confirmed the start; last error: %s", sent, v.err.Error())}
			}
		case <-ticker.C:
			if sent < maxStartAttempts {
				sent++
				send()
			}
		}
	}
}

// connectionBroken reports whether the connection broke, so that it is unknown whether the copy has started
// the run.
func (v startResponse) connectionBroken() bool {
	var refused *Refused
	return v.err != nil && !errors.As(v.err, &refused) && !errors.Is(v.err, ErrNotSent) && !errors.Is(v.err, context.DeadlineExceeded)
}

// handleStartResponse records the response to an order.
func (a *Agent) handleStartResponse(ref run.Ref, v startResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *Refused
	switch {
	case v.err == nil:
		a.table.Accepted(boottime.Now(), v.took, ref, v.clockMS)
	case errors.Is(v.err, ErrNotSent):
		a.deliver(a.table.Rejected(boottime.Now(), ref, result.StartTooLate))
	case errors.As(v.err, &refused):
		a.Log.InfoLimited(event.StartRefused, event.Fields{"task": ref.Task, "run": ref.Run, "reason": refused.Reason})
		a.deliver(a.table.Rejected(boottime.Now(), ref, refused.Code))
	default:
		// The run may still start until the order expires; a later poll shows whether it did.
		a.counters.unanswered.Inc()
		a.Log.Warn(event.StartUnanswered, event.Fields{"task": ref.Task, "run": ref.Run, "error": v.err.Error()})
	}
}

// stopRun tells the backend server to end a run, unless such a call is already in flight. The caller must
// hold a.mu.
func (a *Agent) stopRun(ctx context.Context, ref run.Ref) {
	now := boottime.Now()
	if sentAt, ok := a.stops[ref]; ok && now.Sub(sentAt) < stopTimeout {
		return
	}
	a.stops[ref] = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		if err := a.Backend.Stop(ctx, ref); err != nil {
			a.Log.Warn(event.StopUnanswered, event.Fields{"task": ref.Task, "run": ref.Run, "error": err.Error()})
		}
	}()
}
