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

// network connects clusters in one process. Links between addresses can be cut: calls over a cut
// link stay without an answer, as over a silent connection.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[[2]string]bool
}

func (n *network) setLink(a, b string, cut bool) {
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
func (t link) RoundTrip(r *http.Request) (*http.Response, error) {
	t.n.mu.Lock()
	h, cut := t.n.handlers[t.to], t.n.cut[[2]string{t.from, t.to}]
	t.n.mu.Unlock()
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

// peerHandler serves the part of EntryPeer that clusters use.
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

// gate is a store that one process may be cut off from.
type gate struct {
	store.Store
	mu     sync.Mutex
	closed bool
	// last makes the next write the last call that takes effect; its reply is lost.
	last bool
	// after runs between the effect of the next write and its reply.
	after func()
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.last = closed, false
}

func (g *gate) check() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return store.ErrUnavailable
	}
	return nil
}

// around makes a call unless the gate is closed before or after it.
func (g *gate) around(call func() (store.Item, error)) (store.Item, error) {
	if err := g.check(); err != nil {
		return store.Item{}, err
	}
	item, err := call()
	if cut := g.check(); cut != nil {
		return store.Item{}, cut
	}
	return item, err
}

func (g *gate) Get(ctx context.Context, key string) (store.Item, error) {
	return g.around(func() (store.Item, error) { return g.Store.Get(ctx, key) })
}

func (g *gate) Watch(ctx context.Context, key string, revision uint64) (store.Item, error) {
	return g.around(func() (store.Item, error) { return g.Store.Watch(ctx, key, revision) })
}

func (g *gate) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	return g.around(func() (store.Item, error) {
		item, err := g.Store.CompareAndSwap(ctx, key, value, revision)
		if f := g.after; f != nil {
			g.after = nil
			f()
		}
		g.set(g.check() != nil || g.last)
		return item, err
	})
}

// process is one running cluster.
type process struct {
	*Cluster
	addr string
	gate *gate
	end  func()
}

// fleet is several processes over one store and one network, in virtual time.
type fleet struct {
	t     *testing.T
	store *store.Memory
	net   *network
	ps    map[string]*process
	born  int
}

// inFleet runs a test with n running entries e0, e1, ... that have joined.
func inFleet(t *testing.T, n int, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t: t, store: store.NewMemory(), ps: make(map[string]*process),
			net: &network{handlers: make(map[string]http.Handler), cut: make(map[[2]string]bool)}}
		defer fl.stopAll()
		for i := range n {
			fl.start(fmt.Sprintf("e%d", i))
		}
		fl.eventually("all entries are fresh members", func() bool {
			for _, p := range fl.ps {
				if len(p.Table().GetMembers()) != n || !p.Fresh(time.Now()) {
					return false
				}
			}
			return true
		})
		f(fl)
	})
}

func (f *fleet) start(id string) *process {
	f.born++
	s := settings.Default()
	s.Node = settings.Node{ID: id, Domain: "d", Region: "r"}
	s.Listen.Peers = id + ":1"
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{addr: s.Listen.Peers, gate: &gate{Store: f.store}}
	p.Cluster = New(Options{
		Settings: &s, Incarnation: fmt.Sprintf("%s-%d", id, f.born), Store: p.gate, Client: link{f.net, p.addr, ""},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	_, h := peerv1connect.NewEntryPeerHandler(peerHandler{c: p.Cluster})
	f.net.mu.Lock()
	f.net.handlers[p.addr] = h
	f.net.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	p.end = func() {
		f.net.mu.Lock()
		delete(f.net.handlers, p.addr)
		f.net.mu.Unlock()
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("Run of %s: %v", id, err)
		}
	}
	f.ps[id] = p
	return p
}

func (f *fleet) stop(id string) {
	f.ps[id].end()
	delete(f.ps, id)
}

func (f *fleet) stopAll() {
	for id := range f.ps {
		f.stop(id)
	}
}

// isolate cuts a process off from the other processes.
func (f *fleet) isolate(id string, cut bool) {
	for other, p := range f.ps {
		if other != id {
			f.net.setLink(f.ps[id].addr, p.addr, cut)
		}
	}
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for range 600 {
		synctest.Wait()
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("not within 60 s: %s", what)
}

func (f *fleet) stored() *poplargwv1.ConfigRecord {
	item, err := f.store.Get(context.Background(), configKey)
	if err != nil {
		return nil
	}
	r := &poplargwv1.ConfigRecord{}
	if err := proto.Unmarshal(item.Value, r); err != nil {
		f.t.Fatal(err)
	}
	return r
}

// ask applies a configuration with one service of the name.
func (p *process) ask(base uint64, id, service string) *poplargwv1.ApplyResponse {
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
	accepted = poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	stored   = poplargwv1.ApplyState_APPLY_STATE_STORED
	conflict = poplargwv1.ApplyState_APPLY_STATE_CONFLICT
	refused  = poplargwv1.ApplyState_APPLY_STATE_REJECTED
	unknown  = poplargwv1.ApplyState_APPLY_STATE_UNKNOWN
)

func (f *fleet) want(r *poplargwv1.ApplyResponse, s poplargwv1.ApplyState, version uint64) {
	f.t.Helper()
	if r.GetState() != s || r.GetVersion() != version {
		f.t.Fatalf("got %v version %d (%s), want %v version %d", r.GetState(), r.GetVersion(), r.GetMessage(), s, version)
	}
}
