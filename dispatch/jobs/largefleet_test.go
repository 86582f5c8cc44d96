package jobs

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/partner"
)

// The replays of this file compare entries that have links to a part of a large fleet with entries that
// have links to all of it, with the same arrivals.

// linkDelay is the time from the decision to open a link to the first report: two round trips.
const linkDelay = 4 * oneWay

// newLargeSimulation returns a simulation of a fleet in five failure domains. If whole is set, every
// entry has links to all machines. The entries have unequal shares of the callers, because the load
// balancer hashes few callers onto many entries.
func newLargeSimulation(t *testing.T, seed uint64, entries, machines int, whole bool) *simulation {
	sim := newSimulation(t, seed, entries, siteOneSlowdowns)
	sim.machines, sim.byID, sim.entries = nil, map[string]*machine{}, nil
	sim.queue, sim.lastID, sim.heartbeatInterval = nil, 0, 100*time.Millisecond
	sim.addMachines(machines, 5, siteOneSlowdowns, entries)
	for i := range entries {
		sim.entries = append(sim.entries, New(testLimits))
		sim.weights = append(sim.weights, math.Exp(0.8*sim.rng.NormFloat64()))
		if whole {
			for _, m := range sim.machines {
				sim.link(i, m)
			}
			continue
		}
		sim.partners = append(sim.partners, partner.New(fmt.Sprintf("front-%d", i), domainName(i%5)))
	}
	sim.setFleet()
	sim.start()
	sim.run(time.Second)
	clear(sim.frames)
	return sim
}

// setFleet tells all partner sets which machines exist.
func (sim *simulation) setFleet() {
	var fleet []partner.Agent
	for _, m := range sim.machines {
		fleet = append(fleet, partner.Agent{ID: m.id, Domain: m.domain})
	}
	for _, s := range sim.partners {
		s.SetFleet(fleet)
	}
}

// partnerView adds the method Linked to a scheduler, for partner.Set.
type partnerView struct {
	*Scheduler
}

// Linked reports whether the scheduler has a link to the agent.
func (v partnerView) Linked(agent string) bool { s := v.servers[agent]; return s != nil && s.linked }

// stepPartners opens and closes links as the entry's partner set decides.
func (sim *simulation) stepPartners(i int) {
	if sim.partners == nil {
		return
	}
	s := sim.entries[i]
	var load partner.Load
	load.Waiting, load.Runs = s.Tasks()
	load.Free, load.Capacity = s.Capacity()
	c := sim.partners[i].Step(sim.now, load, partnerView{s})
	s.SetOpening(sim.partners[i].Opening())
	for _, id := range c.Open {
		sim.after(linkDelay, func() { sim.openLink(i, sim.byID[id]) })
	}
	for _, id := range c.Close {
		sim.closeLink(i, sim.byID[id])
	}
}

// openLink opens a link unless the machine is dead or already has one to the entry.
func (sim *simulation) openLink(i int, m *machine) {
	if m.dead || slices.Contains(m.linkedEntries, i) {
		return
	}
	sim.link(i, m)
}

// closeLink closes the link and makes the entry release the agent.
func (sim *simulation) closeLink(i int, m *machine) {
	m.linkedEntries = slices.DeleteFunc(m.linkedEntries, func(n int) bool { return n == i })
	m.offers.Drop(ownerOf(i))
	sim.entries[i].AgentDisconnected(sim.now, m.id)
	sim.entries[i].Release(m.id)
}

// powerOff stops a machine without notice and ends its links.
func (sim *simulation) powerOff(m *machine) {
	m.dead = true
	for _, i := range m.linkedEntries {
		sim.entries[i].AgentDisconnected(sim.now, m.id)
	}
	m.linkedEntries = nil
}

// maxLinks returns the largest number of links of an entry and of a machine.
func (sim *simulation) maxLinks() (entry, agent int) {
	counts := make([]int, len(sim.entries))
	for _, m := range sim.machines {
		agent = max(agent, len(m.linkedEntries))
		for _, i := range m.linkedEntries {
			counts[i]++
		}
	}
	return slices.Max(counts), agent
}

// scenario is a load on the large fleet and an event at its start.
type scenario struct {
	name string
	load float64
	// apply causes the event.
	apply func(sim *simulation)
	// minServed is the stated least share within the objective; 0 means minServedShare.
	minServed float64
	// loadBefore is the load during the second before the event; 0 means load.
	loadBefore float64
}

var scenarios = []scenario{
	{name: "load of 0.7", load: 0.7, apply: func(*simulation) {}},
	{name: "load of 0.95", load: 0.95, apply: func(*simulation) {}},
	{name: "burst of 1.8", loadBefore: 0.72, load: 1.3, apply: func(*simulation) {}, minServed: 0.9 / 1.3},
	{name: "burst of 1.8 at one entry", load: 0.6, apply: func(sim *simulation) { sim.weights[slices.Index(sim.weights, slices.Max(sim.weights))] *= 1.8 }},
	{name: "domain lost", load: 0.6, apply: func(sim *simulation) {
		for i, m := range sim.machines {
			if i%5 == 1 {
				sim.powerOff(m)
			}
		}
	}},
	{name: "slow rack", load: 0.6, apply: func(sim *simulation) {
		for _, m := range sim.machines[:8] {
			sim.modifyMachine(m, func(m *machine) { m.slowdown *= 5 })
		}
	}},
	{name: "empty backend servers added", load: 0.9, apply: func(sim *simulation) {
		sim.addMachines(len(sim.machines)/4, 5, siteOneSlowdowns, len(sim.entries))
		added := sim.machines[len(sim.machines)*4/5:]
		for _, m := range added {
			sim.heartbeat(m)
			sim.retryOffers(m)
			if sim.partners == nil {
				for i := range sim.entries {
					sim.link(i, m)
				}
			}
		}
		sim.setFleet()
	}},
}

// simulate runs the scenario and returns the share of the jobs that were served within their
// objectives.
func (c scenario) simulate(t *testing.T, entries, machines int, whole bool) (*simulation, float64) {
	sim := newLargeSimulation(t, 7, entries, machines, whole)
	sim.scheduleArrivals(cmp.Or(c.loadBefore, c.load), time.Second)
	sim.run(time.Second)
	c.apply(sim)
	sim.measureFrom = sim.now.Add(300 * time.Millisecond)
	sim.scheduleArrivals(c.load, 2*time.Second)
	sim.run(4 * time.Second)
	return sim, sim.tally.share(sim.tally.withinObjective)
}

// fullReplayEnv names the environment variable that makes the replays use the sizes of docs/platform.md
// and also simulate entries with links to all agents. That takes minutes, so only "make replay" sets
// it. Otherwise the tests simulate smaller fleets of the same shape and check only the stated minimum.
const fullReplayEnv = "POPLARGW_FULL_REPLAY"

// replaySize returns the numbers of entries and machines to simulate.
func replaySize(entries, machines int) (int, int) {
	if os.Getenv(fullReplayEnv) != "" {
		return entries, machines
	}
	return entries * 2 / 5, machines * 2 / 5
}

// skipWithRaceDetector skips a replay in the short tests, which run with the race detector and take ten
// times as long: a replay has a single goroutine. .ci/test runs the replays after them.
func skipWithRaceDetector(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
}

const (
	// minServedShare is the share within the objective that docs/platform.md states for a large fleet.
	minServedShare = 0.97
	// maxPartialViewLoss is how much smaller the share may be with links to a part of the fleet than
	// with links to all of it.
	maxPartialViewLoss = 0.01
)

// TestReplayLargeFleet checks that entries with links to a part of the fleet find the free capacity
// that their tasks need, while their links and frames do not grow with the fleet.
func TestReplayLargeFleet(t *testing.T) {
	skipWithRaceDetector(t)
	entries, machines := replaySize(55, 240)
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			part, served := c.simulate(t, entries, machines, false)
			part.logResult("part", served)
			if want := cmp.Or(c.minServed, minServedShare); served < want {
				t.Errorf("%.3f within the objective, want at least the stated %.3f", served, want)
			}
			if os.Getenv(fullReplayEnv) == "" {
				return
			}
			whole, servedWhole := c.simulate(t, entries, machines, true)
			whole.logResult("whole", servedWhole)
			if served < servedWhole-maxPartialViewLoss {
				t.Errorf("%.3f within the objective, %.3f with links to all agents", served, servedWhole)
			}
		})
	}
}

// logResult logs the share within the objective and the numbers of links and frames.
func (sim *simulation) logResult(name string, served float64) {
	entry, agent := sim.maxLinks()
	sim.t.Logf("%s: %.3f within the objective, max links of an entry %d, of an agent %d, max frames of an entry %d: %s", name, served, entry, agent, slices.Max(sim.frames), sim.tally)
}

// maxGrowthExponent bounds the growth of the links of a process as a power of the fleet size.
const maxGrowthExponent = 0.3

// TestReplayLinksDoNotGrow checks that the links of a process do not grow with the fleet: with the same
// callers, the entries and agents of a fleet of 880 have about as many links as those of a fleet of
// 240.
func TestReplayLinksDoNotGrow(t *testing.T) {
	skipWithRaceDetector(t)
	maxByFleet := map[string][2]int{}
	for _, fleet := range []struct {
		name     string
		machines int
	}{{"small", 240}, {"large", 880}} {
		entries, _ := replaySize(55, fleet.machines)
		load := 0.6 * 240 / float64(fleet.machines) * float64(entries) / 55
		sim, served := scenario{apply: func(*simulation) {}, load: load}.simulate(t, entries, fleet.machines, false)
		entry, agent := sim.maxLinks()
		maxByFleet[fleet.name] = [2]int{entry, agent}
		sim.logResult(fleet.name, served)
	}
	for i, process := range []string{"entry", "agent"} {
		small, large := maxByFleet["small"][i], maxByFleet["large"][i]
		if float64(large) > float64(small)*math.Pow(880.0/240, maxGrowthExponent) {
			t.Errorf("%d links of an %s with 240 agents, %d with 880", small, process, large)
		}
	}
}

// TestReplayFewEntries checks that a few entries find the capacity of a large fleet: ten entries need
// most of the 880 agents at this load.
func TestReplayFewEntries(t *testing.T) {
	skipWithRaceDetector(t)
	entries, machines := replaySize(10, 880)
	sim, served := scenario{apply: func(*simulation) {}, load: 0.7}.simulate(t, entries, machines, false)
	sim.logResult("few entries", served)
	if served < minServedShare {
		t.Errorf("%.3f within the objective, want at least the stated %.3f", served, minServedShare)
	}
}
