// Package estimate estimates the run time of task kinds on backend servers from observed run times.
// It does no I/O and is not safe for concurrent use.
package estimate

import (
	"slices"
	"time"
)

// Default is the estimate without any observation. It lies in the middle of the usual range of
// 50 ms to 1 s.
const Default = 250 * time.Millisecond

const (
	// windowSize is the number of recent run times whose median is the estimate of a server. Run
	// times of a kind differ by a factor of four or more, so the median of only nine is often off
	// by a quarter, and fast servers are taken for slow ones.
	windowSize = 33
	// recentSize is the number of most recent run times that indicate a change of speed when all of
	// them are above or all below the median by changeFactor. Older run times are then discarded.
	recentSize   = 5
	changeFactor = 1.5
	// minSamples is the number of run times from which a server's own median is used as an
	// estimate.
	minSamples = 3
	// retention is how long the run times of a kind on a server are kept after the last one.
	retention = 10 * time.Minute
	// refreshEvery is the smallest number of new run times between two computations of the median
	// over all servers. With many servers, a quarter of their number is required.
	refreshEvery = 4
)

// Table holds the run times of all servers and kinds. K identifies a kind.
type Table[K comparable] struct {
	kinds   map[K]*Kind
	servers map[string]*serverSpeed
}

// serverSpeed holds the estimates of one server for the kinds of which it has run times.
type serverSpeed struct{ estimates []*ServerEstimate }

// New returns an empty table.
func New[K comparable]() *Table[K] {
	return &Table[K]{kinds: map[K]*Kind{}, servers: map[string]*serverSpeed{}}
}

// Kind returns the statistics of a kind and creates them if needed.
func (t *Table[K]) Kind(name K) *Kind {
	k := t.kinds[name]
	if k == nil {
		k = &Kind{estimates: map[string]*ServerEstimate{}, servers: t.servers}
		t.kinds[name] = k
	}
	return k
}

// Sweep discards the run times of a kind on a server that has had none for longer than retention.
func (t *Table[K]) Sweep(now time.Time) {
	for _, k := range t.kinds {
		for name, e := range k.estimates {
			if now.Sub(e.last) > retention {
				delete(k.estimates, name)
				t.forget(e)
				k.newSamples++
			}
		}
	}
}

// forget clears an estimate and removes it from the speed of its server.
func (t *Table[K]) forget(e *ServerEstimate) {
	e.speed.estimates = slices.DeleteFunc(e.speed.estimates, func(o *ServerEstimate) bool { return o == e })
	if len(e.speed.estimates) == 0 {
		delete(t.servers, e.server)
	}
	*e = ServerEstimate{kind: e.kind, server: e.server}
}

// Kind holds the run time statistics of one kind over all servers.
type Kind struct {
	estimates    map[string]*ServerEstimate // estimates with run times, by server
	servers      map[string]*serverSpeed
	newSamples   int // run times since the last refresh
	typical      time.Duration
	fastest      time.Duration
	knownServers int // number of servers at the last refresh
	last         time.Time
}

// Last returns the time of the most recent observation, or the zero time.
func (k *Kind) Last() time.Time { return k.last }

// ForServer returns the run times of the kind on one server. The estimate stays valid when Sweep
// discards the server's run times.
func (k *Kind) ForServer(server string) *ServerEstimate {
	if e := k.estimates[server]; e != nil {
		return e
	}
	return &ServerEstimate{kind: k, server: server}
}

// Typical returns the median of the servers' medians and the number of servers, or 0, 0 without
// observations. Each server counts once, however many tasks it answers.
func (k *Kind) Typical() (time.Duration, int) {
	k.refresh()
	return k.typical, k.knownServers
}

// Fastest returns the smallest median of a server, or 0 without observations.
func (k *Kind) Fastest() time.Duration {
	k.refresh()
	return k.fastest
}

// refresh recomputes the statistics when there are enough new run times.
func (k *Kind) refresh() {
	if k.newSamples == 0 || (k.knownServers > 0 && k.newSamples < max(refreshEvery, k.knownServers/4)) {
		return
	}
	k.newSamples = 0
	medians := make([]time.Duration, 0, len(k.estimates))
	for _, e := range k.estimates {
		medians = append(medians, e.median)
	}
	slices.Sort(medians)
	k.knownServers, k.typical, k.fastest = len(medians), 0, 0
	if len(medians) > 0 {
		k.typical, k.fastest = medians[len(medians)/2], medians[0]
	}
}

// ServerEstimate holds the run times of one kind on one server.
type ServerEstimate struct {
	kind   *Kind
	server string
	speed  *serverSpeed // nil without run times
	ring   [windowSize]time.Duration
	count  int // run times observed, possibly more than the ring holds
	median time.Duration
	last   time.Time
}

// Observe adds the run time of a task that ended with a result. Run times that are not positive are
// ignored.
func (e *ServerEstimate) Observe(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	e.ring[e.count%windowSize] = d
	e.count++
	e.last = now
	if e.count > recentSize && e.speedChanged() {
		e.keepRecent()
	}
	sorted := e.ring
	used := sorted[:min(e.count, windowSize)]
	slices.Sort(used)
	e.median = used[(len(used)-1)/2]
	if e.speed == nil {
		e.register()
	}
	e.kind.newSamples++
	e.kind.last = now
}

// speedChanged reports whether the most recent run times are all far above or all far below the
// median.
func (e *ServerEstimate) speedChanged() bool {
	low, high := time.Duration(float64(e.median)/changeFactor), time.Duration(float64(e.median)*changeFactor)
	above, below := 0, 0
	for i := e.count - recentSize; i < e.count; i++ {
		switch d := e.ring[i%windowSize]; {
		case d > high:
			above++
		case d < low:
			below++
		}
	}
	return above == recentSize || below == recentSize
}

// keepRecent discards all but the most recent run times.
func (e *ServerEstimate) keepRecent() {
	var kept [recentSize]time.Duration
	for i := range recentSize {
		kept[i] = e.ring[(e.count-recentSize+i)%windowSize]
	}
	copy(e.ring[:], kept[:])
	e.count = recentSize
}

// register adds an estimate with its first run time to its kind and server.
func (e *ServerEstimate) register() {
	e.kind.estimates[e.server] = e
	e.speed = e.kind.servers[e.server]
	if e.speed == nil {
		e.speed = &serverSpeed{}
		e.kind.servers[e.server] = e.speed
	}
	e.speed.estimates = append(e.speed.estimates, e)
}

// Learned reports whether the server has enough run times of its own for an estimate.
func (e *ServerEstimate) Learned() bool { return e.count >= minSamples }

// Median returns the median of the server's own run times, or 0 without any.
func (e *ServerEstimate) Median() time.Duration { return e.median }

// Expected returns the expected run time. With at least minSamples own run times it is the server's
// own median, averaged with the kind's scaled median if the two are close. Before that it is the
// median of the kind over all servers, scaled by the server's speed with other kinds and weighted
// with the own median if there are one or two run times. Without any run times of the kind it is
// the declared duration, or Default if that is 0.
func (e *ServerEstimate) Expected(declared time.Duration) time.Duration {
	base, servers := e.kind.Typical()
	if e.Learned() {
		return e.pooled(base)
	}
	switch {
	case servers > 0:
		base = time.Duration(float64(base) * e.kind.servers[e.server].factor())
		return (e.median*time.Duration(e.count) + base*time.Duration(minSamples-e.count)) / minSamples
	case declared > 0:
		return declared
	}
	return Default
}

// pooled returns the mean of the server's own median and the typical run time scaled by the
// server's speed over all kinds, which rests on more run times. It returns the own median alone for
// a kind that the server runs at a clearly different speed than others.
func (e *ServerEstimate) pooled(typical time.Duration) time.Duration {
	scaled := time.Duration(float64(typical) * e.speed.factor())
	if scaled <= 0 || float64(e.median) > changeFactor*float64(scaled) || float64(scaled) > changeFactor*float64(e.median) {
		return e.median
	}
	return (e.median + scaled) / 2
}

// factor returns the mean ratio of the server's medians to the typical run times over the kinds
// with enough run times, or 1 if there are none. A factor above 1 means a slow server.
func (s *serverSpeed) factor() float64 {
	if s == nil {
		return 1
	}
	sum, n := 0.0, 0
	for _, e := range s.estimates {
		if typical, _ := e.kind.Typical(); e.Learned() && typical > 0 {
			sum += float64(e.median) / float64(typical)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
