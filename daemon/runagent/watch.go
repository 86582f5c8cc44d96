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
	// busyWait is how long a look waits for an end while tasks run; it is also how old the progress
	// is that entries hear of.
	busyWait = 60 * time.Millisecond
	// shakyWait is the same while answers get lost: a lost one is noticed only after its wait.
	shakyWait = 10 * time.Millisecond
	// shakyFor is how long after a lost answer that holds.
	shakyFor = time.Second
	// idleWait is the same while nothing runs. It is below the lease, so that a start after an idle
	// time is renewed before it lapses.
	idleWait = 200 * time.Millisecond
	// lookMargin is how much longer than its wait a look may take. A backend server on the same VM
	// answers within a few milliseconds; slower VMs need some tens.
	lookMargin = 90 * time.Millisecond
	// leastOverdue is how much longer than its wait a look takes at least before another one is sent
	// beside it, and overdueFactor how many usual answer times it takes.
	leastOverdue  = 10 * time.Millisecond
	overdueFactor = 3
	// overheadWeight is how many answers it takes to forget a slow one for the most part.
	overheadWeight = 4
	// unreachableAfter is the number of looks in a row that have failed after which the backend server
	// counts as unreachable.
	unreachableAfter = 2
	// retryPause is the pause after a second look in a row that has failed.
	retryPause = 10 * time.Millisecond
	// MaxLooks bounds the looks without an answer at once.
	MaxLooks = 4
)

// look is one look, with its answer once there is one.
type look struct {
	number  uint64
	request LookRequest
	sent    time.Time
	took    time.Duration
	seen    runtable.Look
	err     error
}

// watcher looks at the backend server again and again; each look renews the lease. While the newest look is
// overdue, another one is sent beside it: a backend server that loses one answer in ten otherwise hides the
// ends of its runs, and the room that they leave, for as long as a look may take.
type watcher struct {
	agent   *Agent
	answers chan look
	number  uint64 // of the newest look
	flying  int    // looks without an answer
	newest  look   // as sent
	failed  int    // looks in a row that have failed, without a later one that was answered
	// answered is the number of the newest look with an answer, born the life that it showed.
	answered uint64
	born     int64
	// overhead is how much longer than its wait a look takes, lost when the last one had no answer.
	overhead time.Duration
	lost     time.Time
}

func newWatcher(a *Agent) *watcher {
	return &watcher{agent: a, answers: make(chan look, MaxLooks)}
}

func (w *watcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		w.send(ctx)
		if w.await(ctx, timer) {
			continue
		}
		if w.failed > 1 {
			steady.Sleep(ctx, retryPause)
		}
	}
}

// send begins a look.
func (w *watcher) send(ctx context.Context) {
	w.number++
	w.flying++
	w.newest = look{number: w.number, request: w.request(), sent: time.Now()}
	go w.call(ctx, w.newest)
}

// call carries one look to the backend server. The channel has room for its answer.
func (w *watcher) call(ctx context.Context, l look) {
	ctx, cancel := context.WithTimeout(ctx, l.request.Wait+lookMargin)
	defer cancel()
	l.seen, l.err = w.agent.Backend.Look(ctx, l.request)
	l.took = time.Since(l.sent)
	w.answers <- l
}

// await waits until the next look is due: the newest one was answered, has failed or is overdue. It tells
// whether the backend server has answered meanwhile or may still do so.
func (w *watcher) await(ctx context.Context, timer *time.Timer) bool {
	timer.Reset(time.Until(w.newest.sent.Add(w.newest.request.Wait + w.overdue())))
	for {
		select {
		case l := <-w.answers:
			w.flying--
			w.take(l)
			if l.number == w.number {
				return l.err == nil
			}
		case <-timer.C:
			w.lost = time.Now()
			if w.flying < MaxLooks {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// request waits for an end only when the last look was answered.
func (w *watcher) request() LookRequest {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	r := LookRequest{LeaseMS: a.table.Lease(steady.Now()), LastSeen: a.table.LastSeen()}
	if w.failed > 0 || r.LeaseMS == 0 {
		return r
	}
	r.Wait = idleWait
	if a.table.Len() > 0 {
		r.Wait = a.table.Pending(steady.Now(), busyWait)
	}
	if time.Since(w.lost) < shakyFor {
		r.Wait = min(r.Wait, shakyWait)
	}
	return r
}

// take records the answer to a look, or that there is none.
func (w *watcher) take(l look) {
	w.observe(l)
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Sent(l.request.LeaseMS, !errors.Is(l.err, ErrNotSent))
	if l.err != nil {
		w.fail(l)
		return
	}
	w.failed = 0
	a.noteReach(nil)
	if w.outdated(l) {
		return
	}
	settled := a.table.Settled(steady.Now())
	a.deliver(a.table.Looked(steady.Now(), l.seen))
	if !settled {
		a.reportAll()
	}
}

// fail counts a look without an answer, unless a later one was answered. The caller holds the agent's lock.
func (w *watcher) fail(l look) {
	if l.number < w.answered {
		return
	}
	w.failed++
	if w.failed >= unreachableAfter {
		w.agent.noteReach(l.err)
	}
}

// outdated tells whether a later look has shown another life of the backend server.
func (w *watcher) outdated(l look) bool {
	if l.number < w.answered && l.seen.Born != w.born {
		return true
	}
	if l.number > w.answered {
		w.answered, w.born = l.number, l.seen.Born
	}
	return false
}

// overdue is how much longer than its wait a look takes before another one is sent beside it.
func (w *watcher) overdue() time.Duration {
	return min(lookMargin, max(leastOverdue, overdueFactor*w.overhead))
}

// observe learns how much longer than their wait answers take.
func (w *watcher) observe(l look) {
	over := l.took - l.request.Wait
	switch {
	case l.err != nil:
		w.lost = time.Now()
	case over > w.overhead:
		w.overhead = over
	case over > 0:
		w.overhead -= (w.overhead - over) / overheadWeight
	}
}

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
