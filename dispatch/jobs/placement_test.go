package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// TestUnavailableServersGetNoTasks checks that tasks are not placed on a backend server that is draining,
// whose agent has no link, or whose failure domain is out of service.
func TestUnavailableServersGetNoTasks(t *testing.T) {
	changes := map[string]func(*harness){
		"draining": func(h *harness) {
			s := serverOf("a0", 10_000)
			s.State = run.Draining
			h.Report(h.now, "a0", Report{Server: s, Free: s.Capacity})
		},
		"no link": func(h *harness) { h.AgentDisconnected(h.now, "a0") },
		"out":     func(h *harness) { h.SetDomainsOut([]string{"d-a0"}) },
	}
	for name, change := range changes {
		h := newHarness(t, 2, 10_000)
		change(h)
		for i := range 6 {
			h.submit(fmt.Sprint("j", i), 1, 3000, 100*time.Millisecond)
		}
		if n := len(h.orders["a0"]); n != 0 {
			t.Errorf("%s: %d orders for a0, want none", name, n)
		}
		if n := len(h.orders["a1"]); n != 3 {
			t.Errorf("%s: %d orders for a1, want 3", name, n)
		}
	}
}

// TestLongTasksGoToFastServers checks that long tasks are placed on fast backend servers while these
// have capacity: here the speeds differ by a factor of 2.4.
func TestLongTasksGoToFastServers(t *testing.T) {
	h := newHarness(t, 2, 100_000)
	for i := range 12 {
		h.submit(fmt.Sprint("warm", i), 2, 100, 200*time.Millisecond)
		for agent, took := range map[string]time.Duration{"a0": 340 * time.Millisecond, "a1": 140 * time.Millisecond} {
			for _, o := range append([]Order(nil), h.orders[agent]...) {
				h.now = h.now.Add(took)
				h.endRun(agent, o.Ref, run.Done, 0)
				h.now = h.now.Add(-took)
			}
		}
	}
	h.submit("long", 4, 3000, 900*time.Millisecond)
	if n := len(h.orders["a1"]); n != 4 {
		t.Errorf("%d of 4 long tasks on the fast server", n)
	}
}

// TestStartedJobComesFirst checks that a job that has started comes before jobs that have not, so that
// it does not wait long for its last task.
func TestStartedJobComesFirst(t *testing.T) {
	h := newHarness(t, 1, 6000)
	h.submit("first", 3, 3000, 100*time.Millisecond)
	h.submit("second", 1, 3000, 50*time.Millisecond)
	h.endRun("a0", h.orders["a0"][0].Ref, run.Done, 0)
	h.report("a0", 6000)
	h.take()
	names := map[string]int{}
	for _, o := range h.orders["a0"] {
		names[o.Ref.Task[:5]]++
	}
	if names["first"] != 2 {
		t.Errorf("runs by job: %v, want 2 of the first", names)
	}
}

// TestTasksRunNearTheirData checks that tasks are not placed far from their data while servers near it
// may become free in time, and that a server does not count as slow because the data of its tasks is
// elsewhere.
func TestTasksRunNearTheirData(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.limits.RemoteDataFactor = 3
	for _, agent := range []string{"a0", "a1", "a2"} {
		h.AgentConnected(h.now, agent)
		s := serverOf(agent, 6000)
		s.Labels = []string{"rack-" + agent}
		h.Report(h.now, agent, Report{Server: s, Free: s.Capacity})
	}
	h.take()
	submit := func(id string) {
		h.Submit(h.now, Job{ID: id, Queue: testQueue, Arrived: h.now, Steps: []Step{{
			Count: 1, Demand: run.Demand{CPU: 3000}, Estimate: 200 * time.Millisecond, Affinity: "rack-a1",
		}}})
		h.take()
	}
	submit("j0")
	submit("j1")
	submit("j2")
	if n := h.placed(); len(h.orders["a1"]) != 2 || n != 2 {
		t.Fatalf("%d tasks placed near their data, %d in all, want 2 and 2", len(h.orders["a1"]), n)
	}
	// No capacity near the data became free in time. Elsewhere the job is late, but its result is useful.
	h.advance(200 * time.Millisecond)
	if n := h.placed(); n != 3 {
		t.Fatalf("%d tasks placed after the slack was used up, want 3", n)
	}
	for agent, list := range h.orders {
		if agent == "a1" || len(list) == 0 {
			continue
		}
		h.now = h.now.Add(600 * time.Millisecond)
		h.endRun(agent, list[0].Ref, run.Done, 0)
		if slow := h.servers[agent].slowdown(); slow > 1.1 {
			t.Errorf("%s has a slowdown of %.1f after a task away from its data, want at most 1.1", agent, slow)
		}
	}
}

// TestUniformlySlowFleetGetsTasks checks that a fleet gets tasks even if declared run times are too low
// by some factor, so that every backend server seems slow against them.
func TestUniformlySlowFleetGetsTasks(t *testing.T) {
	h := newHarness(t, 3, 100_000)
	for i := range 30 {
		h.submit(fmt.Sprint("j", i), 3, 1000, 50*time.Millisecond)
		h.now = h.now.Add(250 * time.Millisecond)
		for agent, list := range h.orders {
			for _, o := range append([]Order(nil), list...) {
				h.endRun(agent, o.Ref, run.Done, 0)
			}
		}
		h.advance(time.Millisecond)
	}
	h.submit("last", 6, 1000, 50*time.Millisecond)
	if n := h.placed(); n != 6 {
		t.Errorf("%d of 6 tasks placed on servers that take five times the declared run time", n)
	}
}
