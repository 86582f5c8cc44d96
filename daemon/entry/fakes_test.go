package entry

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// fault is a kind of failure of a call. The calling side sees a broken connection.
type fault int

const (
	// lostRequest: the peer does not receive the request.
	lostRequest fault = iota
	// lostResponse: the peer handles the request, but its response is lost.
	lostResponse
	// lateRequest: the peer handles the request only after the call has failed.
	lateRequest
)

// network is an in-memory transport that delivers calls to the handlers of its peers and
// injects faults.
type network struct {
	mu        sync.Mutex
	peers     map[string]http.Handler
	faults    map[string][]fault
	lateDelay time.Duration
}

// injectFaults makes the next calls of the method at addr fail, one call for each fault.
func (n *network) injectFaults(addr, method string, f ...fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[addr+method] = append(n.faults[addr+method], f...)
}

// disconnect makes all later calls to addr fail.
func (n *network) disconnect(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, addr)
}

// nextFault returns the handler of the called peer, and the fault of this call if there is one.
func (n *network) nextFault(r *http.Request) (http.Handler, fault, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := r.URL.Host + r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	h := n.peers[r.URL.Host]
	if f := n.faults[k]; len(f) > 0 {
		n.faults[k] = f[1:]
		return h, f[0], true
	}
	return h, 0, false
}

var errBroken = errors.New("connection broke")

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	h, f, faulty := n.nextFault(r)
	if h == nil || faulty && f == lostRequest {
		return nil, errBroken
	}
	if faulty && f == lateRequest {
		time.AfterFunc(n.lateDelay, func() { serve(h, r.Clone(context.Background()), body) })
		return nil, errBroken
	}
	done := make(chan *http.Response, 1)
	go func() { done <- serve(h, r, body) }()
	select {
	case resp := <-done:
		if faulty {
			return nil, errBroken
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func serve(h http.Handler, r *http.Request, body []byte) *http.Response {
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

func (n *network) HTTP(string) *http.Client { return &http.Client{Transport: n} }
func (n *network) Reset(string)             {}
func (n *network) Close()                   {}

// fakeCluster is the view of the cluster of one entry. Its entry table changes only by Adopt.
type fakeCluster struct {
	Cluster
	self     string
	mu       sync.Mutex
	table    *peerv1.EntryTable
	config   *poplargwv1.ConfigRecord
	notFresh bool
	changed  []chan struct{}
}

// lock locks c and returns the function that unlocks it.
func (c *fakeCluster) lock() func() { c.mu.Lock(); return c.mu.Unlock }

func (c *fakeCluster) Config() *poplargwv1.ConfigRecord { defer c.lock()(); return c.config }
func (c *fakeCluster) Table() *peerv1.EntryTable        { defer c.lock()(); return c.table }
func (c *fakeCluster) Fresh(time.Time) bool             { defer c.lock()(); return !c.notFresh }
func (c *fakeCluster) Synced() bool                     { return true }
func (c *fakeCluster) Observe(*peerv1.Versions, string) {}
func (c *fakeCluster) Versions() *peerv1.Versions {
	defer c.lock()()
	return &peerv1.Versions{Config: c.config.GetVersion(), Table: c.table.GetVersion()}
}

func (c *fakeCluster) Adopt(_ *poplargwv1.ConfigRecord, t *peerv1.EntryTable) {
	defer c.lock()()
	if t.GetVersion() <= c.table.GetVersion() {
		return
	}
	c.table = t
	for _, ch := range c.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (c *fakeCluster) Changed() <-chan struct{} {
	defer c.lock()()
	ch := make(chan struct{}, 1)
	c.changed = append(c.changed, ch)
	return ch
}

func (c *fakeCluster) Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	return &peerv1.FetchResponse{Table: c.Table(), Config: c.Config()}, nil
}

func (c *fakeCluster) SetLeaving(context.Context) error {
	t := proto.Clone(c.Table()).(*peerv1.EntryTable)
	t.Version++
	table.Member(t, c.self).Leaving = true
	c.Adopt(nil, t)
	return nil
}

func (c *fakeCluster) Leave(context.Context) error {
	c.Adopt(nil, tableOf(c.Table().GetVersion()+1))
	return nil
}

// fakeAgent grants one start for each task and answers all starts once release is closed.
type fakeAgent struct {
	peerv1connect.UnimplementedAgentPeerHandler
	name    string
	started time.Time
	release chan struct{}
	onStart func()

	mu            sync.Mutex
	starts        map[string]int
	records       map[string]*peerv1.StartRecord
	refusals      []uint32
	refusedStarts int
	issued        int64
}

func newAgent(name string) *fakeAgent {
	a := &fakeAgent{
		name: name, started: time.Now().Add(-time.Hour), release: make(chan struct{}),
		starts: map[string]int{}, records: map[string]*peerv1.StartRecord{},
	}
	close(a.release)
	return a
}

// holdResults delays the answers of starts until the returned function is called.
func (a *fakeAgent) holdResults() func() {
	a.release = make(chan struct{})
	return sync.OnceFunc(func() { close(a.release) })
}

// totalStarts returns the number of granted starts.
func (a *fakeAgent) totalStarts() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.starts {
		n += s
	}
	return n
}

func (a *fakeAgent) token() *peerv1.Token {
	a.issued++
	return &peerv1.Token{Incarnation: a.name + "-1", IssuedNs: a.issued}
}

func (a *fakeAgent) refusal(code uint32) *peerv1.StartResponse {
	a.refusedStarts++
	return &peerv1.StartResponse{Token: a.token(), FreeSlots: 8, Sequence: uint64(a.issued),
		Outcome: &peerv1.StartResponse_Failure{Failure: &poplargwv1.Failure{Code: code, Effect: poplargwv1.Effect_EFFECT_NOT_RUN}}}
}

// grant records the start and returns nil, or returns a refusal. It also returns nil when the
// task was started before.
func (a *fakeAgent) grant(m *peerv1.StartRequest) *peerv1.StartResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := string(m.GetKey().GetSubmissionId()) + string(rune(m.GetTaskIndex()))
	switch {
	case a.records[k] != nil:
		return nil
	case m.GetAttachOnly():
		return a.refusal(4010)
	case len(a.refusals) > 0:
		code := a.refusals[0]
		a.refusals = a.refusals[1:]
		return a.refusal(code)
	}
	if a.onStart != nil {
		a.onStart()
	}
	a.starts[k]++
	a.records[k] = &peerv1.StartRecord{Key: m.GetKey(), TaskIndex: m.GetTaskIndex(), RequestHash: m.GetRequestHash()}
	return nil
}

func (a *fakeAgent) Start(ctx context.Context, r *connect.Request[peerv1.StartRequest]) (*connect.Response[peerv1.StartResponse], error) {
	if refusal := a.grant(r.Msg); refusal != nil {
		return connect.NewResponse(refusal), nil
	}
	select {
	case <-a.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return connect.NewResponse(&peerv1.StartResponse{Token: a.token(), FreeSlots: 8, Sequence: uint64(a.issued),
		Outcome: &peerv1.StartResponse_Result{Result: &poplargwv1.TaskResult{Payload: append([]byte("re:"), r.Msg.GetPayload()...)}}}), nil
}

func (a *fakeAgent) Claim(context.Context, *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.AgentClaimResponse], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &peerv1.AgentClaimResponse{Agent: a.name, Incarnation: a.name + "-1", StartedUnixMs: a.started.UnixMilli()}
	for _, rec := range a.records {
		m.Records = append(m.Records, rec)
	}
	return connect.NewResponse(m), nil
}

func (a *fakeAgent) report() *peerv1.ReportRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.token()
	return &peerv1.ReportRequest{Versions: &peerv1.Versions{}, Token: t, State: &peerv1.AgentState{
		Agent: a.name, Incarnation: a.name + "-1", Address: a.name, StartedUnixMs: a.started.UnixMilli(),
		Domain: "d", Region: "r", Sequence: uint64(a.issued),
		Servers: []*peerv1.ServerReport{{Server: "s-" + a.name, Service: "svc", Kinds: []string{"quick"}, Slots: 8, FreeSlots: 8, Instance: "i"}},
	}}
}

// testbed connects entries and fake agents by an in-memory network.
type testbed struct {
	t        *testing.T
	net      *network
	limits   settings.Limits
	mu       sync.Mutex
	entries  map[string]*Entry
	clusters map[string]*fakeCluster
}

func newTestbed(t *testing.T) *testbed {
	l := settings.Default().Limits
	return &testbed{t: t, limits: l, entries: map[string]*Entry{}, clusters: map[string]*fakeCluster{},
		net: &network{peers: map[string]http.Handler{}, faults: map[string][]fault{}}}
}

// tableOf returns an entry table with the members.
func tableOf(version uint64, members ...string) *peerv1.EntryTable {
	t := &peerv1.EntryTable{Version: version}
	for _, m := range members {
		t.Members = append(t.Members, &peerv1.EntryMember{Id: m, Incarnation: m + "-1", Address: m})
	}
	return t
}

// startEntry runs an entry with the given table until the test ends.
func (tb *testbed) startEntry(id string, t *peerv1.EntryTable) *Entry {
	s := settings.Default()
	s.Node.ID, s.Node.Domain, s.Node.Region, s.Limits = id, "d", "r", tb.limits
	c := &fakeCluster{self: id, table: t, config: &poplargwv1.ConfigRecord{Version: 1, Config: &poplargwv1.Config{
		Services: []*poplargwv1.Service{{Name: "svc", Kinds: []*poplargwv1.Kind{{Name: "quick", Slots: 1,
			TimeLimit: durationpb.New(time.Minute), Objective: &poplargwv1.Objective{ResponseTime: durationpb.New(time.Minute)}}}}},
		Teams: []*poplargwv1.Team{{Name: "team", QuotaSlots: 8}},
	}}}
	e := New(Options{Settings: &s, Incarnation: id + "-1", Cluster: c, Client: tb.net,
		Log: event.New(&log.Logger{Handler: discard.Default}), Metrics: metrics.NewSet()})
	tb.mu.Lock()
	tb.entries[id], tb.clusters[id] = e, c
	tb.mu.Unlock()
	tb.net.mu.Lock()
	tb.net.peers[id] = e.PeerHandler()
	tb.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	tb.t.Cleanup(func() { cancel(); <-done })
	return e
}

// startPair starts the entries a and b one after the other, and agents that both know. It
// returns once both entries are members of the returned table and ready.
func (tb *testbed) startPair(agents ...*fakeAgent) (a, b *Entry, t *peerv1.EntryTable) {
	tb.t.Helper()
	a = tb.startEntry("a", tableOf(1, "a"))
	for _, agent := range agents {
		tb.startAgent(agent)
	}
	t = tableOf(2, "a", "b")
	tb.clusters["a"].Adopt(nil, t)
	b = tb.startEntry("b", t)
	eventually(tb.t, "claims", func() bool { return a.Ready() && b.Ready() })
	return a, b, t
}

// startAgent connects an agent and sends its reports to all entries until the test ends.
func (tb *testbed) startAgent(a *fakeAgent) *fakeAgent {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewAgentPeerHandler(a))
	tb.net.mu.Lock()
	tb.net.peers[a.name] = mux
	tb.net.mu.Unlock()
	tb.sendReports(a)
	stop := make(chan struct{})
	tb.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				tb.sendReports(a)
			}
		}
	}()
	return a
}

func (tb *testbed) allEntries() map[string]*Entry {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return maps.Clone(tb.entries)
}

// sendReports sends a report of the agent to all entries, unless the agent is disconnected.
func (tb *testbed) sendReports(a *fakeAgent) {
	tb.net.mu.Lock()
	_, connected := tb.net.peers[a.name]
	tb.net.mu.Unlock()
	for id, e := range tb.allEntries() {
		if connected {
			_, _ = e.peers.entryAt(id).Report(context.Background(), connect.NewRequest(a.report()))
		}
	}
}

// claimState is what the home loop of an entry knows of its claim and of one agent.
type claimState struct {
	unknownUntil time.Time
	// agentLost and agentReported are those of the agent, false if the entry does not know it.
	agentLost, agentReported bool
}

// claimStateMsg asks the home loop for the claimState with the named agent.
type claimStateMsg struct {
	agent string
	out   chan<- claimState
}

func (m claimStateMsg) apply(h *home, _ time.Time) {
	a := h.directory.agents[m.agent]
	m.out <- claimState{
		unknownUntil: h.rec.UnknownUntil(), agentLost: a != nil && a.lost, agentReported: a != nil && a.reported,
	}
}

// claimState returns the state of the entry's claim and of the named agent.
func (e *Entry) claimState(t *testing.T, agent string) claimState {
	t.Helper()
	out := make(chan claimState, 1)
	if err := e.home.post(context.Background(), claimStateMsg{agent: agent, out: out}); err != nil {
		t.Fatal(err)
	}
	return <-out
}

// newRequest returns a request with the given number of tasks. Its home in the table is the
// given entry, and its submission ID has the given age.
func newRequest(t *peerv1.EntryTable, home string, age time.Duration, tasks int) *poplargwv1.SubmitJobRequest {
	r := &poplargwv1.SubmitJobRequest{Caller: "caller", Service: "svc", Team: "team", Timeout: durationpb.New(20 * time.Second)}
	for range tasks {
		r.Tasks = append(r.Tasks, &poplargwv1.Task{Kind: "quick", Payload: []byte{byte(len(r.Tasks))}})
	}
	for {
		id := uuid.Must(uuid.NewV7())
		var ms [8]byte
		binary.BigEndian.PutUint64(ms[:], uint64(time.Now().Add(-age).UnixMilli()))
		copy(id[:6], ms[2:])
		r.SubmissionId = id[:]
		if table.Home(t, submission.Key{Caller: "caller", ID: id}).GetId() == home {
			return r
		}
	}
}

// eventually waits until ok returns true, and fails the test after 20 seconds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within 20 s: %s", what)
}
