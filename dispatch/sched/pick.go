package sched

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that can take the task now.
type Candidate struct {
	At    Placement
	Slots int
	Free  int
	// Outstanding is the number of unanswered starts of this entry at the server.
	Outstanding int
	// Expected is the expected run time of the task there.
	Expected time.Duration
	// Reserve is the time that longer tasks are expected to lose when this task takes
	// a slot of the server.
	Reserve time.Duration
	// Shared means that another entry may claim the slot at the same moment.
	Shared bool
	// Local and SameRegion compare the server's location with this entry's.
	Local, SameRegion bool
}

// Picker chooses a server.
type Picker interface {
	// Pick returns an index into c, which has at least one element and is valid only
	// during the call.
	Pick(kind string, c []Candidate) int
}

// Network costs of a task outside the entry's failure domain: a round trip of twice
// the one-way latency (1 to 1.5 ms between failure domains of a region).
const (
	otherDomainCost = 3 * time.Millisecond
	otherRegionCost = 30 * time.Millisecond
)

// Costs of a slot outside this entry's share of the server: a refusal and the next start
// take two round trips, and what is taken there is missing to another entry.
const (
	refusalCost = 5 * time.Millisecond
	sharedShare = 8
)

// busyShare is the assumed share by which a fully used server is slower than an idle
// one. It also spreads tasks over servers of equal speed.
const busyShare = 10

// ExpectedCompletion picks the server with the shortest expected time to the answer,
// with the network and the loss of longer tasks taken into account.
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

func (c *Candidate) cost() time.Duration {
	cost := c.Expected + c.Reserve
	if used := c.Slots - c.Free; used > 0 && c.Slots > 0 {
		cost += c.Expected / busyShare * time.Duration(used) / time.Duration(c.Slots)
	}
	if c.Shared {
		cost += c.Expected/sharedShare + refusalCost
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

// Random picks uniformly.
type Random struct{ rng *rand.Rand }

// NewRandom returns a Random whose choices depend only on the seed.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 0))} }

// Pick implements Picker.
func (p *Random) Pick(_ string, c []Candidate) int { return p.rng.IntN(len(c)) }

// RoundRobin picks the server that follows the last one by agent and name.
type RoundRobin struct{ last Placement }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ string, c []Candidate) int {
	first, next := 0, -1
	for i := range c {
		if less(c[i].At, c[first].At) {
			first = i
		}
		if less(p.last, c[i].At) && (next < 0 || less(c[i].At, c[next].At)) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	p.last = c[next].At
	return next
}

func less(a, b Placement) bool {
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

// TwoChoices draws two servers and picks the one with fewer unanswered starts.
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
