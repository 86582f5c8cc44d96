// Package agent implements the process that runs next to the backend servers of
// one VM. It grants each task at most one start, calls the backend server, keeps
// the results, and reports the state of the backend servers to the entries.
package agent

import (
	"context"
	"net/http"
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

// versions returns the versions of the configuration and the entry table. The
// caller must hold a.mu.
func (a *Agent) versions() *peerv1.Versions {
	return &peerv1.Versions{Config: a.fence.ConfigVersion(), Table: a.fence.Table().GetVersion()}
}
