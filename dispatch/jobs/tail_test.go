package jobs

import (
	"testing"
	"time"
)

// TestUnevenRunTimes guards against run times that count as uneven because declared ones are off, and against a tail that is
// still assumed after its steps have left the window.
func TestUnevenRunTimes(t *testing.T) {
	var r runTimeTail
	for range tailWindow {
		r.add(3.9)
	}
	if r.uneven() {
		t.Error("uneven, although no step took four times as long as usual")
	}
	for i := range minTailSteps {
		if r.uneven() {
			t.Errorf("uneven after %d long steps", i)
		}
		r.add(7)
	}
	if !r.uneven() {
		t.Error("not uneven after the last long step")
	}
	for range tailWindow {
		r.add(1)
	}
	if r.uneven() || r.count != 0 {
		t.Errorf("uneven with %d long steps in the window", r.count)
	}
}

// TestTailFactorOf guards against a job that counts as long because one of several servers is slow.
func TestTailFactorOf(t *testing.T) {
	cases := map[string]struct {
		elsewhere []float64
		want      float64
	}{
		"no other run": {nil, 1}, "as declared": {[]float64{1}, 1}, "error of declared times": {[]float64{1.9, 1.7}, 1},
		"long": {[]float64{7, 6, 8}, 7}, "one slow server of three": {[]float64{7, 1, 1}, 1}, "one of two": {[]float64{7, 1}, 1},
	}
	for name, c := range cases {
		if got := tailFactorOf(c.elsewhere); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// lagAfter returns the lag of a0 and a1 while a job of two tasks, one on each, runs with the given percentages for each
// 100 ms, on servers that have run steps of usual length and, if tail is set, some that took seven times as long.
func lagAfter(t *testing.T, tail bool, percents [2]int) (lags [2]float64) {
	h := newHarness(t, 2, 3000)
	for i := range 20 {
		ratio := 1.0
		if tail && i%5 == 0 {
			ratio = 7
		}
		h.tailOf("svc").add(ratio)
	}
	h.submit("j", 2, 3000, 400*time.Millisecond)
	if h.placed() != 2 {
		t.Fatalf("%d tasks placed, want 2", h.placed())
	}
	for n := 1; n <= 3; n++ {
		h.now = h.now.Add(100 * time.Millisecond)
		for i, agent := range []string{"a0", "a1"} {
			h.Progress(h.now, agent, h.orders[agent][0].Ref, n*percents[i], time.Duration(n)*100*time.Millisecond)
		}
	}
	h.updateLag(h.now, h.servers["a0"], h.servers["a0"].runsInOrder())
	h.updateLag(h.now, h.servers["a1"], h.servers["a1"].runsInOrder())
	return [2]float64{h.servers["a0"].lagFactor, h.servers["a1"].lagFactor}
}

// TestLongJobDoesNotMakeServersSlow guards against servers that count as several times slower than they are because they
// run a task of a job that takes seven times as long as usual.
func TestLongJobDoesNotMakeServersSlow(t *testing.T) {
	if lags := lagAfter(t, true, [2]int{4, 4}); lags != [2]float64{1, 1} {
		t.Errorf("lags %v, want none", lags)
	}
}

// TestServerThatSlowsDownLagsBesideTail guards against a server that has slowed down and is not noticed because the run
// times of its service are uneven. Without a tail the lag is the same.
func TestServerThatSlowsDownLagsBesideTail(t *testing.T) {
	for _, tail := range []bool{false, true} {
		if lags := lagAfter(t, tail, [2]int{4, 25}); lags[0] < minLagFewRuns {
			t.Errorf("tail %v: lags %v, want a0 to lag", tail, lags)
		}
	}
}

// TestLongJobLagsWithoutTail checks that nothing changes for a service whose run times have no tail.
func TestLongJobLagsWithoutTail(t *testing.T) {
	if lags := lagAfter(t, false, [2]int{4, 4}); lags[0] < minLagFewRuns || lags[1] < minLagFewRuns {
		t.Errorf("lags %v, want both as before", lags)
	}
}

// tailWork is how much more work arrives when 3% of the jobs take seven times as long.
const tailWork = 1 + 0.03*(tailFactor-1)

// longTail runs the load of the deployment with 3% long jobs. If ruleOff is set, the entries forget the tail all the time.
func longTail(t *testing.T, seed uint64, d hardDeployment, load float64, ruleOff bool) *simulation {
	sim := newHardLoad(t, seed, d, hardLoad{tail: 0.03})
	if ruleOff {
		var forget func()
		forget = func() {
			for _, s := range sim.entries {
				clear(s.tails)
			}
			sim.after(time.Millisecond, forget)
		}
		forget()
	}
	sim.runHardLoad(d, load/tailWork)
	return sim
}

// TestReplayLongTail checks that with 3% of the jobs seven times as long as usual 0.9 of what the capacity allows is served
// within the objective, as docs/platform.md states, and that jobs in the tail cost less than without the rule.
func TestReplayLongTail(t *testing.T) {
	skipWithRaceDetector(t)
	for name, d := range map[string]hardDeployment{"M": deploymentM, "R": deploymentR} {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			var with, without tally
			for seed := uint64(1); seed <= 3; seed++ {
				with.add(&longTail(t, seed, d, load, false).tally)
				without.add(&longTail(t, seed, d, load, true).tally)
			}
			t.Logf("%s at %.1f: worth %.4f, without the rule %.4f", name, load, with.worth(), without.worth())
			if got := with.share(with.withinObjective); got < 0.9/max(1, load) {
				t.Errorf("%s at %.1f: %.3f within the objective", name, load, got)
			}
			if load > 1 && with.worth() <= without.worth() {
				t.Errorf("%s at %.1f: worth %.4f, without the rule %.4f", name, load, with.worth(), without.worth())
			}
		}
	}
}

// TestReplaySlowServersBesideTail checks that servers that slow down are found although the run times are uneven:
// docs/platform.md states 0.9 within the objective from one second after the fault. Three of 24 servers are slow, at a
// load of 0.5.
func TestReplaySlowServersBesideTail(t *testing.T) {
	skipWithRaceDetector(t)
	d := deploymentM
	sim := longTail(t, 1, d, 0.5, false)
	for _, m := range sim.machines[:3] {
		sim.modifyMachine(m, func(m *machine) { m.slowdown *= 6.5 })
	}
	sim.scheduleArrivals(0.5/tailWork*d.power(), time.Second)
	sim.run(time.Second)
	sim.tally, sim.byKind = tally{}, map[string]*tally{}
	sim.runHardLoad(d, 0.5/tailWork)
	sim.checkServed("slow servers beside a tail", 0.9)
}

// TestRunTimesWithoutTailAreEven checks that the rule stays off, and so decides nothing, in a replay of equal servers without
// a tail whose declared run times are off by 40%.
func TestRunTimesWithoutTailAreEven(t *testing.T) {
	d := deploymentM
	d.slowdowns = []float64{1}
	sim := newHardLoad(t, 1, d, hardLoad{})
	sim.scheduleArrivals(1.2, time.Second)
	for range 150 {
		sim.run(20 * time.Millisecond)
		for i, s := range sim.entries {
			if s.tailOf("svc").uneven() {
				t.Fatalf("entry %d takes the run times for uneven: %d long steps of %d", i, s.tailOf("svc").count, s.tailOf("svc").steps)
			}
		}
	}
}

// TestUnevenRunTimesAreReportedOnce guards against a line for each long step, and against an end that is never logged.
func TestUnevenRunTimesAreReportedOnce(t *testing.T) {
	h := newHarness(t, 1, 3000)
	for range 2 * minTailSteps {
		h.recordTail("svc", 7)
	}
	for range 2 * tailWindow {
		h.recordTail("svc", 1)
	}
	var counts []int
	for _, d := range h.Decisions() {
		if d.Kind == UnevenRunTimes {
			counts = append(counts, d.Count)
		}
	}
	if len(counts) != 2 || counts[0] != minTailSteps || counts[1] != 0 {
		t.Errorf("long steps in the decisions: %v, want %d and 0", counts, minTailSteps)
	}
}
