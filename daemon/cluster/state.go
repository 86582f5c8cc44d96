package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/transport"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

// storeSettle is how long the store must answer after a failure before its reads count as evidence.
// Each entry reads it once a second, so every newer record is written back well within this time.
const storeSettle = 3 * time.Second

// Options configures a Cluster. All fields except Metrics are required.
type Options struct {
	Settings *settings.Settings
	// Incarnation identifies one run of the process.
	Incarnation string
	Store       store.Store
	Client      transport.Client
	Log         *event.Logger
	Metrics     *metrics.Set
}

// Cluster is the View of one entry. It also changes the shared records: it applies configuration
// changes and updates the entry table.
type Cluster struct {
	opts    Options
	metrics *clusterMetrics

	mu          sync.Mutex
	state       *member.State
	leaving     bool
	history     changeHistory
	subscribers []chan struct{}

	snapshot atomic.Pointer[snapshot]

	fetchLimiter     *limiter
	heartbeatLimiter *limiter
	resets           resetLimiter
	uncertain        uncertainChanges
	// backgroundMu keeps goBackground from adding a call while stop waits for all calls to end.
	backgroundMu sync.Mutex
	background   sync.WaitGroup
	// ctx is the context of background calls. It is canceled when Run returns.
	ctx    context.Context
	cancel context.CancelFunc
}

var _ View = (*Cluster)(nil)

// snapshot is the immutable state behind the View methods. It is replaced as a whole.
type snapshot struct {
	config     *poplargwv1.ConfigRecord
	table      *peerv1.EntryTable
	versions   *peerv1.Versions
	freshUntil time.Time
	synced     bool
}

// New returns a Cluster that has no records until Run is called.
func New(opts Options) *Cluster {
	l := opts.Settings.Limits
	c := &Cluster{
		opts: opts,
		state: member.New(opts.Settings.Node.ID, opts.Incarnation, member.Limits{
			Freshness:   l.Freshness,
			PeerSilence: l.PeerSilence,
			StoreSettle: storeSettle,
		}),
		fetchLimiter:     newLimiter(maxConcurrentFetches),
		heartbeatLimiter: newLimiter(maxConcurrentHeartbeats),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.snapshot.Store(&snapshot{versions: &peerv1.Versions{}})
	c.metrics = newMetrics(opts.Metrics, c)
	return c
}

// Config implements View.
func (c *Cluster) Config() *poplargwv1.ConfigRecord { return c.snapshot.Load().config }

// Table implements View.
func (c *Cluster) Table() *peerv1.EntryTable { return c.snapshot.Load().table }

// Versions implements View.
func (c *Cluster) Versions() *peerv1.Versions { return c.snapshot.Load().versions }

// Fresh implements View.
func (c *Cluster) Fresh(now time.Time) bool { return now.Before(c.snapshot.Load().freshUntil) }

// Synced implements View.
func (c *Cluster) Synced() bool { return c.snapshot.Load().synced }

// Adopt implements View.
func (c *Cluster) Adopt(config *poplargwv1.ConfigRecord, table *peerv1.EntryTable) {
	c.mutate(func(st *member.State, now time.Time) {
		if config != nil {
			c.history.add(config)
			st.AdoptConfig(config)
		}
		if table != nil {
			st.AdoptTable(table, now)
		}
	})
}

// Changed implements View.
func (c *Cluster) Changed() <-chan struct{} {
	ch := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, ch)
	return ch
}

// mutate changes the state with f, publishes the new snapshot, notifies the subscribers of new
// records, and logs the changes.
func (c *Cluster) mutate(f func(*member.State, time.Time)) {
	now := time.Now()
	c.mu.Lock()
	wasMember := c.state.InTable()
	f(c.state, now)
	old, cur := c.snapshot.Load(), c.publishSnapshot(now)
	c.history.add(cur.config)
	if old.config != cur.config || old.table != cur.table {
		for _, ch := range c.subscribers {
			signal(ch)
		}
	}
	isMember := c.state.InTable()
	c.mu.Unlock()
	c.logChange(old, cur, wasMember, isMember)
}

// publishSnapshot publishes a snapshot of the state. The caller must hold c.mu.
func (c *Cluster) publishSnapshot(now time.Time) *snapshot {
	s := &snapshot{
		config:     c.state.Config(),
		table:      c.state.Table(),
		freshUntil: c.state.FreshUntil(now),
		synced:     c.state.Synced(),
	}
	s.versions = &peerv1.Versions{Config: s.config.GetVersion(), Table: s.table.GetVersion()}
	c.snapshot.Store(s)
	return s
}

// logChange logs the differences between two snapshots, and whether this entry joined the table or
// was removed.
func (c *Cluster) logChange(old, cur *snapshot, wasMember, isMember bool) {
	if old.config != cur.config {
		c.opts.Log.Info(event.ConfigChanged, event.Fields{
			"version": cur.config.GetVersion(), "change": cur.config.GetChangeId(), "author": cur.config.GetAuthor(),
		})
	}
	if old.table != cur.table {
		c.opts.Log.Info(event.TableChanged, event.Fields{
			"version": cur.table.GetVersion(), "members": len(cur.table.GetMembers()),
		})
	}
	if isMember && !wasMember {
		c.opts.Log.Info(event.EntryJoined, event.Fields{"version": cur.table.GetVersion()})
	}
	if wasMember && !isMember {
		c.opts.Log.Warn(event.EntryRemoved, event.Fields{"version": cur.table.GetVersion()})
	}
}

// otherMembers returns the members of the newest table except this entry.
func (c *Cluster) otherMembers() []*peerv1.EntryMember {
	var ms []*peerv1.EntryMember
	for _, m := range c.Table().GetMembers() {
		if m.GetId() != c.opts.Settings.Node.ID {
			ms = append(ms, m)
		}
	}
	return ms
}

// inspect calls f with the state and the current time while holding c.mu.
func (c *Cluster) inspect(f func(*member.State, time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state, time.Now())
}

// goBackground runs f in a goroutine that Run waits for. Once Run is returning, it does nothing.
func (c *Cluster) goBackground(f func(context.Context)) {
	c.backgroundMu.Lock()
	defer c.backgroundMu.Unlock()
	if c.ctx.Err() == nil {
		c.background.Go(func() { f(c.ctx) })
	}
}

// stop cancels the background calls and waits for them to end.
func (c *Cluster) stop() {
	c.backgroundMu.Lock()
	c.cancel()
	c.backgroundMu.Unlock()
	c.background.Wait()
}

// signal sends on ch unless a value is already pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
