// Package runentry implements an entry for jobs whose tasks run under leases. An entry accepts jobs from
// callers, sends orders to agents over links, and returns the outcome of each job. It keeps links to some
// of the agents only, its partners. The scheduling decisions are made by package dispatch/jobs, the choice
// of partners by package dispatch/partner.
package runentry

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/periodic"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/lag"
	"poplargw.example/dispatch/partner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
)

// Options configures an entry.
type Options struct {
	ID          string
	Incarnation string
	// Domain is the entry's failure domain.
	Domain string
	Limits jobs.Limits
	// LinkTLS is the TLS configuration of the links to agents; nil disables TLS.
	LinkTLS *tls.Config
	Log     *event.Logger
	Metrics *metrics.Set
}

// Entry accepts jobs and dispatches their tasks to agents. Create one with New. Its methods may be called
// concurrently.
type Entry struct {
	Options
	counters *counters

	mu              sync.Mutex
	scheduler       *jobs.Scheduler
	config          *route.Config
	fleet           map[string]Agent  // all agents, by ID
	agents          map[string]*agent // partners, by ID
	partners        *partner.Set
	registrars      []string                       // agents that record the owners of jobs
	waiters         map[string][]chan jobs.Outcome // by job ID, one channel for each waiting caller
	outOfService    domainSet
	lastTick        time.Time
	lastPause       time.Time // the last tick before the newest pause
	tickCPU         cpuMeter  // processor time since the last tick
	tickDelays      lag.Meter // delays of tick beyond tickInterval
	responseDelays  lag.Meter // round-trip times of probes beyond each agent's minimum
	history         *jobHistory
	cancels         []*pendingCancel
	interval        intervalStats
	partnersChanged chan struct{} // signals that partners were added
	lastReady       bool          // result of the previous call of Ready
}

// domainSet is the set of failure domains out of service as of a revision of the store.
type domainSet struct {
	revision uint64
	domains  []string
}

// New returns an entry. It does nothing until Run is called.
func New(o Options) *Entry {
	e := &Entry{
		Options:         o,
		scheduler:       jobs.New(o.Limits),
		fleet:           map[string]Agent{},
		agents:          map[string]*agent{},
		partners:        partner.New(o.ID, o.Domain),
		waiters:         map[string][]chan jobs.Outcome{},
		history:         newJobHistory(),
		interval:        newIntervalStats(boottime.Now()),
		partnersChanged: make(chan struct{}, 1),
		tickDelays:      lag.Meter{Window: tickMeanWindow},
		responseDelays:  lag.Meter{Window: responseMeanWindow},
	}
	e.counters = newCounters(o.Metrics, e)
	return e
}

const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 20 * time.Millisecond
	// lateTickThreshold is the gap between two ticks above which unread frames may still be waiting in the
	// sockets, so that a link that seems silent may not be.
	lateTickThreshold = 100 * time.Millisecond
	// pauseMargin is how much shorter than the time after which agents take a silent entry for lost a pause is that
	// ends the ownership of all jobs: the newest message from before the pause may be that old.
	pauseMargin = 200 * time.Millisecond
)

// Run dials agents and does the periodic work of the entry until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.dialPartners(ctx, g) })
	g.Go(func() error { periodic.Run(ctx, tickInterval, e.tick); return nil })
	return g.Wait()
}

// tick does the periodic work: it closes silent links, advances the scheduler, adjusts the partners, and
// sends orders and heartbeats.
func (e *Entry) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	late := !e.lastTick.IsZero() && now.Sub(e.lastTick) > lateTickThreshold
	e.observeTickDelay(now)
	e.dropJobsAfterPause(now)
	e.startTick(now)
	if !late {
		e.closeSilentLinks(now)
	}
	e.scheduler.Tick(now)
	e.settleCancels(now)
	e.updatePartners(now)
	e.flush()
	e.sendHeartbeats(now)
	e.reportRecordWaits()
	e.logInterval(now)
}

// dropJobsAfterPause gives up all jobs if the process was paused for so long that agents may have granted them to
// other entries. It is called before anything that may order tasks, because the first work after a pause is not
// always a tick. The caller must hold e.mu.
func (e *Entry) dropJobsAfterPause(now time.Time) {
	if !e.pausedSinceTick(now) {
		return
	}
	e.lastPause = e.lastTick
	e.Log.Warn(event.ProcessPaused, event.Fields{"ms": now.Sub(e.lastTick).Milliseconds(), "cpu_ms": e.tickCPU.used().Milliseconds(), "jobs": len(e.waiters)})
	for id := range e.waiters {
		e.scheduler.GiveUp(id, result.NotReady)
	}
	e.scheduler.Disown(now)
	// A caller may submit one of these jobs again before the next tick, and must not get the outcome of the former submission.
	e.flush()
}

// pausedSinceTick reports whether the process was paused since the last tick and that pause was not handled yet. The
// caller must hold e.mu.
func (e *Entry) pausedSinceTick(now time.Time) bool {
	handled := e.lastTick.Equal(e.lastPause)
	if e.lastTick.IsZero() || handled {
		return false
	}
	return now.Sub(e.lastTick) >= e.pauseThreshold()
}

// startTick records the time of a tick and the processor time used so far. The caller must hold e.mu.
func (e *Entry) startTick(now time.Time) {
	e.lastTick = now
	e.tickCPU.reset()
}

// pauseThreshold returns the time since the last tick from which on the process counts as paused.
func (e *Entry) pauseThreshold() time.Duration { return e.Limits.LostAfter - pauseMargin }

// SetConfig replaces the routes. It ignores a version that is not newer than the current one.
func (e *Entry) SetConfig(c *route.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config != nil && c.Version <= e.config.Version {
		return
	}
	e.config = c
	e.Log.Info(event.RoutesChanged, event.Fields{"version": c.Version, "queues": c.Len()})
}

// Config returns the current routes, or nil before the first call of SetConfig.
func (e *Entry) Config() *route.Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}

// SetDomainsOut replaces the set of failure domains that are out of service, as of a revision of the
// store. It ignores a revision older than the current one.
func (e *Entry) SetDomainsOut(revision uint64, domains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision < e.outOfService.revision {
		return
	}
	unchanged := slices.Equal(domains, e.outOfService.domains)
	e.outOfService = domainSet{revision: revision, domains: domains}
	if unchanged {
		return
	}
	e.scheduler.SetDomainsOut(domains)
	e.partners.SetDomainsOut(domains)
	e.updatePartners(boottime.Now())
	e.Log.Info(event.DomainsChanged, event.Fields{"out": len(domains), "revision": revision})
	for _, a := range e.agents {
		a.outOfServiceSent = false
	}
	e.sendHeartbeatToAll()
}

// Ready reports whether the entry can serve callers, and logs when this changes.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready := e.canServe()
	if ready != e.lastReady {
		e.lastReady = ready
		e.Log.Info(event.ReadinessChanged, event.Fields{
			"ready": ready, "routes": e.config != nil, "servers": e.scheduler.Servers(), "no_registrar": e.scheduler.LacksRegistrar(boottime.Now()), "processor_short": e.cpuShortageLasts(),
		})
	}
	return ready
}

// Waiting returns the number of jobs in the queue of which no task has started.
func (e *Entry) Waiting(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Waiting(queue)
}

// Leave makes the entry reject all new jobs but those that are over before the given time.
func (e *Entry) Leave(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.Leave(until)
	e.Log.Info(event.EntryLeft, event.Fields{"jobs": len(e.waiters)})
}

// Idle reports whether the entry has no jobs.
func (e *Entry) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiters) == 0
}
