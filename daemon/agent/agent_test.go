package agent

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/sample"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// TestRepeatedStartRunsOnce guards against a repeated Start that runs the task
// again or gets a different result.
func TestRepeatedStartRunsOnce(t *testing.T) {
	f := newFixture(t)
	f.startSampleServer(sample.Faults{})
	m := f.newRequest(`{"ms":20,"echo":"x"}`)
	replies := make(chan *peerv1.StartResponse, 3)
	for range cap(replies) {
		go func() { replies <- f.start(m) }()
	}
	for range cap(replies) {
		f.mustSucceed(m, <-replies)
	}
	r := f.start(m)
	f.mustSucceed(m, r)
	if r.GetFreeSlots() != 2 || r.GetToken().GetIncarnation() == "" || r.GetRunTime().AsDuration() < 20*time.Millisecond {
		t.Fatalf("reply %v", r)
	}
	f.mustHaveStarted(1)
}

// TestRunSurvivesCallerDisconnect guards against a task that is cancelled, or whose
// result is lost, because the entry that started it disconnected.
func TestRunSurvivesCallerDisconnect(t *testing.T) {
	f := newFixture(t)
	f.startSampleServer(sample.Faults{})
	m := f.newRequest(`{"ms":150}`)
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		f.peer.Start(ctx, connect.NewRequest(m))
	}()
	f.waitFor("the task to run", func() bool { return f.agent.Status().Waiting == 1 })
	cancel()
	<-returned
	f.waitFor("the call to end", func() bool { return f.agent.Status().Waiting == 0 })
	m.AttachOnly = true
	f.mustSucceed(m, f.start(m))
	f.mustHaveStarted(1)
}

// TestDrain guards against a graceful stop that cancels a task, drops an uncollected
// result, or accepts a new task.
func TestDrain(t *testing.T) {
	f := newFixture(t)
	f.startSampleServer(sample.Faults{})
	m := f.newRequest(`{"ms":150}`)
	ctx, cancel := context.WithCancel(context.Background())
	go f.peer.Start(ctx, connect.NewRequest(m))
	f.waitFor("the task to run", func() bool { return f.agent.Status().Waiting == 1 })
	cancel()
	f.waitFor("the call to end", func() bool { return f.agent.Status().Waiting == 0 })
	drained := make(chan error, 1)
	go func() { drained <- f.agent.Drain(context.Background()) }()
	f.waitFor("the entry to learn of the drain", func() bool {
		f.entry.mu.Lock()
		defer f.entry.mu.Unlock()
		return f.entry.lastReport.GetState().GetDraining()
	})
	f.mustFail(f.start(f.newRequest("")), result.AgentDraining, result.NotRun)
	f.waitFor("the task to end", func() bool { return f.agent.Status().Running == 0 })
	if f.agent.idle() {
		t.Fatal("Drain would end before the result was collected")
	}
	f.mustSucceed(m, f.start(m))
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// TestNoStartBeforeAllEntriesAcknowledge guards against starts that the claim of a
// new member would miss, because that member does not know of the agent.
func TestNoStartBeforeAllEntriesAcknowledge(t *testing.T) {
	f := newFixture(t)
	f.startSampleServer(sample.Faults{})
	second := &fakeEntry{silent: true}
	srv := httptest.NewTLSServer(newMux(peerv1connect.NewEntryPeerHandler(second)))
	t.Cleanup(srv.Close)
	newTable := &peerv1.EntryTable{Version: 6, Members: append([]*peerv1.EntryMember{
		{Id: "e2", Incarnation: "i2", Address: srv.Listener.Addr().String()}}, f.entry.table.GetMembers()...)}
	f.entry.set(func() { f.entry.table = newTable })
	second.set(func() { second.table = newTable })
	m := f.newRequest("")
	m.Versions.Table = 6
	f.mustFail(f.start(m), result.NotAcknowledged, result.NotRun)
	f.waitFor("the table", func() bool { return f.agent.Status().TableVersion == 6 })
	f.mustFail(f.start(m), result.NotAcknowledged, result.NotRun)
	f.waitFor("a new connection to the silent entry", func() bool {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		return f.client.resets > 0
	})
	second.set(func() { second.silent = false })
	f.waitFor("the second entry to answer", func() bool { return f.agent.Status().Acknowledged })
	m.Token = f.newToken()
	f.mustSucceed(m, f.start(m))
}

// TestSlotChangeNotifications guards against entries that do not learn that another
// entry took or freed the last slot, and against redundant reports to the home, which
// gets the reply.
func TestSlotChangeNotifications(t *testing.T) {
	f := newFixture(t)
	f.startSampleServer(sample.Faults{})
	home := &reporter{member: &peerv1.EntryMember{Id: "e1"}, slotsChanged: make(chan struct{}, 1), urgent: make(chan struct{}, 1), stop: func() {}}
	other := &reporter{member: &peerv1.EntryMember{Id: "e2"}, slotsChanged: make(chan struct{}, 1), urgent: make(chan struct{}, 1), stop: func() {}}
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	reporters := f.agent.reporters
	defer func() { f.agent.reporters = reporters }()
	f.agent.reporters = map[string]*reporter{"1": home, "2": other}
	now := f.agent.now()
	newStart := func() (fence.Request, *run) {
		id := uuid.Must(uuid.NewV7())
		return fence.Request{Task: fence.Task{Key: submission.Key{Caller: "c", ID: id}}, Hash: id[:], Config: 3, Table: 5,
			Token: f.agent.fence.IssueToken(now), Server: "s", Service: "svc", Kind: "quick"}, &run{done: make(chan struct{})}
	}
	notifications := func() (n int) {
		for len(other.slotsChanged) > 0 {
			<-other.slotsChanged
			n++
		}
		return n
	}
	first, firstRun := newStart()
	f.agent.tryGrant(first, firstRun, now)
	if n := notifications(); n != 0 {
		t.Error("report of a grant that leaves slots free")
	}
	second, secondRun := newStart()
	f.agent.tryGrant(second, secondRun, now)
	if n := notifications(); n != 1 {
		t.Error("no report that the last slot was taken")
	}
	f.agent.finishRun(first, firstRun, fence.Outcome{})
	if n := notifications(); n != 1 {
		t.Error("no report of a free slot after none was free")
	}
	f.agent.finishRun(second, secondRun, fence.Outcome{})
	if n := notifications(); n != 0 {
		t.Error("report of one more free slot when half of the slots are free")
	}
	if len(home.slotsChanged) > 0 {
		t.Error("the home was sent a report of what the reply contains")
	}
}

// TestClaim guards against a claim that does not return a granted start, and against
// a start by the previous home after the claim.
func TestClaim(t *testing.T) {
	f := newFixture(t)
	f.startSampleServer(sample.Faults{})
	m := f.newRequest("")
	f.mustSucceed(m, f.start(m))
	newTable := &peerv1.EntryTable{Version: 9, Members: f.entry.table.GetMembers()}
	res, err := f.peer.Claim(context.Background(), connect.NewRequest(&peerv1.ClaimRequest{Table: newTable, Home: "e1"}))
	if err != nil || len(res.Msg.GetRecords()) != 1 {
		t.Fatalf("claim: %v, error %v", res, err)
	}
	if r := res.Msg.GetRecords()[0]; r.GetTaskIndex() != 7 || !r.GetResultHeld() || r.GetRunning() || string(r.GetRequestHash()) != "h" {
		t.Fatalf("record %v", r)
	}
	f.mustFail(f.start(f.newRequest("")), result.StaleTable, result.NotRun)
}

// TestServerLeaves guards against new tasks on a leaving backend server, and against
// one that stops while a task still runs on it.
func TestServerLeaves(t *testing.T) {
	f := newFixture(t)
	_, stop := f.startSampleServer(sample.Faults{})
	m := f.newRequest(`{"ms":300}`)
	reply := make(chan *peerv1.StartResponse, 1)
	go func() { reply <- f.start(m) }()
	f.waitFor("the task to run", func() bool { return f.agent.Status().Running == 1 })
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	f.waitFor("the server to leave", func() bool { return f.agent.Status().Servers[0].Leaving })
	f.mustFail(f.start(f.newRequest("")), result.ServerLeaving, result.NotRun)
	f.mustSucceed(m, <-reply)
	<-stopped
	f.mustHaveStarted(1)
}

// TestAnnounceValidation guards against an invalid announcement that is accepted, or
// refused without naming the field.
func TestAnnounceValidation(t *testing.T) {
	f := newFixture(t)
	tests := map[string]func(m *apiv1.AnnounceRequest){
		"server: ":      func(m *apiv1.AnnounceRequest) { m.Server = "" },
		"instance: ":    func(m *apiv1.AnnounceRequest) { m.Instance = "a b" },
		"service: ":     func(m *apiv1.AnnounceRequest) { m.Service = string(make([]byte, 65)) },
		"kinds: ":       func(m *apiv1.AnnounceRequest) { m.Kinds = nil },
		"kinds[1]: ":    func(m *apiv1.AnnounceRequest) { m.Kinds = []string{"k", "k"} },
		"slots: ":       func(m *apiv1.AnnounceRequest) { m.Slots = 0 },
		"connections: ": func(m *apiv1.AnnounceRequest) { m.Connections = 1 << 20 },
		"address: ":     func(m *apiv1.AnnounceRequest) { m.Address = "localhost:80" },
	}
	for field, change := range tests {
		m := &apiv1.AnnounceRequest{Server: "s", Instance: "i", Service: "svc", Kinds: []string{"k"}, Slots: 1, Connections: 1, Address: "127.0.0.1:1"}
		change(m)
		_, err := f.local.Announce(context.Background(), connect.NewRequest(m))
		if connect.CodeOf(err) != connect.CodeInvalidArgument || !containsField(err, field) {
			t.Errorf("%s got %v", field, err)
		}
	}
}
