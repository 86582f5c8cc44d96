package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// TestKeptPlaces guards against places that are kept where there is nothing to keep them for, or no other place to go.
func TestKeptPlaces(t *testing.T) {
	rack := nearServers{servers: 3, others: 21, entries: 4, effectiveCPU: 240_000, slowdown: 1}
	alone, none := rack, rack
	alone.others, none.servers, none.effectiveCPU = 0, 0, 0
	cases := map[string]struct {
		rate float64
		near nearServers
		want int
	}{
		"no demand": {0, rack, 0}, "a tenth": {6000, rack, 0}, "half": {30_000, rack, 1}, "full": {60_000, rack, 3},
		"more than full": {600_000, rack, 3}, "no other servers": {60_000, alone, 0}, "no server near": {60_000, none, 0},
	}
	for name, c := range cases {
		if got := keptPlaces(c.rate, 8, c.near); got != c.want {
			t.Errorf("%s: %d places, want %d", name, got, c.want)
		}
	}
}

// TestNearEnd guards against an expected end near the data that ignores the work before the task, the other entries or the
// speed of the servers there.
func TestNearEnd(t *testing.T) {
	near := nearServers{servers: 2, others: 4, entries: 2, effectiveCPU: 20_000, slowdown: 1.5}
	if got := nearEnd(1000, 200*time.Millisecond, near); got != 400*time.Millisecond {
		t.Errorf("%v, want 100 ms of waiting and 300 ms on the server", got)
	}
	if got := nearEnd(0, time.Millisecond, nearServers{}); got != maxSpan {
		t.Errorf("%v without a server near the data", got)
	}
}

// newRacks returns a harness with a remote factor and racks of one server, with room for four tasks of submitNear each.
func newRacks(t *testing.T, remote float64, racks int) *harness {
	h := newHarness(t, 0, 0)
	h.limits.RemoteDataFactor = remote
	for i := range racks {
		h.reportRack(fmt.Sprint("a", i), 12_000)
	}
	return h
}

// reportRack connects the agent if necessary, and reports its server, a rack of its own, with the free capacity.
func (h *harness) reportRack(agent string, free int64) {
	if v := h.servers[agent]; v == nil || !v.linked {
		h.AgentConnected(h.now, agent)
	}
	s := serverOf(agent, 12_000)
	s.Labels = []string{"rack-" + agent}
	h.Report(h.now, agent, Report{Server: s, Free: run.Demand{CPU: free, MemoryMB: 1 << 20}, Entries: 1, Ack: h.seqs[agent]})
	h.take()
}

// submitNear submits a job of tasks with the affinity, or none if that is empty.
func (h *harness) submitNear(id, affinity string, tasks int, estimate time.Duration) {
	h.Submit(h.now, Job{ID: id, Queue: testQueue, Arrived: h.now, Steps: []Step{{
		Count: tasks, Demand: run.Demand{CPU: 3000}, Estimate: estimate, Affinity: affinity,
	}}})
	h.take()
}

// fillRack fills the rack of a0 with four tasks of 60 ms whose data is there.
func (h *harness) fillRack() {
	for i := range 4 {
		h.submitNear(fmt.Sprint("first", i), "rack-a0", 1, 60*time.Millisecond)
	}
}

// TestOtherTasksLeavePlacesNearData guards against tasks that run equally well anywhere and fill the servers near data in
// high demand, and against places that stay kept after the demand has ended.
func TestOtherTasksLeavePlacesNearData(t *testing.T) {
	h := newRacks(t, 3, 2)
	h.submitNear("hot", "rack-a0", 4, 300*time.Millisecond)
	h.advance(20 * time.Millisecond)
	for _, o := range append([]Order(nil), h.orders["a0"]...) {
		h.endRun("a0", o.Ref, run.Done, 0)
	}
	h.reportRack("a0", 12_000)
	d := h.localDemands[dataKey{"svc", "rack-a0"}]
	if d == nil || d.kept == 0 {
		t.Fatalf("no place kept near the data: %+v", d)
	}
	kept := d.kept
	h.submitNear("other", "", 8, 300*time.Millisecond)
	if n := len(h.orders["a0"]); n != 4-kept || len(h.orders["a1"]) != 4 {
		t.Errorf("%d and %d of the other tasks on a0 and a1, want %d and 4", n, len(h.orders["a1"]), 4-kept)
	}
	for range 20 {
		h.advance(500 * time.Millisecond)
	}
	if len(h.localDemands) != 0 {
		t.Errorf("the demand is still known 10 s later: %+v", h.localDemands)
	}
}

// TestTaskWaitsNearDataWhileInTime guards against a task that runs far from its data although it would end in time near it.
func TestTaskWaitsNearDataWhileInTime(t *testing.T) {
	h := newRacks(t, 1.5, 2)
	h.fillRack()
	h.advance(20 * time.Millisecond)
	h.submitNear("second", "rack-a0", 1, 60*time.Millisecond)
	if n := len(h.orders["a1"]); n != 0 {
		t.Fatalf("%d tasks far from their data, want none", n)
	}
	h.advance(60 * time.Millisecond)
	if n := len(h.orders["a1"]); n != 1 {
		t.Errorf("%d tasks far from their data once they would be late near it, want 1", n)
	}
}

// TestTaskDoesNotWaitForLostRack guards against tasks that wait for a rack whose agent has lost its link, as when it
// restarts, and against a rule that stays off once the agent is back.
func TestTaskDoesNotWaitForLostRack(t *testing.T) {
	h := newRacks(t, 1.5, 2)
	h.fillRack()
	h.advance(20 * time.Millisecond)
	h.AgentDisconnected(h.now, "a0")
	h.advance(20 * time.Millisecond)
	h.submitNear("second", "rack-a0", 1, 60*time.Millisecond)
	if n := len(h.orders["a1"]); n != 1 {
		t.Fatalf("%d tasks on the other rack after the loss, want 1", n)
	}
	h.reportRack("a0", 0)
	h.advance(20 * time.Millisecond)
	h.submitNear("third", "rack-a0", 1, 60*time.Millisecond)
	if n := len(h.orders["a1"]); n != 1 {
		t.Errorf("%d tasks on the other rack after the agent is back, want 1: the third waits near its data", n)
	}
}

// TestUnknownAffinityIsNotRecorded guards against callers that fill the entry's memory with labels no server carries.
func TestUnknownAffinityIsNotRecorded(t *testing.T) {
	h := newRacks(t, 3, 1)
	for i := range 50 {
		h.submitNear(fmt.Sprint("j", i), fmt.Sprint("rack-x", i), 1, 50*time.Millisecond)
	}
	if n := len(h.localDemands); n != 0 {
		t.Errorf("%d labels recorded", n)
	}
}
