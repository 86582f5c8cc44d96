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
	"poplargw.example/dispatch/result"
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
