// Package runagent implements the agent of one backend server whose tasks run under leases. An agent
// forwards orders from entries to the backend server, renews its lease, and reports the progress and the
// end of runs to the entries that own them. The decisions are made by package dispatch/runtable.
package runagent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/daemon/periodic"
	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// Options configures an agent.
type Options struct {
	ID          string
	Incarnation string
	Backend     Backend
	// Announcements stores the backend server's announcement across restarts of the agent; nil disables
	// this.
	Announcements AnnouncementStore
	Limits        runtable.Limits // MaxTickGap is that of the agent's sweeps
	// OwnerLostAfter is the time since the newest message of an entry after which all its runs have certainly ended, on
	// every backend server.
	OwnerLostAfter time.Duration
	Log            *event.Logger
	Metrics        *metrics.Set
}

// Agent forwards orders to one backend server and reports on its runs. Create one with New. Its methods may
// be called concurrently.
type Agent struct {
	Options
	counters  *counters
	startedAt time.Time

	mu               sync.Mutex
	table            *runtable.Table
	owners           *owner.Table        // which entry owns which job
	heldCancels      []heldCancel        // cancels that await the end of the restore window
	sessions         map[string]*session // by entry, as ID/incarnation
	speeds           *runtable.Speeds    // by entry, as in sessions
	specs            map[run.Ref]startSpec
	stops            map[run.Ref]time.Time // when the latest stop of a run was sent
	backendReachable bool
	unreadableLogged time.Time // when event.RowsUnreadable was logged last
	runsListed       bool      // the backend server has listed its runs since the agent's start
	// pendingSave holds the newest announcement that has not been saved yet.
	pendingSave chan Announcement
}

// startSpec holds the parts of an order that are passed on to the backend server.
type startSpec struct {
	text, checkpoint, instance string
}

// New returns an agent. It does nothing until Run is called.
func New(o Options) *Agent {
	now := boottime.Now()
	o.Limits.MaxTickGap = maxSweepGap
	a := &Agent{
		Options:   o,
		startedAt: now,
		table:     runtable.New(now, o.Limits),
		owners:    owner.New(now, ownerLimits(o)),
		sessions:  map[string]*session{},
		speeds:    runtable.NewSpeeds(),
		specs:     map[run.Ref]startSpec{},
		stops:     map[run.Ref]time.Time{},

		pendingSave: make(chan Announcement, 1),
	}
	a.counters = newCounters(o.Metrics, a)
	return a
}

// sweepInterval is the time between two checks for silent entries and lost stop calls. It adds to the time
// until the runs of a lost entry are stopped.
const sweepInterval = 20 * time.Millisecond

// Run accepts links from entries on the listener and polls the backend server until ctx ends. It closes
// the listener.
func (a *Agent) Run(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.accept(ctx, g, l) })
	g.Go(func() error { newPoller(a).run(ctx); return nil })
	g.Go(func() error { a.sweepLoop(ctx); return nil })
	g.Go(func() error { a.saveLoop(ctx); return nil })
	g.Go(func() error { a.loadAnnouncement(ctx); return nil })
	return g.Wait()
}

// accept serves each new connection in a goroutine until ctx ends, and then closes the listener.
func (a *Agent) accept(ctx context.Context, g *errgroup.Group, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		if err := l.Close(); err != nil {
			a.Log.Warn(event.LinkListenFailed, event.Fields{"error": err.Error()})
		}
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			a.Log.Warn(event.LinkListenFailed, event.Fields{"error": err.Error()})
			time.Sleep(sweepInterval)
			continue
		}
		g.Go(func() error { a.serve(ctx, link.New(conn)); return nil })
	}
}

// Announce records the state that the backend server has announced; incarnation identifies the server's
// incarnation. Once Announce has returned, the agent starts no more runs on a server that is draining.
func (a *Agent) Announce(s run.Server, incarnation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.IsFormer(incarnation) {
		return
	}
	before := a.table.Server(boottime.Now())
	a.deliver(a.table.Announce(boottime.Now(), s, incarnation))
	if before.Equal(&s) {
		return
	}
	a.Log.Info(event.ServerStateChanged, event.Fields{
		"instance": s.Instance, "service": s.Service, "state": int(s.State),
		"cpu": s.Capacity.CPU, "memory_mb": s.Capacity.MemoryMB, "gpu": s.Capacity.GPU, "runs": a.table.Len(),
	})
	a.queueSave(Announcement{Server: s, Incarnation: incarnation})
	a.sendStateToAll()
}

// ServerIncarnation returns the incarnation of the backend server that the newest announcement or poll has shown, or
// 0 before the first one.
func (a *Agent) ServerIncarnation() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Incarnation()
}

// ServerLeft records that the backend server has announced its shutdown. It ignores an instance other than
// the announced one.
func (a *Agent) ServerLeft(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.table.ServerLeft(boottime.Now(), instance) {
		return
	}
	a.Log.Info(event.ServerLeft, event.Fields{"instance": instance, "runs": a.table.Len()})
	a.sendStateToAll()
}

// SetDomainsOut replaces the set of failure domains that are out of service, as of a revision of the store.
// A revision older than the current one has no effect.
func (a *Agent) SetDomainsOut(revision uint64, domains []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetDomainsOut(revision, domains)
}

// drainPollInterval is how often Drain checks whether all runs have ended.
const drainPollInterval = 20 * time.Millisecond

// Drain refuses new orders and waits until all runs have ended and their entries have received that. It
// returns the context's error if ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.table.Drain()
	a.sendStateToAll()
	a.mu.Unlock()
	return periodic.Wait(ctx, drainPollInterval, func() bool { return a.drained(boottime.Now()) })
}

// runCount returns the number of runs that may be on the backend server.
func (a *Agent) runCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Len()
}

// drained reports whether no run is left and every entry that is still active has confirmed the events of
// its runs. Frames that are only queued are lost when the process exits, and an entry that does not learn
// of the end of a run counts the run as lost.
func (a *Agent) drained(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.Len() > 0 {
		return false
	}
	for _, s := range a.sessions {
		if s.hasUnconfirmedEvents(now) {
			return false
		}
	}
	return true
}

// deliver sends events to the entries that own the runs. An entry without a link claims its runs when it
// reconnects. The caller must hold a.mu.
func (a *Agent) deliver(events []runtable.Event) {
	if len(events) == 0 {
		return
	}
	byOwner := map[string][]run.Event{}
	for _, e := range events {
		a.recordEnd(e)
		byOwner[e.Owner] = append(byOwner[e.Owner], e.Event)
	}
	a.sendUpdates(boottime.Now(), byOwner)
}

// recordEnd forgets the order and the stop of a run that has ended, and counts and logs the end. Ends with success are
// logged only while tracing. The caller must hold a.mu.
func (a *Agent) recordEnd(e runtable.Event) {
	delete(a.specs, e.Ref)
	delete(a.stops, e.Ref)
	a.counters.countEndedRun(e.Kind)
	if e.Kind == run.Done && !a.Log.Tracing() {
		return
	}
	a.Log.InfoLimited(event.RunEnded, event.Fields{
		"task": e.Ref.Task, "run": e.Ref.Run, "entry": e.Owner, "kind": e.Kind.String(), "code": uint32(e.Reason),
		"basis": e.Basis.String(),
	})
}

// reportUnexpectedRuns logs and counts runs that the backend server has listed although their end had been
// inferred. The caller must hold a.mu.
func (a *Agent) reportUnexpectedRuns() {
	for _, r := range a.table.TakeUnexpectedRuns() {
		a.counters.endedRunsListed.Inc()
		a.Log.Error(event.EndedRunListed, event.Fields{
			"task": r.Ref.Task, "run": r.Ref.Run, "kind": r.Kind.String(), "basis": r.Basis.String(), "in_progress": r.Running,
		})
	}
}

// sendUpdates sends a frame to each entry in events, and to each entry with a new offer of capacity. Offers
// are made before any frame is sent, so that no two entries are offered the same free capacity. The
// caller must hold a.mu.
func (a *Agent) sendUpdates(now time.Time, events map[string][]run.Event) {
	for _, owner := range a.table.Offer(now) {
		if _, ok := events[owner]; !ok {
			events[owner] = nil
		}
	}
	for owner, list := range events {
		if s := a.sessions[owner]; s != nil {
			s.send(a, list)
		}
	}
}

// sendStateToAll sends the state of the backend server to every entry. The caller must hold a.mu.
func (a *Agent) sendStateToAll() {
	for _, s := range a.sessions {
		s.send(a, nil)
	}
}

// sweepLoop calls sweep every sweepInterval until ctx ends.
func (a *Agent) sweepLoop(ctx context.Context) {
	periodic.Run(ctx, sweepInterval, func() { a.sweep(ctx) })
}

// sweep ends runs whose lease has expired, stops runs whose entry is silent, responds to claims and sends
// changes of the backend server's state and new offers of capacity.
func (a *Agent) sweep(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	a.table.Tick(now)
	a.deliver(a.table.ExpireLease(now))
	for _, ref := range a.table.Sweep(now) {
		a.stopRun(ctx, ref)
	}
	a.forgetStops(now)
	a.expireOwners(now)
	a.observeListedRuns(now)
	server := a.table.Server(now)
	for _, s := range a.sessions {
		s.respondToClaims(a, now)
		if !server.Equal(&s.sentServer) {
			s.send(a, nil)
		}
	}
	a.sendUpdates(now, map[string][]run.Event{})
}
