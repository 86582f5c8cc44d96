package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// longObjectiveQueue is a queue with a long latency objective, whose jobs may wait long.
var longObjectiveQueue = route.Queue{Name: "long", Service: "svc", Attempts: 2, Stretch: 8, Latency: 20 * time.Second}

// connectWith connects an agent whose backend server is the default one with the given change.
func (h *harness) connectWith(agent string, change func(*run.Server)) {
	s := serverOf(agent, 10_000)
	change(&s)
	h.AgentConnected(h.now, agent)
	h.Report(h.now, agent, Report{Server: s, Free: s.Capacity, Entries: 1})
	h.take()
}

// submitStep submits a job with a single step and reports whether it was admitted.
func (h *harness) submitStep(id string, q route.Queue, step Step) bool {
	o, ok := h.Submit(h.now, Job{ID: id, Queue: q, Arrived: h.now, Steps: []Step{step}})
	if !ok {
		h.outcomes[id] = o
	}
	h.take()
	return ok
}

// TestBlockedJobsDoNotBlockOtherShapes checks that jobs that wait for one kind of capacity do not block
// jobs behind them that need another. With 295 jobs waiting for one service, no job of another service
// started on its idle backend servers.
func TestBlockedJobsDoNotBlockOtherShapes(t *testing.T) {
	plain := Step{Count: 2, Demand: run.Demand{CPU: 3000, MemoryMB: 64}, Estimate: 100 * time.Millisecond}
	cases := map[string]struct {
		scarce func(*run.Server)
		change func(*Step, *route.Queue)
	}{
		"service":          {func(v *run.Server) { v.Service = "other" }, func(_ *Step, q *route.Queue) { q.Service = "other" }},
		"label":            {func(v *run.Server) { v.Labels = []string{"ssd"} }, func(s *Step, _ *route.Queue) { s.Label = "ssd" }},
		"memory":           {func(*run.Server) {}, func(s *Step, _ *route.Queue) { s.Demand.MemoryMB = 800_000 }},
		"GPU":              {func(v *run.Server) { v.Capacity.GPU = 1 }, func(s *Step, _ *route.Queue) { s.Demand.GPU = 1 }},
		"tasks per server": {func(*run.Server) {}, func(s *Step, _ *route.Queue) { s.MaxPerServer, s.Count, s.Demand.CPU = 1, 40, 100 }},
	}
	for name, c := range cases {
		h := newHarness(t, 0, 0)
		for i := range 4 {
			h.connectWith(fmt.Sprint("scarce", i), c.scarce)
		}
		step, queue := plain, longObjectiveQueue
		c.change(&step, &queue)
		for i := range 60 {
			h.submitStep(fmt.Sprint("first", i), queue, step)
		}
		for i := range 4 {
			h.connectWith(fmt.Sprint("idle", i), func(v *run.Server) { v.Capacity.MemoryMB = 1000 })
		}
		later := longObjectiveQueue
		later.Latency = 40 * time.Second
		if !h.submitStep("second", later, plain) {
			t.Errorf("%s: rejected: %+v", name, h.outcomes["second"])
			continue
		}
		h.advance(20 * time.Millisecond)
		if _, started := h.Has("second"); !started {
			t.Errorf("%s: the job has not started although an idle server has capacity", name)
		}
	}
}

// TestJobWithFreeCapacityIsNotRejected checks that a job with free capacity is not rejected because of
// a backlog that waits for other backend servers.
func TestJobWithFreeCapacityIsNotRejected(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.connectWith("scarce", func(v *run.Server) { v.Labels = []string{"ssd"} })
	scarce := Step{Count: 6, Demand: run.Demand{CPU: 3000}, Estimate: 2 * time.Second, Label: "ssd"}
	for i := range 20 {
		h.submitStep(fmt.Sprint("first", i), longObjectiveQueue, scarce)
	}
	h.connectWith("idle", func(*run.Server) {})
	last := testQueue
	last.Priority = 2000
	if !h.submitTo(last, "plain", 2, 3000, 100*time.Millisecond) {
		t.Errorf("rejected: %+v", h.outcomes["plain"])
	}
}

// reportProgress reports the progress of all runs, each of which lasts for the given time.
func (h *harness) reportProgress(took time.Duration) {
	for agent, list := range h.orders {
		h.RecordMessage(h.now, agent)
		for _, o := range list {
			v := h.servers[agent]
			start := v.runs[o.Ref].orderedAt
			percent := int(100 * h.now.Sub(start) / took)
			h.Progress(h.now, agent, o.Ref, min(99, percent), h.now.Sub(start))
		}
	}
}

// TestHealthyLongRunsAreNotStopped checks that long runs that make steady progress are not stopped as
// stalled: one percent of a run of 30 s takes longer than the time without progress that is a stall of
// a short run.
func TestHealthyLongRunsAreNotStopped(t *testing.T) {
	for _, declared := range []time.Duration{30 * time.Second, 3 * time.Second} {
		h := newHarness(t, 8, 10_000)
		h.submitTo(longObjectiveQueue, "j", 4, 3000, declared)
		for range 30 * 10 {
			h.advance(80 * time.Millisecond)
			h.reportProgress(30 * time.Second)
		}
		if len(h.stops) != 0 {
			t.Errorf("declared %v: %d healthy runs were stopped", declared, len(h.stops))
		}
	}
}

// TestStalledLongRunIsMoved checks that a long run that stops making progress is stopped, so that its
// task is moved.
func TestStalledLongRunIsMoved(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	queue := longObjectiveQueue
	queue.Stretch, queue.Latency = 1.6, 60*time.Millisecond
	h.submitTo(queue, "j", 1, 3000, 10*time.Second)
	for range 50 {
		h.advance(80 * time.Millisecond)
		h.reportProgress(10 * time.Second)
	}
	stalledAt := h.now
	for len(h.stops) == 0 && h.now.Sub(stalledAt) < 3*time.Second {
		h.advance(80 * time.Millisecond)
		for agent, list := range h.orders {
			h.RecordMessage(h.now, agent)
			for _, o := range list {
				h.Progress(h.now, agent, o.Ref, 40, h.now.Sub(stalledAt)+4*time.Second)
			}
		}
	}
	if took := h.now.Sub(stalledAt); len(h.stops) == 0 || took > time.Second {
		t.Errorf("%d stops %v after the run stalled, want one within 1s", len(h.stops), took)
	}
}

// TestStartedJobContinuesUntilItsDeadline checks that a late job that has started continues, behind the
// jobs on time, while its caller waits. A job of a burst once ended with "may have run" 0.95 s before
// its caller left.
func TestStartedJobContinuesUntilItsDeadline(t *testing.T) {
	h := newHarness(t, 1, 6000)
	submit := func(id string, tasks int, timeout time.Duration) {
		h.Submit(h.now, Job{ID: id, Queue: testQueue, Arrived: h.now, Deadline: h.now.Add(timeout), Steps: []Step{
			{Count: tasks, Demand: run.Demand{CPU: 3000}, Estimate: 60 * time.Millisecond},
		}})
		h.take()
	}
	submit("j", 3, 1500*time.Millisecond)
	for range 140 {
		h.advance(10 * time.Millisecond)
	}
	if o, ended := h.outcomes["j"]; ended {
		t.Fatalf("outcome %+v 100 ms before the deadline", o)
	}
	for range 12 {
		h.advance(10 * time.Millisecond)
	}
	if o := h.outcomes["j"]; o.Code != result.DeadlineExceeded || o.Effect != result.Run {
		t.Errorf("outcome after the deadline: %+v", o)
	}
}

// TestJobThatCannotMeetItsDeadlineIsRejected checks that a job that cannot end before its deadline is
// rejected at once.
func TestJobThatCannotMeetItsDeadlineIsRejected(t *testing.T) {
	h := newHarness(t, 1, 6000)
	o, ok := h.Submit(h.now, Job{ID: "j", Queue: testQueue, Arrived: h.now, Deadline: h.now.Add(100 * time.Millisecond), Steps: []Step{
		{Count: 1, Demand: run.Demand{CPU: 3000}, Estimate: time.Second},
	}})
	if ok || o.Code != result.DeadlineUnmet || o.Effect != result.NotRun {
		t.Errorf("admitted: %v, outcome %+v", ok, o)
	}
}

// TestJobWithUnderestimatedStepsCompletes checks that a job whose steps are far longer than declared
// still completes: a quarter of the jobs declare run times that are off by a factor of 5 to 10.
func TestJobWithUnderestimatedStepsCompletes(t *testing.T) {
	h := newHarness(t, 4, 10_000)
	step := Step{Count: 4, Demand: run.Demand{CPU: 3000}, Estimate: 100 * time.Millisecond}
	second := step
	second.After = []int{0}
	h.Submit(h.now, Job{ID: "j", Queue: testQueue, Arrived: h.now, Steps: []Step{step, second}})
	h.take()
	for range 30 {
		h.advance(80 * time.Millisecond)
		h.reportProgress(time.Second)
		for agent, list := range h.orders {
			for _, o := range append([]Order(nil), list...) {
				if h.now.Sub(h.servers[agent].runs[o.Ref].orderedAt) >= time.Second {
					h.endRun(agent, o.Ref, run.Done, 0)
				}
			}
		}
	}
	if o, ended := h.outcomes["j"]; !ended || o.Code != 0 {
		t.Errorf("ended: %v, outcome %+v", ended, o)
	}
}

// TestRetryAdviceIsSpreadOverTime checks that callers of rejected jobs are advised to retry in different
// seconds, in each of which their jobs have capacity; less urgent and later jobs retry later. When all
// jobs rejected at one moment got the same second, their retries caused the next burst.
func TestRetryAdviceIsSpreadOverTime(t *testing.T) {
	const tasks, cpu, estimate = 2, 3000, 200 * time.Millisecond
	h := newHarness(t, 4, 12_000)
	work := map[time.Duration]float64{}
	advice := func(queue route.Queue, from, n int) (last time.Duration) {
		for i := from; i < from+n; i++ {
			id := fmt.Sprint(queue.Name, i)
			if h.submitTo(queue, id, tasks, cpu, estimate) {
				continue
			}
			last = h.outcomes[id].RetryAfter
			work[last] += tasks * cpu * estimate.Seconds()
		}
		return last
	}
	urgent, idle := testQueue, testQueue
	idle.Name, idle.Priority = "idle", 2
	last := advice(urgent, 0, 300)
	first := advice(idle, 300, 1)
	throughput := 4 * 12_000.0
	for at, w := range work {
		if at%time.Second != 0 || at <= 0 {
			t.Errorf("advice %v is not a positive number of whole seconds", at)
		}
		if w > throughput {
			t.Errorf("callers of %.0f millicore-seconds are advised to retry after %v, the throughput of one second is %.0f", w, at, throughput)
		}
	}
	if len(work) < 2 || first < last {
		t.Errorf("%d different seconds; last advice to an urgent job %v, to a less urgent one %v", len(work), last, first)
	}
}

// TestRejectionWithoutRetrySlotIsOverloaded checks that a job is rejected as Overloaded if no second
// within retryHorizon has capacity left for its retry: the entry could not keep the advice.
func TestRejectionWithoutRetrySlotIsOverloaded(t *testing.T) {
	h := newHarness(t, 1, 6000)
	var o Outcome
	for i := range 2000 {
		id := fmt.Sprint("j", i)
		h.submit(id, 20, 3000, time.Second)
		o = h.outcomes[id]
	}
	if o.Code != result.Overloaded || o.Effect != result.NotRun || o.RetryAfter < retryHorizon {
		t.Errorf("outcome %+v", o)
	}
}
