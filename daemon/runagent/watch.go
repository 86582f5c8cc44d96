package runagent

import (
	"context"
	"errors"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/runtable"
)

const (
	// busyPollWait is how long a poll waits for a run to end while tasks run. It also bounds the age of
	// the progress that is reported to entries.
	busyPollWait = 60 * time.Millisecond
	// lossyPollWait is the wait while responses get lost, because a loss is detected only after the wait.
	lossyPollWait = 10 * time.Millisecond
	// lossyPeriod is how long lossyPollWait applies after a lost response.
	lossyPeriod = time.Second
	// idlePollWait is the wait while nothing runs. It is shorter than the lease, so that the lease of a
	// run started after an idle period is renewed before it expires.
	idlePollWait = 200 * time.Millisecond
	// pollResponseMargin is how much longer than its wait a poll may take before it times out. A backend
	// server on the same VM responds within a few milliseconds, or some tens on slower VMs.
	pollResponseMargin = 90 * time.Millisecond
	// A poll is overdue, and another one is sent in parallel, when it takes longer than its wait by
	// overdueFactor times the usual overhead, but at least by minOverdue.
	minOverdue    = 10 * time.Millisecond
	overdueFactor = 3
	// overheadDecay is the number of responses over which the overhead of a slow one decays.
	overheadDecay = 4
	// unreachableFailures is the number of consecutive failed polls after which the backend server is
	// considered unreachable.
	unreachableFailures = 2
	// retryDelay is the delay before the next poll after two or more consecutive failures.
	retryDelay = 10 * time.Millisecond
	// MaxPolls bounds the number of concurrent polls.
	MaxPolls = 4
)

// pollCall is one call of Backend.Poll and, once there is one, its response.
type pollCall struct {
	number  uint64
	request PollRequest
	sent    time.Time
	took    time.Duration
	state   runtable.Snapshot
	err     error
}

// watcher calls Backend.Poll continuously; each poll renews the lease. When the newest poll is overdue, it
// sends another one in parallel: with one response in ten lost, ended runs and the capacity that they free
// would otherwise stay hidden until the poll times out.
type watcher struct {
	agent               *Agent
	responses           chan pollCall
	lastNumber          uint64   // number of the newest poll
	inFlight            int      // polls without a response
	newest              pollCall // the newest poll, as sent
	consecutiveFailures int      // failed polls since the newest one that was answered
	// answeredNumber is the number of the newest poll with a response, answeredIncarnation the incarnation
	// of the backend server in it.
	answeredNumber      uint64
	answeredIncarnation int64
	// overhead is the usual time that a poll takes beyond its wait; lastLoss is when a poll was last
	// overdue or failed.
	overhead time.Duration
	lastLoss time.Time
}

func newWatcher(a *Agent) *watcher {
	return &watcher{agent: a, responses: make(chan pollCall, MaxPolls)}
}

// run sends polls until ctx ends.
func (w *watcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		w.send(ctx)
		if w.await(ctx, timer) {
			continue
		}
		if w.consecutiveFailures > 1 {
			boottime.Sleep(ctx, retryDelay)
		}
	}
}

// send starts the next poll in a goroutine.
func (w *watcher) send(ctx context.Context) {
	w.lastNumber++
	w.inFlight++
	w.newest = pollCall{number: w.lastNumber, request: w.request(), sent: time.Now()}
	go w.call(ctx, w.newest)
}

// call sends one poll to the backend server. The responses channel has space for the result of every
// concurrent poll, so call does not block on it.
func (w *watcher) call(ctx context.Context, p pollCall) {
	ctx, cancel := context.WithTimeout(ctx, p.request.Wait+pollResponseMargin)
	defer cancel()
	p.state, p.err = w.agent.Backend.Poll(ctx, p.request)
	p.took = time.Since(p.sent)
	w.responses <- p
}

// await waits until the next poll is due: the newest one was answered, has failed or is overdue. It
// returns false if the newest one failed or ctx has ended.
func (w *watcher) await(ctx context.Context, timer *time.Timer) bool {
	timer.Reset(time.Until(w.newest.sent.Add(w.newest.request.Wait + w.overdueAfter())))
	for {
		select {
		case p := <-w.responses:
			w.inFlight--
			w.handleResponse(p)
			if p.number == w.lastNumber {
				return p.err == nil
			}
		case <-timer.C:
			w.lastLoss = time.Now()
			if w.inFlight < MaxPolls {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// request returns the next poll's request. It asks the backend server to wait only if the last poll was
// answered.
func (w *watcher) request() PollRequest {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	r := PollRequest{LeaseMS: a.table.RenewLease(boottime.Now()), LastEnd: a.table.LastEnd()}
	if w.consecutiveFailures > 0 || r.LeaseMS == 0 {
		return r
	}
	r.Wait = idlePollWait
	if a.table.Len() > 0 {
		r.Wait = a.table.NextExpiry(boottime.Now(), busyPollWait)
	}
	if time.Since(w.lastLoss) < lossyPeriod {
		r.Wait = min(r.Wait, lossyPollWait)
	}
	return r
}

// handleResponse processes the response to a poll, or its failure.
func (w *watcher) handleResponse(p pollCall) {
	w.updateOverhead(p)
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RenewalDone(p.request.LeaseMS, !errors.Is(p.err, ErrNotSent))
	if p.err != nil {
		w.countFailure(p)
		return
	}
	w.consecutiveFailures = 0
	a.logReachability(nil)
	if w.outdated(p) {
		return
	}
	settled := a.table.CanAnswerClaims(boottime.Now())
	a.deliver(a.table.ApplySnapshot(boottime.Now(), p.state))
	if !settled {
		a.sendStateToAll()
	}
}

// countFailure counts a failed poll, unless a later one was answered. The caller must hold the agent's
// lock.
func (w *watcher) countFailure(p pollCall) {
	if p.number < w.answeredNumber {
		return
	}
	w.consecutiveFailures++
	if w.consecutiveFailures >= unreachableFailures {
		w.agent.logReachability(p.err)
	}
}

// outdated reports whether a later poll has already shown another incarnation of the backend server.
func (w *watcher) outdated(p pollCall) bool {
	if p.number < w.answeredNumber && p.state.Incarnation != w.answeredIncarnation {
		return true
	}
	if p.number > w.answeredNumber {
		w.answeredNumber, w.answeredIncarnation = p.number, p.state.Incarnation
	}
	return false
}

// overdueAfter returns the time beyond its wait after which a poll is overdue.
func (w *watcher) overdueAfter() time.Duration {
	return min(pollResponseMargin, max(minOverdue, overdueFactor*w.overhead))
}

// updateOverhead adapts the overhead to the duration of a poll: it rises at once and decays slowly.
func (w *watcher) updateOverhead(p pollCall) {
	excess := p.took - p.request.Wait
	switch {
	case p.err != nil:
		w.lastLoss = time.Now()
	case excess > w.overhead:
		w.overhead = excess
	case excess > 0:
		w.overhead -= (w.overhead - excess) / overheadDecay
	}
}

// logReachability logs when the backend server becomes unreachable and when it is reachable again. err is
// the error of the newest poll. The caller must hold a.mu.
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
