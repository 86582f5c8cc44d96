// Package runentry runs an entry for jobs whose tasks run under leases: it holds a link to each agent,
// carries the scheduler's orders there, and gives callers the outcome of their jobs. Its decisions are
// those of dispatch/jobs.
package runentry

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/lag"
	"poplargw.example/dispatch/partner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
)

// Options are the parts of an entry.
type Options struct {
	ID          string
	Incarnation string
	// Domain is the entry's failure domain.
	Domain string
	Limits jobs.Limits
	// Links secures the links to agents; nil means plain connections.
	Links   *tls.Config
	Log     *event.Logger
	Metrics *metrics.Set
}

// Entry is one running entry. See New.
type Entry struct {
	Options
	counters *counters

	mu        sync.Mutex
	scheduler *jobs.Scheduler
	config    *route.Config
	fleet     map[string]Agent  // all agents, by ID
	agents    map[string]*agent // partners, by ID
	partners  *partner.Set
	waiters   map[string][]chan jobs.Outcome
	out       domainsOut
	lastTick  time.Time
	ticks     lag.Meter // delays of the tick
	answers   lag.Meter // delays of agents' answers beyond the shortest of each
	ended     *history
	second    second
	changed   chan struct{} // the set of partners has changed
	ready     bool          // as last told to the load balancer
}

// domainsOut are the failure domains out of service as of a revision of the store.
type domainsOut struct {
	revision uint64
	domains  []string
}

// New returns an entry; Run does its duties.
func New(o Options) *Entry {
	e := &Entry{
		Options:   o,
		scheduler: jobs.New(o.Limits),
		fleet:     map[string]Agent{},
		agents:    map[string]*agent{},
		partners:  partner.New(o.ID, o.Domain),
		waiters:   map[string][]chan jobs.Outcome{},
		ended:     newHistory(),
		second:    newSecond(steady.Now()),
		changed:   make(chan struct{}, 1),
		ticks:     lag.Meter{Over: ticksOver},
		answers:   lag.Meter{Over: answersOver},
	}
	e.counters = newCounters(o.Metrics, e)
	return e
}

const (
	// tickEvery is the time between two looks at what time alone demands.
	tickEvery = 20 * time.Millisecond
	// lateTick is the gap between two ticks after which frames may still wait in the sockets, so that
	// a link that seems to be silent need not be.
	lateTick = 100 * time.Millisecond
	// pauseLimit is the gap between two ticks after which the process counts as paused. A job that was
	// here before may have been sent again elsewhere: callers do so 1.3 s after they lost the entry.
	pauseLimit = 900 * time.Millisecond
)

// Run does the entry's duties until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.connect(ctx, g) })
	g.Go(func() error { e.tick(ctx); return nil })
	return g.Wait()
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.tickOnce()
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) tickOnce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := steady.Now()
	late := !e.lastTick.IsZero() && now.Sub(e.lastTick) > lateTick
	e.observeTick(now)
	e.resume(now)
	if !late {
		e.endSilent(now)
	}
	e.scheduler.Tick(now)
	e.stepPartners(now)
	e.flush()
	e.beat(now)
	e.closeSecond(now)
}

// resume drops all jobs after a pause: their callers may have sent them again elsewhere, and what
// waits in the sockets of this process is just as old. The caller holds the lock.
func (e *Entry) resume(now time.Time) {
	last := e.lastTick
	e.lastTick = now
	if last.IsZero() || now.Sub(last) < pauseLimit {
		return
	}
	e.Log.Warn(event.Paused, event.Fields{"ms": now.Sub(last).Milliseconds(), "jobs": len(e.waiters)})
	for id := range e.waiters {
		e.scheduler.GiveUp(id, result.NotReady)
	}
}

// SetConfig puts a version of the routes in force. An older version than the one in force is ignored.
func (e *Entry) SetConfig(c *route.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config != nil && c.Version <= e.config.Version {
		return
	}
	e.config = c
	e.Log.Info(event.RoutesChanged, event.Fields{"version": c.Version, "queues": c.Len()})
}

// Config returns the routes in force, or nil before the first version is known.
func (e *Entry) Config() *route.Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}

// SetOut takes failure domains out of service as of a revision of the store.
func (e *Entry) SetOut(revision uint64, domains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision < e.out.revision {
		return
	}
	same := slices.Equal(domains, e.out.domains)
	e.out = domainsOut{revision: revision, domains: domains}
	if same {
		return
	}
	e.scheduler.SetOut(domains)
	e.partners.SetOut(domains)
	e.stepPartners(steady.Now())
	e.Log.Info(event.DomainsChanged, event.Fields{"out": len(domains), "revision": revision})
	for _, a := range e.agents {
		a.outSent = false
	}
	e.beatAll()
}

// Ready tells whether the entry can serve callers.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready := e.canServe()
	if ready != e.ready {
		e.ready = ready
		e.Log.Info(event.ReadinessChanged, event.Fields{
			"ready": ready, "routes": e.config != nil, "servers": e.scheduler.Servers(), "processor_short": e.lacksTime(),
		})
	}
	return ready
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (e *Entry) Waiting(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Waiting(queue)
}

// Leave makes the entry reject further jobs.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.Leave()
	e.Log.Info(event.EntryLeft, event.Fields{"jobs": len(e.waiters)})
}

// Idle tells whether no job is here.
func (e *Entry) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiters) == 0
}
