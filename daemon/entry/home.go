package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/sched"
	"poplargw.example/dispatch/submission"
)

// Bounds of the home loop.
const (
	inboxSize = 4096
	// tickEvery bounds how late deadlines and delayed retries are noticed while this entry has work.
	tickEvery = 10 * time.Millisecond
	// tickIdle is the period without work: ticks of 10 ms cost an idle entry 1% of a core.
	tickIdle = 100 * time.Millisecond
	// inboxWait is how long a submission waits for room in the inbox.
	inboxWait = 500 * time.Millisecond
	// pausedAfter is the gap between two ticks that is logged as a paused process.
	pausedAfter = time.Second
	// maxParked bounds the submissions that wait for a claim.
	maxParked = 4096
	// parkLimit is how long a submission waits for a claim.
	parkLimit = 4 * time.Second
	// retrySoon is the retry time of refusals that pass with the claim or the overload.
	retrySoon = time.Second
)

// message is an event for the home loop.
type message interface {
	apply(h *home, now time.Time)
}

// home owns the state of the submissions whose home this entry is. Everything but the
// atomics and the inbox belongs to the goroutine of run.
type home struct {
	e     *Entry
	inbox chan message
	sched *sched.Scheduler
	rec   *recovery.State
	dir   *directory

	ctx    context.Context
	config *poplargwv1.ConfigRecord
	active bool
	// idleFrom is the time since which this entry may not start tasks; zero while it may.
	idleFrom time.Time
	held     map[submission.Key]*execution
	forget   map[int64][]submission.Key
	forgot   int64
	kept     []submission.Key
	bytes    int64
	parked   []parked
	claim    claimRun
	starts   startsRun
	lastRun  time.Time

	// pending counts the executions in progress and the parked submissions.
	pending atomic.Int64
	// settled is set while this entry is a member and no claim runs.
	settled atomic.Bool
	// readyFrom is the end, in Unix nanoseconds, of the period in which the first claim
	// left submissions of this home unknown; 0 before that claim has ended.
	readyFrom atomic.Int64
}

func newHome(e *Entry) *home {
	l := e.o.Settings.Limits
	n := e.o.Settings.Node
	return &home{
		e:     e,
		inbox: make(chan message, inboxSize),
		sched: sched.New(sched.Options{
			Domain: n.Domain, Region: n.Region,
			QueueTasks: l.QueueTasks, RetryBudget: l.RetryBudget, AgentSilence: l.PeerSilence,
			Picker: sched.NewPicker(e.o.Settings.Scheduler.Policy, rand.Uint64()),
		}),
		rec: recovery.New(recovery.Options{
			Self: e.self, Incarnation: e.o.Incarnation, Started: e.started, Window: e.window,
			Permit: l.Freshness + l.TokenAge, Silence: l.PeerSilence,
		}),
		dir:  newDirectory(l.PeerSilence, e.window.Length+2*e.window.Skew),
		held: make(map[submission.Key]*execution), forget: make(map[int64][]submission.Key),
	}
}

// post hands a message to the loop and waits for room.
func (h *home) post(ctx context.Context, m message) error {
	select {
	case h.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offer hands a message to the loop and waits for room no longer than the limit.
func (h *home) offer(m message, limit time.Duration) bool {
	select {
	case h.inbox <- m:
		return true
	default:
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case h.inbox <- m:
		return true
	case <-t.C:
		return false
	}
}

func (h *home) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.ctx = ctx
	h.starts.reset(ctx)
	changed := h.e.o.Cluster.Changed()
	period := tickEvery
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		var m message
		select {
		case <-ctx.Done():
			h.starts.cancel()
			h.claim.stop()
			return nil
		case m = <-h.inbox:
		case <-changed:
		case <-t.C:
			m = tick{}
		}
		now := time.Now()
		h.sync(now)
		if m != nil {
			m.apply(h, now)
		}
		if p := h.tickPeriod(); p != period {
			period = p
			t.Reset(p)
		}
	}
}

// tickPeriod is long only while nothing depends on time but the silence of agents and the
// freshness of this entry, which is also checked right before each start.
func (h *home) tickPeriod() time.Duration {
	if h.e.busy() || len(h.parked) > 0 || h.rec.Open() {
		return tickEvery
	}
	return tickIdle
}

// sync takes over the newest table and configuration before each event, so that no
// event is handled on a table that the cluster view has already replaced.
func (h *home) sync(now time.Time) {
	if t := h.e.o.Cluster.Table(); t.GetVersion() > h.rec.Table().GetVersion() {
		h.observe(now, t)
	}
	if c := h.e.o.Cluster.Config(); c != nil && c != h.config {
		h.config = c
		h.do(now, h.sched.Configure(now, c.GetConfig()))
	}
}

func (h *home) observe(now time.Time, t *peerv1.EntryTable) {
	h.sched.SetEntries(serving(t, h.e.self))
	switch h.rec.Observe(now, t) {
	case recovery.Dropped:
		h.drop(now)
	case recovery.Claim:
		h.beginClaim(now)
	}
	if h.rec.Member() && !h.rec.Open() {
		h.readyFrom.CompareAndSwap(0, 1)
	}
	h.settled.Store(h.rec.Member() && !h.rec.Open())
	h.unpark(now)
	h.e.changes.fire()
}

// serving counts the members that get new submissions, and those of them before self.
func serving(t *peerv1.EntryTable, self string) (n, before int) {
	for _, m := range t.GetMembers() {
		if m.GetLeaving() {
			continue
		}
		n++
		if m.GetId() < self {
			before++
		}
	}
	return n, before
}

// drop forgets everything after this entry was removed from the table. The receivers
// send the jobs to their new homes, where the agents' records are claimed.
func (h *home) drop(now time.Time) {
	h.e.o.Log.Warn(event.EntryDropped, event.Fields{"table": h.rec.Table().GetVersion(), "submissions": h.pending.Load()})
	h.claim.stop()
	h.starts.reset(h.ctx)
	h.sched.Drop(now)
	for _, x := range h.held {
		if !x.done {
			h.pending.Add(-1)
		}
		x.answer(reply{})
	}
	h.held = make(map[submission.Key]*execution)
	h.forget = make(map[int64][]submission.Key)
	h.kept, h.bytes = nil, 0
}

// tick drives everything that depends on time.
type tick struct{}

func (tick) apply(h *home, now time.Time) {
	if !h.lastRun.IsZero() && now.Sub(h.lastRun) > pausedAfter {
		h.e.o.Log.Warn(event.ProcessPaused, event.Fields{"gap": now.Sub(h.lastRun).String()})
	}
	h.lastRun = now
	h.setActive(now)
	for _, a := range h.dir.silent(now) {
		h.do(now, h.sched.AgentLost(now, a))
	}
	h.do(now, h.sched.Tick(now))
	h.expireParked(now)
	h.advanceClaim(now)
	if s := now.Unix(); s != h.forgot {
		h.forgot = s
		h.expire(now)
		h.exportQueues()
	}
}

func (h *home) expire(now time.Time) {
	h.rec.Expire(now)
	h.dir.expire(now)
	h.trimKept()
	for sec, keys := range h.forget {
		if sec >= now.Unix() {
			continue
		}
		delete(h.forget, sec)
		for _, k := range keys {
			if x := h.held[k]; x != nil && x.done {
				h.release(x)
				delete(h.held, k)
			}
		}
	}
}

func (h *home) setActive(now time.Time) {
	a := h.mayStart(now)
	switch {
	case a:
		h.idleFrom = time.Time{}
	case h.idleFrom.IsZero():
		h.idleFrom = now
	}
	if a != h.active {
		h.active = a
		h.do(now, h.sched.SetActive(now, a))
	}
	if h.e.isolation.set(h.unfit(now)) {
		h.shed(now)
	}
}

// shed ends the jobs of which nothing was started, once this entry has not been fresh
// for the time after which others may remove it. Their callers come back with the same
// ID; jobs with started tasks wait, since their starts are recorded at agents. Later jobs
// are refused when they are submitted.
func (h *home) shed(now time.Time) {
	for _, x := range h.held {
		if x.done || x.launched || x.resumed {
			continue
		}
		x.shed = notFresh()
		_, actions := h.sched.Cancel(now, x.key)
		h.do(now, actions)
	}
}

func (h *home) unfit(now time.Time) bool {
	return !h.idleFrom.IsZero() && now.Sub(h.idleFrom) > h.e.o.Settings.Limits.PeerSilence
}

// mayStart tells whether this entry may decide to start a task at the time now.
func (h *home) mayStart(now time.Time) bool {
	return h.rec.Member() && h.e.o.Cluster.Synced() && h.e.o.Cluster.Fresh(now)
}

// do carries out the actions of the scheduler and those that follow from them.
func (h *home) do(now time.Time, actions []sched.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case sched.StartTask:
			actions = append(actions, h.start(now, a)...)
		case sched.FinishJob:
			h.finish(now, a)
		}
	}
}

// releaseMsg forgets that a member holds a key, after that member said that it does not.
type releaseMsg struct {
	key    submission.Key
	holder *peerv1.EntryMember
}

func (m releaseMsg) apply(h *home, _ time.Time) {
	h.rec.NotHeld(m.key, recovery.Member{ID: m.holder.GetId(), Incarnation: m.holder.GetIncarnation()})
}
