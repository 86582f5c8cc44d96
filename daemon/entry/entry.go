// Package entry is the data path of an entry: it receives submissions, runs those whose
// home it is, and recovers the submissions of entries that are gone.
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

// Cluster is the view of the cluster together with the handlers of the EntryPeer calls
// that concern it, and the changes of this entry's own membership.
type Cluster interface {
	cluster.View
	Heartbeat(context.Context, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)
	Publish(context.Context, *peerv1.PublishRequest) (*peerv1.PublishResponse, error)
	// Fetch returns the records without agents.
	Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error)
	// SetLeaving marks this entry leaving in the entry table.
	SetLeaving(ctx context.Context) error
	// Leave removes this entry from the entry table.
	Leave(ctx context.Context) error
}

// Options are the parts that an Entry works with. All fields are required.
type Options struct {
	Settings *settings.Settings
	// Incarnation is chosen anew at each start of the process.
	Incarnation string
	Cluster     Cluster
	Client      transport.Client
	Log         *event.Logger
	Metrics     *metrics.Set
}

// Entry receives submissions and is the home of a share of them.
type Entry struct {
	o       Options
	self    string
	started time.Time
	window  submission.Window
	peers   *peerClients
	home    *home
	counts  *objectives
	changes *changes
	// isolation ends the calls of callers when this entry is cut off.
	isolation *isolation
	metrics   *entryMetrics
	draining  atomic.Bool
	// calls counts the calls of callers and peers that have not been answered.
	calls atomic.Int64
	// warned is the second of the last warning about an unreachable home.
	warned atomic.Int64
}

// New returns an entry. It serves calls once Run runs.
func New(o Options) *Entry {
	l := o.Settings.Limits
	e := &Entry{
		o:       o,
		self:    o.Settings.Node.ID,
		started: time.Now(),
		window:  submission.Window{Length: l.SubmissionWindow, Skew: l.ClockSkew},
		peers:   newPeerClients(o.Client),
		counts:  newObjectives(),
		changes: newChanges(),

		isolation: newIsolation(),
	}
	e.metrics = newEntryMetrics(o.Metrics)
	e.home = newHome(e)
	return e
}

// Run runs the home loop until ctx ends. Submissions that are still held then get no answer.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.home.run(ctx) })
	return g.Wait()
}

// CallerHandler serves the Dispatcher service.
func (e *Entry) CallerHandler() http.Handler { return newCallerHandler(e) }

// PeerHandler serves the EntryPeer service.
func (e *Entry) PeerHandler() http.Handler { return newPeerHandler(e) }

// Ready tells whether a load balancer should send callers here. An entry that has just
// joined becomes ready once submissions of its range are not refused as unknown any more.
func (e *Entry) Ready() bool {
	c := e.o.Cluster
	return !e.draining.Load() && c.Synced() && c.Fresh(time.Now()) && c.Config() != nil &&
		e.inTable() && e.home.settled.Load() && time.Now().UnixNano() >= e.home.readyFrom.Load()
}

func (e *Entry) inTable() bool {
	m := table.Member(e.o.Cluster.Table(), e.self)
	return m != nil && m.GetIncarnation() == e.o.Incarnation
}

// Objectives returns the counts from which service-level burn is computed.
func (e *Entry) Objectives() *poplargwv1.GetObjectivesResponse {
	return &poplargwv1.GetObjectivesResponse{
		Entry:         e.self,
		StartedUnixMs: e.started.UnixMilli(),
		Windows:       e.counts.windows(time.Now()),
	}
}
