package sched

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that can take the task now.
type Candidate struct {
	Placement Placement
	Slots     int
	Free      int
	// Outstanding is the number of unanswered starts of this entry at the server.
	Outstanding int
	// Expected is the expected run time of the task on the server.
	Expected time.Duration
	// OpportunityCost is the run time that longer tasks are expected to lose if this task
	// takes a slot of the server.
	OpportunityCost time.Duration
	// Contended means that the slot is beyond this entry's share of the server, so that
	// another entry may claim it at the same time.
	Contended bool
	// Local and SameRegion report whether the server is in this entry's failure domain
	// and region.
	Local, SameRegion bool
}

// Picker chooses the server of a task.
type Picker interface {
	// Pick returns an index into c. c has at least one element and is valid only during
	// the call.
	Pick(kind string, c []Candidate) int
}

// Network cost of a task outside the failure domain of the entry: one round trip. The
// one-way latency between failure domains of a region is 1 to 1.5 ms.
const (
	otherDomainCost = 3 * time.Millisecond
	otherRegionCost = 30 * time.Millisecond
)

// Cost of a contended slot: refusalCost is the time of the two round trips that a refusal
// and the next start take. In addition, the expected run time divided by
// contentionDivisor accounts for the slot that another entry lacks.
const (
	refusalCost       = 5 * time.Millisecond
	contentionDivisor = 8
)

// busyDivisor is the reciprocal of the share by which a fully used server is assumed to
// be slower than an idle one. The resulting cost also spreads tasks over servers of equal
// speed.
const busyDivisor = 10

// ExpectedCompletion picks the server with the lowest cost: the expected run time, the
// network round trip, the opportunity cost, and surcharges for busy servers and contended
// slots.
type ExpectedCompletion struct{}

// Pick implements Picker.
func (ExpectedCompletion) Pick(_ string, c []Candidate) int {
	best, bestCost := 0, c[0].cost()
	for i := 1; i < len(c); i++ {
		cost := c[i].cost()
		if cost < bestCost || cost == bestCost && c[i].Free > c[best].Free {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost returns the expected time to the result plus the surcharges of ExpectedCompletion.
func (c *Candidate) cost() time.Duration {
	cost := c.Expected + c.OpportunityCost
	if used := c.Slots - c.Free; used > 0 && c.Slots > 0 {
		cost += c.Expected / busyDivisor * time.Duration(used) / time.Duration(c.Slots)
	}
	if c.Contended {
		cost += c.Expected/contentionDivisor + refusalCost
	}
	switch {
	case c.Local:
	case c.SameRegion:
		cost += otherDomainCost
	default:
		cost += otherRegionCost
	}
	return cost
}

// Random picks a server uniformly at random.
type Random struct{ rng *rand.Rand }

// NewRandom returns a Random whose choices depend only on the seed.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 0))} }

// Pick implements Picker.
func (p *Random) Pick(_ string, c []Candidate) int { return p.rng.IntN(len(c)) }

// RoundRobin picks the server that follows the last picked one in the order of agent and
// server names.
type RoundRobin struct{ last Placement }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ string, c []Candidate) int {
	first, next := 0, -1
	for i := range c {
		if lessPlacement(c[i].Placement, c[first].Placement) {
			first = i
		}
		if lessPlacement(p.last, c[i].Placement) && (next < 0 || lessPlacement(c[i].Placement, c[next].Placement)) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	p.last = c[next].Placement
	return next
}

// lessPlacement orders placements by agent, then by server.
func lessPlacement(a, b Placement) bool {
	if a.Agent != b.Agent {
		return a.Agent < b.Agent
	}
	return a.Server < b.Server
}

// LeastOutstanding picks the server with the fewest unanswered starts of this entry.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ string, c []Candidate) int {
	best := 0
	for i := range c {
		if c[i].Outstanding < c[best].Outstanding {
			best = i
		}
	}
	return best
}

// TwoChoices draws two servers at random and picks the one with fewer unanswered starts.
type TwoChoices struct{ rng *rand.Rand }

// NewTwoChoices returns a TwoChoices whose draws depend only on the seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{rng: rand.New(rand.NewPCG(seed, 0))}
}

// Pick implements Picker.
func (p *TwoChoices) Pick(_ string, c []Candidate) int {
	if len(c) == 1 {
		return 0
	}
	a := p.rng.IntN(len(c))
	b := p.rng.IntN(len(c) - 1)
	if b >= a {
		b++
	}
	if c[b].Outstanding < c[a].Outstanding {
		return b
	}
	return a
}
