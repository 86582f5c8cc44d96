package runagent

import (
	"context"
	"errors"
	"syscall"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/runtable"
)

const (
	// busyPollWait is how long a poll waits for a run to end while tasks run. It also bounds the age of
	// the progress that is reported to entries.
	busyPollWait = 60 * time.Millisecond
	// lossyPollWait is the wait while responses get lost, because a loss is detected only after the wait, and
	// while orders are refused until a snapshot is requested after a stop.
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
	// retryDelay is the delay before the next poll after two or more consecutive failures, and after an answer
	// with an end that could not be read: the backend server then answers every poll without waiting.
	retryDelay = 10 * time.Millisecond
	// MaxPolls bounds the number of concurrent polls.
	MaxPolls = 4
)

// pollCall is one call of Backend.Poll and, once there is one, its response.
type pollCall struct {
	number   uint64
	request  PollRequest
	sent     time.Time
	sentAt   time.Time // sent, on the clock of package boottime
	took     time.Duration
	snapshot runtable.Snapshot
	err      error
}

// poller calls Backend.Poll continuously; each poll renews the lease. When the newest poll is overdue, it
// sends another one in parallel: with one response in ten lost, ended runs and the capacity that they free
// would otherwise stay hidden until the poll times out.
type poller struct {
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
	// unreadableEnds is true if the newest response had ends that could not be read.
	unreadableEnds bool
}

func newPoller(a *Agent) *poller {
	return &poller{agent: a, responses: make(chan pollCall, MaxPolls)}
}

// run sends polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		p.send(ctx)
		failed := !p.await(ctx, timer)
		if p.needsDelay(failed) {
			boottime.Sleep(ctx, retryDelay)
		}
	}
}

// needsDelay reports whether the next poll is delayed by retryDelay. failed tells whether the newest poll failed.
func (p *poller) needsDelay(failed bool) bool {
	if failed {
		return p.consecutiveFailures > 1
	}
	return p.unreadableEnds
}

// send starts the next poll in a goroutine.
func (p *poller) send(ctx context.Context) {
	p.lastNumber++
	p.inFlight++
	p.newest = pollCall{number: p.lastNumber, request: p.request(), sent: time.Now(), sentAt: boottime.Now()}
	go p.call(ctx, p.newest)
}

// call sends one poll to the backend server. The responses channel has space for the result of every
// concurrent poll, so call does not block on it.
func (p *poller) call(ctx context.Context, c pollCall) {
	ctx, cancel := context.WithTimeout(ctx, c.request.Wait+pollResponseMargin)
	defer cancel()
	c.snapshot, c.err = p.agent.Backend.Poll(ctx, c.request)
	c.took = time.Since(c.sent)
	p.responses <- c
}

// await waits until the next poll is due: the newest one was answered, has failed or is overdue. It
// returns false if the newest one failed or ctx has ended.
func (p *poller) await(ctx context.Context, timer *time.Timer) bool {
	timer.Reset(time.Until(p.newest.sent.Add(p.newest.request.Wait + p.overdueAfter())))
	for {
		select {
		case c := <-p.responses:
			p.inFlight--
			p.handleResponse(c)
			if c.number == p.lastNumber {
				return c.err == nil
			}
		case <-timer.C:
			p.lastLoss = time.Now()
			if p.inFlight < MaxPolls {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// request returns the next poll's request.
func (p *poller) request() PollRequest {
	a := p.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	return PollRequest{LeaseMS: a.table.RenewLease(now), LastEnd: a.table.LastEnd(), Wait: p.wait(now)}
}

// wait returns how long the next poll asks the backend server to wait: not at all unless the last poll was answered. A
// poll that may not renew the lease still waits, so that ends are seen without many polls. The caller must hold the
// agent's lock.
func (p *poller) wait(now time.Time) time.Duration {
	table := p.agent.table
	if p.consecutiveFailures > 0 || !table.Responding(now) {
		return 0
	}
	longest := idlePollWait
	if table.Len() > 0 {
		longest = busyPollWait
	}
	lossy := time.Since(p.lastLoss) < lossyPeriod
	if lossy || table.HasUnsettled() {
		longest = lossyPollWait
	}
	return table.NextExpiry(now, longest)
}

// handleResponse processes the response to a poll, or its failure.
func (p *poller) handleResponse(c pollCall) {
	p.updateOverhead(c)
	p.unreadableEnds = c.err == nil && c.snapshot.UnreadableEnds > 0
	a := p.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RenewalDone(c.request.LeaseMS, !errors.Is(c.err, ErrNotSent))
	if c.err != nil {
		p.handleFailure(c)
		return
	}
	p.consecutiveFailures = 0
	a.logReachability(nil)
	if p.outdated(c) {
		return
	}
	a.reportUnreadableRows(&c.snapshot)
	couldAnswerClaims := a.table.CanAnswerClaims(boottime.Now())
	c.snapshot.Requested = c.sentAt
	a.deliver(a.table.ApplySnapshot(boottime.Now(), c.snapshot))
	a.reportUnexpectedRuns()
	if !couldAnswerClaims {
		a.sendStateToAll()
	}
}

// handleFailure processes a failed poll, and tells all entries if it shows that the backend server is gone. The caller
// must hold the agent's lock.
func (p *poller) handleFailure(c pollCall) {
	p.countFailure(c)
	refused := errors.Is(c.err, syscall.ECONNREFUSED)
	if refused && p.agent.table.ServerGone(boottime.Now()) {
		p.agent.sendStateToAll()
	}
}

// countFailure counts a failed poll, unless a later one was answered. The caller must hold the agent's
// lock.
func (p *poller) countFailure(c pollCall) {
	if c.number < p.answeredNumber {
		return
	}
	p.consecutiveFailures++
	if p.consecutiveFailures >= unreachableFailures {
		p.agent.logReachability(c.err)
	}
}

// outdated reports whether a later poll has already shown another incarnation of the backend server.
func (p *poller) outdated(c pollCall) bool {
	if c.number < p.answeredNumber && c.snapshot.Incarnation != p.answeredIncarnation {
		return true
	}
	if c.number > p.answeredNumber {
		p.answeredNumber, p.answeredIncarnation = c.number, c.snapshot.Incarnation
	}
	return false
}

// overdueAfter returns the time beyond its wait after which a poll is overdue.
func (p *poller) overdueAfter() time.Duration {
	return min(pollResponseMargin, max(minOverdue, overdueFactor*p.overhead))
}

// updateOverhead adapts the overhead to the duration of a poll: it rises at once and decays slowly.
func (p *poller) updateOverhead(c pollCall) {
	excess := c.took - c.request.Wait
	switch {
	case c.err != nil:
		p.lastLoss = time.Now()
	case excess > p.overhead:
		p.overhead = excess
	case excess > 0:
		p.overhead -= (p.overhead - excess) / overheadDecay
	}
}

// unreadableLogInterval is the least time between two log lines about rows that cannot be read: a row of a run in
// progress is in every response until the run ends, up to a hundred times a second.
const unreadableLogInterval = 10 * time.Second

// reportUnreadableRows counts the rows of a snapshot that could not be read, and logs them at intervals. The caller
// must hold a.mu.
func (a *Agent) reportUnreadableRows(s *runtable.Snapshot) {
	if s.UnreadableRuns+s.UnreadableEnds == 0 {
		return
	}
	a.counters.unreadableRuns.Add(s.UnreadableRuns)
	a.counters.unreadableEnds.Add(s.UnreadableEnds)
	now := boottime.Now()
	if now.Sub(a.unreadableLogged) < unreadableLogInterval {
		return
	}
	a.unreadableLogged = now
	a.Log.Warn(event.RowsUnreadable, event.Fields{"running": s.UnreadableRuns, "ended": s.UnreadableEnds, "last_end": a.table.LastEnd(), "runs": a.table.Len()})
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
