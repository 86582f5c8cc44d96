package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Guards against an explanation that differs from the decision, and against one that changes it: the job goes where the
// explanation said, for the reasons that it gave.
func TestExplainTellsTheDecision(t *testing.T) {
	explain := func(h *harness, j Job) Explanation {
		before := h.Stats()
		e := h.Explain(h.now, j)
		if again := h.Explain(h.now, j); fmt.Sprint(e) != fmt.Sprint(again) || h.Stats() != before || len(h.ownerships) > 0 {
			t.Errorf("the explanation changed the scheduler: %+v, then %+v", e, again)
		}
		outcomes, batches := h.Take()
		if len(outcomes)+len(batches)+len(h.Decisions()) > 0 {
			t.Error("the explanation sent something")
		}
		return e
	}
	h := interferingHarness(t)
	j := kindJob(h, "j", "a", 100*time.Millisecond)
	e := explain(h, j)
	if e.Code != 0 || len(e.Steps) != 1 || e.Steps[0].Agent != "a1" || e.LatencyObjective != 220*time.Millisecond {
		t.Fatalf("explanation %+v, want a1", e)
	}
	for i, want := range []float64{0.1, 0} {
		if got := e.Steps[0].Servers[i]; got.Interference != want && got.Interference < want/2 || got.Refusal != "" || !got.HasMargin {
			t.Errorf("server %+v, want interference of about %.2f", got, want)
		}
	}
	h.Submit(h.now, j)
	if h.take(); len(h.orders["a1"]) != 1 {
		t.Errorf("the job went to %v", h.orders)
	}

	h = newHarness(t, 2, 10_000)
	h.Report(h.now, "a0", Report{Server: serverOf("a0", 10_000), Free: run.Demand{CPU: 500, MemoryMB: 1 << 20}})
	h.Report(h.now, "a1", Report{Server: serverOf("a1", 10_000), Free: run.Demand{CPU: 5000, MemoryMB: 1 << 20}, OthersSlowdown: 50})
	e = explain(h, kindJob(h, "j", "a", 100*time.Millisecond))
	servers := e.Steps[0].Servers
	if servers[0].Refusal != "no free capacity" || servers[1].Slowdown != 50 || servers[1].MeetsObjective {
		t.Errorf("servers %+v", servers)
	}
	big := kindJob(h, "j", "a", 100*time.Millisecond)
	big.Steps[0].Demand.CPU = 20_000
	if e := explain(h, big); e.Code != result.CannotRun {
		t.Errorf("code %d for a job that fits nowhere", e.Code)
	}
	if e := explain(h, Job{ID: "j", Queue: testQueue}); e.Code == 0 {
		t.Error("a job without steps is accepted")
	}
}

// Guards against a reason that contradicts eligible, over the states that a replay passes through.
func TestExplainAgreesWithEligible(t *testing.T) {
	sim := newSimulation(t, 1, 2, siteOneSlowdowns)
	sim.scheduleArrivals(1.1, 2*time.Second)
	reasons := map[string]int{}
	for range 40 {
		sim.run(50 * time.Millisecond)
		s := sim.entries[0]
		in := Job{ID: "explained", Queue: testQueue, Arrived: sim.now, Steps: []Step{{Count: 3, Demand: run.Demand{CPU: 3100}, Estimate: 200 * time.Millisecond}}}
		in.Queue.Service = "svc"
		e := s.Explain(sim.now, in)
		j := newJob(in)
		j.late = e.Late
		chosen := s.pickServer(sim.now, j, j.tasks[0], s.fleet)
		if (chosen == nil) != (e.Steps[0].Agent == "") || chosen != nil && chosen.agent != e.Steps[0].Agent {
			t.Fatalf("explained %q", e.Steps[0].Agent)
		}
		for i, v := range e.Steps[0].Servers {
			if s.eligible(sim.now, j, j.tasks[0], s.fleet[i]) != (v.Refusal == "") || v.Refusal == "not eligible" {
				t.Fatalf("server %+v", v)
			}
			reasons[v.Refusal]++
		}
	}
	t.Logf("reasons: %v", reasons)
}
