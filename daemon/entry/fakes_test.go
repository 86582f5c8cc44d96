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

// fault is what happens to a call: it is lost before or after the peer has handled it,
// or handled only after the caller saw it fail.
type fault int

const (
	lostRequest fault = iota
	lostResponse
	lateRequest
)

// network carries calls between fakes in memory.
type network struct {
	mu     sync.Mutex
	peers  map[string]http.Handler
	faults map[string][]fault
	late   time.Duration
}

func (n *network) fail(addr, method string, f ...fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[addr+method] = append(n.faults[addr+method], f...)
}

func (n *network) cut(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, addr)
}

func (n *network) next(r *http.Request) (http.Handler, fault, bool) {
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
	h, f, faulty := n.next(r)
	if h == nil || faulty && f == lostRequest {
		return nil, errBroken
	}
	if faulty && f == lateRequest {
		time.AfterFunc(n.late, func() { serve(h, r.Clone(context.Background()), body) })
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

// fakeCluster is the view of one entry.
type fakeCluster struct {
	Cluster
	self    string
	mu      sync.Mutex
	table   *peerv1.EntryTable
	config  *poplargwv1.ConfigRecord
	stale   bool
	changed []chan struct{}
}

func (c *fakeCluster) lock() func() { c.mu.Lock(); return c.mu.Unlock }

func (c *fakeCluster) Config() *poplargwv1.ConfigRecord { defer c.lock()(); return c.config }
func (c *fakeCluster) Table() *peerv1.EntryTable        { defer c.lock()(); return c.table }
func (c *fakeCluster) Fresh(time.Time) bool             { defer c.lock()(); return !c.stale }
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

// fakeAgent grants each task one start and answers it once release is closed.
type fakeAgent struct {
	peerv1connect.UnimplementedAgentPeerHandler
	name    string
	started time.Time
	release chan struct{}
	onStart func()

	mu      sync.Mutex
	starts  map[string]int
	hashes  map[string]*peerv1.StartRecord
	refuse  []uint32
	refused int
	issued  int64
}

func newAgent(name string) *fakeAgent {
	a := &fakeAgent{
		name: name, started: time.Now().Add(-time.Hour), release: make(chan struct{}),
		starts: map[string]int{}, hashes: map[string]*peerv1.StartRecord{},
	}
	close(a.release)
	return a
}

func (a *fakeAgent) hold() func() {
	a.release = make(chan struct{})
	return sync.OnceFunc(func() { close(a.release) })
}

func (a *fakeAgent) total() (n int) {
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

func (a *fakeAgent) failure(code uint32) *peerv1.StartResponse {
	a.refused++
	return &peerv1.StartResponse{Token: a.token(), FreeSlots: 8, Sequence: uint64(a.issued),
		Outcome: &peerv1.StartResponse_Failure{Failure: &poplargwv1.Failure{Code: code, Effect: poplargwv1.Effect_EFFECT_NOT_RUN}}}
}

func (a *fakeAgent) grant(m *peerv1.StartRequest) *peerv1.StartResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := string(m.GetKey().GetSubmissionId()) + string(rune(m.GetTaskIndex()))
	switch {
	case a.hashes[k] != nil:
		return nil
	case m.GetAttachOnly():
		return a.failure(4010)
	case len(a.refuse) > 0:
		code := a.refuse[0]
		a.refuse = a.refuse[1:]
		return a.failure(code)
	}
	if a.onStart != nil {
		a.onStart()
	}
	a.starts[k]++
	a.hashes[k] = &peerv1.StartRecord{Key: m.GetKey(), TaskIndex: m.GetTaskIndex(), RequestHash: m.GetRequestHash()}
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
	for _, rec := range a.hashes {
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

// world is a network with entries and agents.
type world struct {
	t       *testing.T
	net     *network
	limits  settings.Limits
	mu      sync.Mutex
	entries map[string]*Entry
	views   map[string]*fakeCluster
}

func newWorld(t *testing.T) *world {
	l := settings.Default().Limits
	return &world{t: t, limits: l, entries: map[string]*Entry{}, views: map[string]*fakeCluster{},
		net: &network{peers: map[string]http.Handler{}, faults: map[string][]fault{}}}
}

func tableOf(version uint64, members ...string) *peerv1.EntryTable {
	t := &peerv1.EntryTable{Version: version}
	for _, m := range members {
		t.Members = append(t.Members, &peerv1.EntryMember{Id: m, Incarnation: m + "-1", Address: m})
	}
	return t
}

func (w *world) entry(id string, t *peerv1.EntryTable) *Entry {
	s := settings.Default()
	s.Node.ID, s.Node.Domain, s.Node.Region, s.Limits = id, "d", "r", w.limits
	c := &fakeCluster{self: id, table: t, config: &poplargwv1.ConfigRecord{Version: 1, Config: &poplargwv1.Config{
		Services: []*poplargwv1.Service{{Name: "svc", Kinds: []*poplargwv1.Kind{{Name: "quick", Slots: 1,
			TimeLimit: durationpb.New(time.Minute), Objective: &poplargwv1.Objective{ResponseTime: durationpb.New(time.Minute)}}}}},
		Teams: []*poplargwv1.Team{{Name: "team", QuotaSlots: 8}},
	}}}
	e := New(Options{Settings: &s, Incarnation: id + "-1", Cluster: c, Client: w.net,
		Log: event.New(&log.Logger{Handler: discard.Default}), Metrics: metrics.NewSet()})
	w.mu.Lock()
	w.entries[id], w.views[id] = e, c
	w.mu.Unlock()
	w.net.mu.Lock()
	w.net.peers[id] = e.PeerHandler()
	w.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	w.t.Cleanup(func() { cancel(); <-done })
	return e
}

// pair starts entries a and b one after the other, as members of the returned table, with
// an agent that both know.
func (w *world) pair(agents ...*fakeAgent) (a, b *Entry, t *peerv1.EntryTable) {
	w.t.Helper()
	a = w.entry("a", tableOf(1, "a"))
	for _, ag := range agents {
		w.agent(ag)
	}
	t = tableOf(2, "a", "b")
	w.views["a"].Adopt(nil, t)
	b = w.entry("b", t)
	eventually(w.t, "claims", func() bool { return a.Ready() && b.Ready() })
	return a, b, t
}

// agent makes an agent known to all entries, which hear of it until the test ends.
func (w *world) agent(a *fakeAgent) *fakeAgent {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewAgentPeerHandler(a))
	w.net.mu.Lock()
	w.net.peers[a.name] = mux
	w.net.mu.Unlock()
	w.report(a)
	stop := make(chan struct{})
	w.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				w.report(a)
			}
		}
	}()
	return a
}

func (w *world) members() map[string]*Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.entries)
}

func (w *world) report(a *fakeAgent) {
	w.net.mu.Lock()
	_, connected := w.net.peers[a.name]
	w.net.mu.Unlock()
	for id, e := range w.members() {
		if connected {
			_, _ = e.peers.entryAt(id).Report(context.Background(), connect.NewRequest(a.report()))
		}
	}
}

// job returns a job whose home in the table is the entry and whose ID has the given age.
func job(t *peerv1.EntryTable, home string, age time.Duration, tasks int) *poplargwv1.SubmitJobRequest {
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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not seen in 20 s: %s", what)
}
