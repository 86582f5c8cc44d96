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

// patience bounds every wait of these tests for something that does happen.
const patience = 10 * time.Second

// fakeEntry answers reports and fetches as an entry does.
type fakeEntry struct {
	peerv1connect.UnimplementedEntryPeerHandler
	mu     sync.Mutex
	table  *peerv1.EntryTable
	config *apiv1.ConfigRecord
	last   *peerv1.ReportRequest
	// silent breaks the connection of reports.
	silent bool
}

func (e *fakeEntry) Report(_ context.Context, req *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		panic(http.ErrAbortHandler)
	}
	e.last = req.Msg
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

// testClient reaches test servers by HTTPS.
type testClient struct {
	client *http.Client
	mu     sync.Mutex
	resets int
}

func (c *testClient) HTTP(string) *http.Client { return c.client }
func (c *testClient) Reset(string)             { c.mu.Lock(); c.resets++; c.mu.Unlock() }
func (c *testClient) Close()                   {}

// fixture is an agent between a fake entry and, if asked for, a sample server.
type fixture struct {
	t        *testing.T
	a        *Agent
	entry    *fakeEntry
	client   *testClient
	peer     peerv1connect.AgentPeerClient
	local    poplargwv1connect.AnnouncerClient
	localURL string
	startLog string
}

func newFixture(t *testing.T) *fixture {
	e := &fakeEntry{config: &apiv1.ConfigRecord{Version: 3, Config: &apiv1.Config{}}}
	entry := httptest.NewTLSServer(handlerOf(peerv1connect.NewEntryPeerHandler(e)))
	t.Cleanup(entry.Close)
	address := entry.Listener.Addr().String()
	e.table = &peerv1.EntryTable{Version: 5, Members: []*peerv1.EntryMember{{Id: "e1", Incarnation: "i1", Address: address}}}
	s := settings.Default()
	s.Node = settings.Node{ID: "a", Domain: "left"}
	s.Transport.Entries = []string{address}
	f := &fixture{t: t, entry: e, client: &testClient{client: entry.Client()}, startLog: filepath.Join(t.TempDir(), "starts")}
	f.a = New(Options{Settings: &s, Client: f.client, Log: event.New(&log.Logger{Handler: discard.Default})})
	peer, local := httptest.NewServer(f.a.PeerHandler()), httptest.NewServer(f.a.LocalHandler())
	f.localURL = local.URL
	f.peer = peerv1connect.NewAgentPeerClient(peer.Client(), peer.URL)
	f.local = poplargwv1connect.NewAnnouncerClient(local.Client(), local.URL)
	f.background(f.a.Run)
	t.Cleanup(func() { peer.CloseClientConnections(); peer.Close(); local.Close() })
	return f
}

func handlerOf(path string, h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	return mux
}

// background runs a duty until the end of the test and returns a function that ends it earlier.
func (f *fixture) background(duty func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- duty(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("duty ended with %v", err)
		}
	})
	f.t.Cleanup(stop)
	return stop
}

// sample starts a sample server and waits until the agent can grant starts there.
func (f *fixture) sample(faults sample.Faults) (s *sample.Server, stop func()) {
	s, err := sample.New(sample.Options{Name: "s", Service: "svc", Kinds: []string{"quick"}, Slots: 2, Connections: 4,
		Listen: "127.0.0.1:0", Agent: f.localURL[len("http://"):], StartLog: f.startLog, Faults: faults})
	if err != nil {
		f.t.Fatal(err)
	}
	stop = f.background(s.Run)
	f.ready(1)
	return s, stop
}

// ready waits until the entry and the agent know each other and n backend servers.
func (f *fixture) ready(n int) {
	f.wait("agent to be ready", func() bool {
		s := f.a.Status()
		return s.Acknowledged && s.ConfigVersion == 3 && len(s.Servers) == n
	})
}

func (f *fixture) wait(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("waited in vain for %s; status %+v", what, f.a.Status())
		}
	}
}

// token returns a token as a report carries it.
func (f *fixture) token() *peerv1.Token {
	f.a.mu.Lock()
	defer f.a.mu.Unlock()
	return f.a.token(f.a.now())
}

func (f *fixture) request(payload string) *peerv1.StartRequest {
	id := uuid.Must(uuid.NewV7())
	return &peerv1.StartRequest{Versions: &peerv1.Versions{Config: 3, Table: 5}, Token: f.token(),
		Key: &peerv1.Key{Caller: "c", SubmissionId: id[:]}, TaskIndex: 7, RequestHash: []byte("h"),
		Server: "s", Service: "svc", Kind: "quick", Payload: []byte(payload), TimeLimit: durationpb.New(30 * time.Second)}
}

// start sends a Start and, as an entry does, once more with a fresh token if the
// test was too slow for the first one.
func (f *fixture) start(m *peerv1.StartRequest) *peerv1.StartResponse {
	m = proto.CloneOf(m)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// mustAnswer fails the test unless the reply is the whole answer to the request.
func (f *fixture) mustAnswer(m *peerv1.StartRequest, r *peerv1.StartResponse) {
	f.t.Helper()
	if r.GetResult() == nil {
		f.t.Fatalf("failure %v", r.GetFailure())
	}
	if err := sample.CheckAnswer(m.Key.Caller, m.Key.SubmissionId, m.TaskIndex, m.Payload, r.GetResult().GetPayload()); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) mustFail(r *peerv1.StartResponse, c result.Code, e result.Effect) {
	f.t.Helper()
	if r.GetFailure().GetCode() != uint32(c) || r.GetFailure().GetEffect() != apiv1.Effect(e) {
		f.t.Fatalf("got %v, want code %d, effect %d", r, c, e)
	}
}

func (f *fixture) mustHaveStarted(n int) {
	f.t.Helper()
	starts, err := sample.ReadStarts(f.startLog)
	if err != nil || len(starts) != n {
		f.t.Fatalf("%d starts, want %d (error %v)", len(starts), n, err)
	}
}

// TestAttach guards against a second run of a repeated Start, and against
// another answer to it.
func TestAttach(t *testing.T) {
	f := newFixture(t)
	f.sample(sample.Faults{})
	m := f.request(`{"ms":20,"echo":"x"}`)
	replies := make(chan *peerv1.StartResponse, 3)
	for range cap(replies) {
		go func() { replies <- f.start(m) }()
	}
	for range cap(replies) {
		f.mustAnswer(m, <-replies)
	}
	r := f.start(m)
	f.mustAnswer(m, r)
	if r.GetFreeSlots() != 2 || r.GetToken().GetIncarnation() == "" || r.GetRunTime().AsDuration() < 20*time.Millisecond {
		t.Fatalf("reply %v", r)
	}
	f.mustHaveStarted(1)
}

// TestRunSurvivesCaller guards against a task that is cut, or whose result is
// lost, because the entry that started it went away.
func TestRunSurvivesCaller(t *testing.T) {
	f := newFixture(t)
	f.sample(sample.Faults{})
	m := f.request(`{"ms":150}`)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		f.peer.Start(ctx, connect.NewRequest(m))
	}()
	f.wait("the task to run", func() bool { return f.a.Status().Waiting == 1 })
	cancel()
	<-gone
	f.wait("the call to be gone", func() bool { return f.a.Status().Waiting == 0 })
	m.AttachOnly = true
	f.mustAnswer(m, f.start(m))
	f.mustHaveStarted(1)
}

// TestDrain guards against a graceful stop that cuts a task, drops a result that
// is still to be collected, or lets a new task in.
func TestDrain(t *testing.T) {
	f := newFixture(t)
	f.sample(sample.Faults{})
	m := f.request(`{"ms":150}`)
	ctx, cancel := context.WithCancel(context.Background())
	go f.peer.Start(ctx, connect.NewRequest(m))
	f.wait("the task to run", func() bool { return f.a.Status().Waiting == 1 })
	cancel()
	f.wait("the call to be gone", func() bool { return f.a.Status().Waiting == 0 })
	drained := make(chan error, 1)
	go func() { drained <- f.a.Drain(context.Background()) }()
	f.wait("the entry to hear of it", func() bool {
		f.entry.mu.Lock()
		defer f.entry.mu.Unlock()
		return f.entry.last.GetState().GetDraining()
	})
	f.mustFail(f.start(f.request("")), result.AgentDraining, result.NotRun)
	f.wait("the task to end", func() bool { return f.a.Status().Running == 0 })
	if f.a.idle() {
		t.Fatal("Drain may end before the result was collected")
	}
	f.mustAnswer(m, f.start(m))
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// TestWaitsForAllEntries guards against starts of which the claim of a new
// member would not learn, because that member does not know of the agent.
func TestWaitsForAllEntries(t *testing.T) {
	f := newFixture(t)
	f.sample(sample.Faults{})
	second := &fakeEntry{silent: true}
	srv := httptest.NewTLSServer(handlerOf(peerv1connect.NewEntryPeerHandler(second)))
	t.Cleanup(srv.Close)
	next := &peerv1.EntryTable{Version: 6, Members: append([]*peerv1.EntryMember{
		{Id: "e2", Incarnation: "i2", Address: srv.Listener.Addr().String()}}, f.entry.table.GetMembers()...)}
	f.entry.set(func() { f.entry.table = next })
	second.set(func() { second.table = next })
	m := f.request("")
	m.Versions.Table = 6
	f.mustFail(f.start(m), result.NotAcknowledged, result.NotRun)
	f.wait("the table", func() bool { return f.a.Status().TableVersion == 6 })
	f.mustFail(f.start(m), result.NotAcknowledged, result.NotRun)
	f.wait("a fresh connection to the silent entry", func() bool {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		return f.client.resets > 0
	})
	second.set(func() { second.silent = false })
	f.wait("the second entry to answer", func() bool { return f.a.Status().Acknowledged })
	m.Token = f.token()
	f.mustAnswer(m, f.start(m))
}

// TestSlotNews guards against entries that never hear that others have taken the
// last slot or returned it, and against such news to the home, which gets the reply.
func TestSlotNews(t *testing.T) {
	f := newFixture(t)
	f.sample(sample.Faults{})
	home := &reporter{member: &peerv1.EntryMember{Id: "e1"}, slots: make(chan struct{}, 1), urgent: make(chan struct{}, 1), stop: func() {}}
	other := &reporter{member: &peerv1.EntryMember{Id: "e2"}, slots: make(chan struct{}, 1), urgent: make(chan struct{}, 1), stop: func() {}}
	f.a.mu.Lock()
	defer f.a.mu.Unlock()
	kept := f.a.reporters
	defer func() { f.a.reporters = kept }()
	f.a.reporters = map[string]*reporter{"1": home, "2": other}
	now := f.a.now()
	start := func() (fence.Request, *run) {
		id := uuid.Must(uuid.NewV7())
		return fence.Request{Task: fence.Task{Key: submission.Key{Caller: "c", ID: id}}, Hash: id[:], Config: 3, Table: 5,
			Token: f.a.fence.IssueToken(now), Server: "s", Service: "svc", Kind: "quick"}, &run{done: make(chan struct{})}
	}
	news := func() (n int) {
		for len(other.slots) > 0 {
			<-other.slots
			n++
		}
		return n
	}
	first, firstRun := start()
	f.a.grant(first, firstRun, now)
	if n := news(); n != 0 {
		t.Error("news of a grant that leaves slots free")
	}
	second, secondRun := start()
	f.a.grant(second, secondRun, now)
	if n := news(); n != 1 {
		t.Error("no news of the last slot being taken")
	}
	f.a.end(first, firstRun, fence.Outcome{})
	if n := news(); n != 1 {
		t.Error("no news of a slot after none was free")
	}
	f.a.end(second, secondRun, fence.Outcome{})
	if n := news(); n != 0 {
		t.Error("news of one more free slot when half are free")
	}
	if len(home.slots) > 0 {
		t.Error("the home received news that the reply brings")
	}
}

// TestClaim guards against a claimant that does not learn of a start, and
// against a start by the former home after the claim.
func TestClaim(t *testing.T) {
	f := newFixture(t)
	f.sample(sample.Faults{})
	m := f.request("")
	f.mustAnswer(m, f.start(m))
	next := &peerv1.EntryTable{Version: 9, Members: f.entry.table.GetMembers()}
	res, err := f.peer.Claim(context.Background(), connect.NewRequest(&peerv1.ClaimRequest{Table: next, Home: "e1"}))
	if err != nil || len(res.Msg.GetRecords()) != 1 {
		t.Fatalf("claim: %v, error %v", res, err)
	}
	if r := res.Msg.GetRecords()[0]; r.GetTaskIndex() != 7 || !r.GetResultHeld() || r.GetRunning() || string(r.GetRequestHash()) != "h" {
		t.Fatalf("record %v", r)
	}
	f.mustFail(f.start(f.request("")), result.StaleTable, result.NotRun)
}

// TestServerLeaves guards against new work for a leaving backend server, and
// against one that ends while a task still runs there.
func TestServerLeaves(t *testing.T) {
	f := newFixture(t)
	_, stop := f.sample(sample.Faults{})
	m := f.request(`{"ms":300}`)
	reply := make(chan *peerv1.StartResponse, 1)
	go func() { reply <- f.start(m) }()
	f.wait("the task to run", func() bool { return f.a.Status().Running == 1 })
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	f.wait("the server to leave", func() bool { return f.a.Status().Servers[0].Leaving })
	f.mustFail(f.start(f.request("")), result.ServerLeaving, result.NotRun)
	f.mustAnswer(m, <-reply)
	<-stopped
	f.mustHaveStarted(1)
}

// TestAnnounceChecks guards against a wrong announcement that is accepted or
// refused without naming the field.
func TestAnnounceChecks(t *testing.T) {
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
