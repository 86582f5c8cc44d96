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
	defer cancel()
	responses := make(chan startResponse, maxStartAttempts)
	var attempts sync.WaitGroup
	send := func() bool {
		if !a.mayCallStart(ref) {
			return false
		}
		attempts.Go(func() { responses <- a.callStart(ctx, call) })
		return true
	}
	if !send() {
		return
	}
	a.handleStartResponse(ref, awaitStart(responses, resendAfter, send))
	// Outstanding copies are not cancelled before the timeout, because that would close their connections.
	attempts.Wait()
}

// mayCallStart reports whether a copy of the order may be sent, and counts it if so.
func (a *Agent) mayCallStart(ref run.Ref) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.SendCopy(boottime.Now(), ref)
}

// callStart sends one copy of an order that mayCallStart has counted.
func (a *Agent) callStart(ctx context.Context, call Start) startResponse {
	sentAt := time.Now()
	clockMS, err := a.Backend.Start(ctx, call)
	v := startResponse{clockMS: clockMS, took: time.Since(sentAt), err: err}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	a.table.CopyReturned(now, call.Ref, v.answered())
	if errors.Is(err, ErrNotSent) {
		a.startNotSent(now)
	}
	return v
}

// startNotSent records that no connection to the backend server could be opened for a start, and tells all
// entries if it counts as absent from now on. The caller must hold a.mu.
func (a *Agent) startNotSent(now time.Time) {
	before := a.table.Server(now)
	a.table.StartNotSent(now)
	if after := a.table.Server(now); !after.Equal(&before) {
		a.sendStateToAll()
	}
}

// awaitStart returns the response to an order of which one copy has been sent. It calls send to send another
// copy at every resendAfter without a response, and immediately after a connection broke, until send returns
// false because no copy may be sent. A response is conclusive only if it confirms the run, or if no other copy
// may have started it.
func awaitStart(responses <-chan startResponse, resendAfter time.Duration, send func() bool) startResponse {
	ticker := time.NewTicker(resendAfter)
	defer ticker.Stop()
	sent, received, limit := 1, 0, maxStartAttempts
	resend := func() {
		if sent < limit && send() {
			sent++
			return
		}
		limit = sent
	}
	for {
		select {
		case v := <-responses:
			received++
			conclusive := v.err == nil || sent == 1 && !v.connectionBroken()
			if conclusive {
				return v
			}
			if v.connectionBroken() {
				resend()
			}
			if received == sent {
				return startResponse{err: fmt.Errorf("%d copies of the order sent, none confirmed the start; last error: %s", sent, v.err.Error())}
			}
		case <-ticker.C:
			resend()
		}
	}
}

// answered reports whether the backend server has answered the copy, or has certainly not received it. Any
// other copy may be carried out late.
func (v startResponse) answered() bool {
	var refused *Refused
	return v.err == nil || errors.As(v.err, &refused) || errors.Is(v.err, ErrNotSent)
}

// connectionBroken reports whether the connection broke, so that it is unknown whether the copy has started
// the run.
func (v startResponse) connectionBroken() bool {
	return !v.answered() && !errors.Is(v.err, context.DeadlineExceeded)
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
	if a.stopInFlight(now, ref) {
		return
	}
	a.stops[ref] = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		if err := a.Backend.Stop(ctx, ref); err != nil {
			a.Log.Warn(event.StopUnanswered, event.Fields{"task": ref.Task, "run": ref.Run, "error": err.Error()})
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.table.StopAnswered(boottime.Now(), ref, now)
		if a.table.NeedsStop(ref) && a.stops[ref].Equal(now) {
			delete(a.stops, ref)
		}
	}()
}

// stopInFlight reports whether a stop of the run that the current incarnation of the backend server receives has not
// returned yet. The caller must hold a.mu.
func (a *Agent) stopInFlight(now time.Time, ref run.Ref) bool {
	sentAt, sent := a.stops[ref]
	if !sent || a.table.SentToFormer(sentAt) {
		return false
	}
	return now.Sub(sentAt) < stopTimeout
}

// forgetStops forgets the stops of runs that are not in the table. The caller must hold a.mu.
func (a *Agent) forgetStops(now time.Time) {
	for ref, sentAt := range a.stops {
		if now.Sub(sentAt) >= stopTimeout && !a.table.Has(ref) {
			delete(a.stops, ref)
		}
	}
}
