package jobs

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"poplargw.example/dispatch/interference"
	"poplargw.example/dispatch/kindusage"
	"poplargw.example/dispatch/run"
)

// updateInterference changes the speed of the runs on the machine whose neighbours have changed.
func (sim *simulation) updateInterference(m *machine) {
	if sim.effects == nil {
		return
	}
	used := map[string]float64{}
	for _, ref := range m.refs() {
		used[m.runs[ref].kind] += float64(m.runs[ref].cpu) / float64(m.cpuCapacity)
	}
	for _, ref := range m.refs() {
		r := m.runs[ref]
		sum := 0.0
		for pair, effect := range sim.effects {
			if pair[0] != r.kind {
				continue
			}
			beside := used[pair[1]]
			if pair[1] == r.kind {
				beside -= float64(r.cpu) / float64(m.cpuCapacity)
			}
			sum += effect * beside
		}
		if sum != r.interference {
			r.progress, r.progressAt = m.progress(r, sim.now), sim.now
			r.interference = sum
			sim.scheduleEnd(m, ref, r)
		}
	}
}

// traceOrder adds an accepted order to the trace.
func (sim *simulation) traceOrder(m *machine, o Order) {
	if sim.orderTrace != nil {
		fmt.Fprintln(sim.orderTrace, sim.now.UnixNano(), m.id, o.Ref)
	}
}

// pairsFound returns the pairs that each entry has found, as "kind beside kind".
func (sim *simulation) pairsFound() []map[string]float64 {
	var list []map[string]float64
	for _, s := range sim.entries {
		found := map[string]float64{}
		for _, p := range s.Interference() {
			if p.Found {
				found[p.Kind+" beside "+p.Beside] = p.Effect
			}
		}
		list = append(list, found)
	}
	return list
}

// interferenceConfig has two kinds that slow each other down and a third one, on more servers than each of them needs.
var interferenceConfig = func() simConfig {
	c := baseConfig
	c.machines = 22
	return c
}()

// replayInterference simulates a warm-up, in which pairs are learned, and a measured period at the given load.
func replayInterference(t *testing.T, seed uint64, load float64, reports bool, effects map[[2]string]float64) *simulation {
	sim := newSimulationOf(t, seed, 3, siteOneSlowdowns, interferenceConfig)
	sim.reportsUsage, sim.effects, sim.orderTrace = reports, effects, fnv.New64()
	sim.scheduleArrivals(load, 18*time.Second)
	sim.run(8 * time.Second)
	sim.measureFrom, sim.measureUntil = sim.now, sim.now.Add(10*time.Second)
	sim.run(14 * time.Second)
	return sim
}

// TestReplayInterference guards against an interference that is found but does not change placement, or changes it for the
// worse: runs of price take longer beside runs of quote, and over all seeds more jobs must be within the objective when
// agents report the usage than when they do not, as agents of earlier builds. Each entry must find the pair, and no other
// that slows down.
func TestReplayInterference(t *testing.T) {
	skipWithRaceDetector(t)
	effects := map[[2]string]float64{{"price", "quote"}: 4}
	var served, baseline, submitted, baselineSubmitted int
	for seed := uint64(1); seed <= 4; seed++ {
		without := replayInterference(t, seed, 0.6, false, effects)
		with := replayInterference(t, seed, 0.6, true, effects)
		t.Logf("seed %d: without usage %s", seed, without.tally)
		t.Logf("seed %d: with usage    %s", seed, with.tally)
		for _, k := range requestKinds {
			before, after := without.byKind[k.name], with.byKind[k.name]
			t.Logf("  %s: %.3f, then %.3f", k.name, before.share(before.withinObjective), after.share(after.withinObjective))
		}
		served, submitted = served+with.tally.withinObjective, submitted+with.tally.submitted
		baseline, baselineSubmitted = baseline+without.tally.withinObjective, baselineSubmitted+without.tally.submitted
		for i, found := range with.pairsFound() {
			t.Logf("  entry %d: %v", i, found)
			if found["price beside quote"] < 1 {
				t.Errorf("seed %d: entry %d has not found the pair", seed, i)
			}
			for name, effect := range found {
				if name != "price beside quote" && effect > 0 {
					t.Errorf("seed %d: entry %d has found %s", seed, i, name)
				}
			}
		}
	}
	before, after := float64(baseline)/float64(baselineSubmitted), float64(served)/float64(submitted)
	t.Logf("within the objective: %.4f without usage, %.4f with it", before, after)
	if after <= before {
		t.Errorf("%.4f within the objective, without usage %.4f", after, before)
	}
}

// TestReplayWithoutInterference guards against pairs that are found where there is no interference, and against placement
// that changes there: with the usage that agents report, every order must be the same as without.
func TestReplayWithoutInterference(t *testing.T) {
	skipWithRaceDetector(t)
	for _, load := range []float64{0.3, 0.6, 0.9, 1.2} {
		for seed := uint64(1); seed <= 2; seed++ {
			without := replayInterference(t, seed, load, false, nil)
			with := replayInterference(t, seed, load, true, nil)
			t.Logf("load %.1f, seed %d: %s", load, seed, with.tally)
			for _, s := range with.entries {
				for _, d := range s.Decisions() {
					if d.Kind == InterferenceFound {
						t.Errorf("load %.1f, seed %d: found %+v", load, seed, d.Pair)
					}
				}
			}
			if without.orderTrace.Sum64() != with.orderTrace.Sum64() {
				t.Errorf("load %.1f, seed %d: the orders differ", load, seed)
			}
		}
	}
}

// TestReplayInterferenceAgentsRestart guards against estimates that are spoiled by agents which have forgotten what they
// accounted for, or which are of a build without it: without interference, nothing may be found and no order may change
// while every agent loses its account every two seconds, and a third of them never report.
func TestReplayInterferenceAgentsRestart(t *testing.T) {
	skipWithRaceDetector(t)
	replay := func(reports bool) *simulation {
		sim := newSimulationOf(t, 11, 3, siteOneSlowdowns, interferenceConfig)
		sim.reportsUsage, sim.orderTrace = reports, fnv.New64()
		sim.scheduleArrivals(0.6, 16*time.Second)
		for n := range 8 {
			for i, m := range sim.machines {
				sim.after(time.Duration(2*n)*time.Second+time.Duration(i)*50*time.Millisecond, func() {
					m.account = kindusage.Account{}
					for _, ref := range m.refs() {
						m.runs[ref].usage = m.account.Add(sim.now, "", 0)
					}
				})
				m.earlierBuild = i%3 == 0
			}
		}
		sim.run(20 * time.Second)
		return sim
	}
	without, with := replay(false), replay(true)
	for i, found := range with.pairsFound() {
		if len(found) > 0 {
			t.Errorf("entry %d has found %v", i, found)
		}
	}
	if without.orderTrace.Sum64() != with.orderTrace.Sum64() {
		t.Error("the orders differ")
	}
	known := 0
	for _, s := range with.entries {
		known += len(s.Interference())
	}
	if known == 0 {
		t.Error("the entries have no estimates although some agents report")
	}
}

// interferingHarness has two servers of 10,000 millicores of which the first one has runs of kind b, and a model that has
// found that kinds a and b slow each other down.
func interferingHarness(t *testing.T) *harness {
	h := newHarness(t, 2, 10_000)
	h.Scheduler.interference["svc"] = foundModel(h.now)
	for _, agent := range []string{"a0", "a1"} {
		usage := []run.KindUsage{{Kind: "b", Permille: 500}}
		if agent == "a1" {
			usage = []run.KindUsage{{Kind: "c", Permille: 500}}
		}
		h.Report(h.now, agent, Report{Server: serverOf(agent, 10_000), Free: run.Demand{CPU: 5000, MemoryMB: 1 << 20}, Usage: usage})
	}
	return h
}

// foundModel returns a model in which runs of kind a take 1 + 2u as long beside the part u of a server that kind b uses.
func foundModel(now time.Time) *interference.Model {
	m := interference.New()
	for n := range 200 {
		var runs []interference.Run
		for i := range 4 {
			permille := (n*7 + i*i*131) % 600
			runs = append(runs, interference.Run{
				Server: fmt.Sprint("s", (n+i)%8), Ratio: 1 + 2*float64(permille)/1000, Beside: []run.KindUsage{{Kind: "a"}, {Kind: "b", Permille: permille}},
			})
		}
		m.Observe(now.Add(time.Duration(n-200)*10*time.Millisecond), "a", runs)
	}
	m.TakeChanges()
	return m
}

// kindJob returns a job with one task of the given kind.
func kindJob(h *harness, id, kind string, estimate time.Duration) Job {
	q := testQueue
	q.Name = kind
	return Job{ID: id, Queue: q, Arrived: h.now, Steps: []Step{{Count: 1, Demand: run.Demand{CPU: 1000}, Estimate: estimate}}}
}

// Guards against a placement beside the kind that slows a task down, or that it slows down, although another server has
// room; and against one that reacts to other kinds.
func TestInterferingKindsAreKeptApart(t *testing.T) {
	for kind, want := range map[string]string{"a": "a1", "b": "a0", "d": "a0"} {
		h := interferingHarness(t)
		if !h.Scheduler.interference["svc"].Active() {
			t.Fatal("the pair is not found")
		}
		h.Submit(h.now, kindJob(h, "j", kind, 100*time.Millisecond))
		h.take()
		if len(h.orders[want]) != 1 {
			t.Errorf("kind %s: orders %v, want one at %s", kind, h.orders, want)
		}
	}
	h := interferingHarness(t)
	usage := []run.KindUsage{{Kind: "a", Permille: 500}}
	h.Report(h.now, "a0", Report{Server: serverOf("a0", 10_000), Free: run.Demand{CPU: 5000, MemoryMB: 1 << 20}, Usage: usage})
	h.Submit(h.now, kindJob(h, "j", "b", 100*time.Millisecond))
	if h.take(); len(h.orders["a1"]) != 1 {
		t.Errorf("orders %v, want one of kind b away from a", h.orders)
	}
}

// Guards against a task that waits, is rejected or becomes late because of interference: if the only server with room, or
// the only one on which it meets its objective with the margin, has the other kind, it goes there at once.
func TestInterferenceNeverDelays(t *testing.T) {
	h := interferingHarness(t)
	h.Report(h.now, "a1", Report{Server: serverOf("a1", 10_000), Free: run.Demand{CPU: 500, MemoryMB: 1 << 20}})
	h.Submit(h.now, kindJob(h, "j", "a", 100*time.Millisecond))
	if h.take(); len(h.orders["a0"]) != 1 {
		t.Errorf("orders %v, want one at the server with room", h.orders)
	}
	h = interferingHarness(t)
	// On a1 a task of 100 ms is expected to take 160 ms, and its objective is 220 ms after its arrival. The cost is 0.161 there,
	// and 0.07 on a0, with interference 0.17.
	h.Report(h.now, "a1", Report{Server: serverOf("a1", 10_000), Free: run.Demand{CPU: 9000, MemoryMB: 1 << 20}, OthersSlowdown: 1.6})
	h.Report(h.now, "a0", Report{Server: serverOf("a0", 10_000), Free: run.Demand{CPU: 3000, MemoryMB: 1 << 20}, OthersSlowdown: 1, Usage: []run.KindUsage{{Kind: "b", Permille: 500}}})
	h.Submit(h.now, kindJob(h, "j", "a", 100*time.Millisecond))
	if h.take(); len(h.orders["a0"]) != 1 {
		t.Errorf("orders %v, want one at the server that meets the objective with the margin", h.orders)
	}
}

// Guards against a service with one queue that pays for the estimates, and against several tasks that are placed at once
// beside each other because the agent has not reported the first ones yet.
func TestInterferenceNeedsTwoQueues(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.Submit(h.now, kindJob(h, "j1", "a", 100*time.Millisecond))
	if h.interferenceOf("svc") != nil {
		t.Error("a service with one queue has estimates")
	}
	h.Submit(h.now, kindJob(h, "j2", "b", 100*time.Millisecond))
	if h.interferenceOf("svc") == nil {
		t.Error("a service with two queues has no estimates")
	}
	h.take()
	used := map[string]int{}
	for _, v := range h.fleet {
		for _, u := range v.usageByKind() {
			used[u.Kind] += u.Permille
		}
	}
	if used["a"] != 100 || used["b"] != 100 {
		t.Errorf("usage %v, want that of the orders that no report accounts for", used)
	}
}
