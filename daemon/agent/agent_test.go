package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/sample"
	"poplargw.example/daemon/settings"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// waitTimeout is how long these tests wait for an expected condition.
const waitTimeout = 10 * time.Second

// fakeEntry responds to reports and fetches like an entry.
type fakeEntry struct {
	peerv1connect.UnimplementedEntryPeerHandler
	mu         sync.Mutex
	table      *peerv1.EntryTable
	config     *apiv1.ConfigRecord
	lastReport *peerv1.ReportRequest
	// silent makes reports fail with a broken connection.
	silent bool
}

func (e *fakeEntry) Report(_ context.Context, req *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		panic(http.ErrAbortHandler)
	}
	e.lastReport = req.Msg
	m := &peerv1.ReportResponse{Versions: &peerv1.Versions{Config: e.config.GetVersion(), Table: e.table.GetVersion()}}
	if req.Msg.GetVersions().GetTable() < e.table.GetVersion() {
		m.Table = e.table
	}
	return connect.NewResponse(m), nil
}

func (e *fakeEntry) Fetch(context.Context, *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return connect.NewResponse(&peerv1.FetchResponse{Config: e.config, Table: e.table, Synced: true}), nil
}

func (e *fakeEntry) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// testClient is a transport.Client for HTTPS test servers.
type testClient struct {
	client *http.Client
	mu     sync.Mutex
	resets int
}

func (c *testClient) HTTP(string) *http.Client { return c.client }
func (c *testClient) Reset(string)             { c.mu.Lock(); c.resets++; c.mu.Unlock() }
func (c *testClient) Close()                   {}

// fixture is a running agent with a fake entry and, on request, a sample server.
type fixture struct {
	t        *testing.T
	agent    *Agent
	entry    *fakeEntry
	client   *testClient
	peer     peerv1connect.AgentPeerClient
	local    poplargwv1connect.AnnouncerClient
	localURL string
	startLog string
}

func newFixture(t *testing.T) *fixture {
	e := &fakeEntry{config: &apiv1.ConfigRecord{Version: 3, Config: &apiv1.Config{}}}
	entry := httptest.NewTLSServer(newMux(peerv1connect.NewEntryPeerHandler(e)))
	t.Cleanup(entry.Close)
	address := entry.Listener.Addr().String()
	e.table = &peerv1.EntryTable{Version: 5, Members: []*peerv1.EntryMember{{Id: "e1", Incarnation: "i1", Address: address}}}
	s := settings.Default()
	s.Node = settings.Node{ID: "a", Domain: "left"}
	s.Transport.Entries = []string{address}
	f := &fixture{t: t, entry: e, client: &testClient{client: entry.Client()}, startLog: filepath.Join(t.TempDir(), "starts")}
	f.agent = New(Options{Settings: &s, Client: f.client, Log: event.New(&log.Logger{Handler: discard.Default})})
	peer, local := httptest.NewServer(f.agent.PeerHandler()), httptest.NewServer(f.agent.LocalHandler())
	f.localURL = local.URL
	f.peer = peerv1connect.NewAgentPeerClient(peer.Client(), peer.URL)
	f.local = poplargwv1connect.NewAnnouncerClient(local.Client(), local.URL)
	f.runInBackground(f.agent.Run)
	t.Cleanup(func() { peer.CloseClientConnections(); peer.Close(); local.Close() })
	return f
}

// newMux returns a mux that serves h at path.
func newMux(path string, h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	return mux
}

// runInBackground runs fn until the end of the test and returns a function that ends it earlier.
func (f *fixture) runInBackground(fn func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fn(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("background function returned %v", err)
		}
	})
	f.t.Cleanup(stop)
	return stop
}

// startSampleServer starts a sample server and waits until the agent can grant starts on it.
func (f *fixture) startSampleServer(faults sample.Faults) (s *sample.Server, stop func()) {
	s, err := sample.New(sample.Options{Name: "s", Service: "svc", Kinds: []string{"quick"}, Slots: 2, Connections: 4,
		Listen: "127.0.0.1:0", Agent: f.localURL[len("http://"):], StartLog: f.startLog, Faults: faults})
	if err != nil {
		f.t.Fatal(err)
	}
	stop = f.runInBackground(s.Run)
	f.waitUntilReady(1)
	return s, stop
}

// waitUntilReady waits until the entry has acknowledged the agent, and the agent has
// the configuration and n backend servers.
func (f *fixture) waitUntilReady(n int) {
	f.waitFor("agent to be ready", func() bool {
		s := f.agent.Status()
		return s.Acknowledged && s.ConfigVersion == 3 && len(s.Servers) == n
	})
}

// waitFor waits until the condition holds, and fails the test after waitTimeout.
func (f *fixture) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s; status %+v", what, f.agent.Status())
		}
	}
}

// newToken returns a token like the one in a report.
func (f *fixture) newToken() *peerv1.Token {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	return f.agent.token(f.agent.now())
}

// newRequest returns the request to start a new task on the sample server.
func (f *fixture) newRequest(payload string) *peerv1.StartRequest {
	id := uuid.Must(uuid.NewV7())
	return &peerv1.StartRequest{Versions: &peerv1.Versions{Config: 3, Table: 5}, Token: f.newToken(),
		Key: &peerv1.Key{Caller: "c", SubmissionId: id[:]}, TaskIndex: 7, RequestHash: []byte("h"),
		Server: "s", Service: "svc", Kind: "quick", Payload: []byte(payload), TimeLimit: durationpb.New(30 * time.Second)}
}

// start sends a Start. Like an entry, it repeats it with the new token from the
// response if the first token had expired.
func (f *fixture) start(m *peerv1.StartRequest) *peerv1.StartResponse {
	m = proto.CloneOf(m)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		res, err := f.peer.Start(ctx, connect.NewRequest(m))
		if err != nil {
			f.t.Error(err)
			return &peerv1.StartResponse{}
		}
		if res.Msg.GetFailure().GetCode() != uint32(result.StaleToken) {
			return res.Msg
		}
		m.Token = res.Msg.GetToken()
	}
}

// mustSucceed fails the test unless r contains the complete result of the request.
func (f *fixture) mustSucceed(m *peerv1.StartRequest, r *peerv1.StartResponse) {
	f.t.Helper()
	if r.GetResult() == nil {
		f.t.Fatalf("failure %v", r.GetFailure())
	}
	if err := sample.CheckAnswer(m.Key.Caller, m.Key.SubmissionId, m.TaskIndex, m.Payload, r.GetResult().GetPayload()); err != nil {
		f.t.Fatal(err)
	}
}

// mustFail fails the test unless r is a failure with the given code and effect.
func (f *fixture) mustFail(r *peerv1.StartResponse, c result.Code, e result.Effect) {
	f.t.Helper()
	if r.GetFailure().GetCode() != uint32(c) || r.GetFailure().GetEffect() != apiv1.Effect(e) {
		f.t.Fatalf("got %v, want code %d, effect %d", r, c, e)
	}
}

// mustHaveStarted fails the test unless the start log contains n starts.
func (f *fixture) mustHaveStarted(n int) {
	f.t.Helper()
	starts, err := sample.ReadStarts(f.startLog)
	if err != nil || len(starts) != n {
		f.t.Fatalf("%d starts, want %d (error %v)", len(starts), n, err)
	}
}

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
