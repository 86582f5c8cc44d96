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
	// busyWait is how long a look waits for an end while tasks run; it is also how old the progress
	// is that entries hear of.
	busyWait = 60 * time.Millisecond
	// shakyWait is the same while answers get lost: each lost one is noticed only after its wait.
	shakyWait = 10 * time.Millisecond
	// shakyFor is how long after a lost answer that holds.
	shakyFor = time.Second
	// idleWait is the same while nothing runs. It is below the lease, so that a start after an idle
	// time is renewed before it lapses.
	idleWait = 200 * time.Millisecond
	// lookMargin is how much longer than its wait a look may take at most. A backend server on the same
	// VM answers within a few milliseconds; slower VMs need some tens.
	lookMargin = 90 * time.Millisecond
	// leastMargin is the same while answers are fast, of which marginFactor usual ones are allowed.
	leastMargin  = 25 * time.Millisecond
	marginFactor = 10
	// shakyMargin is leastMargin while answers get lost: the end of a run shows only after it.
	shakyMargin = 10 * time.Millisecond
	// retryPause is the pause after a look without an answer.
	retryPause = 10 * time.Millisecond
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

// awaitStart returns the answer to an order, of which send sends another copy. An answer tells what has
// become of the order only if it says that the run is there, or if no other copy may have started it.
func awaitStart(answers <-chan startAnswer, repeat time.Duration, send func()) startAnswer {
	timer := time.NewTicker(repeat)
	defer timer.Stop()
	for sent, got := 1, 0; ; {
		select {
		case v := <-answers:
			got++
			switch {
			case v.err == nil || sent == 1:
				return v
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

// watch looks at the backend server again and again; each look renews the lease.
func (a *Agent) watch(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		err := a.look(ctx, reachable)
		reachable = err == nil
		if err != nil {
			steady.Sleep(ctx, retryPause)
		}
	}
}

func (a *Agent) look(ctx context.Context, reachable bool) error {
	request := a.lookRequest(reachable)
	ctx, cancel := context.WithTimeout(ctx, request.Wait+a.margin())
	defer cancel()
	began := time.Now()
	seen, err := a.Backend.Look(ctx, request)
	a.noteAnswer(time.Since(began)-request.Wait, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteReach(err)
	a.table.Sent(!errors.Is(err, ErrNotSent))
	if err != nil {
		return err
	}
	settled := a.table.Settled(steady.Now())
	a.deliver(a.table.Looked(steady.Now(), seen))
	if !settled {
		a.reportAll()
	}
	return nil
}

// lookRequest waits for an end only when the last look was answered.
func (a *Agent) lookRequest(reachable bool) LookRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := LookRequest{LeaseMS: a.table.Lease(steady.Now()), LastSeen: a.table.LastSeen()}
	if !reachable || r.LeaseMS == 0 {
		return r
	}
	r.Wait = idleWait
	if a.table.Len() > 0 {
		r.Wait = a.table.Pending(steady.Now(), busyWait)
	}
	if a.shaky() {
		r.Wait = min(r.Wait, shakyWait)
	}
	return r
}

// margin is how long an answer may take beyond its wait. Only the goroutine that looks uses it.
func (a *Agent) margin() time.Duration {
	least := leastMargin
	if a.shaky() {
		least = shakyMargin
	}
	return min(lookMargin, max(least, marginFactor*a.overhead))
}

// shaky tells whether an answer was lost a moment ago. Only the goroutine that looks uses it.
func (a *Agent) shaky() bool { return time.Since(a.lostAnswer) < shakyFor }

// noteAnswer learns how much longer than their wait answers take. An answer that did not come doubles
// it, so that a slow backend server is not taken for one that loses answers.
func (a *Agent) noteAnswer(over time.Duration, err error) {
	switch {
	case err != nil:
		a.lostAnswer = time.Now()
		a.overhead = min(lookMargin, 2*max(a.overhead, time.Millisecond))
	case over > a.overhead:
		a.overhead = over
	case over > 0:
		a.overhead -= (a.overhead - over) / overheadWeight
	}
}

// overheadWeight is how many answers it takes to forget a slow one for the most part.
const overheadWeight = 4

// noteReach logs when the backend server is lost and when it is back. The caller holds the lock.
func (a *Agent) noteReach(err error) {
	switch {
	case err == nil && !a.reached:
		a.reached = true
		a.Log.Info(event.ServerReachable, nil)
	case err != nil && a.reached:
		a.reached = false
		a.Log.Warn(event.ServerUnreachable, event.Fields{"error": err.Error()})
	}
}
