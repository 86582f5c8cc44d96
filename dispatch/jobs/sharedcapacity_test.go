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
	name   string
	base   float64
	phases []loadPhase
}

// sharedPatterns returns the load patterns of docs/design/shared-capacity.md. In the first, the load of all kinds is 1.25 in
// the first burst, the largest of a day of deployment R.
func sharedPatterns() []sharedPattern {
	mixed := []loadPhase{{4 * time.Second, []float64{1.5, 1.9, 1}}, {4 * time.Second, []float64{1.3, 1.3, 1.3}}}
	return []sharedPattern{
		{"bursts of long and short, then all", 0.92, mixed},
		{"the same at the mean of a day", 0.6, mixed},
		{"burst of long alone", 0.6, []loadPhase{{4 * time.Second, []float64{1, 5, 1}}}},
		{"burst of short alone", 0.6, []loadPhase{{4 * time.Second, []float64{6, 1, 1}}}},
		{"steady", 0.6, []loadPhase{{6 * time.Second, []float64{1, 1, 1}}}},
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

// runShared plays a pattern and returns the simulation.
func runShared(t *testing.T, seed uint64, p sharedPattern) *simulation {
	sim := newSimulationOf(t, seed, 3, sharedSlowdowns, sharedConfig)
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

// spread is the mean and the standard deviation of a figure over seeds.
type spread []float64

func (x spread) mean() float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(1, len(x)))
}

func (x spread) String() string {
	sum := 0.0
	for _, v := range x {
		sum += (v - x.mean()) * (v - x.mean())
	}
	return fmt.Sprintf("%.3f±%.3f", x.mean(), math.Sqrt(sum/float64(max(1, len(x)-1))))
}

// sharedSpreads plays a pattern with several seeds.
func sharedSpreads(t *testing.T, p sharedPattern, seeds uint64) (all, widest map[string]spread, total spread) {
	all, widest = map[string]spread{}, map[string]spread{}
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := runShared(t, seed, p)
		for kind, r := range sim.results() {
			all[kind] = append(all[kind], r.all)
			widest[kind] = append(widest[kind], r.widest)
		}
		total = append(total, sim.tally.share(sim.tally.withinObjective))
	}
	return all, widest, total
}

// sharedKinds are the names of the kinds of sharedConfig.
var sharedKinds = []string{"short", "long", "small"}

// TestReplaySharedCapacity plays the load patterns of deployment R and reports, for each kind, the share within the objective and
// that of the largest tenth of its jobs by width. It guards against a burst of one kind at the cost of the others.
func TestReplaySharedCapacity(t *testing.T) {
	skipWithRaceDetector(t)
	for _, p := range sharedPatterns() {
		all, widest, total := sharedSpreads(t, p, 6)
		line := fmt.Sprintf("%s: all %v", p.name, total)
		for _, k := range sharedKinds {
			line += fmt.Sprintf(", %s %v (widest %v)", k, all[k], widest[k])
		}
		t.Log(line)
	}
}
