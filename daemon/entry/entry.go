// Package entry implements the data path of an entry.
//
// An entry receives submissions from callers and carries each one to its home, the member
// to which the entry table assigns the submission's key. The home schedules the tasks of
// the job and starts them through agents. When a change of the entry table moves keys to
// an entry, the entry claims them: before it serves these keys, it asks the other entries
// which submissions they hold and the agents which tasks they have started. The keys whose
// home is an entry are called the range of the entry, or key range.
//
// An entry starts tasks only while it is fresh, that is, while it has recently reached the
// store or a majority of the entries; see cluster.View. An entry that has not been fresh for
// so long that the others may have replaced it is isolated.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/cluster"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/transport"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// Cluster is the view of the cluster, the handlers of the EntryPeer calls that concern
// the cluster, and the operations that change this entry's own membership.
type Cluster interface {
	cluster.View
	Heartbeat(context.Context, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)
	Publish(context.Context, *peerv1.PublishRequest) (*peerv1.PublishResponse, error)
	// Fetch returns the newest records. It leaves the list of agents empty.
	Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error)
	// SetLeaving marks this entry as leaving in the entry table.
	SetLeaving(ctx context.Context) error
	// Leave removes this entry from the entry table.
	Leave(ctx context.Context) error
}

// Options are the dependencies of an Entry. All fields are required.
type Options struct {
	Settings *settings.Settings
	// Incarnation identifies this run of the process; each start uses a new one.
	Incarnation string
	Cluster     Cluster
	Client      transport.Client
	Log         *event.Logger
	Metrics     *metrics.Set
}

// Entry receives submissions and is the home of those whose keys the entry table assigns
// to it. Its methods are safe for concurrent use.
type Entry struct {
	opts         Options
	self         string
	started      time.Time
	window       submission.Window
	peers        *peerClients
	home         *home
	objectives   *objectiveTracker
	tableChanges *changeNotifier
	// isolation ends the calls of callers when this entry is isolated.
	isolation *isolation
	metrics   *entryMetrics
	draining  atomic.Bool
	// openCalls counts the calls of callers and peers that have not been answered.
	openCalls atomic.Int64
	// lastUnreachableLog is the time, in Unix seconds, of the last warning about an
	// unreachable home.
	lastUnreachableLog atomic.Int64
}

// New returns an entry. It answers calls only while Run is running.
func New(o Options) *Entry {
	l := o.Settings.Limits
	e := &Entry{
		opts:         o,
		self:         o.Settings.Node.ID,
		started:      time.Now(),
		window:       submission.Window{Length: l.SubmissionWindow, Skew: l.ClockSkew},
		peers:        newPeerClients(o.Client),
		objectives:   newObjectiveTracker(),
		tableChanges: newChangeNotifier(),

		isolation: newIsolation(),
	}
	e.metrics = newEntryMetrics(o.Metrics)
	e.home = newHome(e)
	return e
}

// Run runs the home loop until ctx ends and then returns nil. Submissions that are in
// progress at that time get no answer.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.home.run(ctx) })
	return g.Wait()
}

// CallerHandler returns the handler of the Dispatcher service.
func (e *Entry) CallerHandler() http.Handler { return newCallerHandler(e) }

// PeerHandler returns the handler of the EntryPeer service.
func (e *Entry) PeerHandler() http.Handler { return newPeerHandler(e) }

// Ready reports whether a load balancer should send callers to this entry. An entry that
// has just joined becomes ready once it no longer answers submissions of its range with
// an unknown outcome.
func (e *Entry) Ready() bool {
	c := e.opts.Cluster
	return !e.draining.Load() && c.Synced() && c.Fresh(time.Now()) && c.Config() != nil &&
		e.inTable() && e.home.settled.Load() && time.Now().UnixNano() >= e.home.readyFrom.Load()
}

// inTable reports whether this incarnation is a member of the entry table.
func (e *Entry) inTable() bool {
	m := table.Member(e.opts.Cluster.Table(), e.self)
	return m != nil && m.GetIncarnation() == e.opts.Incarnation
}

// Objectives returns the counts of good and total requests in the last hour, from which
// the burn rate of the service-level objectives is computed.
func (e *Entry) Objectives() *poplargwv1.GetObjectivesResponse {
	return &poplargwv1.GetObjectivesResponse{
		Entry:         e.self,
		StartedUnixMs: e.started.UnixMilli(),
		Windows:       e.objectives.windows(time.Now()),
	}
}
