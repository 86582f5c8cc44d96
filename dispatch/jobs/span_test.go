package jobs

import (
	"fmt"
	"math"
	"testing"
	"time"

	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// Guards against a duration that has the wrong sign because a number was beyond its range.
func TestSpanIsBounded(t *testing.T) {
	for in, want := range map[float64]time.Duration{
		0: 0, 1e9: time.Second, -1e9: -time.Second, 1e300: maxSpan, -1e300: -maxSpan, math.Inf(1): maxSpan, math.Inf(-1): -maxSpan,
		math.MaxInt64: maxSpan, math.MinInt64: -maxSpan,
	} {
		if got := span(in); got != want {
			t.Errorf("span(%g) is %d, want %d", in, got, want)
		}
	}
	if got := span(math.NaN()); got != 0 {
		t.Errorf("span(NaN) is %d", got)
	}
}

// Guards against an objective that overflows, so that a job is late, or given up, when it arrives.
func TestObjectiveOfLongJobsDoesNotOverflow(t *testing.T) {
	for _, q := range []route.Queue{
		{Name: "stretched", Service: "svc", Stretch: 1e6, Latency: time.Second},
		{Name: "late", Service: "svc", Stretch: 1, Latency: math.MaxInt64},
		{Name: "last", Service: "svc", Stretch: 100, Priority: 1 << 30},
	} {
		h := newHarness(t, 1, run.MaxAmount)
		in := largestJob(h.now)
		in.Queue = q
		in.Deadline = time.Time{}
		j := newJob(in)
		if j.criticalPath != MaxSteps*MaxEstimate || j.latencyObjective() < j.criticalPath {
			t.Errorf("%s: critical path %s, objective %s", q.Name, j.criticalPath, j.latencyObjective())
		}
		if !j.usefulUntil().After(j.objectiveTime) || !j.giveUpTime().After(j.usefulUntil()) {
			t.Errorf("%s: objective %s, useful until %s, given up %s", q.Name, j.objectiveTime, j.usefulUntil(), j.giveUpTime())
		}
		if key := h.queueKeyOf(j); key.Before(h.now) {
			t.Errorf("%s: ordered by %s, before the arrival", q.Name, key)
		}
	}
}

// Guards against a wait that overflows behind a large backlog on slow backend servers, so that jobs are admitted as
// if there were none.
func TestWaitBehindLargeBacklogDoesNotOverflow(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.AgentConnected(h.now, "a0")
	s := serverOf("a0", run.MaxAmount)
	h.Report(h.now, "a0", Report{Server: s, Free: s.Capacity, OthersSlowdown: MaxSlowdown, Entries: 10_000})
	q := route.Queue{Name: "q", Service: "svc", Stretch: 1e6}
	job := func(id string) Job {
		return Job{ID: id, Queue: q, Arrived: h.now, Steps: []Step{{Count: MaxTasks, Demand: run.Demand{CPU: run.MaxAmount}, Estimate: MaxEstimate}}}
	}
	for i := range 10 {
		j := newJob(job(fmt.Sprint(i)))
		j.arrivalNumber, j.mayOrder = uint64(i), true
		h.enqueue(h.now, j)
	}
	j := newJob(job("new"))
	j.queueKey = h.queueKeyOf(j)
	for name, wait := range map[string]time.Duration{
		"on time": h.expectedWait(h.now, j, h.onTime, h.late), "late": h.expectedLateWait(h.now, j),
	} {
		if wait < 24*time.Hour || wait > maxSpan {
			t.Errorf("%s: a wait of %s behind %s", name, wait, 10*MaxTasks*MaxEstimate)
		}
	}
	o := h.rejection(h.now, j, h.expectedWait(h.now, j, h.onTime, h.late))
	if o.RetryAfter <= 0 || o.RetryAfter > retryHorizon {
		t.Errorf("retry after %s", o.RetryAfter)
	}
	if w := h.WaitingDemand(h.now, "a0"); w.Demand.CPU != maxDemandJobs*MaxTasks*run.MaxAmount {
		t.Errorf("waiting demand %+v", w.Demand)
	}
}

// Guards against a job that makes its backend server seem millions of times slower than the others by declaring a
// run time of almost nothing.
func TestTinyEstimatesDoNotChangeSpeeds(t *testing.T) {
	for estimate, want := range map[time.Duration]float64{time.Nanosecond: 0, minMeasuredEstimate: MaxSlowdown} {
		h := newHarness(t, 1, 10_000)
		h.submit("j", 1, 1000, estimate)
		h.now = h.now.Add(10 * time.Second)
		h.endRun("a0", h.orders["a0"][0].Ref, run.Done, 0)
		if got := h.MeasuredSlowdown("a0"); got != want {
			t.Errorf("a run of 10s with a declared run time of %s is a slowdown of %g, want %g", estimate, got, want)
		}
	}
}
