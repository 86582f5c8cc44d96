package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// crashServer reports a crash of the agent's backend server, ends its runs after the time of the lease, and brings
// a new process of the server back. Runs that are not named in young are half a second old at the crash.
func (h *harness) crashServer(agent string, young ...string) {
	h.t.Helper()
	list := append([]Order(nil), h.orders[agent]...)
	crash := run.Crash{Instance: list[0].Instance}
	h.crashes[agent]++
	down := serverOf(agent, 0)
	down.State = run.Absent
	h.Report(h.now, agent, Report{Server: down, Ack: h.seqs[agent]})
	for _, o := range list {
		age := 500 * time.Millisecond
		for _, name := range young {
			if o.Ref.Task == name {
				age = 10 * time.Millisecond
			}
		}
		crash.Suspects = append(crash.Suspects, run.Suspect{Task: o.Ref.Task, Kind: o.Kind, Age: age})
	}
	h.ServerCrashed(h.now, agent, crash, 0)
	h.take()
	for _, o := range list {
		h.endRun(agent, o.Ref, run.Stopped, result.ServerLost)
	}
	h.report(agent, 10_000)
	h.advance(20 * time.Millisecond)
}

// agentOf returns the agent that has a run of the task, or "".
func (h *harness) agentOf(task string) string {
	for agent, list := range h.orders {
		for _, o := range list {
			if o.Ref.Task == task {
				return agent
			}
		}
	}
	return ""
}

// Guards against a task that crashes one backend server after the other.
func TestTaskUnderWhichServersCrashIsGivenUp(t *testing.T) {
	h := newHarness(t, 5, 10_000)
	h.submit("crashing", 1, 3000, 60*time.Millisecond)
	task, crashes := "crashing.0.0.0", 0
	for h.agentOf(task) != "" && crashes < 10 {
		crashes++
		h.crashServer(h.agentOf(task), task)
	}
	if crashes != minLikelyCrashes {
		t.Errorf("%d backend servers crashed under the task, want %d", crashes, minLikelyCrashes)
	}
	if o := h.outcomes["crashing"]; o.Code != result.ServerCrashes || o.Effect != result.Run {
		t.Errorf("outcome %+v, want code %d, run", o, result.ServerCrashes)
	}
}

// Guards against giving up a job because its neighbour crashes backend servers.
func TestNeighbourOfCrashingTaskIsNotGivenUp(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	long := testQueue
	long.Latency = 10 * time.Second
	h.submitTo(long, "innocent", 1, 3000, 900*time.Millisecond)
	h.submitTo(long, "crashing", 1, 3000, 900*time.Millisecond)
	for range minLikelyCrashes {
		h.crashServer("a0", "crashing.0.0.0")
	}
	if o, ended := h.outcomes["innocent"]; ended {
		t.Fatalf("the neighbour ended: %+v", o)
	}
	h.advance(20 * time.Millisecond)
	if list := h.orders["a0"]; len(list) != 1 || list[0].Ref.Task != "innocent.0.0.0" {
		t.Errorf("orders %+v, want one for the neighbour", list)
	}
}

// Guards against starting a task again at another entry, to which its caller has gone, after it crashed backend
// servers.
func TestResubmittedCrashingJobIsGivenUpByAnotherEntry(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	for i := range minLikelyCrashes {
		suspects := []run.Suspect{{Task: "crashing.0.0.0", Kind: "q", Age: 10 * time.Millisecond}}
		h.ServerCrashed(h.now, "a0", run.Crash{Instance: fmt.Sprint(i), Suspects: suspects}, time.Second)
	}
	if h.submit("crashing", 1, 3000, 60*time.Millisecond) {
		t.Fatal("the job was admitted")
	}
	if o := h.outcomes["crashing"]; o.Code != result.ServerCrashes || o.Effect != result.Run {
		t.Errorf("outcome %+v, want code %d, run", o, result.ServerCrashes)
	}
}

// Guards against counting one crash as many when each new link of an agent reports it again.
func TestRepeatedCrashReportCountsOnce(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	c := run.Crash{Instance: "i-1", Suspects: []run.Suspect{{Task: "j.0.0.0", Kind: "q"}}}
	for range 5 {
		h.ServerCrashed(h.now, "a0", c, 0)
	}
	if !h.submit("j", 1, 3000, 60*time.Millisecond) {
		t.Error("the job was refused after a single crash")
	}
}

// Guards against unlimited starts beside agents of an earlier version, which report lost runs but no crashes.
func TestCrashesAtAgentsOfEarlierVersionCount(t *testing.T) {
	h := newHarness(t, 5, 10_000)
	h.submit("crashing", 1, 3000, 60*time.Millisecond)
	task, starts := "crashing.0.0.0", 0
	for h.agentOf(task) != "" && starts < 10 {
		starts++
		agent := h.agentOf(task)
		h.endRun(agent, h.orders[agent][0].Ref, run.Stopped, result.ServerLost)
		h.advance(20 * time.Millisecond)
	}
	if starts > maxTaskCrashes {
		t.Errorf("%d starts, want at most %d", starts, maxTaskCrashes)
	}
}

// otherQueue is a second kind of request of the same service.
var otherQueue = route.Queue{Name: "other", Service: "svc", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}

// confine makes jobs of testQueue crash three backend servers, so that the queue is confined.
func (h *harness) confine() {
	h.submitTo(otherQueue, "bystander", 1, 100, 50*time.Millisecond)
	for i := range burstCrashes {
		task := fmt.Sprintf("crashing-%d.0.0.0", i)
		suspects := []run.Suspect{{Task: task, Kind: testQueue.Name, Age: 10 * time.Millisecond}, {Task: "x.0.0.0", Kind: otherQueue.Name, Age: time.Second}}
		h.ServerCrashed(h.now, "a0", run.Crash{Instance: task, Suspects: suspects}, 0)
		h.advance(100 * time.Millisecond)
	}
}

// Guards against a kind of request that takes all backend servers of a service down: it is confined to a part of
// them, and the others use the rest.
func TestKindThatCrashesServersIsConfined(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.confine()
	h.submit("confined", 8, 3000, 50*time.Millisecond)
	h.submitTo(otherQueue, "free", 8, 3000, 50*time.Millisecond)
	used := map[string]map[string]bool{}
	for agent, list := range h.orders {
		for _, o := range list {
			if used[o.Kind] == nil {
				used[o.Kind] = map[string]bool{}
			}
			used[o.Kind][agent] = true
		}
	}
	if n := len(used[testQueue.Name]); n != 2 {
		t.Errorf("the confined kind uses %d of 8 backend servers, want 2", n)
	}
	for agent := range used[testQueue.Name] {
		if used[otherQueue.Name][agent] {
			t.Errorf("both kinds use %s", agent)
		}
	}
}

// Guards against crashes by a confined kind through an entry that has just started and knows no crashes: it
// confines what the others confine, for as long as they do.
func TestKindConfinedByOtherEntriesIsConfined(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	report := Report{Server: serverOf("a0", 10_000), Free: serverOf("a0", 10_000).Capacity, OthersConfined: []string{testQueue.Name}}
	h.Report(h.now, "a0", report)
	h.submit("confined", 8, 3000, 50*time.Millisecond)
	for agent, list := range h.orders {
		if len(list) > 0 && !h.servers[agent].inBulkhead {
			t.Errorf("the kind uses %s, which is not in the bulkhead", agent)
		}
	}
	if kinds := h.ConfinedKinds("a0"); len(kinds) > 0 {
		t.Errorf("the entry reports %v as confined on its own evidence", kinds)
	}
	h.advance(othersHold + 20*time.Millisecond)
	if h.bulkheads.anyConfined("svc") {
		t.Error("the kind is still confined after the other entries have released it")
	}
}

// Guards against confining a kind for ever: without further crashes it may use all backend servers again.
func TestConfinedKindIsReleased(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.confine()
	if !h.bulkheads.isConfined("svc", testQueue.Name) {
		t.Fatal("the kind is not confined")
	}
	h.bulkheads.service("svc").kind(testQueue.Name).completed = releaseJobs
	for range int(releaseAfter/(20*time.Millisecond)) + 2 {
		h.advance(20 * time.Millisecond)
	}
	if h.bulkheads.isConfined("svc", testQueue.Name) {
		t.Errorf("the kind is still confined %s after the newest crash", releaseAfter)
	}
}

// Guards against confining an innocent kind together with the cause: it is released when crashes without its runs
// convict another one.
func TestKindConfinedWronglyIsReleased(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.confine()
	h.submitTo(otherQueue, "another bystander", 1, 100, 50*time.Millisecond)
	third := route.Queue{Name: "third", Service: "svc", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}
	h.submitTo(third, "third", 1, 100, 50*time.Millisecond)
	for i := range burstCrashes {
		suspects := []run.Suspect{{Task: fmt.Sprintf("third-%d.0.0.0", i), Kind: third.Name, Age: 10 * time.Millisecond}}
		h.ServerCrashed(h.now, "a1", run.Crash{Instance: fmt.Sprint("third ", i), Suspects: suspects}, 0)
		h.advance(100 * time.Millisecond)
	}
	if h.bulkheads.isConfined("svc", testQueue.Name) || !h.bulkheads.isConfined("svc", third.Name) {
		t.Error("the first kind is still confined, or the third is not")
	}
}

// Guards against releasing a kind of which few jobs crash their servers before enough of its jobs have completed.
func TestRarelyCrashingKindStaysConfined(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.confine()
	for range int(releaseAfter/(20*time.Millisecond)) + 2 {
		h.advance(20 * time.Millisecond)
	}
	if !h.bulkheads.isConfined("svc", testQueue.Name) {
		t.Error("the kind is released although none of its jobs has completed")
	}
}

// Guards against blaming the tasks for a rack that loses power: its backend servers crash at the same time.
func TestSimultaneousCrashesConfineNoKind(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.submitTo(otherQueue, "bystander", 1, 100, 50*time.Millisecond)
	for i := range 6 {
		suspects := []run.Suspect{{Task: fmt.Sprintf("j%d.0.0.0", i), Kind: testQueue.Name, Age: 10 * time.Millisecond}}
		h.ServerCrashed(h.now, fmt.Sprintf("a%d", i), run.Crash{Instance: fmt.Sprint(i), Suspects: suspects}, 0)
	}
	if h.bulkheads.anyConfined("svc") {
		t.Error("a kind is confined")
	}
}

// Guards against holding jobs of a confined kind that no backend server can take: they are rejected at once.
func TestConfinedKindIsRejectedAtOnceWhileItsServersAreDown(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.confine()
	for _, v := range h.fleet {
		if v.inBulkhead {
			v.state.State = run.Absent
		}
	}
	if h.submit("j", 1, 3000, 50*time.Millisecond) {
		t.Fatal("the job was admitted")
	}
	if o := h.outcomes["j"]; o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("outcome %+v, want not run, with retry advice", o)
	}
}

// Guards against a start beyond the capacity: a task that must run alone was ordered with the capacity of the
// backend server as its demand, also on a server that is smaller than the task.
func TestTaskThatRunsAloneIsNotPlacedOnTooSmallServer(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.connect("large", 10_000)
	h.connect("small", 2000)
	h.submit("filler", 1, 1000, 50*time.Millisecond)
	for i := range minLikelyCrashes {
		suspects := []run.Suspect{{Task: "j.0.0.0", Kind: "q", Age: time.Second}, {Task: "crashing.0.0.0", Kind: "q"}}
		h.ServerCrashed(h.now, "large", run.Crash{Instance: fmt.Sprint(i), Suspects: suspects}, time.Second)
	}
	if !h.submit("j", 1, 3000, 50*time.Millisecond) {
		t.Fatalf("the job was refused: %+v", h.outcomes["j"])
	}
	if agent := h.agentOf("j.0.0.0"); agent == "small" {
		t.Error("a task of 3000 CPU was ordered from a backend server of 2000")
	}
}

// Guards against the answer "not run" for a job that ran on the orders of another entry: the crashes were reported
// while the job waited here, and it was rejected instead of failed.
func TestWaitingJobGivenUpAfterCrashesCountsAsRun(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("filler", 1, 10_000, 50*time.Millisecond)
	if !h.submit("crashing", 1, 3000, 10*time.Millisecond) {
		t.Fatalf("the job was refused: %+v", h.outcomes["crashing"])
	}
	for i := range maxTaskCrashes {
		suspects := []run.Suspect{{Task: "crashing.0.0.0", Kind: "q"}, {Task: "x.0.0.0", Kind: "q"}}
		h.ServerCrashed(h.now, "a1", run.Crash{Instance: fmt.Sprint(i), Suspects: suspects}, time.Second)
	}
	h.take()
	if o := h.outcomes["crashing"]; o.Code != result.ServerCrashes || o.Effect != result.Run {
		t.Errorf("outcome %+v, want code %d, run", o, result.ServerCrashes)
	}
}

// Guards against giving up a long task that runs on one backend server after the other while all are replaced: the
// graceful end of each was counted as a crash.
func TestServersThatLeaveDoNotCountAsCrashed(t *testing.T) {
	h := newHarness(t, 5, 10_000)
	slow := testQueue
	slow.Latency = 100 * time.Second
	h.submitTo(slow, "long", 1, 3000, 6*time.Second)
	for i := range maxTaskCrashes {
		agent := h.agentOf("long.0.0.0")
		if agent == "" {
			t.Fatalf("the task has no run after %d servers have left; outcome %+v", i, h.outcomes["long"])
		}
		h.servers[agent].state.State = run.Draining
		h.endRun(agent, h.orders[agent][0].Ref, run.Stopped, result.ServerLost)
		h.advance(20 * time.Millisecond)
	}
	if h.agentOf("long.0.0.0") == "" || len(h.Scheduler.crashes.tasks) > 0 {
		t.Errorf("outcome %+v, crashes %+v", h.outcomes["long"], h.Scheduler.crashes.tasks)
	}
}

// Guards against unlimited starts of a crashing task on backend servers that have all stalled before: the stall was
// reported as the crash of the process, and the agent reports no second one.
func TestCrashesAfterReportedStallsCount(t *testing.T) {
	h := newHarness(t, 6, 10_000)
	for i := range 6 {
		suspects := []run.Suspect{{Task: fmt.Sprintf("x%d.0.0.0", i), Kind: "q", Age: time.Second}}
		h.ServerCrashed(h.now, fmt.Sprintf("a%d", i), run.Crash{Instance: fmt.Sprintf("i-a%d", i), Suspects: suspects}, 0)
	}
	h.advance(2 * time.Second)
	h.submit("crashing", 1, 3000, 60*time.Millisecond)
	starts := 0
	for agent := h.agentOf("crashing.0.0.0"); agent != ""; agent = h.agentOf("crashing.0.0.0") {
		starts++
		h.crashes[agent]++
		h.endRun(agent, h.orders[agent][0].Ref, run.Stopped, result.ServerLost)
		h.report(agent, 10_000)
		h.advance(20 * time.Millisecond)
	}
	if starts > maxTaskCrashes {
		t.Errorf("%d starts, each with a crash, want at most %d", starts, maxTaskCrashes)
	}
}

// Guards against a task that is given up without a record of which crashes counted and which other runs were there.
func TestGivenUpTaskTellsItsCrashes(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("filler", 1, 10_000, 50*time.Millisecond)
	if !h.submit("j", 2, 3000, 10*time.Millisecond) {
		t.Fatalf("the job was refused: %+v", h.outcomes["j"])
	}
	h.Decisions()
	own, sibling := run.Suspect{Task: "j.0.0.0", Age: 10 * time.Millisecond}, run.Suspect{Task: "j.0.0.1", Age: time.Second}
	other := run.Suspect{Task: "x.0.0.0", Age: 10 * time.Millisecond}
	h.ServerCrashed(h.now, "a1", run.Crash{Instance: "i-1", Suspects: []run.Suspect{own, other}}, 0)
	h.ServerCrashed(h.now, "a2", run.Crash{Instance: "i-2", Suspects: []run.Suspect{own, sibling}}, 0)
	var given []Decision
	for _, d := range h.Decisions() {
		if d.Kind == GivenUp {
			given = append(given, d)
		}
	}
	if len(given) != 1 {
		t.Fatalf("%d tasks given up, want 1: %+v", len(given), given)
	}
	want := []CountedCrash{
		{Agent: "a1", Instance: "i-1", Share: 0.5, Age: own.Age, Others: 1, OtherJobs: 1},
		{Agent: "a2", Instance: "i-2", Share: 1, Age: own.Age, Others: 1},
	}
	if d := given[0]; d.Ref.Task != own.Task || d.Count != 2 || d.Share != 1.5 || !slices.Equal(d.Crashes, want) {
		t.Errorf("decision %+v, want crashes %+v", d, want)
	}
}

// Guards against giving up a task that was beside another job's run in both of its crashes, so that either may have
// caused them: with shares of 0.500 and 0.541, seed 613 of TestSoakCrashes lost a job that crashes nothing.
func TestTaskBesideOtherJobsInBothCrashesIsNotGivenUp(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("filler", 1, 10_000, 50*time.Millisecond)
	if !h.submit("j", 1, 3000, 10*time.Millisecond) {
		t.Fatalf("the job was refused: %+v", h.outcomes["j"])
	}
	young := run.Suspect{Task: "j.0.0.0", Age: 0}
	h.ServerCrashed(h.now, "a1", run.Crash{Instance: "i-1", Suspects: []run.Suspect{young, {Task: "x.0.0.0", Age: 0}}}, 0)
	h.ServerCrashed(h.now, "a2", run.Crash{Instance: "i-2", Suspects: []run.Suspect{young, {Task: "y.0.0.0", Age: 6 * time.Millisecond}}}, 0)
	h.take()
	if c := h.Scheduler.crashes.tasks["j.0.0.0"]; c == nil || c.count != 2 || c.share < certainShare {
		t.Fatalf("crashes %+v, want two with a share of at least %v", c, certainShare)
	}
	if o, ended := h.outcomes["j"]; ended {
		t.Errorf("the job ended: %+v", o)
	}
}
