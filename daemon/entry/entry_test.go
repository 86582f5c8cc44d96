package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// answer is the outcome of a submission.
type answer struct {
	resp *poplargwv1.SubmitJobResponse
	f    *result.Failure
}

// receiveAsync submits a copy of r as a caller would. The outcome arrives on the channel.
func (e *Entry) receiveAsync(r *poplargwv1.SubmitJobRequest) <-chan answer {
	out := make(chan answer, 1)
	r = proto.Clone(r).(*poplargwv1.SubmitJobRequest)
	go func() {
		resp, f := e.receive(context.Background(), r)
		out <- answer{resp, f}
	}()
	return out
}

// wantResults checks that the answer contains the expected result of every task.
func wantResults(t *testing.T, a answer, tasks int) {
	t.Helper()
	if a.f != nil || len(a.resp.GetResults()) != tasks {
		t.Fatalf("answer with %d of %d results, failure %v", len(a.resp.GetResults()), tasks, a.f)
	}
	for i, r := range a.resp.GetResults() {
		if !bytes.Equal(r.GetPayload(), append([]byte("re:"), byte(i))) {
			t.Fatalf("result %d is %q", i, r.GetPayload())
		}
	}
}

// wantFailure checks the code and the effect of a failure.
func wantFailure(t *testing.T, a answer, code result.Code, effect result.Effect) {
	t.Helper()
	if a.f == nil || a.f.Code != code || a.f.Effect != effect {
		t.Fatalf("want code %d effect %d, got %+v", code, effect, a.f)
	}
}

// TestConcurrentCopiesShareExecution guards against a second execution when a caller sends
// an ID twice at the same time, and against an incomplete answer from the shared execution.
func TestConcurrentCopiesShareExecution(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := newAgent("x")
	release := agent.holdResults()
	tb.startAgent(agent)
	r := newRequest(oneMember, "a", 0, 5)
	first, second := e.receiveAsync(r), e.receiveAsync(r)
	eventually(t, "all tasks started", func() bool { return agent.totalStarts() == 5 })
	release()
	wantResults(t, <-first, 5)
	wantResults(t, <-second, 5)
	if agent.totalStarts() != 5 {
		t.Fatalf("%d starts", agent.totalStarts())
	}
}

// TestResendAfterAnswer guards against a second execution of an ID that has already been
// answered, and against an answer to different content under the same ID.
func TestResendAfterAnswer(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	_, b, twoMembers := tb.startPair(agent)
	r := newRequest(twoMembers, "a", 0, 3)
	wantResults(t, <-b.receiveAsync(r), 3)
	wantResults(t, <-b.receiveAsync(r), 3)
	other := proto.Clone(r).(*poplargwv1.SubmitJobRequest)
	other.Tasks[0].Payload = []byte("other")
	wantFailure(t, <-b.receiveAsync(other), result.IDReused, result.NotRun)
	if agent.totalStarts() != 3 {
		t.Fatalf("%d starts", agent.totalStarts())
	}
}

// TestResentStartAttaches guards against a second start, or a lost result, when the connection
// breaks after the agent has granted the first copy of the start.
func TestResentStartAttaches(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := tb.startAgent(newAgent("x"))
	tb.net.injectFaults("x", "Start", lostResponse, lostRequest)
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 1)), 1)
	if agent.totalStarts() != 1 {
		t.Fatalf("%d starts", agent.totalStarts())
	}
}

// TestRefusalAfterBrokenStartIsChecked guards against reporting "not run" while a delayed first
// copy of the start can still be granted. The scheduler would place the task a second time.
func TestRefusalAfterBrokenStartIsChecked(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	x := newAgent("x")
	x.refusals = []uint32{uint32(result.NoFreeSlot)}
	tb.net.lateDelay = 300 * time.Millisecond
	tb.net.injectFaults("x", "Start", lateRequest)
	tb.startAgent(x)
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 1)), 1)
	if x.totalStarts() != 1 || x.refusedStarts != 1 {
		t.Fatalf("%d starts after %d refusals", x.totalStarts(), x.refusedStarts)
	}
}

// TestSuccessorResumesStartedTasks guards against a second start of a task that the removed home
// had started, and against losing the tasks that it had not started: the receiver sends the
// job to the successor, which must complete it.
func TestSuccessorResumesStartedTasks(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	_, b, twoMembers := tb.startPair(agent)
	got := b.receiveAsync(newRequest(twoMembers, "a", 0, 12))
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	tb.net.disconnect("a")
	tb.clusters["b"].Adopt(nil, tableOf(3, "b"))
	release()
	wantResults(t, <-got, 12)
	if agent.totalStarts() != 12 {
		t.Fatalf("%d starts of 12 tasks", agent.totalStarts())
	}
}

// TestUnreachableAgentLeavesOldIDsUnknown guards against running a submission again whose start
// record may be at an agent that does not answer the claim, and against delaying its answer.
func TestUnreachableAgentLeavesOldIDsUnknown(t *testing.T) {
	tb := newTestbed(t)
	tb.limits.Freshness, tb.limits.TokenAge = 300*time.Millisecond, 100*time.Millisecond
	tb.limits.ClockSkew = 500 * time.Millisecond
	unreachable := newAgent("y")
	_, b, twoMembers := tb.startPair(newAgent("x"), unreachable)
	// An agent that b knows only from a gets no tasks, so the test would guard against nothing.
	eventually(t, "y reports to b", func() bool { return b.claimState(t, "y").agentReported })
	tb.net.disconnect("y")
	tb.net.disconnect("a")
	r := newRequest(twoMembers, "a", 0, 1)
	tb.clusters["b"].Adopt(nil, tableOf(3, "b"))
	wantFailure(t, <-b.receiveAsync(r), result.OutcomeUnknown, result.Unknown)
	// Placed on y before y counts as lost, a task has an unknown outcome: the entry cannot know whether y got it.
	eventually(t, "new IDs are known and y is lost", func() bool {
		s := b.claimState(t, "y")
		return s.agentLost && time.Now().Add(-time.Millisecond).After(s.unknownUntil) // IDs hold whole milliseconds
	})
	wantResults(t, <-b.receiveAsync(newRequest(twoMembers, "a", 0, 1)), 1)
	if unreachable.totalStarts() != 0 {
		t.Fatal("the unreachable agent got a start")
	}
}

// TestSilentMemberKeepsRangeClosed guards against serving keys that have moved to an entry while
// their previous home, which has not answered the claim, may still start tasks of them.
func TestSilentMemberKeepsRangeClosed(t *testing.T) {
	tb := newTestbed(t)
	b := tb.startEntry("b", tableOf(4, "a"))
	agent := tb.startAgent(newAgent("x"))
	twoMembers := tableOf(5, "a", "b")
	tb.clusters["b"].Adopt(nil, twoMembers)
	wantFailure(t, <-b.receiveAsync(newRequest(twoMembers, "b", 0, 1)), result.RangeClosed, result.Unknown)
	if b.Ready() || agent.totalStarts() != 0 {
		t.Fatal("the entry opened its range or started a task without the answer of a member")
	}
}

// TestRemovedEntryDropsSubmissions guards against two entries that run the same submission: an
// entry that is removed from the table must stop and answer that it is not the home.
func TestRemovedEntryDropsSubmissions(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	defer agent.holdResults()()
	a, _, twoMembers := tb.startPair(agent)
	r := newRequest(twoMembers, "a", 0, 20)
	got := make(chan *peerv1.ExecuteResponse, 1)
	go func() {
		resp, err := a.peers.entryAt("a").Execute(context.Background(), connect.NewRequest(&peerv1.ExecuteRequest{
			Job: r, Remaining: durationpb.New(20 * time.Second)}))
		if err == nil {
			got <- resp.Msg
		}
		close(got)
	}()
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	tb.clusters["a"].Adopt(nil, tableOf(3, "b"))
	if m := <-got; m.GetNotHome().GetTable().GetVersion() != 3 {
		t.Fatalf("response is %v", m)
	}
	if a.Ready() || agent.totalStarts() != 8 {
		t.Fatalf("removed entry is ready or has started more tasks: %d starts", agent.totalStarts())
	}
}

// TestEntryThatIsNotFreshStartsNothing guards against starts by an entry that may have lost contact
// with the other entries.
func TestEntryThatIsNotFreshStartsNothing(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := tb.startAgent(newAgent("x"))
	v := tb.clusters["a"]
	func() { defer v.lock()(); v.notFresh = true }()
	r := newRequest(oneMember, "a", 0, 1)
	wantFailure(t, <-e.receiveAsync(r), result.NotReady, result.Unknown)
	if agent.totalStarts() != 0 {
		t.Fatal("an entry that is not fresh started a task")
	}
	func() { defer v.lock()(); v.notFresh = false }()
	eventually(t, "fresh again", func() bool { return (<-e.receiveAsync(r)).f == nil })
}

// TestDrainWaitsForRunningJobs guards against a drain that interrupts a running job or accepts new
// jobs.
func TestDrainWaitsForRunningJobs(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	a, _, twoMembers := tb.startPair(agent)
	held := a.receiveAsync(newRequest(twoMembers, "a", 0, 12))
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	eventually(t, "draining", func() bool { return a.draining.Load() && tb.clusters["a"].Table().GetVersion() == 3 })
	tb.clusters["b"].Adopt(nil, tb.clusters["a"].Table())
	wantFailure(t, <-a.receiveAsync(newRequest(twoMembers, "b", 0, 1)), result.Draining, result.NotRun)
	select {
	case err := <-drained:
		t.Fatalf("drain ended before the running job: %v", err)
	default:
	}
	release()
	wantResults(t, <-held, 12)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// TestInvalidRequestsAreRefused guards against wrong result codes or effects for requests that can
// never run.
func TestInvalidRequestsAreRefused(t *testing.T) {
	tb := newTestbed(t)
	t1 := tableOf(1, "a")
	e := tb.startEntry("a", t1)
	s := httptest.NewServer(e.CallerHandler())
	defer s.Close()
	c := poplargwv1connect.NewDispatcherClient(s.Client(), s.URL)
	for name, tc := range map[string]struct {
		change func(*poplargwv1.SubmitJobRequest)
		code   result.Code
		effect result.Effect
	}{
		"no caller":       {func(r *poplargwv1.SubmitJobRequest) { r.Caller = "" }, result.Malformed, result.NotRun},
		"UUIDv4":          {func(r *poplargwv1.SubmitJobRequest) { r.SubmissionId[6] = 0x40 }, result.Malformed, result.NotRun},
		"no tasks":        {func(r *poplargwv1.SubmitJobRequest) { r.Tasks = nil }, result.Malformed, result.NotRun},
		"long timeout":    {func(r *poplargwv1.SubmitJobRequest) { r.Timeout = durationpb.New(time.Hour) }, result.Malformed, result.NotRun},
		"zero timeout":    {func(r *poplargwv1.SubmitJobRequest) { r.Timeout = durationpb.New(0) }, result.DeadlineExpired, result.NotRun},
		"401 tasks":       {func(r *poplargwv1.SubmitJobRequest) { r.Tasks = make([]*poplargwv1.Task, 401) }, result.TooLarge, result.NotRun},
		"large payload":   {func(r *poplargwv1.SubmitJobRequest) { r.Tasks[0].Payload = make([]byte, 64<<10+1) }, result.TooLarge, result.NotRun},
		"large request":   {func(r *poplargwv1.SubmitJobRequest) { r.Tasks[0].Payload = make([]byte, 5<<20) }, result.TooLarge, result.NotRun},
		"unknown service": {func(r *poplargwv1.SubmitJobRequest) { r.Service = "none" }, result.UnknownService, result.NotRun},
		"unknown kind":    {func(r *poplargwv1.SubmitJobRequest) { r.Tasks[0].Kind = "none" }, result.UnknownKind, result.NotRun},
		"unknown team":    {func(r *poplargwv1.SubmitJobRequest) { r.Team = "none" }, result.UnknownTeam, result.NotRun},
		"repeatable":      {func(r *poplargwv1.SubmitJobRequest) { r.Repeatable = true }, result.NotRepeatableInKind, result.NotRun},
		"old ID":          {func(r *poplargwv1.SubmitJobRequest) { r.SubmissionId = newRequest(t1, "a", time.Hour, 1).SubmissionId }, result.SubmissionExpired, result.Unknown},
		"future ID":       {func(r *poplargwv1.SubmitJobRequest) { r.SubmissionId = newRequest(t1, "a", -time.Hour, 1).SubmissionId }, result.IDInFuture, result.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t1, "a", 0, 1)
			tc.change(r)
			_, err := c.SubmitJob(context.Background(), connect.NewRequest(r))
			f := failureDetail(t, err)
			wantFailure(t, answer{f: f}, tc.code, tc.effect)
		})
	}
}

// failureDetail returns the failure that an RPC error carries as its only detail.
func failureDetail(t *testing.T, err error) *result.Failure {
	t.Helper()
	var c *connect.Error
	if !errors.As(err, &c) || len(c.Details()) != 1 {
		t.Fatalf("error without exactly one failure detail: %v", err)
	}
	m, err := c.Details()[0].Value()
	if err != nil {
		t.Fatal(err)
	}
	return failureFromProto(m.(*poplargwv1.Failure))
}

// TestNewHomeForwardsToHolder guards against a second execution, or an interrupted job, when a new
// entry becomes the home of a key that another member still holds.
func TestNewHomeForwardsToHolder(t *testing.T) {
	tb := newTestbed(t)
	a := tb.startEntry("a", tableOf(1, "a"))
	agent := newAgent("x")
	release := agent.holdResults()
	tb.startAgent(agent)
	twoMembers := tableOf(2, "a", "b")
	r := newRequest(twoMembers, "b", 0, 12)
	first := a.receiveAsync(r)
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	tb.clusters["a"].Adopt(nil, twoMembers)
	b := tb.startEntry("b", twoMembers)
	eventually(t, "claim", b.home.settled.Load)
	second := b.receiveAsync(r)
	out, f := b.lookup(context.Background(), keyOf(r))
	if f != nil || out.GetState() != poplargwv1.State_STATE_PENDING {
		t.Fatalf("outcome %v, failure %v", out, f)
	}
	release()
	wantResults(t, <-first, 12)
	wantResults(t, <-second, 12)
	if agent.totalStarts() != 12 {
		t.Fatalf("%d starts of 12 tasks", agent.totalStarts())
	}
}

func keyOf(r *poplargwv1.SubmitJobRequest) submission.Key {
	k, err := submission.NewKey(r.GetCaller(), r.GetSubmissionId())
	if err != nil {
		panic(err)
	}
	return k
}

// TestCancelReachesHome guards against starting queued tasks of a cancelled job, and against
// running a resend of the job that arrives later.
func TestCancelReachesHome(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	_, b, twoMembers := tb.startPair(agent)
	r := newRequest(twoMembers, "a", 0, 20)
	got := b.receiveAsync(r)
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	if n, f := b.cancel(context.Background(), keyOf(r)); n != 12 || f != nil {
		t.Fatalf("%d tasks not started, failure %v", n, f)
	}
	if g := <-got; g.f == nil || g.f.Code != result.Cancelled || g.f.Effect == result.NotRun {
		t.Fatalf("failure %v", g.f)
	}
	release()
	if g := <-b.receiveAsync(r); g.f == nil || g.f.Code != result.Cancelled || agent.totalStarts() != 8 {
		t.Fatalf("resend ended with %v after %d starts", g.f, agent.totalStarts())
	}
}

// TestDrainingEntryJoinsRunningJob guards against refusing the resend of a running job with the
// effect "not run".
func TestDrainingEntryJoinsRunningJob(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	a, b, twoMembers := tb.startPair(agent)
	r := newRequest(twoMembers, "b", 0, 1)
	first := b.receiveAsync(r)
	eventually(t, "started", func() bool { return agent.totalStarts() == 1 })
	a.draining.Store(true)
	second := a.receiveAsync(r)
	eventually(t, "joined", func() bool { return a.openCalls.Load() == 1 && b.openCalls.Load() == 2 })
	release()
	wantResults(t, <-first, 1)
	wantResults(t, <-second, 1)
}

// TestLostAgentEndsJob guards against a job that hangs or runs twice when its agent is lost.
func TestLostAgentEndsJob(t *testing.T) {
	tb := newTestbed(t)
	e := tb.startEntry("a", tableOf(1, "a"))
	tb.net.injectFaults("x", "Start", lostResponse)
	agent := newAgent("x")
	tb.startAgent(agent)
	tb.startAgent(newAgent("y"))
	agent.onStart = func() { tb.net.disconnect("x") }
	for {
		got := <-e.receiveAsync(newRequest(tableOf(1, "a"), "a", 0, 1))
		if agent.totalStarts() == 0 {
			continue
		}
		wantFailure(t, got, result.AgentLost, result.Unknown)
		return
	}
}

// TestDroppedResultIsNotRunAgain guards against unbounded memory for results, and against a second
// run of a job whose results were dropped.
func TestDroppedResultIsNotRunAgain(t *testing.T) {
	tb := newTestbed(t)
	tb.limits.ResultBytes = 10
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := tb.startAgent(newAgent("x"))
	r := newRequest(oneMember, "a", 0, 2)
	wantResults(t, <-e.receiveAsync(r), 2)
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 2)), 2)
	wantFailure(t, <-e.receiveAsync(r), result.ResultGone, result.Run)
	if agent.totalStarts() != 4 {
		t.Fatalf("%d starts", agent.totalStarts())
	}
}

// TestObjectives guards against objectives that count invalid requests or miss failed ones.
func TestObjectives(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	tb.startAgent(newAgent("x"))
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 2)), 2)
	bad := newRequest(oneMember, "a", 0, 1)
	bad.Team = "none"
	<-e.receiveAsync(bad)
	late := newRequest(oneMember, "a", 0, 1)
	e.objectives.add(time.Now(), late, tb.clusters["a"].Config().GetConfig(), &result.Failure{Code: result.DeadlineExceeded}, time.Second)
	var good, total uint64
	for _, o := range e.Objectives().GetWindows() {
		good, total = good+o.GetGood(), total+o.GetTotal()
	}
	if good != 1 || total != 2 {
		t.Fatalf("%d of %d requests are good, want 1 of 2", good, total)
	}
}
