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

// Limits of the home loop.
const (
	// inboxSize is the number of messages that the inbox can hold.
	inboxSize = 4096
	// activeTickPeriod is the tick period while this entry has work. It bounds how late
	// deadlines and delayed retries are noticed.
	activeTickPeriod = 10 * time.Millisecond
	// idleTickPeriod is the tick period without work. Ticks every 10 ms would cost an idle
	// entry 1% of a core.
	idleTickPeriod = 100 * time.Millisecond
	// inboxTimeout is how long a submission waits for space in the inbox.
	inboxTimeout = 500 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which a paused process is logged.
	pauseThreshold = time.Second
	// maxParked bounds the number of submissions that wait for a claim.
	maxParked = 4096
	// parkTimeout is how long a submission waits for a claim.
	parkTimeout = 4 * time.Second
	// shortRetryAfter is the retry time of failures whose cause is expected to pass soon, such
	// as a running claim or an overload.
	shortRetryAfter = time.Second
)

// message is an event for the home loop.
type message interface {
	apply(h *home, now time.Time)
}

// home holds the state of the submissions whose home is this entry. Only the home loop, which
// is the goroutine of run, may use its fields, except for the inbox and the atomic fields.
type home struct {
	e         *Entry
	inbox     chan message
	sched     *sched.Scheduler
	rec       *recovery.State // of the claims of this entry
	directory *agentDirectory

	ctx    context.Context
	config *poplargwv1.ConfigRecord
	// active is set while the scheduler may start tasks.
	active bool
	// inactiveSince is the time since which this entry may not start tasks; it is zero while
	// the entry may start tasks.
	inactiveSince time.Time
	// held contains the executions in progress, and those that have ended until they expire.
	held map[submission.Key]*execution
	// expiry lists the keys of ended executions by the Unix second after which they are
	// removed.
	expiry map[int64][]submission.Key
	// lastExpiry is the Unix second of the last call of expire.
	lastExpiry int64
	// retained lists the keys of executions with stored results, in the order in which they ended.
	retained []submission.Key
	// retainedBytes is the total size of the stored results.
	retainedBytes int64
	parked        []parkedSubmission
	claim         claimRound
	starts        startGroup
	lastTick      time.Time

	// pending counts the executions in progress. Parked submissions are not included.
	pending atomic.Int64
	// settled is set while this entry is a member and no claim is running.
	settled atomic.Bool
	// readyFrom is the time, in Unix nanoseconds, until which submissions of this home can have
	// an unknown outcome because the first claim was incomplete. It is 0 until that claim has
	// ended.
	readyFrom atomic.Int64
}

func newHome(e *Entry) *home {
	l := e.opts.Settings.Limits
	n := e.opts.Settings.Node
	return &home{
		e:     e,
		inbox: make(chan message, inboxSize),
		sched: sched.New(sched.Options{
			Domain: n.Domain, Region: n.Region,
			QueueTasks: l.QueueTasks, RetryBudget: l.RetryBudget, AgentSilence: l.PeerSilence,
			Picker: sched.NewPicker(e.opts.Settings.Scheduler.Policy, rand.Uint64()),
		}),
		rec: recovery.New(recovery.Options{
			Self: e.self, Incarnation: e.opts.Incarnation, Started: e.started, Window: e.window,
			StartGrace: l.Freshness + l.TokenAge, ReportInterval: l.PeerSilence,
		}),
		directory: newAgentDirectory(l.PeerSilence, e.window.Length+2*e.window.Skew),
		held:      make(map[submission.Key]*execution), expiry: make(map[int64][]submission.Key),
	}
}

// post sends a message to the home loop and waits for space in the inbox. It returns the error
// of ctx when ctx ends first.
func (h *home) post(ctx context.Context, m message) error {
	select {
	case h.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offer sends a message to the home loop. It returns false when the inbox has no space within
// the limit.
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

// run is the home loop: it handles messages, ticks and changes of the cluster until ctx ends.
func (h *home) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.ctx = ctx
	h.starts.reset(ctx)
	changed := h.e.opts.Cluster.Changed()
	period := activeTickPeriod
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
			m = tickMsg{}
		}
		now := time.Now()
		h.syncCluster(now)
		if m != nil {
			m.apply(h, now)
		}
		if p := h.tickPeriod(); p != period {
			period = p
			t.Reset(p)
		}
	}
}

// tickPeriod returns the tick period for the present work. The long one is used only while
// nothing but the silence of agents and the freshness of this entry depends on the time.
// Freshness is also checked right before each start.
func (h *home) tickPeriod() time.Duration {
	if h.e.busy() || len(h.parked) > 0 || h.rec.Claiming() {
		return activeTickPeriod
	}
	return idleTickPeriod
}

// syncCluster adopts the newest entry table and configuration. It runs before each event, so
// that no event is handled with a table that the cluster view has already replaced.
func (h *home) syncCluster(now time.Time) {
	if t := h.e.opts.Cluster.Table(); t.GetVersion() > h.rec.Table().GetVersion() {
		h.observeTable(now, t)
	}
	if c := h.e.opts.Cluster.Config(); c != nil && c != h.config {
		h.config = c
		h.perform(now, h.sched.Configure(now, c.GetConfig()))
	}
}

// observeTable adopts a newer entry table: it starts a claim or drops all state if needed, and
// decides again about the parked submissions.
func (h *home) observeTable(now time.Time, t *peerv1.EntryTable) {
	h.sched.SetEntries(servingMembers(t, h.e.self))
	switch h.rec.Observe(now, t) {
	case recovery.Dropped:
		h.dropAll(now)
	case recovery.Claim:
		h.beginClaim(now)
	}
	if h.rec.InTable() && !h.rec.Claiming() {
		h.readyFrom.CompareAndSwap(0, 1)
	}
	h.settled.Store(h.rec.InTable() && !h.rec.Claiming())
	h.readmitParked(now)
	h.e.tableChanges.broadcast()
}

// servingMembers returns the number n of members that get new submissions, and how many of
// them come before self in the order of their IDs.
func servingMembers(t *peerv1.EntryTable, self string) (n, before int) {
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

// dropAll discards all submissions after this entry was removed from the entry table. The
// entries that received the jobs send them to the new homes, which claim the agents' start
// records.
func (h *home) dropAll(now time.Time) {
	h.e.opts.Log.Warn(event.EntryDropped, event.Fields{"table": h.rec.Table().GetVersion(), "submissions": h.pending.Load()})
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
	h.expiry = make(map[int64][]submission.Key)
	h.retained, h.retainedBytes = nil, 0
}

// perform carries out actions of the scheduler and the actions that follow from them.
func (h *home) perform(now time.Time, actions []sched.Action) {
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

// notHeldMsg tells the home loop that a member, which was known as the holder of a key, does not
// hold it.
type notHeldMsg struct {
	key    submission.Key
	holder *peerv1.EntryMember
}

func (m notHeldMsg) apply(h *home, _ time.Time) {
	h.rec.NotHeld(m.key, recovery.Member{ID: m.holder.GetId(), Incarnation: m.holder.GetIncarnation()})
}
