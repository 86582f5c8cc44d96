// Package agent runs beside the backend servers of one VM. It grants each task
// its one start, calls the backend server, keeps the results, and reports the
// state of the backend servers to the entries.
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

// Options are what an agent needs from its process.
type Options struct {
	Settings *settings.Settings
	// Client reaches the entries.
	Client  transport.Client
	Log     *event.Logger
	Metrics *metrics.Set
}

// Agent is the agent of one VM. It is safe for concurrent use.
type Agent struct {
	o           Options
	incarnation string
	started     time.Time
	m           *counters

	// runCtx ends when Run returns; runs in progress are cut then.
	runCtx context.Context
	cut    context.CancelFunc

	// members wakes the membership duty, fetch tells the fetch duty who has a newer configuration.
	members chan struct{}
	fetch   chan newer

	mu         sync.Mutex
	fence      *fence.Fence
	sequence   uint64
	backends   map[string]*backend
	runs       map[fence.Task]*run
	waiting    int
	unread     map[fence.Task]time.Duration
	reporters  map[string]*reporter
	lastAnswer time.Duration
	answered   bool
}

const (
	// sweepEvery bounds how much later than its lease a backend server vanishes from reports.
	sweepEvery = 100 * time.Millisecond
	// maxPayload is the largest task payload or result in bytes.
	maxPayload = 64 << 10
	// maxMessage bounds one message to the agent: a payload and its envelope.
	maxMessage = 1 << 20
	// fetchQueue bounds what waits for the fetch duty; more is dropped, since one answer serves all.
	fetchQueue = 4
)

// New returns an agent that knows no entry table yet and grants no start before
// Run has reported to all entries.
func New(o Options) *Agent {
	l := o.Settings.Limits
	a := &Agent{
		o:           o,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		members:     make(chan struct{}, 1),
		fetch:       make(chan newer, fetchQueue),
		backends:    make(map[string]*backend),
		runs:        make(map[fence.Task]*run),
		unread:      make(map[fence.Task]time.Duration),
		reporters:   make(map[string]*reporter),
	}
	a.runCtx, a.cut = context.WithCancel(context.Background())
	a.fence = fence.New(fence.Options{
		Incarnation: a.incarnation,
		Started:     a.started,
		Domain:      o.Settings.Node.Domain,
		Window:      submission.Window{Length: l.SubmissionWindow, Skew: l.ClockSkew},
		TokenAge:    l.TokenAge,
		Lease:       l.AnnounceLease,
		ResultBytes: l.ResultBytes,
	})
	a.m = newCounters(o.Metrics, a)
	return a
}

// now reads both clocks.
func (a *Agent) now() fence.Now {
	t := time.Now()
	return fence.Now{Mono: t.Sub(a.started), Wall: t.Round(0)}
}

// handlerOptions bound messages and turn compression off: messages are small and
// the time to compress them exceeds the time to send them.
func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessage),
		connect.WithCompression("gzip", nil, nil),
	}
}

func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}
}

// PeerHandler serves poplargw.peer.v1.AgentPeer.
func (a *Agent) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewAgentPeerHandler(peerService{a}, handlerOptions()...))
	return mux
}

// LocalHandler serves poplargw.v1.Announcer to the backend servers of this VM.
func (a *Agent) LocalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(poplargwv1connect.NewAnnouncerHandler(announcer{a}, handlerOptions()...))
	return mux
}

// Run does the agent's duties until ctx ends: reports to the entries, ends leases
// and start records, and fetches configuration. It returns nil when ctx ends.
// Tasks that still run then are cut; call Drain before to let them end.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cut()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.sweep(ctx) })
	g.Go(func() error { return a.fetchRecords(ctx) })
	g.Go(func() error { return a.followMembers(ctx) })
	return g.Wait()
}

// sweep ends leases and forgets records.
func (a *Agent) sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
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
			a.o.Log.Warn(event.ServerLeaseEnded, event.Fields{"server": name, "instance": b.instance})
		}
		a.notifyAll()
	}
	for t, at := range a.unread {
		if now.Mono-at > a.collectTime() {
			delete(a.unread, t)
		}
	}
}

// collectTime is how long after its end a result that nobody has read may still
// be collected: a home that lost its connection comes back within this time.
func (a *Agent) collectTime() time.Duration { return a.o.Settings.Limits.PeerSilence }

// drainPoll is how often Drain looks whether it is done.
const drainPoll = 20 * time.Millisecond

// Drain refuses new starts and waits until no task runs, every waiting Start call
// has its outcome, and results whose caller went away were collected or are
// older than the time in which an entry comes back for them. Run must be in
// progress. It returns the error of ctx when ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.fence.Drain()
	a.notifyAll()
	a.o.Log.Info(event.AgentDrainStarted, event.Fields{"running": len(a.runs)})
	a.mu.Unlock()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !a.idle() {
		select {
		case <-ctx.Done():
			a.o.Log.Error(event.AgentDrainCut, event.Fields{"running": a.Status().Running})
			return ctx.Err()
		case <-tick.C:
		}
	}
	a.o.Log.Info(event.AgentDrainEnded, event.Fields{})
	return nil
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs) == 0 && a.waiting == 0 && len(a.unread) == 0
}

// Ready tells whether an entry has answered a report within the last PeerSilence.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inContact()
}

func (a *Agent) inContact() bool {
	return a.answered && a.now().Mono-a.lastAnswer <= a.o.Settings.Limits.PeerSilence
}

// Status describes an agent for operators.
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

// ServerStatus describes an announced backend server.
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

// EntryStatus describes the contact with an entry.
type EntryStatus struct {
	// ID is empty for an address from the settings that no entry table names.
	ID        string `json:"id"`
	Address   string `json:"address"`
	Reachable bool   `json:"reachable"`
}

// Status returns the present state.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	s := Status{
		ID:            a.o.Settings.Node.ID,
		Incarnation:   a.incarnation,
		Domain:        a.o.Settings.Node.Domain,
		StartedUnixMS: a.started.UnixMilli(),
		ConfigVersion: a.fence.ConfigVersion(),
		TableVersion:  a.fence.Table().GetVersion(),
		NewestTable:   a.fence.NewestTable(),
		Acknowledged:  a.fence.Acknowledged(),
		Draining:      a.fence.Draining(),
		Running:       len(a.runs),
		Waiting:       a.waiting,
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

// versions must be called under the lock.
func (a *Agent) versions() *peerv1.Versions {
	return &peerv1.Versions{Config: a.fence.ConfigVersion(), Table: a.fence.Table().GetVersion()}
}
