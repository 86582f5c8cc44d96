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
