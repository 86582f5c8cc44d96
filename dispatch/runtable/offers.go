package runtable

import (
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

// Offers shares room that becomes free among entries whose tasks wait: the entry with the most urgent
// task gets it, and the others are told of it only when that entry has not used it for a while. Without
// offers, entries that wait race for every free place: with three entries in a burst of 1.8 times the
// ordinary load, three of five orders were refused, and jobs that had begun lost their places.
type Offers struct {
	hold   time.Duration
	wants  map[string]want
	offers map[string]offer
}

type want struct {
	urgency time.Time
	demand  run.Demand
	at      time.Time // when the owner said so
}

// wantLife is how long a demand counts that its owner does not repeat. Entries send each agent a frame
// every 120 ms at least. An entry that has lost its power otherwise keeps room for itself, for as long as
// its connection seems to be open.
const wantLife = 250 * time.Millisecond

type offer struct {
	demand run.Demand
	until  time.Time
}

// NewOffers returns an empty set. An offer is held for the given time.
func NewOffers(hold time.Duration) *Offers {
	return &Offers{hold: hold, wants: map[string]want{}, offers: map[string]offer{}}
}

// Want records at now the demand of the owner's waiting tasks and the latest start of the most urgent one.
// No demand withdraws it, and the owner's offer.
func (o *Offers) Want(now time.Time, owner string, urgency time.Time, demand run.Demand) {
	if demand.CPU <= 0 && demand.MemoryMB <= 0 && demand.GPU <= 0 {
		o.Drop(owner)
		return
	}
	o.wants[owner] = want{urgency: urgency, demand: demand, at: now}
}

// Drop forgets the owner.
func (o *Offers) Drop(owner string) {
	delete(o.wants, owner)
	delete(o.offers, owner)
}

// Others returns the room that is held for owners other than the given one.
func (o *Offers) Others(now time.Time, owner string) run.Demand {
	var sum run.Demand
	for name, f := range o.offers {
		if name != owner && now.Before(f.until) {
			sum = sum.Plus(f.demand)
		}
	}
	return sum
}

// Use counts an order against the owner's offer.
func (o *Offers) Use(owner string, demand run.Demand) {
	f, ok := o.offers[owner]
	if !ok {
		return
	}
	f.demand = atLeastZero(f.demand.Minus(demand))
	o.offers[owner] = f
}

// Next offers free room to the owners that want some, the most urgent first, and returns those that
// have a new offer. An owner whose offer has passed unused waits behind the others.
func (o *Offers) Next(now time.Time, free run.Demand) []string {
	left := free.Minus(o.Others(now, ""))
	var names []string
	for name, w := range o.wants {
		if now.Sub(w.at) > wantLife {
			o.Drop(name)
			continue
		}
		if f, ok := o.offers[name]; !ok || !now.Before(f.until) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return o.before(names[i], names[j]) })
	var told []string
	for _, name := range names {
		demand := least(o.wants[name].demand, left)
		if demand.CPU <= 0 {
			break
		}
		o.offers[name] = offer{demand: demand, until: now.Add(o.hold)}
		left = left.Minus(demand)
		told = append(told, name)
	}
	return told
}

func (o *Offers) before(a, b string) bool {
	_, passedA := o.offers[a]
	_, passedB := o.offers[b]
	if passedA != passedB {
		return passedB
	}
	if !o.wants[a].urgency.Equal(o.wants[b].urgency) {
		return o.wants[a].urgency.Before(o.wants[b].urgency)
	}
	return a < b
}

func least(a, b run.Demand) run.Demand {
	return run.Demand{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}

func atLeastZero(d run.Demand) run.Demand {
	return run.Demand{CPU: max(0, d.CPU), MemoryMB: max(0, d.MemoryMB), GPU: max(0, d.GPU)}
}
