package jobs

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// sharedConfig is the work of deployment R of docs/design/hard-load.md: a backend server has as many cores as one of
// baseConfig on average, three speeds, and three queues of different priority whose jobs differ in width.
var sharedConfig = simConfig{
	kinds: []requestKind{
		{"short", 181, 8, 51 * time.Millisecond, 0},
		{"long", 33, 4, 760 * time.Millisecond, 2},
		{"small", 528, 2, 170 * time.Millisecond, 1},
	},
	latency: 60 * time.Millisecond, oneWay: oneWay, offerHold: defaultOfferHold,
	cpuCapacities: []int64{32000, 32000, 48000}, services: []string{"svc"}, taskCPU: 3500,
	varied: variation{widthSigma: 0.8, tailShare: 0.03, tailFactor: 7, deadline: 1500 * time.Millisecond},
}

// sharedSlowdowns are those of servers of the speeds 0.8, 1.0 and 1.25.
var sharedSlowdowns = []float64{1.25, 1, 0.8}

// loadPhase is a time with a rate of each kind, as a factor of the rate in sharedConfig.
type loadPhase struct {
	span    time.Duration
	factors []float64
}

// sharedPattern is a load pattern. The factors are relative to a load of base.
type sharedPattern struct {
	name string
	base float64
	// longBurst is set if the long kind takes more of the capacity than usual, and all kinds together more than there is.
	longBurst bool
	phases    []loadPhase
}

// sharedPatterns returns the load patterns of docs/design/shared-capacity.md. In the first, the load of all kinds is 1.25 in
// the first burst, the largest of a day of deployment R.
func sharedPatterns() []sharedPattern {
	mixed := []loadPhase{{4 * time.Second, []float64{1.5, 1.9, 1}}, {4 * time.Second, []float64{1.3, 1.3, 1.3}}}
	return []sharedPattern{
		{"bursts of long and short, then all", 0.92, true, mixed},
		{"the same at the mean of a day", 0.6, false, mixed},
		{"burst of long alone", 0.6, true, []loadPhase{{4 * time.Second, []float64{1, 5, 1}}}},
		{"burst of short alone", 0.6, false, []loadPhase{{4 * time.Second, []float64{6, 1, 1}}}},
		{"steady", 0.6, false, []loadPhase{{6 * time.Second, []float64{1, 1, 1}}}},
	}
}

// scheduleFactors schedules arrivals with the rates of sharedConfig times the factors, where a factor of 1 for all kinds is a
// load of base.
func (sim *simulation) scheduleFactors(base float64, factors []float64, d time.Duration) {
	sum, usual := 0.0, 0.0
	kinds := slices.Clone(sharedConfig.kinds)
	for i := range kinds {
		work := kinds[i].share * float64(kinds[i].width) * kinds[i].work.Seconds()
		usual += work
		kinds[i].share *= factors[i]
		sum += work * factors[i]
	}
	capacity, effective := 0.0, 0.0
	for _, m := range sim.machines {
		capacity += float64(m.cpuCapacity)
		effective += float64(m.cpuCapacity) / m.slowdown
	}
	sim.kinds = kinds
	sim.scheduleArrivals(base*sum/usual*effective/capacity/sim.varied.meanFactor(), d)
}

// runShared plays a pattern, with or without reserves, and returns the simulation.
func runShared(t *testing.T, seed uint64, p sharedPattern, reserves bool) *simulation {
	sim := newSimulationOf(t, seed, 3, sharedSlowdowns, sharedConfig)
	for _, s := range sim.entries {
		s.limits.ReserveForUrgent = reserves
	}
	ones := []float64{1, 1, 1}
	sim.scheduleFactors(min(p.base, 0.6), ones, 2*time.Second)
	sim.run(2 * time.Second)
	sim.measureFrom = sim.now
	for _, phase := range p.phases {
		sim.scheduleFactors(p.base, phase.factors, phase.span)
		sim.run(phase.span)
	}
	sim.measureUntil = sim.now
	sim.scheduleFactors(0.5, ones, time.Second)
	sim.run(3 * time.Second)
	return sim
}

// sharedResult is the share within the objective of the jobs of one kind, and of its largest tenth by width.
type sharedResult struct{ all, widest float64 }

// results returns the result of each kind.
func (sim *simulation) results() map[string]sharedResult {
	byKind := map[string][]endedJob{}
	for _, j := range sim.ended {
		byKind[j.kind] = append(byKind[j.kind], j)
	}
	out := map[string]sharedResult{}
	for kind, list := range byKind {
		slices.SortStableFunc(list, func(a, b endedJob) int { return cmp.Compare(b.width, a.width) })
		out[kind] = sharedResult{shareOf(list), shareOf(list[:(len(list)+9)/10])}
	}
	return out
}

// shareOf returns the share of the jobs within their objective.
func shareOf(list []endedJob) float64 {
	n := 0
	for _, j := range list {
		if j.withinObjective {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}

// spread holds a figure for each seed.
type spread []float64

func (x spread) mean() float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(1, len(x)))
}

// deviation returns the standard deviation over the seeds.
func (x spread) deviation() float64 {
	sum := 0.0
	for _, v := range x {
		sum += (v - x.mean()) * (v - x.mean())
	}
	return math.Sqrt(sum / float64(max(1, len(x)-1)))
}

// minus returns the difference for each seed.
func (x spread) minus(y spread) spread {
	var out spread
	for i := range x {
		out = append(out, x[i]-y[i])
	}
	return out
}

func (x spread) String() string { return fmt.Sprintf("%.3f±%.3f", x.mean(), x.deviation()) }

// sharedSpreads holds the results of a pattern: the shares within the objective of each kind and of its largest tenth, and of all
// jobs.
type sharedSpreads struct {
	all, widest map[string]spread
	total       spread
}

func (r sharedSpreads) String() string {
	line := fmt.Sprintf("all kinds %v", r.total)
	for _, k := range sharedConfig.kinds {
		line += fmt.Sprintf(", %s %v (widest %v)", k.name, r.all[k.name], r.widest[k.name])
	}
	return line
}

// playShared plays a pattern with six seeds.
func playShared(t *testing.T, p sharedPattern, reserves bool) sharedSpreads {
	out := sharedSpreads{all: map[string]spread{}, widest: map[string]spread{}}
	for seed := uint64(1); seed <= 6; seed++ {
		sim := runShared(t, seed, p, reserves)
		for kind, r := range sim.results() {
			out.all[kind] = append(out.all[kind], r.all)
			out.widest[kind] = append(out.widest[kind], r.widest)
		}
		out.total = append(out.total, sim.tally.share(sim.tally.withinObjective))
	}
	return out
}

// TestReplaySharedCapacity plays the load patterns of deployment R with and without reserves. It guards against a burst of long jobs
// at the cost of the urgent short ones, against a rule that costs more than maxConfigLoss under a steady load, and against
// wide jobs that are starved: docs/design/hard-load.md asks that the largest tenth of a kind by width is served at least half as often
// as the kind.
func TestReplaySharedCapacity(t *testing.T) {
	skipWithRaceDetector(t)
	for _, p := range sharedPatterns() {
		off, on := playShared(t, p, false), playShared(t, p, true)
		t.Logf("%s, without reserves: %v", p.name, off)
		t.Logf("%s, with reserves: %v", p.name, on)
		gain := on.total.minus(off.total)
		short := on.all["short"].minus(off.all["short"])
		t.Logf("%s, gain: all kinds %v, short %v, long %v, small %v", p.name, gain, short, on.all["long"].minus(off.all["long"]), on.all["small"].minus(off.all["small"]))
		if gain.mean() < -maxConfigLoss {
			t.Errorf("%s: reserves cost %v of all jobs", p.name, gain)
		}
		if p.longBurst && short.mean() <= short.deviation() {
			t.Errorf("%s: short jobs gain %v, want more than the spread", p.name, short)
		}
		for kind, x := range on.all {
			if widest := on.widest[kind].mean(); widest < x.mean()/2 {
				t.Errorf("%s: %.3f of the largest tenth of %s within the objective, %.3f of all", p.name, widest, kind, x.mean())
			}
		}
	}
}
