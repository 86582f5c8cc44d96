package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

var testLimits = Limits{Suspect: 200 * time.Millisecond, Lost: 800 * time.Millisecond, MaxWaiting: 1000}

var testQueue = route.Queue{Name: "q", Service: "svc", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}

// bench drives a scheduler and keeps what it decided.
type bench struct {
	*Scheduler
	t        *testing.T
	now      time.Time
	outcomes map[string]Outcome
	orders   map[string][]Order // by agent, not yet ended
	stops    map[run.Ref]int
	claims   []Claim
	seqs     map[string]uint64
}

func newBench(t *testing.T, servers int, cpu int64) *bench {
	b := &bench{
		Scheduler: New(testLimits), t: t, now: time.Unix(1000, 0),
		outcomes: map[string]Outcome{}, orders: map[string][]Order{}, stops: map[run.Ref]int{}, seqs: map[string]uint64{},
	}
	for i := range servers {
		b.up(fmt.Sprintf("a%d", i), cpu)
	}
	return b
}

func serverOf(agent string, cpu int64) run.Server {
	return run.Server{Instance: "i-" + agent, Service: "svc", Domain: "d-" + agent, State: run.Ready, Room: run.Demand{CPU: cpu, MemoryMB: 1 << 20}}
}

func (b *bench) up(agent string, cpu int64) {
	b.AgentUp(b.now, agent)
	b.report(agent, cpu)
	b.take()
}

func (b *bench) report(agent string, cpu int64) {
	free := run.Demand{CPU: cpu, MemoryMB: 1 << 20}
	for _, o := range b.orders[agent] {
		free = free.Minus(o.Demand)
	}
	b.Report(b.now, agent, Report{Server: serverOf(agent, cpu), Free: free, Ack: b.seqs[agent]})
}

func (b *bench) take() {
	outcomes, batches := b.Take()
	for _, o := range outcomes {
		if _, twice := b.outcomes[o.Job]; twice {
			b.t.Errorf("job %s has two outcomes", o.Job)
		}
		b.outcomes[o.Job] = o
	}
	for _, batch := range batches {
		b.seqs[batch.Agent] = batch.Seq
		b.orders[batch.Agent] = append(b.orders[batch.Agent], batch.Orders...)
		for _, r := range batch.Stops {
			b.stops[r]++
		}
		b.claims = append(b.claims, batch.Claims...)
	}
}

func (b *bench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.Tick(b.now)
	b.take()
}

func (b *bench) submit(id string, tasks int, cpu int64, estimate time.Duration) bool {
	return b.submitTo(testQueue, id, tasks, cpu, estimate)
}

func (b *bench) submitTo(q route.Queue, id string, tasks int, cpu int64, estimate time.Duration) bool {
	o, ok := b.Submit(b.now, Job{
		ID: id, Queue: q, Arrived: b.now,
		Steps: []Step{{Count: tasks, Demand: run.Demand{CPU: cpu}, Estimate: estimate}},
	})
	if !ok {
		b.outcomes[id] = o
	}
	b.take()
	return ok
}

// event ends a run at an agent.
func (b *bench) event(agent string, ref run.Ref, kind run.Kind, code result.Code) {
	kept := b.orders[agent][:0]
	for _, o := range b.orders[agent] {
		if o.Ref != ref {
			kept = append(kept, o)
		}
	}
	b.orders[agent] = kept
	b.Event(b.now, agent, run.Event{Ref: ref, Kind: kind, Reason: code})
	b.take()
}

func (b *bench) placed() int {
	n := 0
	for _, list := range b.orders {
		n += len(list)
	}
	return n
}

// Guards against a job that is answered before all its tasks are done, or twice.
func TestJobCompletesWithItsLastTask(t *testing.T) {
	b := newBench(t, 2, 10_000)
	b.submit("j", 3, 3000, 100*time.Millisecond)
	if b.placed() != 3 {
		t.Fatalf("%d tasks placed", b.placed())
	}
	for agent, list := range b.orders {
		for _, o := range append([]Order(nil), list...) {
			if _, done := b.outcomes["j"]; done {
				t.Fatal("answered before the last task")
			}
			b.event(agent, o.Ref, run.Done, 0)
		}
	}
	if o, ok := b.outcomes["j"]; !ok || o.Code != 0 {
		t.Errorf("outcome %+v, %v", o, ok)
	}
}

// Guards against a task that is placed again while its last run may still go on: only the certain end
// of the run, or the time after which a lost agent's runs have ended, frees the task.
func TestLostAgentsTasksStartElsewhereOnlyWhenCertain(t *testing.T) {
	b := newBench(t, 1, 10_000)
	b.submit("j", 1, 3000, 400*time.Millisecond)
	b.up("a1", 10_000)
	b.AgentDown("a0")
	b.advance(testLimits.Lost - time.Millisecond)
	if len(b.orders["a1"]) != 0 {
		t.Fatal("placed again too early")
	}
	b.Heard(b.now, "a1")
	b.advance(2 * time.Millisecond)
	if len(b.orders["a1"]) != 1 {
		t.Fatalf("%d orders at the other agent", len(b.orders["a1"]))
	}
	if first, second := b.orders["a0"][0].Ref, b.orders["a1"][0].Ref; second.Run <= first.Run || second.Task != first.Task {
		t.Errorf("runs %v and %v", first, second)
	}
}

// Guards against runs that are given up, or started twice, when a link was only interrupted.
func TestNewLinkClaimsRuns(t *testing.T) {
	b := newBench(t, 1, 10_000)
	b.submit("j", 1, 3000, 400*time.Millisecond)
	ref := b.orders["a0"][0].Ref
	b.AgentDown("a0")
	b.advance(300 * time.Millisecond)
	b.AgentUp(b.now, "a0")
	b.take()
	if len(b.claims) != 1 || b.claims[0].Ref != ref {
		t.Fatalf("claims %v", b.claims)
	}
	b.Event(b.now, "a0", run.Event{Ref: ref, Kind: run.Running})
	b.event("a0", ref, run.Done, 0)
	if o, ok := b.outcomes["j"]; !ok || o.Code != 0 {
		t.Errorf("outcome %+v", o)
	}
}

// Guards against runs that go on after their caller has left: it may send the job again elsewhere.
func TestAbandonStopsRuns(t *testing.T) {
	b := newBench(t, 2, 10_000)
	b.submit("j", 4, 3000, 400*time.Millisecond)
	b.Abandon("j")
	b.take()
	if len(b.stops) != 4 {
		t.Errorf("%d stops", len(b.stops))
	}
	if _, ok := b.outcomes["j"]; ok {
		t.Error("a job whose caller has left has an outcome")
	}
}

// Guards against a job that is called "not run" although a run of it may have begun.
func TestEffectIsTrue(t *testing.T) {
	b := newBench(t, 1, 10_000)
	b.submit("ran", 1, 3000, 100*time.Millisecond)
	b.submit("refused", 1, 3000, 100*time.Millisecond)
	b.AgentDown("a0")
	for _, o := range append([]Order(nil), b.orders["a0"]...) {
		if o.Ref.Task == run.TaskName("refused", 0, 0, 0) {
			b.event("a0", o.Ref, run.NotRun, result.NoFreeSlot)
		}
	}
	b.advance(1600 * time.Millisecond)
	if o := b.outcomes["ran"]; o.Effect != result.Run {
		t.Errorf("ran: %+v", o)
	}
	if o := b.outcomes["refused"]; o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("refused: %+v", o)
	}
}

// Guards against a job that fails because one backend server fails everything, and against endless
// repeats of a job that can never be done.
func TestFailedTaskIsTriedElsewhereUpToItsAttempts(t *testing.T) {
	b := newBench(t, 3, 10_000)
	b.submit("j", 1, 3000, 100*time.Millisecond)
	for i := range testQueue.Attempts {
		if b.placed() != 1 {
			t.Fatalf("%d orders before failure %d", b.placed(), i)
		}
		for agent, list := range b.orders {
			if len(list) > 0 {
				b.event(agent, list[0].Ref, run.Failed, 0)
				break
			}
		}
	}
	if o := b.outcomes["j"]; o.Code != result.TaskFailed {
		t.Errorf("outcome %+v", o)
	}
}

// Guards against new work on a backend server that drains, whose agent is silent, or whose failure
// domain was taken out.
func TestServersThatTakeNoWork(t *testing.T) {
	changes := map[string]func(*bench){
		"draining": func(b *bench) {
			s := serverOf("a0", 10_000)
			s.State = run.Draining
			b.Report(b.now, "a0", Report{Server: s, Free: s.Room})
		},
		"no link": func(b *bench) { b.AgentDown("a0") },
		"out":     func(b *bench) { b.SetOut([]string{"d-a0"}) },
	}
	for name, change := range changes {
		b := newBench(t, 2, 10_000)
		change(b)
		for i := range 6 {
			b.submit(fmt.Sprint("j", i), 1, 3000, 100*time.Millisecond)
		}
		if n := len(b.orders["a0"]); n != 0 {
			t.Errorf("%s: %d orders", name, n)
		}
		if n := len(b.orders["a1"]); n != 3 {
			t.Errorf("%s: %d orders at the other one", name, n)
		}
	}
}

// Guards against long tasks on slow backend servers while fast ones are free: servers differ by a
// factor of 2.4 in speed.
func TestLongTasksGoToFastServers(t *testing.T) {
	b := newBench(t, 2, 100_000)
	for i := range 12 {
		b.submit(fmt.Sprint("warm", i), 2, 100, 200*time.Millisecond)
		for agent, took := range map[string]time.Duration{"a0": 340 * time.Millisecond, "a1": 140 * time.Millisecond} {
			for _, o := range append([]Order(nil), b.orders[agent]...) {
				b.now = b.now.Add(took)
				b.event(agent, o.Ref, run.Done, 0)
				b.now = b.now.Add(-took)
			}
		}
	}
	b.submit("long", 4, 3000, 900*time.Millisecond)
	if n := len(b.orders["a1"]); n != 4 {
		t.Errorf("%d of 4 long tasks at the fast one", n)
	}
}

// Guards against a job that waits behind its own last task: one that has begun comes first.
func TestBegunJobComesFirst(t *testing.T) {
	b := newBench(t, 1, 6000)
	b.submit("first", 3, 3000, 100*time.Millisecond)
	b.submit("second", 1, 3000, 50*time.Millisecond)
	b.event("a0", b.orders["a0"][0].Ref, run.Done, 0)
	b.report("a0", 6000)
	b.take()
	names := map[string]int{}
	for _, o := range b.orders["a0"] {
		names[o.Ref.Task[:5]]++
	}
	if names["first"] != 2 {
		t.Errorf("running: %v", names)
	}
}

// Guards against an order that bounces between entry and agent every few milliseconds: 7,868 refusals
// in 8 s were seen from five agents whose backend servers lost answers.
func TestRefusingAgentIsLeftAlone(t *testing.T) {
	b := newBench(t, 1, 10_000)
	b.submit("j", 1, 3000, 400*time.Millisecond)
	b.event("a0", b.orders["a0"][0].Ref, run.NotRun, result.StaleToken)
	b.report("a0", 10_000)
	b.take()
	if b.placed() != 0 {
		t.Error("ordered again at once")
	}
	b.advance(refusalPause)
	if b.placed() != 1 {
		t.Error("not ordered again")
	}
}

// rejectedOfTen returns how many of ten jobs are rejected by a scheduler with one backend server.
func rejectedOfTen(t *testing.T, prepare func(*bench)) int {
	b := newBench(t, 1, 10_000)
	prepare(b)
	n := 0
	for i := range 10 {
		if !b.submit(fmt.Sprint("j", i), 2, 3000, 100*time.Millisecond) {
			n++
		}
	}
	return n
}

// Guards against jobs rejected for want of room while the agents of a system that starts are still
// connecting: 46 were rejected within 0.2 s of the return of power.
func TestStartingEntryCountsOnAgentsToCome(t *testing.T) {
	rejected := func(expect int) int {
		return rejectedOfTen(t, func(b *bench) { b.Expect(b.now, expect) })
	}
	if few, many := rejected(11), rejected(1); few >= many {
		t.Errorf("%d rejected with agents to come, %d without", few, many)
	}
}

// Guards against jobs rejected in the first moments of a system that starts as a whole: the first
// backend server is known 0.1 s after the entry.
func TestStartingEntryHoldsJobsForTheFirstServer(t *testing.T) {
	b := newBench(t, 0, 0)
	if b.submit("early", 1, 3000, 100*time.Millisecond) || b.outcomes["early"].Code != result.NotReady {
		t.Error("a job is taken in although no agent is known")
	}
	b.Expect(b.now, 1)
	if !b.submit("j", 1, 3000, 100*time.Millisecond) {
		t.Fatal("rejected although an agent is known")
	}
	b.advance(100 * time.Millisecond)
	b.up("a0", 10_000)
	b.advance(time.Millisecond)
	if b.placed() != 1 {
		t.Error("not placed")
	}
	b = newBench(t, 0, 0)
	b.Expect(b.now, 1)
	b.submit("j", 1, 3000, 100*time.Millisecond)
	for range 12 {
		b.advance(50 * time.Millisecond)
	}
	if o := b.outcomes["j"]; o.Code != result.DeadlineUnmet || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("without a server: %+v", o)
	}
}

// Guards against backend servers that are suspended because some of their answers are lost, and
// against orders without end to one that answers none.
func TestLostAnswersSuspendNobody(t *testing.T) {
	b := newBench(t, 1, 10_000)
	b.submit("j", 1, 3000, 400*time.Millisecond)
	for i := range unansweredLimit {
		if b.placed() != 1 {
			t.Fatalf("no order after %d lost answers", i)
		}
		b.event("a0", b.orders["a0"][0].Ref, run.NotRun, result.StartTooLate)
	}
	if b.placed() != 0 {
		t.Error("ordered from a server that answers nothing")
	}
	b.advance(unansweredPause)
	if b.placed() != 1 {
		t.Error("not ordered again after the pause")
	}
}

// Guards against tasks far from their data while their rack has room, and against a backend server that
// is taken to be slow because the data of its tasks is elsewhere.
func TestTasksRunNearTheirData(t *testing.T) {
	b := newBench(t, 0, 0)
	b.limits.FarFactor = 3
	for _, agent := range []string{"a0", "a1", "a2"} {
		b.AgentUp(b.now, agent)
		s := serverOf(agent, 6000)
		s.Labels = []string{"rack-" + agent}
		b.Report(b.now, agent, Report{Server: s, Free: s.Room})
	}
	b.take()
	submit := func(id string) {
		b.Submit(b.now, Job{ID: id, Queue: testQueue, Arrived: b.now, Steps: []Step{{
			Count: 1, Demand: run.Demand{CPU: 3000}, Estimate: 200 * time.Millisecond, Affinity: "rack-a1",
		}}})
		b.take()
	}
	submit("j0")
	submit("j1")
	submit("j2")
	if n := b.placed(); len(b.orders["a1"]) != 2 || n != 2 {
		t.Fatalf("%d tasks near their data, %d in all", len(b.orders["a1"]), n)
	}
	// No room came free near the data in time: far away the job is late, and still of use.
	b.advance(200 * time.Millisecond)
	if n := b.placed(); n != 3 {
		t.Fatalf("%d tasks after the slack was used", n)
	}
	for agent, list := range b.orders {
		if agent == "a1" || len(list) == 0 {
			continue
		}
		b.now = b.now.Add(600 * time.Millisecond)
		b.event(agent, list[0].Ref, run.Done, 0)
		if slow := b.servers[agent].slowness(); slow > 1.1 {
			t.Errorf("%s counts as %.1f times slower after a task away from its data", agent, slow)
		}
	}
}

// Guards against kinds of low priority that are rejected as soon as anything waits.
func TestAnyPriorityMayWaitALittle(t *testing.T) {
	b := newBench(t, 1, 10_000)
	low := testQueue
	low.Priority = 9
	for i := range 3 {
		b.submit(fmt.Sprint("j", i), 1, 3000, 400*time.Millisecond)
	}
	b.submit("waits", 1, 100, time.Millisecond)
	b.submit("waits too", 1, 3000, 2*time.Millisecond)
	if !b.submitTo(low, "low", 1, 3000, 400*time.Millisecond) {
		t.Errorf("rejected behind a backlog of 6 ms: %+v", b.outcomes["low"])
	}
}

// Guards against a fleet that gets no work because declared run times are too low by a factor: against
// them every backend server seems to be slow.
func TestFleetIsNotSlowAsAWhole(t *testing.T) {
	b := newBench(t, 3, 100_000)
	for i := range 30 {
		b.submit(fmt.Sprint("j", i), 3, 1000, 50*time.Millisecond)
		b.now = b.now.Add(250 * time.Millisecond)
		for agent, list := range b.orders {
			for _, o := range append([]Order(nil), list...) {
				b.event(agent, o.Ref, run.Done, 0)
			}
		}
		b.advance(time.Millisecond)
	}
	b.submit("last", 6, 1000, 50*time.Millisecond)
	if n := b.placed(); n != 6 {
		t.Errorf("%d of 6 tasks placed on servers at five times the declared run time", n)
	}
}

// Guards against a task that stays refused for as long as clocks differ: its caller sent the job again
// to an entry whose clock is behind, and the backend server knows a run with a higher number.
func TestOutdatedRunGetsAHigherNumber(t *testing.T) {
	b := newBench(t, 1, 8000)
	b.submit("j", 1, 1000, time.Second)
	first := b.orders["a0"][0].Ref
	b.orders["a0"] = nil
	b.event("a0", first, run.NotRun, result.OutdatedRun)
	b.take()
	if len(b.orders["a0"]) != 1 || b.orders["a0"][0].Ref.Run < first.Run+6000 {
		t.Errorf("orders after the refusal of run %d: %v", first.Run, b.orders["a0"])
	}
}

// Guards against runs that are stopped for nothing when orders take long: their time counted from the
// order, and with three answers in ten lost a tenth of the runs looked slow.
func TestRunThatBeganLateIsNotSlow(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 900 * time.Millisecond, 200 * time.Millisecond: 1800 * time.Millisecond} {
		b := newBench(t, 1, 8000)
		b.submit("j", 1, 1000, time.Second)
		ref := b.orders["a0"][0].Ref
		b.now = b.now.Add(200 * time.Millisecond)
		b.Progress(b.now, "a0", ref, 10, age)
		if rest, known := b.servers["a0"].runs[ref].remaining(b.now); !known || rest != want {
			t.Errorf("a run that is a tenth done after %v takes %v longer (known: %t)", age, rest, known)
		}
	}
}

// Guards against jobs rejected while the room for them is a few milliseconds away, on agents to which links
// are being opened.
func TestLinksBeingOpenedCountAsRoom(t *testing.T) {
	rejected := func(opening int) int {
		return rejectedOfTen(t, func(b *bench) { b.SetOpening(opening) })
	}
	if few, many := rejected(10), rejected(0); few >= many {
		t.Errorf("%d rejected while ten links are opened, %d without", few, many)
	}
}

// Guards against runs that are forgotten with their agent, and against a failing backend server that takes
// new tasks at once because its agent was let go and taken again.
func TestReleasedAgent(t *testing.T) {
	b := newBench(t, 4, 10_000)
	b.submit("j", 1, 3000, time.Second)
	for agent, orders := range b.orders {
		if got := b.Release(agent); got != (len(orders) == 0) {
			t.Errorf("agent %s with %d runs was released: %v", agent, len(orders), got)
		}
	}
	b = newBench(t, 4, 10_000)
	for range 10 {
		b.servers["a0"].health.Failure(b.now)
	}
	if !b.Release("a0") || b.Usable("a0") {
		t.Error("a0 is still in use")
	}
	b.up("a0", 10_000)
	if b.Usable("a0") || !b.Usable("a1") {
		t.Errorf("a0 usable %v although it was suspended, a1 %v", b.Usable("a0"), b.Usable("a1"))
	}
}

// Guards against "cannot run" for a job that only agents without a link have a place for: its caller would not
// come back, and the entry would not look for them.
func TestUnfitJobWithPartOfTheFleet(t *testing.T) {
	b := newBench(t, 2, 10_000)
	b.submit("all", 1, 20_000, time.Second)
	if o := b.outcomes["all"]; o.Code != result.CannotRun || b.TakeUnfit() {
		t.Errorf("with all agents: %+v", o)
	}
	b.SetPartial(true)
	b.submit("part", 1, 20_000, time.Second)
	if o := b.outcomes["part"]; o.Code != result.NotReady || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("with a part of the agents: %+v", o)
	}
	if !b.TakeUnfit() || b.TakeUnfit() {
		t.Error("the refusal is not told, or twice")
	}
}
