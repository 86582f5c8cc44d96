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

// storeSettle is how long the store must answer after a failure before its reads count. Each entry
// reads it once a second, so every newer record is written back well within this time.
const storeSettle = 3 * time.Second

// Options are the parts that a Cluster needs. All but Metrics are required.
type Options struct {
	Settings *settings.Settings
	// Incarnation is chosen anew at each start of the process.
	Incarnation string
	Store       store.Store
	Client      transport.Client
	Log         *event.Logger
	Metrics     *metrics.Set
}

// Cluster is the View of one entry, and takes part in changing what it shows.
type Cluster struct {
	o       Options
	metrics *clusterMetrics

	mu      sync.Mutex
	st      *member.State
	leaving bool
	history history
	subs    []chan struct{}

	snap atomic.Pointer[snapshot]

	fetches  *flights
	beats    *flights
	resets   resetLimit
	doubtful doubts
	// workMu keeps new background calls from racing with the wait for their end.
	workMu sync.Mutex
	work   sync.WaitGroup
	// ctx bounds background calls; it ends when Run ends.
	ctx    context.Context
	cancel context.CancelFunc
}

var _ View = (*Cluster)(nil)

// snapshot is what View shows; it is replaced as a whole.
type snapshot struct {
	config     *poplargwv1.ConfigRecord
	table      *peerv1.EntryTable
	versions   *peerv1.Versions
	freshUntil time.Time
	synced     bool
}

// New returns a Cluster that knows nothing until Run.
func New(o Options) *Cluster {
	l := o.Settings.Limits
	c := &Cluster{
		o: o,
		st: member.New(o.Settings.Node.ID, o.Incarnation, member.Limits{
			Freshness:   l.Freshness,
			PeerSilence: l.PeerSilence,
			StoreSettle: storeSettle,
		}),
		fetches: newFlights(maxFetches),
		beats:   newFlights(maxBeats),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.snap.Store(&snapshot{versions: &peerv1.Versions{}})
	c.metrics = newMetrics(o.Metrics, c)
	return c
}

// Config implements View.
func (c *Cluster) Config() *poplargwv1.ConfigRecord { return c.snap.Load().config }

// Table implements View.
func (c *Cluster) Table() *peerv1.EntryTable { return c.snap.Load().table }

// Versions implements View.
func (c *Cluster) Versions() *peerv1.Versions { return c.snap.Load().versions }

// Fresh implements View.
func (c *Cluster) Fresh(now time.Time) bool { return now.Before(c.snap.Load().freshUntil) }

// Synced implements View.
func (c *Cluster) Synced() bool { return c.snap.Load().synced }

// Adopt implements View.
func (c *Cluster) Adopt(config *poplargwv1.ConfigRecord, table *peerv1.EntryTable) {
	c.mutate(func(st *member.State, now time.Time) {
		if config != nil {
			c.history.note(config)
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
	c.subs = append(c.subs, ch)
	return ch
}

// mutate changes the state, shows the result and tells the subscribers about new records.
func (c *Cluster) mutate(f func(*member.State, time.Time)) {
	now := time.Now()
	c.mu.Lock()
	was := c.st.InTable()
	f(c.st, now)
	old, cur := c.snap.Load(), c.show(now)
	c.history.note(cur.config)
	if old.config != cur.config || old.table != cur.table {
		for _, ch := range c.subs {
			notify(ch)
		}
	}
	in := c.st.InTable()
	c.mu.Unlock()
	c.logChange(old, cur, was, in)
}

// show publishes a new snapshot; the caller holds the lock.
func (c *Cluster) show(now time.Time) *snapshot {
	s := &snapshot{
		config:     c.st.Config(),
		table:      c.st.Table(),
		freshUntil: c.st.FreshUntil(now),
		synced:     c.st.Synced(),
	}
	s.versions = &peerv1.Versions{Config: s.config.GetVersion(), Table: s.table.GetVersion()}
	c.snap.Store(s)
	return s
}

func (c *Cluster) logChange(old, cur *snapshot, was, in bool) {
	if old.config != cur.config {
		c.o.Log.Info(event.ConfigChanged, event.Fields{
			"version": cur.config.GetVersion(), "change": cur.config.GetChangeId(), "author": cur.config.GetAuthor(),
		})
	}
	if old.table != cur.table {
		c.o.Log.Info(event.TableChanged, event.Fields{
			"version": cur.table.GetVersion(), "members": len(cur.table.GetMembers()),
		})
	}
	if in && !was {
		c.o.Log.Info(event.EntryJoined, event.Fields{"version": cur.table.GetVersion()})
	}
	if was && !in {
		c.o.Log.Warn(event.EntryRemoved, event.Fields{"version": cur.table.GetVersion()})
	}
}

// others returns the members of the newest table but this entry.
func (c *Cluster) others() []*peerv1.EntryMember {
	var ms []*peerv1.EntryMember
	for _, m := range c.Table().GetMembers() {
		if m.GetId() != c.o.Settings.Node.ID {
			ms = append(ms, m)
		}
	}
	return ms
}

// inspect reads the state under the lock.
func (c *Cluster) inspect(f func(*member.State, time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.st, time.Now())
}

// background runs f in a goroutine that ends with Run, or not at all after Run.
func (c *Cluster) background(f func(context.Context)) {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	if c.ctx.Err() == nil {
		c.work.Go(func() { f(c.ctx) })
	}
}

// stop ends the background calls and waits for them.
func (c *Cluster) stop() {
	c.workMu.Lock()
	c.cancel()
	c.workMu.Unlock()
	c.work.Wait()
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
