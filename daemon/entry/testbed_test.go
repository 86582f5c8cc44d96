package entry

import (
	"context"
	"encoding/binary"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

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
