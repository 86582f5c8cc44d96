package runagent

import (
	"context"
	"errors"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/runtable"
)

const (
	// busyLookWait is how long a look waits for a run to end while tasks run. It also bounds the age of the
	// progress that is reported to entries.
	busyLookWait = 60 * time.Millisecond
	// lossyLookWait is the wait while responses get lost, because a loss is detected only after the wait.
	lossyLookWait = 10 * time.Millisecond
	// lossyPeriod is how long lossyLookWait applies after a lost response.
	lossyPeriod = time.Second
	// idleLookWait is the wait while nothing runs. It is shorter than the lease, so that the lease of a run
	// started after an idle period is renewed before it expires.
	idleLookWait = 200 * time.Millisecond
	// lookResponseMargin is how much longer than its wait a look may take before it times out. A backend
	// server on the same VM responds within a few milliseconds, or some tens on slower VMs.
	lookResponseMargin = 90 * time.Millisecond
	// A look is overdue, and another one is sent in parallel, when it takes longer than its wait by
	// overdueFactor times the usual overhead, but at least by minOverdue.
	minOverdue    = 10 * time.Millisecond
	overdueFactor = 3
	// overheadDecay is the number of responses over which the overhead of a slow one decays.
	overheadDecay = 4
	// unreachableFailures is the number of consecutive failed looks after which the backend server is
	// considered unreachable.
	unreachableFailures = 2
	// retryDelay is the delay before the next look after two or more consecutive failures.
	retryDelay = 10 * time.Millisecond
	// MaxLooks bounds the number of concurrent looks.
	MaxLooks = 4
)

// lookCall is one call of Backend.Look and, once there is one, its response.
type lookCall struct {
	number  uint64
	request PollRequest
	sent    time.Time
	took    time.Duration
	state   runtable.Snapshot
	err     error
}

// watcher calls Backend.Look continuously; each look renews the lease. When the newest look is overdue, it
// sends another one in parallel: with one response in ten lost, ended runs and the capacity that they free
// would otherwise stay hidden until the look times out.
type watcher struct {
	agent               *Agent
	responses           chan lookCall
	lastNumber          uint64   // number of the newest look
	inFlight            int      // looks without a response
	newest              lookCall // the newest look, as sent
	consecutiveFailures int      // failed looks since the newest one that was answered
	// answeredNumber is the number of the newest look with a response, answeredBorn the incarnation of the
	// backend server in it.
	answeredNumber uint64
	answeredBorn   int64
	// overhead is the usual time that a look takes beyond its wait; lastLoss is when a look was last overdue
	// or failed.
	overhead time.Duration
	lastLoss time.Time
}

func newWatcher(a *Agent) *watcher {
	return &watcher{agent: a, responses: make(chan lookCall, MaxLooks)}
}

// run sends looks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		w.send(ctx)
		if w.await(ctx, timer) {
			continue
		}
		if w.consecutiveFailures > 1 {
			steady.Sleep(ctx, retryDelay)
		}
	}
}

// send starts the next look in a goroutine.
func (w *watcher) send(ctx context.Context) {
	w.lastNumber++
	w.inFlight++
	w.newest = lookCall{number: w.lastNumber, request: w.request(), sent: time.Now()}
	go w.call(ctx, w.newest)
}

// call sends one look to the backend server. The responses channel has space for the result of every
// concurrent look, so call does not block on it.
func (w *watcher) call(ctx context.Context, l lookCall) {
	ctx, cancel := context.WithTimeout(ctx, l.request.Wait+lookResponseMargin)
	defer cancel()
	l.state, l.err = w.agent.Backend.Poll(ctx, l.request)
	l.took = time.Since(l.sent)
	w.responses <- l
}

// await waits until the next look is due: the newest one was answered, has failed or is overdue. It returns
// false if the newest one failed or ctx has ended.
func (w *watcher) await(ctx context.Context, timer *time.Timer) bool {
	timer.Reset(time.Until(w.newest.sent.Add(w.newest.request.Wait + w.overdueAfter())))
	for {
		select {
		case l := <-w.responses:
			w.inFlight--
			w.handleLook(l)
			if l.number == w.lastNumber {
				return l.err == nil
			}
		case <-timer.C:
			w.lastLoss = time.Now()
			if w.inFlight < MaxLooks {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// request returns the next look's request. It asks the backend server to wait only if the last look was
// answered.
func (w *watcher) request() PollRequest {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	r := PollRequest{LeaseMS: a.table.RenewLease(steady.Now()), LastEnd: a.table.LastEnd()}
	if w.consecutiveFailures > 0 || r.LeaseMS == 0 {
		return r
	}
	r.Wait = idleLookWait
	if a.table.Len() > 0 {
		r.Wait = a.table.NextExpiry(steady.Now(), busyLookWait)
	}
	if time.Since(w.lastLoss) < lossyPeriod {
		r.Wait = min(r.Wait, lossyLookWait)
	}
	return r
}

// handleLook processes the response to a look, or its failure.
func (w *watcher) handleLook(l lookCall) {
	w.updateOverhead(l)
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RenewalDone(l.request.LeaseMS, !errors.Is(l.err, ErrNotSent))
	if l.err != nil {
		w.countFailure(l)
		return
	}
	w.consecutiveFailures = 0
	a.logReachability(nil)
	if w.outdated(l) {
		return
	}
	settled := a.table.CanAnswerClaims(steady.Now())
	a.deliver(a.table.ApplySnapshot(steady.Now(), l.state))
	if !settled {
		a.sendStateToAll()
	}
}

// countFailure counts a failed look, unless a later one was answered. The caller must hold the agent's
// lock.
func (w *watcher) countFailure(l lookCall) {
	if l.number < w.answeredNumber {
		return
	}
	w.consecutiveFailures++
	if w.consecutiveFailures >= unreachableFailures {
		w.agent.logReachability(l.err)
	}
}

// outdated reports whether a later look has already shown another incarnation of the backend server.
func (w *watcher) outdated(l lookCall) bool {
	if l.number < w.answeredNumber && l.state.Incarnation != w.answeredBorn {
		return true
	}
	if l.number > w.answeredNumber {
		w.answeredNumber, w.answeredBorn = l.number, l.state.Incarnation
	}
	return false
}

// overdueAfter returns the time beyond its wait after which a look is overdue.
func (w *watcher) overdueAfter() time.Duration {
	return min(lookResponseMargin, max(minOverdue, overdueFactor*w.overhead))
}

// updateOverhead adapts the overhead to the duration of a look: it rises at once and decays slowly.
func (w *watcher) updateOverhead(l lookCall) {
	excess := l.took - l.request.Wait
	switch {
	case l.err != nil:
		w.lastLoss = time.Now()
	case excess > w.overhead:
		w.overhead = excess
	case excess > 0:
		w.overhead -= (w.overhead - excess) / overheadDecay
	}
}

// logReachability logs when the backend server becomes unreachable and when it is reachable again. err is
// the error of the newest look. The caller must hold a.mu.
func (a *Agent) logReachability(err error) {
	switch {
	case err == nil && !a.backendReachable:
		a.backendReachable = true
		a.Log.Info(event.ServerReachable, nil)
	case err != nil && a.backendReachable:
		a.backendReachable = false
		a.Log.Warn(event.ServerUnreachable, event.Fields{"error": err.Error()})
	}
}
