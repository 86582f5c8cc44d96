package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

var testLimits = Limits{SilenceLimit: 200 * time.Millisecond, LostAfter: 800 * time.Millisecond, MaxWaitingTasks: 1000}

var testQueue = route.Queue{Name: "q", Service: "svc", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}

// harness drives a scheduler and records its outcomes and batches.
type harness struct {
	*Scheduler
	t        *testing.T
	now      time.Time
	outcomes map[string]Outcome
	orders   map[string][]Order // by agent; orders whose runs have not ended
	stops    map[run.Ref]int
	claims   []Claim
	seqs     map[string]uint64 // newest frame received, by agent
	crashes  map[string]int    // crashes of its backend server, by agent
}

// newHarness returns a harness with agents a0, a1 and so on, whose backend servers have the given CPU
// capacity.
func newHarness(t *testing.T, servers int, cpu int64) *harness {
	h := &harness{
		Scheduler: New(testLimits), t: t, now: time.Unix(1000, 0),
		outcomes: map[string]Outcome{}, orders: map[string][]Order{}, stops: map[run.Ref]int{}, seqs: map[string]uint64{}, crashes: map[string]int{},
	}
	for i := range servers {
		h.connect(fmt.Sprintf("a%d", i), cpu)
	}
	return h
}

// serverOf returns the state of the default backend server of an agent.
func serverOf(agent string, cpu int64) run.Server {
	return run.Server{Instance: "i-" + agent, Service: "svc", Domain: "d-" + agent, State: run.Ready, Capacity: run.Demand{CPU: cpu, MemoryMB: 1 << 20}}
}

// connect opens a link to an agent and delivers its first report.
func (h *harness) connect(agent string, cpu int64) {
	h.AgentConnected(h.now, agent)
	h.report(agent, cpu)
	h.take()
}

// report delivers a report of an agent that accounts for all orders sent so far.
func (h *harness) report(agent string, cpu int64) {
	free := run.Demand{CPU: cpu, MemoryMB: 1 << 20}
	for _, o := range h.orders[agent] {
		free = free.Sub(o.Demand)
	}
	server := serverOf(agent, cpu)
	if n := h.crashes[agent]; n > 0 {
		server.Instance = fmt.Sprintf("%s-%d", server.Instance, n)
	}
	h.Report(h.now, agent, Report{Server: server, Free: free, Ack: h.seqs[agent]})
}

// take records the outcomes and batches of the scheduler.
func (h *harness) take() {
	outcomes, batches := h.Take()
	for _, o := range outcomes {
		if _, twice := h.outcomes[o.Job]; twice {
			h.t.Errorf("job %s has two outcomes", o.Job)
		}
		h.outcomes[o.Job] = o
	}
	for _, batch := range batches {
		h.seqs[batch.Agent] = batch.Seq
		h.orders[batch.Agent] = append(h.orders[batch.Agent], batch.Orders...)
		for _, r := range batch.Stops {
			h.stops[r]++
		}
		h.claims = append(h.claims, batch.Claims...)
	}
}

// advance moves the time forward by d and runs one tick.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.Tick(h.now)
	h.take()
}

// submit submits a job with a single step to testQueue and reports whether it was admitted.
func (h *harness) submit(id string, tasks int, cpu int64, estimate time.Duration) bool {
	return h.submitTo(testQueue, id, tasks, cpu, estimate)
}

// submitTo is submit for another queue.
func (h *harness) submitTo(q route.Queue, id string, tasks int, cpu int64, estimate time.Duration) bool {
	o, ok := h.Submit(h.now, Job{
		ID: id, Queue: q, Arrived: h.now,
		Steps: []Step{{Count: tasks, Demand: run.Demand{CPU: cpu}, Estimate: estimate}},
	})
	if !ok {
		h.outcomes[id] = o
	}
	h.take()
	return ok
}

// endRun ends a run on an agent.
func (h *harness) endRun(agent string, ref run.Ref, kind run.EventKind, code result.Code) {
	kept := h.orders[agent][:0]
	for _, o := range h.orders[agent] {
		if o.Ref != ref {
			kept = append(kept, o)
		}
	}
	h.orders[agent] = kept
	h.Event(h.now, agent, run.Event{Ref: ref, Kind: kind, Reason: code})
	h.take()
}

// placed returns the number of runs that have not ended.
func (h *harness) placed() int {
	n := 0
	for _, list := range h.orders {
		n += len(list)
	}
	return n
}

// TestJobCompletesWithItsLastTask checks that a job is completed exactly once, after all its tasks are
// done.
func TestJobCompletesWithItsLastTask(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("j", 3, 3000, 100*time.Millisecond)
	if h.placed() != 3 {
		t.Fatalf("%d tasks placed, want 3", h.placed())
	}
	for agent, list := range h.orders {
		for _, o := range append([]Order(nil), list...) {
			if _, done := h.outcomes["j"]; done {
				t.Fatal("outcome before the last task is done")
			}
			h.endRun(agent, o.Ref, run.Done, 0)
		}
	}
	if o, ok := h.outcomes["j"]; !ok || o.Code != 0 {
		t.Errorf("outcome %+v (recorded: %v), want completed", o, ok)
	}
}

// TestTaskOfLostAgentRestartsOnlyAfterItsRunHasEnded checks that a task is not placed again while its
// last run may continue: only the certain end of the run, or the time after which the runs of a lost
// agent have ended, allows it.
func TestTaskOfLostAgentRestartsOnlyAfterItsRunHasEnded(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("j", 1, 3000, 400*time.Millisecond)
	h.connect("a1", 10_000)
	h.AgentDisconnected(h.now, "a0")
	h.advance(testLimits.LostAfter - time.Millisecond)
	if len(h.orders["a1"]) != 0 {
		t.Fatal("the task was placed again before Limits.LostAfter passed")
	}
	h.RecordMessage(h.now, "a1")
	h.advance(2 * time.Millisecond)
	if len(h.orders["a1"]) != 1 {
		t.Fatalf("%d orders for the other agent, want 1", len(h.orders["a1"]))
	}
	if first, second := h.orders["a0"][0].Ref, h.orders["a1"][0].Ref; second.Run <= first.Run || second.Task != first.Task {
		t.Errorf("run %v was followed by %v, want the same task with a higher run number", first, second)
	}
}

// TestNewLinkClaimsRuns checks that runs are claimed, not dropped or started twice, after an
// interruption of the link.
func TestNewLinkClaimsRuns(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("j", 1, 3000, 400*time.Millisecond)
	ref := h.orders["a0"][0].Ref
	h.AgentDisconnected(h.now, "a0")
	h.advance(300 * time.Millisecond)
	h.AgentConnected(h.now, "a0")
	h.take()
	if len(h.claims) != 1 || h.claims[0].Ref != ref {
		t.Fatalf("claims %v, want only the interrupted run", h.claims)
	}
	h.Event(h.now, "a0", run.Event{Ref: ref, Kind: run.Running})
	h.endRun("a0", ref, run.Done, 0)
	if o, ok := h.outcomes["j"]; !ok || o.Code != 0 {
		t.Errorf("outcome %+v", o)
	}
}

// TestAbandonStopsRuns checks that the runs of an abandoned job are stopped: its caller may submit the
// job again elsewhere.
func TestAbandonStopsRuns(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("j", 4, 3000, 400*time.Millisecond)
	h.Abandon("j")
	h.take()
	if len(h.stops) != 4 {
		t.Errorf("%d runs stopped, want 4", len(h.stops))
	}
	if _, ok := h.outcomes["j"]; ok {
		t.Error("an abandoned job has an outcome")
	}
}

// TestEffectTellsWhetherJobMayHaveRun checks that the effect of a job that may have started is not
// NotRun.
func TestEffectTellsWhetherJobMayHaveRun(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("ran", 1, 3000, 100*time.Millisecond)
	h.submit("refused", 1, 3000, 100*time.Millisecond)
	h.AgentDisconnected(h.now, "a0")
	for _, o := range append([]Order(nil), h.orders["a0"]...) {
		if o.Ref.Task == run.TaskName("refused", 0, 0, 0) {
			h.endRun("a0", o.Ref, run.NotRun, result.NoFreeSlot)
		}
	}
	h.advance(1600 * time.Millisecond)
	if o := h.outcomes["ran"]; o.Effect != result.Run {
		t.Errorf("ran: %+v", o)
	}
	if o := h.outcomes["refused"]; o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("refused: %+v", o)
	}
}

// TestFailedTaskIsRetriedUpToItsAttempts checks that a failed task is retried on other backend servers,
// because one server may fail every task, and that its job fails once the attempts of the queue are
// used up.
func TestFailedTaskIsRetriedUpToItsAttempts(t *testing.T) {
	h := newHarness(t, 3, 10_000)
	h.submit("j", 1, 3000, 100*time.Millisecond)
	for i := range testQueue.Attempts {
		if h.placed() != 1 {
			t.Fatalf("%d orders before failure %d, want 1", h.placed(), i)
		}
		for agent, list := range h.orders {
			if len(list) > 0 {
				h.endRun(agent, list[0].Ref, run.Failed, 0)
				break
			}
		}
	}
	if o := h.outcomes["j"]; o.Code != result.TaskFailed {
		t.Errorf("outcome %+v", o)
	}
}

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

// TestRefusingAgentIsPaused checks that an order that an agent refuses is not repeated at once: 7,868
// refusals in 8 s were seen from five agents whose backend servers lost answers.
func TestRefusingAgentIsPaused(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("j", 1, 3000, 400*time.Millisecond)
	h.endRun("a0", h.orders["a0"][0].Ref, run.NotRun, result.StaleToken)
	h.report("a0", 10_000)
	h.take()
	if h.placed() != 0 {
		t.Error("ordered again before refusalPause passed")
	}
	h.advance(refusalPause)
	if h.placed() != 1 {
		t.Error("not ordered again after refusalPause")
	}
}

// countRejectedOfTen returns how many of ten jobs are rejected by a scheduler with one backend server.
func countRejectedOfTen(t *testing.T, prepare func(*harness)) int {
	h := newHarness(t, 1, 10_000)
	prepare(h)
	n := 0
	for i := range 10 {
		if !h.submit(fmt.Sprint("j", i), 2, 3000, 100*time.Millisecond) {
			n++
		}
	}
	return n
}

// TestWarmUpCountsExpectedAgents checks that jobs are not rejected for lack of capacity while the
// agents of a system that has just started are still connecting: 46 were rejected within 0.2 s after a
// power failure.
func TestWarmUpCountsExpectedAgents(t *testing.T) {
	rejected := func(expect int) int {
		return countRejectedOfTen(t, func(h *harness) { h.SetExpectedAgents(h.now, expect) })
	}
	if few, many := rejected(11), rejected(1); few >= many {
		t.Errorf("%d jobs rejected while agents are expected, %d otherwise", few, many)
	}
}

// TestWarmUpHoldsJobsForTheFirstServer checks that jobs are held while an entry that has just started
// waits for its first backend server, which is known 0.1 s after the start of the entry.
func TestWarmUpHoldsJobsForTheFirstServer(t *testing.T) {
	h := newHarness(t, 0, 0)
	if h.submit("early", 1, 3000, 100*time.Millisecond) || h.outcomes["early"].Code != result.NotReady {
		t.Error("a job was not rejected as NotReady although no agent is known")
	}
	h.SetExpectedAgents(h.now, 1)
	if !h.submit("j", 1, 3000, 100*time.Millisecond) {
		t.Fatal("rejected although an agent is expected")
	}
	h.advance(100 * time.Millisecond)
	h.connect("a0", 10_000)
	h.advance(time.Millisecond)
	if h.placed() != 1 {
		t.Error("not placed on the first server")
	}
	h = newHarness(t, 0, 0)
	h.SetExpectedAgents(h.now, 1)
	h.submit("j", 1, 3000, 100*time.Millisecond)
	for range 12 {
		h.advance(50 * time.Millisecond)
	}
	if o := h.outcomes["j"]; o.Code != result.DeadlineUnmet || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("outcome without a server: %+v", o)
	}
}

// TestLostAnswersPauseServerWithoutSuspension checks that lost answers do not suspend a backend server,
// but that one that answers no orders gets none for a while.
func TestLostAnswersPauseServerWithoutSuspension(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("j", 1, 3000, 400*time.Millisecond)
	for i := range unansweredLimit {
		if h.placed() != 1 {
			t.Fatalf("no order after %d lost answers", i)
		}
		h.endRun("a0", h.orders["a0"][0].Ref, run.NotRun, result.StartTooLate)
	}
	if h.placed() != 0 {
		t.Error("ordered again after unansweredLimit orders without an answer")
	}
	h.advance(unansweredPause)
	if h.placed() != 1 {
		t.Error("not ordered again after the pause")
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

// TestLowPriorityJobMayWaitBriefly checks that jobs of low priority are not rejected as soon as any job
// waits.
func TestLowPriorityJobMayWaitBriefly(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	low := testQueue
	low.Priority = 9
	for i := range 3 {
		h.submit(fmt.Sprint("j", i), 1, 3000, 400*time.Millisecond)
	}
	h.submit("waits", 1, 100, time.Millisecond)
	h.submit("waits too", 1, 3000, 2*time.Millisecond)
	if !h.submitTo(low, "low", 1, 3000, 400*time.Millisecond) {
		t.Errorf("rejected behind a backlog of 6 ms: %+v", h.outcomes["low"])
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

// TestOutdatedRunGetsHigherNumber checks that a task that is refused as outdated gets a run number
// above those of an entry with a clock that is ahead. Otherwise it is refused for as long as the clocks
// differ: this happens when a caller sends a job again to an entry whose clock is behind.
func TestOutdatedRunGetsHigherNumber(t *testing.T) {
	h := newHarness(t, 1, 8000)
	h.submit("j", 1, 1000, time.Second)
	first := h.orders["a0"][0].Ref
	h.orders["a0"] = nil
	h.endRun("a0", first, run.NotRun, result.OutdatedRun)
	h.take()
	if len(h.orders["a0"]) != 1 || h.orders["a0"][0].Ref.Run < first.Run+6000 {
		t.Errorf("orders after run %d was refused as outdated: %v", first.Run, h.orders["a0"])
	}
}

// TestRunTimeCountsFromItsStart checks that the run time counts from the start of the run, not from the
// order. When it counted from the order, a tenth of the runs looked slow and were stopped while 30% of
// the answers were lost.
func TestRunTimeCountsFromItsStart(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 900 * time.Millisecond, 200 * time.Millisecond: 1800 * time.Millisecond} {
		h := newHarness(t, 1, 8000)
		h.submit("j", 1, 1000, time.Second)
		ref := h.orders["a0"][0].Ref
		h.now = h.now.Add(200 * time.Millisecond)
		h.Progress(h.now, "a0", ref, 10, age)
		if remaining, known := h.servers["a0"].runs[ref].remaining(h.now); !known || remaining != want {
			t.Errorf("a run at 10%% after %v has %v remaining (known: %t)", age, remaining, known)
		}
	}
}

// TestOpeningLinksCountInAdmission checks that jobs are not rejected if the capacity for them is on
// agents to which links will be open in a few milliseconds.
func TestOpeningLinksCountInAdmission(t *testing.T) {
	rejected := func(opening int) int {
		return countRejectedOfTen(t, func(h *harness) { h.SetOpening(opening) })
	}
	if few, many := rejected(10), rejected(0); few >= many {
		t.Errorf("%d jobs rejected while ten links are being opened, %d otherwise", few, many)
	}
}

// TestReleaseKeepsRunsAndSuspensions checks that an agent with runs is not released, and that the
// suspension of a backend server survives the release of its agent and a new link.
func TestReleaseKeepsRunsAndSuspensions(t *testing.T) {
	h := newHarness(t, 4, 10_000)
	h.submit("j", 1, 3000, time.Second)
	for agent, orders := range h.orders {
		if got := h.Release(agent); got != (len(orders) == 0) {
			t.Errorf("agent %s with %d runs: released %v", agent, len(orders), got)
		}
	}
	h = newHarness(t, 4, 10_000)
	for range 10 {
		h.servers["a0"].health.Failure(h.now)
	}
	if !h.Release("a0") || h.Usable("a0") {
		t.Error("a0 was not released")
	}
	h.connect("a0", 10_000)
	if h.Usable("a0") || !h.Usable("a1") {
		t.Errorf("a0, which was suspended, is usable: %v; a1, which was not: %v", h.Usable("a0"), h.Usable("a1"))
	}
}

// TestUnfitJobIsNotReadyWithPartOfTheFleet checks that a job that fits on no known backend server is rejected as
// NotReady while there are agents without a link. With CannotRun its caller would not retry, and the
// entry would not look for these agents.
func TestUnfitJobIsNotReadyWithPartOfTheFleet(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("all", 1, 20_000, time.Second)
	if o := h.outcomes["all"]; o.Code != result.CannotRun || h.TakeJobRefused() {
		t.Errorf("with links to all agents: %+v", o)
	}
	h.SetPartial(true)
	h.submit("part", 1, 20_000, time.Second)
	if o := h.outcomes["part"]; o.Code != result.NotReady || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("with links to a part of the agents: %+v", o)
	}
	if !h.TakeJobRefused() || h.TakeJobRefused() {
		t.Error("TakeJobRefused does not report the refusal exactly once")
	}
}
