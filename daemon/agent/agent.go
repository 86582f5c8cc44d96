// Package agent implements the process that runs next to the backend servers of
// one VM. It grants each task at most one start, calls the backend server, keeps
// the results, and reports the state of the backend servers to the entries.
package agent

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/transport"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/submission"
)

// Options configures an Agent.
type Options struct {
	Settings *settings.Settings
	// Client makes calls to the entries.
	Client  transport.Client
	Log     *event.Logger
	Metrics *metrics.Set
}

// Agent is the agent of one VM. It is safe for concurrent use.
type Agent struct {
	opts        Options
	incarnation string
	started     time.Time
	counters    *counters

	// runCtx is canceled when Run returns, which cancels the runs in progress.
	runCtx     context.Context
	cancelRuns context.CancelFunc

	// membersChanged makes manageReporters reconcile at once. fetchRequests names
	// entries with a newer configuration to fetchNewerRecords.
	membersChanged chan struct{}
	fetchRequests  chan fetchRequest

	// mu guards the fields below.
	mu       sync.Mutex
	fence    *fence.Fence
	sequence uint64
	backends map[string]*backend
	runs     map[fence.Task]*run
	// waitingCalls counts the Start calls that wait for an outcome.
	waitingCalls int
	// uncollected holds the tasks with an outcome that no Start call has received or waits for, and
	// since when, as monotonic time since the start of the agent.
	uncollected map[fence.Task]time.Duration
	reporters   map[string]*reporter
	// lastAnswer is the monotonic time of the last response to a report; answered is set by the first.
	lastAnswer time.Duration
	answered   bool
}

const (
	// sweepInterval bounds how long after the end of its lease a backend server is still reported.
	sweepInterval = 100 * time.Millisecond
	// maxPayloadBytes is the largest task payload or result.
	maxPayloadBytes = 64 << 10
	// maxMessageBytes is the largest message to the agent: a payload and its envelope.
	maxMessageBytes = 1 << 20
	// fetchQueueSize bounds the queued fetch requests. Further ones are dropped, since
	// one response serves them all.
	fetchQueueSize = 4
)

// New returns an agent without an entry table. It grants no start until Run has
// reported to all entries.
func New(opts Options) *Agent {
	l := opts.Settings.Limits
	a := &Agent{
		opts:           opts,
		incarnation:    uuid.NewString(),
		started:        time.Now(),
		membersChanged: make(chan struct{}, 1),
		fetchRequests:  make(chan fetchRequest, fetchQueueSize),
		backends:       make(map[string]*backend),
		runs:           make(map[fence.Task]*run),
		uncollected:    make(map[fence.Task]time.Duration),
		reporters:      make(map[string]*reporter),
	}
	a.runCtx, a.cancelRuns = context.WithCancel(context.Background())
	a.fence = fence.New(fence.Options{
		Incarnation: a.incarnation,
		Started:     a.started,
		Domain:      opts.Settings.Node.Domain,
		Window:      submission.Window{Length: l.SubmissionWindow, Skew: l.ClockSkew},
		TokenAge:    l.TokenAge,
		Lease:       l.AnnounceLease,
		ResultBytes: l.ResultBytes,
	})
	a.counters = newCounters(opts.Metrics, a)
	return a
}

// now returns the monotonic time since the start of the agent and the wall-clock time.
func (a *Agent) now() fence.Clocks {
	t := time.Now()
	return fence.Clocks{Mono: t.Sub(a.started), Wall: t.Round(0)}
}

// handlerOptions limits the message size and disables compression: messages are
// small, and compressing them takes longer than sending them.
func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", nil, nil),
	}
}

// clientOptions disables compression, as handlerOptions does.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}
}

// PeerHandler returns the handler of poplargw.peer.v1.AgentPeer for the entries.
func (a *Agent) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewAgentPeerHandler(peerService{a}, handlerOptions()...))
	return mux
}

// LocalHandler returns the handler of poplargw.v1.Announcer for the backend servers of this VM.
func (a *Agent) LocalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(poplargwv1connect.NewAnnouncerHandler(announcer{a}, handlerOptions()...))
	return mux
}

// Run reports to the entries, expires leases and start records, and fetches the
// configuration until ctx ends, and then returns nil. It cancels the tasks that
// still run then; call Drain first to let them end.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancelRuns()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.sweep(ctx) })
	g.Go(func() error { return a.fetchNewerRecords(ctx) })
	g.Go(func() error { return a.manageReporters(ctx) })
	return g.Wait()
}

// sweep calls sweepOnce every sweepInterval until ctx ends.
func (a *Agent) sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.sweepOnce()
		}
	}
}

// sweepOnce removes backend servers with an expired lease, expired start records,
// and results that were not collected within resultRetention.
func (a *Agent) sweepOnce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for _, name := range a.fence.Sweep(now) {
		b := a.backends[name]
		if b == nil {
			continue
		}
		delete(a.backends, name)
		b.close()
		if !b.leaving {
			a.opts.Log.Warn(event.ServerLeaseEnded, event.Fields{"server": name, "instance": b.instance})
		}
		a.notifyAll()
	}
	for t, at := range a.uncollected {
		if now.Mono-at > a.resultRetention() {
			delete(a.uncollected, t)
		}
	}
}

// resultRetention is how long after the end of a run its uncollected result delays
// Drain: a home that lost its connection reconnects within this time.
func (a *Agent) resultRetention() time.Duration { return a.opts.Settings.Limits.PeerSilence }

// drainPollInterval is how often Drain checks whether it is done.
const drainPollInterval = 20 * time.Millisecond

// Drain refuses new starts and waits until no task runs, every waiting Start call
// has its outcome, and every result whose Start call was abandoned has been
// collected or is older than resultRetention. Run must be in progress. Drain
// returns the error of ctx if ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.fence.Drain()
	a.notifyAll()
	a.opts.Log.Info(event.AgentDrainStarted, event.Fields{"running": len(a.runs)})
	a.mu.Unlock()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for !a.idle() {
		select {
		case <-ctx.Done():
			a.opts.Log.Error(event.AgentDrainTimedOut, event.Fields{"running": a.Status().Running})
			return ctx.Err()
		case <-tick.C:
		}
	}
	a.opts.Log.Info(event.AgentDrainEnded, event.Fields{})
	return nil
}

// idle reports whether nothing is left that Drain waits for.
func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs) == 0 && a.waitingCalls == 0 && len(a.uncollected) == 0
}

// Ready reports whether an entry has answered a report within limits.peer_silence.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inContact()
}

// inContact is Ready for callers that hold a.mu.
func (a *Agent) inContact() bool {
	return a.answered && a.now().Mono-a.lastAnswer <= a.opts.Settings.Limits.PeerSilence
}

// Status is the state of an agent as shown to operators.
type Status struct {
	ID            string         `json:"id"`
	Incarnation   string         `json:"incarnation"`
	Domain        string         `json:"domain"`
	StartedUnixMS int64          `json:"started_unix_ms"`
	ConfigVersion uint64         `json:"config_version"`
	TableVersion  uint64         `json:"table_version"`
	NewestTable   uint64         `json:"newest_table"`
	Acknowledged  bool           `json:"acknowledged"`
	Draining      bool           `json:"draining"`
	Running       int            `json:"running"`
	Waiting       int            `json:"waiting"`
	Records       int            `json:"records"`
	ResultBytes   int64          `json:"result_bytes"`
	Servers       []ServerStatus `json:"servers"`
	Entries       []EntryStatus  `json:"entries"`
}

// ServerStatus is the state of an announced backend server.
type ServerStatus struct {
	Name        string   `json:"name"`
	Instance    string   `json:"instance"`
	Service     string   `json:"service"`
	Kinds       []string `json:"kinds"`
	Address     string   `json:"address"`
	Slots       uint32   `json:"slots"`
	FreeSlots   uint32   `json:"free_slots"`
	Connections uint32   `json:"connections"`
	Leaving     bool     `json:"leaving"`
}

// EntryStatus is the state of the contact with an entry.
type EntryStatus struct {
	// ID is empty for an address from the settings that is not in the entry table.
	ID        string `json:"id"`
	Address   string `json:"address"`
	Reachable bool   `json:"reachable"`
}

// Status returns the current state of the agent.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	s := Status{
		ID:            a.opts.Settings.Node.ID,
		Incarnation:   a.incarnation,
		Domain:        a.opts.Settings.Node.Domain,
		StartedUnixMS: a.started.UnixMilli(),
		ConfigVersion: a.fence.ConfigVersion(),
		TableVersion:  a.fence.Table().GetVersion(),
		NewestTable:   a.fence.NewestTable(),
		Acknowledged:  a.fence.FullyAcknowledged(),
		Draining:      a.fence.Draining(),
		Running:       len(a.runs),
		Waiting:       a.waitingCalls,
		Records:       a.fence.Records(),
		ResultBytes:   a.fence.ResultBytes(),
	}
	for _, v := range a.fence.Servers(now) {
		s.Servers = append(s.Servers, ServerStatus{Name: v.Server, Instance: v.Instance, Service: v.Service, Kinds: v.Kinds,
			Address: v.Address, Slots: v.Slots, FreeSlots: v.FreeSlots, Connections: v.Connections, Leaving: v.Leaving})
	}
	for _, r := range a.reporters {
		s.Entries = append(s.Entries, EntryStatus{ID: r.member.GetId(), Address: r.address, Reachable: r.reachable})
	}
	slices.SortFunc(s.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Address, b.Address) })
	return s
}

// versions returns the versions of the configuration and the entry table. The
// caller must hold a.mu.
func (a *Agent) versions() *peerv1.Versions {
	return &peerv1.Versions{Config: a.fence.ConfigVersion(), Table: a.fence.Table().GetVersion()}
}
