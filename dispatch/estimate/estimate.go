// Package estimate learns the run time of task kinds on backend servers. It does no
// I/O and is not safe for concurrent use.
package estimate

import (
	"slices"
	"time"
)

// Default is the estimate when nothing is known: in the middle of the usual range of
// 50 ms to 1 s.
const Default = 250 * time.Millisecond

const (
	// samples is the number of newest run times whose median is the estimate of a
	// server. Run times of a kind differ by a factor of four or more, so that the median
	// of nine is off by a quarter often, and fast servers are taken for slow ones.
	samples = 33
	// newest is the number of run times that show a change of speed when all of them are
	// above or below the median by changeFactor. The older ones are then forgotten.
	newest       = 5
	changeFactor = 1.5
	// learned is the number of run times from which a server's own median counts alone.
	learned = 3
	// retention is how long the run times of an idle server are kept.
	retention = 10 * time.Minute
	// refreshEvery is the smallest number of run times between two computations of the
	// median over all servers; with many servers it is a quarter of them.
	refreshEvery = 4
)

// Table holds the run times of all servers and kinds. K names a kind.
type Table[K comparable] struct {
	kinds   map[K]*Kind
	servers map[string]*speed
}

// speed holds the cells of one server that have run times.
type speed struct{ cells []*Cell }

// New returns an empty table.
func New[K comparable]() *Table[K] {
	return &Table[K]{kinds: map[K]*Kind{}, servers: map[string]*speed{}}
}

// Kind returns the entry of a kind over all servers and creates it if needed.
func (t *Table[K]) Kind(name K) *Kind {
	k := t.kinds[name]
	if k == nil {
		k = &Kind{cells: map[string]*Cell{}, servers: t.servers}
		t.kinds[name] = k
	}
	return k
}

// Sweep forgets servers without a run time for 10 minutes.
func (t *Table[K]) Sweep(now time.Time) {
	for _, k := range t.kinds {
		for name, c := range k.cells {
			if now.Sub(c.last) > retention {
				delete(k.cells, name)
				t.forget(c)
				k.stale++
			}
		}
	}
}

func (t *Table[K]) forget(c *Cell) {
	c.speed.cells = slices.DeleteFunc(c.speed.cells, func(o *Cell) bool { return o == c })
	if len(c.speed.cells) == 0 {
		delete(t.servers, c.server)
	}
	*c = Cell{kind: c.kind, server: c.server}
}

// Kind is what is known of a kind over all servers.
type Kind struct {
	cells   map[string]*Cell // those with run times
	servers map[string]*speed
	stale   int // run times since the last refresh
	typical time.Duration
	fastest time.Duration
	known   int // servers at the last refresh
	last    time.Time
}

// Last returns the time of the newest run time, or the zero time.
func (k *Kind) Last() time.Time { return k.last }

// Cell returns the entry of one server. It stays valid when Sweep forgets the server.
func (k *Kind) Cell(server string) *Cell {
	if c := k.cells[server]; c != nil {
		return c
	}
	return &Cell{kind: k, server: server}
}

// Typical returns the median over the medians of the servers, so that a server has one
// vote however many tasks it answers, and the number of servers. It returns 0, 0 when
// nothing is known.
func (k *Kind) Typical() (time.Duration, int) {
	k.refresh()
	return k.typical, k.known
}

// Fastest returns the smallest median of a server, or 0 when nothing is known.
func (k *Kind) Fastest() time.Duration {
	k.refresh()
	return k.fastest
}

func (k *Kind) refresh() {
	if k.stale == 0 || (k.known > 0 && k.stale < max(refreshEvery, k.known/4)) {
		return
	}
	k.stale = 0
	medians := make([]time.Duration, 0, len(k.cells))
	for _, c := range k.cells {
		medians = append(medians, c.median)
	}
	slices.Sort(medians)
	k.known, k.typical, k.fastest = len(medians), 0, 0
	if len(medians) > 0 {
		k.typical, k.fastest = medians[len(medians)/2], medians[0]
	}
}

// Cell holds the run times of one server and kind.
type Cell struct {
	kind   *Kind
	server string
	speed  *speed // nil without run times
	ring   [samples]time.Duration
	n      int // run times so far
	median time.Duration
	last   time.Time
}

// Observe adds the run time of a task that ended with a result. Run times that are not
// positive are ignored.
func (c *Cell) Observe(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	c.ring[c.n%samples] = d
	c.n++
	c.last = now
	if c.n > newest && c.changed() {
		c.keepNewest()
	}
	sorted := c.ring
	used := sorted[:min(c.n, samples)]
	slices.Sort(used)
	c.median = used[(len(used)-1)/2]
	if c.speed == nil {
		c.register()
	}
	c.kind.stale++
	c.kind.last = now
}

// changed tells whether the newest run times are all far above or all far below the median.
func (c *Cell) changed() bool {
	low, high := time.Duration(float64(c.median)/changeFactor), time.Duration(float64(c.median)*changeFactor)
	above, below := 0, 0
	for i := c.n - newest; i < c.n; i++ {
		switch d := c.ring[i%samples]; {
		case d > high:
			above++
		case d < low:
			below++
		}
	}
	return above == newest || below == newest
}

func (c *Cell) keepNewest() {
	var kept [newest]time.Duration
	for i := range newest {
		kept[i] = c.ring[(c.n-newest+i)%samples]
	}
	copy(c.ring[:], kept[:])
	c.n = newest
}

func (c *Cell) register() {
	c.kind.cells[c.server] = c
	c.speed = c.kind.servers[c.server]
	if c.speed == nil {
		c.speed = &speed{}
		c.kind.servers[c.server] = c.speed
	}
	c.speed.cells = append(c.speed.cells, c)
}

// Learned tells whether the server's own run times suffice for an estimate.
func (c *Cell) Learned() bool { return c.n >= learned }

// Expected returns the expected run time: the server's own median; before that the
// median of the kind over all servers, scaled by the speed that the server shows with
// other kinds; then the declared duration, then Default. With one or two own run times
// the own median and the kind's are mixed.
func (c *Cell) Expected(declared time.Duration) time.Duration {
	base, servers := c.kind.Typical()
	if c.Learned() {
		return c.pooled(base)
	}
	switch {
	case servers > 0:
		base = time.Duration(float64(base) * c.kind.servers[c.server].factor())
		return (c.median*time.Duration(c.n) + base*time.Duration(learned-c.n)) / learned
	case declared > 0:
		return declared
	}
	return Default
}

// pooled is the mean of the server's own median and of the typical run time scaled by the
// speed that the server shows over all kinds. The latter rests on more run times; it does not
// count for a kind that the server runs at a clearly different speed than others.
func (c *Cell) pooled(typical time.Duration) time.Duration {
	scaled := time.Duration(float64(typical) * c.speed.factor())
	if scaled <= 0 || float64(c.median) > changeFactor*float64(scaled) || float64(scaled) > changeFactor*float64(c.median) {
		return c.median
	}
	return (c.median + scaled) / 2
}

// factor is the mean ratio of the server's run times to the typical ones, over the
// kinds that it has learned; 1 if there are none.
func (s *speed) factor() float64 {
	if s == nil {
		return 1
	}
	sum, n := 0.0, 0
	for _, c := range s.cells {
		if typical, _ := c.kind.Typical(); c.Learned() && typical > 0 {
			sum += float64(c.median) / float64(typical)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
