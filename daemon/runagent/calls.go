package runagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

const (
	// startMargin is how much longer than its expiry the answer to an order is waited for.
	startMargin = 20 * time.Millisecond
	// stopLimit bounds one call that stops a run. Sweeps repeat it until the run has ended.
	stopLimit = 150 * time.Millisecond
)

// maxCopies bounds how often one order is sent.
const maxCopies = 4

// startAnswer is the answer to one copy of an order.
type startAnswer struct {
	clock int64
	took  time.Duration
	err   error
}

// start carries an order to the backend server, and sends copies while there is no answer.
func (a *Agent) start(ctx context.Context, ref run.Ref) {
	a.mu.Lock()
	order := a.specs[ref]
	call := Start{Ref: ref, Spec: order.text, Checkpoint: order.checkpoint, Instance: order.instance, ExpiryMS: a.table.Expiry(ref)}
	limit := a.table.Pending(steady.Now(), a.Limits.OrderExpiry) + startMargin
	repeat := a.table.Repeat()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	answers := make(chan startAnswer, maxCopies)
	var copies sync.WaitGroup
	send := func() {
		copies.Go(func() {
			began := time.Now()
			clock, err := a.Backend.Start(ctx, call)
			answers <- startAnswer{clock: clock, took: time.Since(began), err: err}
		})
	}
	send()
	a.started(ref, awaitStart(answers, repeat, send))
	// Copies that still wait are not cancelled before the limit: that would cost their connections.
	copies.Wait()
	cancel()
}

// awaitStart returns the answer to an order, of which send sends another copy after a while without an
// answer, and at once when a connection broke. An answer tells what has become of the order only if it says
// that the run is there, or if no other copy may have started it.
func awaitStart(answers <-chan startAnswer, repeat time.Duration, send func()) startAnswer {
	timer := time.NewTicker(repeat)
	defer timer.Stop()
	for sent, got := 1, 0; ; {
		select {
		case v := <-answers:
			got++
			switch {
			case v.err == nil || got == sent && sent == 1 && !v.broken():
				return v
			case v.broken() && sent < maxCopies:
				sent++
				send()
			case got == sent:
				return startAnswer{err: fmt.Errorf("%d copies without a start, the last: %s", sent, v.err.Error())}
			}
		case <-timer.C:
			if sent < maxCopies {
				sent++
				send()
			}
		}
	}
}

// broken tells whether the connection broke, so that nobody knows whether the copy has started the run.
func (v startAnswer) broken() bool {
	var refused *Refused
	return v.err != nil && !errors.As(v.err, &refused) && !errors.Is(v.err, ErrNotSent) && !errors.Is(v.err, context.DeadlineExceeded)
}

// started takes in the answer to an order.
func (a *Agent) started(ref run.Ref, v startAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *Refused
	switch {
	case v.err == nil:
		a.table.Accepted(steady.Now(), v.took, ref, v.clock)
	case errors.Is(v.err, ErrNotSent):
		a.deliver(a.table.Rejected(steady.Now(), ref, result.StartTooLate))
	case errors.As(v.err, &refused):
		a.Log.Sample(event.StartRefused, event.Fields{"task": ref.Task, "run": ref.Run, "reason": refused.Reason})
		a.deliver(a.table.Rejected(steady.Now(), ref, refused.Code))
	default:
		// The run may still begin until its expiry; a look settles it.
		a.counters.unanswered.Inc()
		a.Log.Warn(event.StartUnanswered, event.Fields{"task": ref.Task, "run": ref.Run, "error": v.err.Error()})
	}
}

// stop tells the backend server to end a run, unless such a call is in flight. The caller holds the lock.
func (a *Agent) stop(ctx context.Context, ref run.Ref) {
	now := steady.Now()
	if at, ok := a.stops[ref]; ok && now.Sub(at) < stopLimit {
		return
	}
	a.stops[ref] = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, stopLimit)
		defer cancel()
		if err := a.Backend.Stop(ctx, ref); err != nil {
			a.Log.Warn(event.StopUnanswered, event.Fields{"task": ref.Task, "run": ref.Run, "error": err.Error()})
		}
	}()
}
