package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/store"
)

// network connects the test processes in memory. Links between addresses can be cut: calls over a
// cut link get no answer, as over a silent connection.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[[2]string]bool
}

// setCut cuts or restores the link between two addresses in both directions.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// link is the transport.Client of one process and carries its calls to one address.
type link struct {
	n        *network
	from, to string
}

func (l link) HTTP(addr string) *http.Client { return &http.Client{Transport: link{l.n, l.from, addr}} }
func (l link) Reset(string)                  {}
func (l link) Close()                        {}

// RoundTrip implements http.RoundTripper.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.n.mu.Lock()
	h, cut := l.n.handlers[l.to], l.n.cut[[2]string{l.from, l.to}]
	l.n.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if h == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// peerHandler implements the part of EntryPeer that Cluster uses.
type peerHandler struct {
	peerv1connect.UnimplementedEntryPeerHandler
	c *Cluster
}

func (h peerHandler) Heartbeat(ctx context.Context, r *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return wrap(h.c.Heartbeat(ctx, r.Msg))
}

func (h peerHandler) Publish(ctx context.Context, r *connect.Request[peerv1.PublishRequest]) (*connect.Response[peerv1.PublishResponse], error) {
	return wrap(h.c.Publish(ctx, r.Msg))
}

func (h peerHandler) Fetch(ctx context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	return wrap(h.c.Fetch(ctx, r.Msg))
}

func wrap[T any](m *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

// storeGate is one process's access to the store, which can be closed.
type storeGate struct {
	store.Store
	mu     sync.Mutex
	closed bool
	// closeAfterWrite closes the gate with the next write, which takes effect: its reply is lost.
	closeAfterWrite bool
	// afterWrite runs after the next write has taken effect and before its reply.
	afterWrite func()
}

func (g *storeGate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closeAfterWrite = closed, false
}

func (g *storeGate) check() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return store.ErrUnavailable
	}
	return nil
}

// call calls f and returns its result. It fails with store.ErrUnavailable if the gate is closed
// before or after the call.
func (g *storeGate) call(f func() (store.Item, error)) (store.Item, error) {
	if err := g.check(); err != nil {
		return store.Item{}, err
	}
	item, err := f()
	if gateErr := g.check(); gateErr != nil {
		return store.Item{}, gateErr
	}
	return item, err
}

func (g *storeGate) Get(ctx context.Context, key string) (store.Item, error) {
	return g.call(func() (store.Item, error) { return g.Store.Get(ctx, key) })
}

func (g *storeGate) Watch(ctx context.Context, key string, revision uint64) (store.Item, error) {
	return g.call(func() (store.Item, error) { return g.Store.Watch(ctx, key, revision) })
}

func (g *storeGate) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	return g.call(func() (store.Item, error) {
		// The gate closes before the write, so that a watch in progress cannot return the written record.
		g.setClosed(g.check() != nil || g.closeAfterWrite)
		item, err := g.Store.CompareAndSwap(ctx, key, value, revision)
		if f := g.afterWrite; f != nil {
			g.afterWrite = nil
			f()
		}
		return item, err
	})
}

// process is one running Cluster.
type process struct {
	*Cluster
	addr string
	gate *storeGate
	stop func()
}

// testCluster is a set of processes with one store and one network, in virtual time.
type testCluster struct {
	t            *testing.T
	store        *store.Memory
	net          *network
	processes    map[string]*process
	incarnations int
}

// withEntries runs f with n running entries e0, e1, ... that have joined the table.
func withEntries(t *testing.T, n int, f func(*testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{t: t, store: store.NewMemory(), processes: make(map[string]*process),
			net: &network{handlers: make(map[string]http.Handler), cut: make(map[[2]string]bool)}}
		defer tc.stopAll()
		for i := range n {
			tc.start(fmt.Sprintf("e%d", i))
		}
		tc.eventually("all entries are fresh members", func() bool {
			for _, p := range tc.processes {
				if len(p.Table().GetMembers()) != n || !p.Fresh(time.Now()) {
					return false
				}
			}
			return true
		})
		f(tc)
	})
}

// start starts a process with the ID and a new incarnation.
func (tc *testCluster) start(id string) *process {
	tc.incarnations++
	s := settings.Default()
	s.Node = settings.Node{ID: id, Domain: "d", Region: "r"}
	s.Listen.Peers = id + ":1"
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{addr: s.Listen.Peers, gate: &storeGate{Store: tc.store}}
	p.Cluster = New(Options{
		Settings: &s, Incarnation: fmt.Sprintf("%s-%d", id, tc.incarnations), Store: p.gate, Client: link{tc.net, p.addr, ""},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	_, h := peerv1connect.NewEntryPeerHandler(peerHandler{c: p.Cluster})
	tc.net.mu.Lock()
	tc.net.handlers[p.addr] = h
	tc.net.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	p.stop = func() {
		tc.net.mu.Lock()
		delete(tc.net.handlers, p.addr)
		tc.net.mu.Unlock()
		cancel()
		if err := <-done; err != nil {
			tc.t.Errorf("Run of %s: %v", id, err)
		}
	}
	tc.processes[id] = p
	return p
}

func (tc *testCluster) stop(id string) {
	tc.processes[id].stop()
	delete(tc.processes, id)
}

func (tc *testCluster) stopAll() {
	for id := range tc.processes {
		tc.stop(id)
	}
}

// isolate cuts the links of a process to the other processes, or restores them if cut is false.
func (tc *testCluster) isolate(id string, cut bool) {
	for other, p := range tc.processes {
		if other != id {
			tc.net.setCut(tc.processes[id].addr, p.addr, cut)
		}
	}
}

// eventually waits up to 60 s of virtual time for the condition.
func (tc *testCluster) eventually(what string, condition func() bool) {
	tc.t.Helper()
	for range 600 {
		synctest.Wait()
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	tc.t.Fatalf("condition not met within 60 s: %s", what)
}

// storedConfig returns the configuration record in the store, or nil if it cannot be read.
func (tc *testCluster) storedConfig() *poplargwv1.ConfigRecord {
	item, err := tc.store.Get(context.Background(), configKey)
	if err != nil {
		return nil
	}
	r := &poplargwv1.ConfigRecord{}
	if err := proto.Unmarshal(item.Value, r); err != nil {
		tc.t.Fatal(err)
	}
	return r
}

// apply applies a configuration with one service of the given name, based on version base.
func (p *process) apply(base uint64, id, service string) *poplargwv1.ApplyResponse {
	resp, err := p.Apply(context.Background(), &poplargwv1.ApplyRequest{
		BaseVersion: base, ChangeId: id, Author: "test", Config: &poplargwv1.Config{Services: []*poplargwv1.Service{{
			Name: service, Kinds: []*poplargwv1.Kind{{Name: "k", Slots: 1, TimeLimit: durationpb.New(time.Second)}},
		}}},
	})
	if err != nil {
		panic(err)
	}
	return resp
}

const (
	stateAccepted = poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	stateStored   = poplargwv1.ApplyState_APPLY_STATE_STORED
	stateConflict = poplargwv1.ApplyState_APPLY_STATE_CONFLICT
	stateRejected = poplargwv1.ApplyState_APPLY_STATE_REJECTED
	stateUnknown  = poplargwv1.ApplyState_APPLY_STATE_UNKNOWN
)

// mustBe fails the test unless the response has the given state and version.
func (tc *testCluster) mustBe(r *poplargwv1.ApplyResponse, state poplargwv1.ApplyState, version uint64) {
	tc.t.Helper()
	if r.GetState() != state || r.GetVersion() != version {
		tc.t.Fatalf("got %v version %d (%s), want %v version %d", r.GetState(), r.GetVersion(), r.GetMessage(), state, version)
	}
}
