package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Guards against an entry that takes more work than its backend servers can do: when the capacity had shrunk
// below what ran there, the entry's share of the throughput was computed as more than all of it.
func TestShareOfShrunkServerIsAtMostAll(t *testing.T) {
	h := newHarness(t, 1, 8000)
	for _, id := range []string{"1", "2", "3", "4"} {
		if !h.submit(id, 1, 2000, time.Second) {
			t.Fatalf("job %s was rejected", id)
		}
	}
	h.report("a0", 2000)
	if got := h.throughput(h.now, "svc", pool{}); got > 2000 {
		t.Errorf("throughput of a backend server with 2000 CPU: %v", got)
	}
}

// reportCapacity delivers a report with the given capacity of the agent's present instance.
func (h *harness) reportCapacity(agent string, capacity run.Demand) {
	free := capacity
	for _, o := range h.orders[agent] {
		free = free.Sub(o.Demand)
	}
	state := serverOf(agent, 0)
	state.Capacity = capacity
	h.Report(h.now, agent, Report{Server: state, Free: free, Ack: h.seqs[agent]})
	h.take()
}

// submitDemand submits a job with one task of the given demand.
func (h *harness) submitDemand(id string, demand run.Demand) bool {
	o, ok := h.Submit(h.now, Job{
		ID: id, Queue: testQueue, Arrived: h.now, Steps: []Step{{Count: 1, Demand: demand, Estimate: time.Second}},
	})
	if !ok {
		h.outcomes[id] = o
	}
	h.take()
	return ok
}

var (
	largeCapacity = run.Demand{CPU: 8000, MemoryMB: 800, GPU: 2}
	largeDemand   = run.Demand{CPU: 4000, MemoryMB: 400, GPU: 2}
)

// smallerCapacities are capacities of which one resource is less than largeDemand.
var smallerCapacities = map[string]run.Demand{
	"cpu":    {CPU: 3000, MemoryMB: 800, GPU: 2},
	"memory": {CPU: 8000, MemoryMB: 300, GPU: 2},
	"gpu":    {CPU: 8000, MemoryMB: 800, GPU: 1},
}

// Guards against a job that is refused for good, so that its caller does not retry, because of a capacity that
// has shrunk and may grow again. A job that no capacity seen so far suffices for is still refused for good.
func TestJobForShrunkCapacityIsNotReady(t *testing.T) {
	for name, capacity := range smallerCapacities {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 0)
			h.reportCapacity("a0", largeCapacity)
			h.reportCapacity("a0", capacity)
			h.submitDemand("fitted", largeDemand)
			if o := h.outcomes["fitted"]; o.Code != result.NotReady || o.Effect != result.NotRun || o.RetryAfter <= 0 {
				t.Errorf("job that fitted before: %+v", o)
			}
			h.submitDemand("never", largeCapacity.Add(largeCapacity))
			if o := h.outcomes["never"]; o.Code != result.CannotRun {
				t.Errorf("job that never fitted: %+v", o)
			}
			h.reportCapacity("a0", largeCapacity)
			if !h.submitDemand("again", largeDemand) {
				t.Errorf("job at the former capacity: %+v", h.outcomes["again"])
			}
		})
	}
}

// Guards against the largest capacity of one incarnation of a backend server that counts for the next one.
func TestLargestCapacityEndsWithInstance(t *testing.T) {
	h := newHarness(t, 1, 0)
	h.reportCapacity("a0", largeCapacity)
	state := serverOf("a0", 1000)
	state.Instance = "later"
	h.Report(h.now, "a0", Report{Server: state, Free: state.Capacity})
	h.submitDemand("x", largeDemand)
	if o := h.outcomes["x"]; o.Code != result.CannotRun {
		t.Errorf("job that fitted on the former instance: %+v", o)
	}
}

// Guards against a caller that is held until the job can no longer be useful although no backend server has the
// capacity for it any more. A job that may have run continues.
func TestWaitingJobThatNoLongerFitsIsRejected(t *testing.T) {
	for name, capacity := range smallerCapacities {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 0)
			h.reportCapacity("a0", largeCapacity)
			if !h.submitDemand("running", largeDemand) || !h.submitDemand("waiting", largeDemand) {
				t.Fatalf("a job was rejected: %+v", h.outcomes)
			}
			h.reportCapacity("a0", capacity)
			h.advance(20 * time.Millisecond)
			if o := h.outcomes["waiting"]; o.Code != result.NotReady || o.Effect != result.NotRun || o.RetryAfter <= 0 {
				t.Errorf("job that no longer fits: %+v", o)
			}
			if o, ended := h.outcomes["running"]; ended {
				t.Errorf("job that has started: %+v", o)
			}
		})
	}
}

// Guards against waiting jobs that are rejected while a backend server with the capacity for them is out of
// reach, or while there are agents to which no link exists.
func TestWaitingJobIsKeptWhileItMayFit(t *testing.T) {
	prepare := func() *harness {
		h := newHarness(t, 2, 0)
		h.reportCapacity("a0", largeCapacity)
		h.reportCapacity("a1", run.Demand{CPU: 1000})
		if !h.submitDemand("running", largeDemand) || !h.submitDemand("waiting", largeDemand) {
			t.Fatalf("a job was rejected: %+v", h.outcomes)
		}
		return h
	}
	h := prepare()
	h.AgentDisconnected(h.now, "a0")
	h.advance(20 * time.Millisecond)
	if o, ended := h.outcomes["waiting"]; ended {
		t.Errorf("rejected while the link to its backend server is down: %+v", o)
	}
	h = prepare()
	h.SetPartial(true)
	h.reportCapacity("a0", smallerCapacities["cpu"])
	h.advance(20 * time.Millisecond)
	if o, ended := h.outcomes["waiting"]; ended {
		t.Errorf("rejected with links to a part of the agents: %+v", o)
	}
}

// Guards against a task that must run alone and is placed on a backend server whose capacity is, or has become,
// less than its demand: its order asked for all that there is, and the run exceeded it.
func TestTaskThatRunsAloneNeedsItsDemand(t *testing.T) {
	for name, capacity := range smallerCapacities {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 0)
			h.reportCapacity("a0", capacity)
			j := newJob(Job{ID: "x", Queue: testQueue, Arrived: h.now, Steps: []Step{{Count: 1, Demand: largeDemand, Estimate: time.Second}}})
			task := j.tasks[0]
			for range minLikelyCrashes {
				h.Scheduler.crashes.addTask(h.now, task.name, "i", CountedCrash{})
			}
			if !h.mustRunAlone(j, task) {
				t.Fatal("the task need not run alone")
			}
			if h.hasCapacity(h.now, j, task, h.servers["a0"]) {
				t.Errorf("a task of %+v is placed on %+v", largeDemand, capacity)
			}
			h.reportCapacity("a0", largeCapacity)
			if got := h.demandOn(j, task, h.servers["a0"]); got != largeCapacity {
				t.Errorf("demand %+v of a task that runs alone on %+v", got, largeCapacity)
			}
		})
	}
}
