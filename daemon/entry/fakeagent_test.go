package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

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
