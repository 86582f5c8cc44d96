// Package runagent runs the agent of one backend server whose tasks run under leases: it carries
// orders from entries to the backend server, renews the lease, and tells entries what has become of
// their runs. Its decisions are those of dispatch/runtable.
package runagent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// Options are the parts of an agent.
type Options struct {
	ID          string
	Incarnation string
	Backend     Backend
	// Memory keeps the announcement for the next life of the agent; nil means that nothing is kept.
	Memory  Memory
	Limits  runtable.Limits
	Log     *event.Logger
	Metrics *metrics.Set
}

// Agent is one running agent. See New.
type Agent struct {
	Options
	counters *counters
	began    time.Time

	mu       sync.Mutex
	table    *runtable.Table
	sessions map[string]*session // by entry
	specs    map[run.Ref]spec
	stops    map[run.Ref]time.Time // stops in flight and when they began
	reached  bool
	// announced holds the newest announcement that is not kept yet.
	announced chan Announcement
}

// spec is what the backend server is given with a start.
type spec struct {
	text, checkpoint, instance string
}

// New returns an agent; Run does its duties.
func New(o Options) *Agent {
	now := steady.Now()
	a := &Agent{
		Options:  o,
		began:    now,
		table:    runtable.New(now, o.Limits),
		sessions: map[string]*session{},
		specs:    map[run.Ref]spec{},
		stops:    map[run.Ref]time.Time{},

		announced: make(chan Announcement, 1),
	}
	a.counters = newCounters(o.Metrics, a)
	return a
}

// sweepEvery is the time between two looks for silent owners and lost stops. It adds to the time
// after which a run of a lost entry ends.
const sweepEvery = 20 * time.Millisecond

// Run serves links from the listener and watches the backend server until ctx ends.
func (a *Agent) Run(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.accept(ctx, g, l) })
	g.Go(func() error { newWatcher(a).run(ctx); return nil })
	g.Go(func() error { a.sweep(ctx); return nil })
	g.Go(func() error { a.keep(ctx); return nil })
	g.Go(func() error { a.recall(ctx); return nil })
	return g.Wait()
}

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
			time.Sleep(sweepEvery)
			continue
		}
		g.Go(func() error { a.serve(ctx, link.New(conn)); return nil })
	}
}

// Announce records what the backend server says of itself. The announcement is acknowledged by
// returning: from then on the agent starts nothing on a server that is draining.
func (a *Agent) Announce(s run.Server, born int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.table.Server(steady.Now())
	a.deliver(a.table.Announce(steady.Now(), s, born))
	if before.Instance != s.Instance || before.State != s.State {
		a.Log.Info(event.ServerStateChanged, event.Fields{
			"instance": s.Instance, "service": s.Service, "state": int(s.State), "cpu": s.Room.CPU, "runs": a.table.Len(),
		})
		a.remember(Announcement{Server: s, Born: born})
		a.reportAll()
	}
}

// Gone records that the backend server has left.
func (a *Agent) Gone(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.Server(steady.Now()).Instance != instance {
		return
	}
	a.Log.Info(event.ServerGone, event.Fields{"instance": instance})
	a.deliver(a.table.Gone(steady.Now()))
	a.reportAll()
}

// SetOut takes failure domains out of service, as of the revision of the store.
func (a *Agent) SetOut(revision uint64, domains []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetOut(revision, domains)
}

// drainPoll is the time between two looks whether all runs have ended.
const drainPoll = 20 * time.Millisecond

// Drain refuses further orders and waits until the runs here have ended, or until ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.table.Leave()
	a.reportAll()
	a.mu.Unlock()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for a.running() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Len()
}

// deliver sends events to the entries that own the runs. An entry without a link asks again when it
// is back. The caller holds the lock.
func (a *Agent) deliver(events []runtable.Event) {
	if len(events) == 0 {
		return
	}
	byOwner := map[string][]run.Event{}
	for _, e := range events {
		delete(a.specs, e.Ref)
		delete(a.stops, e.Ref)
		a.counters.ended(e.Kind)
		if e.Kind != run.Done {
			a.Log.Sample(event.RunEnded, event.Fields{
				"task": e.Ref.Task, "run": e.Ref.Run, "entry": e.Owner, "kind": e.Kind.String(), "code": uint32(e.Reason),
			})
		}
		byOwner[e.Owner] = append(byOwner[e.Owner], e.Event)
	}
	a.tell(steady.Now(), byOwner)
}

// tell sends entries their events, and tells others of room that is held for them. Room is offered
// first, so that no entry is told of room that another one gets at the same moment. The caller holds
// the lock.
func (a *Agent) tell(now time.Time, events map[string][]run.Event) {
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

// reportAll tells every entry the state of the backend server. The caller holds the lock.
func (a *Agent) reportAll() {
	for _, s := range a.sessions {
		s.send(a, nil)
	}
}

func (a *Agent) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			a.sweepOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) sweepOnce(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	a.deliver(a.table.Lapsed(now))
	for _, ref := range a.table.Sweep(now) {
		a.stop(ctx, ref)
	}
	server := a.table.Server(now)
	for _, s := range a.sessions {
		s.answerClaims(a, now)
		if !server.Equal(&s.server) {
			s.send(a, nil)
		}
	}
	a.tell(now, map[string][]run.Event{})
}
