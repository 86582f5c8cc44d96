package jobs

import (
	"testing"
	"time"
)

// shiftedConfig is the work of a deployment whose tasks each need a ninth of a usual backend server, and two
// fifths of whose CPU seconds go to tasks of 0.9 s.
var shiftedConfig = simConfig{
	kinds: []requestKind{
		{"check", 154, 8, 60 * time.Millisecond, 0},
		{"simulation", 48.8, 4, 900 * time.Millisecond, 2},
		{"angle", 450, 2, 200 * time.Millisecond, 1},
	},
	latency: 60 * time.Millisecond, oneWay: oneWay, offerHold: defaultOfferHold,
	cpuCapacities: []int64{64000, 64000, 96000}, services: []string{"svc"}, taskCPU: 7000,
}

// shiftedFleet returns a simulation of 13 entries and 74 backend servers, with links between all of them.
func shiftedFleet(t *testing.T, seed uint64) *simulation {
	sim := newSimulationOf(t, seed, 13, siteOneSlowdowns, shiftedConfig)
	return sim.withFleet(74)
}

// withFleet replaces the machines by n new ones, and the entries by new ones with a link to each.
func (sim *simulation) withFleet(n int) *simulation {
	sim.machines, sim.byID, sim.queue = nil, map[string]*machine{}, nil
	sim.addMachines(n, 3, siteOneSlowdowns, len(sim.entries))
	for i := range sim.entries {
		sim.entries[i] = New(testLimits)
		for _, m := range sim.machines {
			sim.link(i, m)
		}
	}
	sim.start()
	return sim
}

// TestReplayColdStart checks that entries that know nothing of the speed of their backend servers serve nearly
// all jobs in time. It guards against each of many entries learning the speed of each of many servers by
// itself: most late jobs of a quiet day came in its first seconds. The target, 0.99 of the first two seconds, is that of
// docs/design/shifted-work.md.
func TestReplayColdStart(t *testing.T) {
	skipWithRaceDetector(t)
	for seed := uint64(1); seed <= 3; seed++ {
		sim := shiftedFleet(t, seed)
		sim.measureUntil = sim.now.Add(2 * time.Second)
		sim.scheduleArrivals(0.4, 2*time.Second)
		sim.run(6 * time.Second)
		sim.checkServed("cold start", 0.99)
	}
}

// TestReplayShiftedBursts checks that in bursts of the shifted work at least 0.9 of what the capacity allows is served
// within the objective, as docs/platform.md states for bursts: all kinds at 1.3 of the capacity, and four
// times the kind with the longest tasks. It guards against tasks of a ninth of a server and jobs of several of them that
// find no place although capacity is free.
func TestReplayShiftedBursts(t *testing.T) {
	skipWithRaceDetector(t)
	longKind := shiftedConfig
	longKind.kinds = append([]requestKind(nil), shiftedConfig.kinds...)
	longKind.kinds[1].share *= 4
	cases := map[string]struct {
		config simConfig
		load   float64
	}{"all kinds": {shiftedConfig, 1.3}, "four times the long kind": {longKind, 1.0}}
	for name, c := range cases {
		sim := newSimulationOf(t, 1, 13, siteOneSlowdowns, c.config).withFleet(74)
		sim.scheduleArrivals(0.5, time.Second)
		sim.run(time.Second)
		sim.measureFrom, sim.measureUntil = sim.now, sim.now.Add(3*time.Second)
		sim.scheduleArrivals(c.load, 3*time.Second)
		sim.run(8 * time.Second)
		sim.checkServed(name, 0.9/max(1, c.load))
	}
}
