package jobs

import (
	"fmt"
	"testing"
	"time"
)

// scaled returns the configuration with all run times and objectives multiplied by the factor.
func (s simConfig) scaled(factor float64) simConfig {
	out := s
	out.latency = time.Duration(float64(s.latency) * factor)
	out.kinds = nil
	for _, k := range s.kinds {
		k.work = time.Duration(float64(k.work) * factor)
		out.kinds = append(out.kinds, k)
	}
	return out
}

// twelveRequestKinds returns each request kind in four lengths, with an equal share of the work for
// each length.
func twelveRequestKinds() []requestKind {
	var list []requestKind
	for _, k := range requestKinds {
		for i, factor := range []float64{0.5, 0.8, 1.2, 1.8} {
			list = append(list, requestKind{
				name: fmt.Sprint(k.name, "-", i), share: k.share / 4 / factor, width: k.width, priority: k.priority,
				work: time.Duration(float64(k.work) * factor),
			})
		}
	}
	return list
}

// shareWithinObjective simulates 2 s at a load of 0.6, 4 s at the given load and some time at 0.5, with
// three seeds, and returns the share of the jobs at the given load that were served within their
// objectives. A factor above 1 lengthens the times.
func shareWithinObjective(t *testing.T, config simConfig, load, factor float64) float64 {
	sum, count := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		sim := newSimulationOf(t, seed, 3, siteOneSlowdowns, config)
		span := time.Duration(4 * max(1, factor) * float64(time.Second))
		sim.scheduleArrivals(0.6, span/2)
		sim.run(span / 2)
		sim.measureFrom, sim.measureUntil = sim.now, sim.now.Add(span)
		sim.scheduleArrivals(load, span)
		sim.run(span)
		sim.scheduleArrivals(0.5, span/2)
		sim.run(span)
		sum += sim.tally.withinObjective
		count += sim.tally.submitted
	}
	return float64(sum) / float64(count)
}

// maxConfigLoss is how much smaller the share served within the objective may be than with baseConfig.
const maxConfigLoss = 0.02

// TestReplayOtherSettings checks that the constants of the scheduler do not only fit the tasks, kinds,
// services and backend servers of baseConfig: docs/decisions.md states that the share served within the
// objective with other settings is at most 0.02 smaller, at an ordinary load and in a burst.
//
// With a tenth of the run times, messages also take a tenth of the time here. TestReplayTenthOfRunTimes
// shortens the run times alone.
func TestReplayOtherSettings(t *testing.T) {
	skipWithRaceDetector(t)
	one := baseConfig
	one.kinds = []requestKind{requestKinds[2]}
	twelve := baseConfig
	twelve.kinds = twelveRequestKinds()
	two := baseConfig
	two.services = []string{"svc", "other"}
	small := baseConfig
	small.cpuCapacities = []int64{4000, 64000, 8000, 32000, 16000}
	tenth := baseConfig.scaled(0.1)
	tenth.oneWay, tenth.offerHold = baseConfig.oneWay/10, baseConfig.offerHold/10
	cases := []struct {
		name   string
		config simConfig
		factor float64
	}{
		{"0.1 times the run times and messages", tenth, 0.1}, {"10 times the run times", baseConfig.scaled(10), 10},
		{"one kind", one, 1}, {"twelve kinds", twelve, 1}, {"two services", two, 1}, {"4 to 64 cores", small, 1},
	}
	for _, load := range []float64{0.6, 1.2} {
		base := shareWithinObjective(t, baseConfig, load, 1)
		t.Logf("load %.1f: base configuration: %.3f within the objective", load, base)
		for _, c := range cases {
			got := shareWithinObjective(t, c.config, load, c.factor)
			t.Logf("load %.1f: %s: %.3f within the objective", load, c.name, got)
			if got < base-maxConfigLoss {
				t.Errorf("load %.1f: %s: %.3f within the objective, with the base configuration %.3f", load, c.name, got, base)
			}
		}
	}
}

// TestReplayTenthOfRunTimes checks that the same holds as in TestReplayOtherSettings for run times of a
// tenth with messages that take as long as usual: a check of 6 ms then waits for 4 ms of messages.
func TestReplayTenthOfRunTimes(t *testing.T) {
	skipWithRaceDetector(t)
	for _, load := range []float64{0.6, 1.2} {
		base := shareWithinObjective(t, baseConfig, load, 1)
		got := shareWithinObjective(t, baseConfig.scaled(0.1), load, 0.1)
		t.Logf("load %.1f: %.3f within the objective, with the base configuration %.3f", load, got, base)
		if got < base-maxConfigLoss {
			t.Errorf("load %.1f: %.3f within the objective, with the base configuration %.3f", load, got, base)
		}
	}
}
