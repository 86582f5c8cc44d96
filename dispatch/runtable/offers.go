package runtable

import (
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

// Offers distributes capacity that becomes free among entries with waiting tasks. The entry with
// the most urgent task is offered it first; the others are offered it only when that entry has not
// used it for a while. Without offers, waiting entries race for all free capacity: with three
// entries in a burst of 1.8 times the ordinary load, three of five orders were refused, and jobs
// that had already started lost their capacity.
type Offers struct {
	hold     time.Duration
	requests map[string]request
	offers   map[string]offer
}

// request is the demand of an entry's waiting tasks.
type request struct {
	urgency time.Time
	demand  run.Demand
	at      time.Time // when the owner last sent the request
}

// requestTTL is how long a request counts if its owner does not repeat it. Entries send each agent
// a frame at least every 120 ms. Without a limit, an entry that has lost power would keep capacity
// reserved for as long as its connection seems to be open.
const requestTTL = 250 * time.Millisecond

// offer is capacity reserved for an entry.
type offer struct {
	demand run.Demand
	until  time.Time
}

// NewOffers returns an empty set of offers, each of which reserves capacity for the given time.
func NewOffers(hold time.Duration) *Offers {
	return &Offers{hold: hold, requests: map[string]request{}, offers: map[string]offer{}}
}

// Request records at now the demand of the owner's waiting tasks and the latest start time of the
// most urgent one. An empty demand withdraws the owner's request and offer. Negative amounts count as 0: an offer of
// them would add to the capacity that is free for the other owners.
func (o *Offers) Request(now time.Time, owner string, urgency time.Time, demand run.Demand) {
	demand = demand.Clamp()
	if demand == (run.Demand{}) {
		o.Drop(owner)
		return
	}
	o.requests[owner] = request{urgency: urgency, demand: demand, at: now}
}

// Drop forgets the owner's request and offer.
func (o *Offers) Drop(owner string) {
	delete(o.requests, owner)
	delete(o.offers, owner)
}

// Others returns the capacity that is reserved for owners other than the given one.
func (o *Offers) Others(now time.Time, owner string) run.Demand {
	var sum run.Demand
	for other, current := range o.offers {
		if other != owner && now.Before(current.until) {
			sum = sum.Add(current.demand)
		}
	}
	return sum
}

// Use subtracts the demand of an order from the owner's offer.
func (o *Offers) Use(owner string, demand run.Demand) {
	current, ok := o.offers[owner]
	if !ok {
		return
	}
	current.demand = clampToZero(current.demand.Sub(demand))
	o.offers[owner] = current
}

// Next offers free capacity to the owners that have requested some, the most urgent first, and
// returns those with a new offer. Owners that have an expired offer, used or not, come after the
// others.
func (o *Offers) Next(now time.Time, free run.Demand) []string {
	remaining := free.Sub(o.Others(now, ""))
	var owners []string
	for owner, req := range o.requests {
		if now.Sub(req.at) > requestTTL {
			o.Drop(owner)
			continue
		}
		if current, ok := o.offers[owner]; !ok || !now.Before(current.until) {
			owners = append(owners, owner)
		}
	}
	sort.Slice(owners, func(i, j int) bool { return o.hasPriority(owners[i], owners[j]) })
	var offered []string
	for _, owner := range owners {
		demand := minDemand(o.requests[owner].demand, clampToZero(remaining))
		if demand.CPU <= 0 {
			break
		}
		o.offers[owner] = offer{demand: demand, until: now.Add(o.hold)}
		remaining = remaining.Sub(demand)
		offered = append(offered, owner)
	}
	return offered
}

// hasPriority reports whether owner a is offered capacity before owner b. Neither has a
// current offer.
func (o *Offers) hasPriority(a, b string) bool {
	_, expiredA := o.offers[a]
	_, expiredB := o.offers[b]
	if expiredA != expiredB {
		return expiredB
	}
	if !o.requests[a].urgency.Equal(o.requests[b].urgency) {
		return o.requests[a].urgency.Before(o.requests[b].urgency)
	}
	return a < b
}

func minDemand(a, b run.Demand) run.Demand {
	return run.Demand{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}

func clampToZero(d run.Demand) run.Demand {
	return run.Demand{CPU: max(0, d.CPU), MemoryMB: max(0, d.MemoryMB), GPU: max(0, d.GPU)}
}
