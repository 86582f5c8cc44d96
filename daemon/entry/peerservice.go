package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// peerService implements the EntryPeer service.
type peerService struct{ e *Entry }

// errNotAnswered is the error of a call that ended before the home loop, or the entry that
// holds the submission, had answered.
var errNotAnswered = connect.NewError(connect.CodeUnavailable, errors.New("no answer in time from this entry or from the entry that holds the submission"))

func newPeerHandler(e *Entry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewEntryPeerHandler(peerService{e},
		connect.WithReadMaxBytes(2*maxRequestBytes), connect.WithCompression("gzip", nil, nil)))
	return mux
}

// Report implements the EntryPeer service. The response acknowledges that the agent is in
// the directory of the agents that this entry asks in its claims.
func (p peerService) Report(ctx context.Context, r *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	s := r.Msg.GetState()
	if s.GetAgent() == "" || s.GetIncarnation() == "" || s.GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("report without agent, incarnation or address"))
	}
	out := make(chan struct{})
	if p.e.home.post(ctx, reportMsg{request: r.Msg, out: out}) != nil {
		return nil, errNotAnswered
	}
	select {
	case <-out:
	case <-ctx.Done():
		return nil, errNotAnswered
	}
	c := p.e.opts.Cluster
	resp := &peerv1.ReportResponse{Versions: c.Versions()}
	if t := c.Table(); t.GetVersion() > r.Msg.GetVersions().GetTable() {
		resp.Table = t
	}
	return connect.NewResponse(resp), nil
}

// Heartbeat implements the EntryPeer service.
func (p peerService) Heartbeat(ctx context.Context, r *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	m, err := p.e.opts.Cluster.Heartbeat(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

// Publish implements the EntryPeer service.
func (p peerService) Publish(ctx context.Context, r *connect.Request[peerv1.PublishRequest]) (*connect.Response[peerv1.PublishResponse], error) {
	m, err := p.e.opts.Cluster.Publish(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

// Fetch implements the EntryPeer service.
func (p peerService) Fetch(ctx context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	m, err := p.e.opts.Cluster.Fetch(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	if !r.Msg.GetAgents() {
		return connect.NewResponse(m), nil
	}
	agents, ok := ask(ctx, p.e.home, func(out chan<- []*peerv1.AgentState) message { return agentsMsg{out: out} })
	if !ok {
		return nil, errNotAnswered
	}
	m.Agents = agents
	return connect.NewResponse(m), nil
}

// Execute implements the EntryPeer service.
func (p peerService) Execute(ctx context.Context, r *connect.Request[peerv1.ExecuteRequest]) (*connect.Response[peerv1.ExecuteResponse], error) {
	e := p.e
	e.openCalls.Add(1)
	defer e.openCalls.Add(-1)
	k, f := checkJob(r.Msg.GetJob())
	if f != nil {
		return e.executeResponse(reply{failure: f}), nil
	}
	if m := table.Member(e.opts.Cluster.Table(), r.Msg.GetReceiver()); m != nil {
		e.opts.Cluster.Observe(r.Msg.GetVersions(), m.GetAddress())
	}
	deadline := time.Now().Add(r.Msg.GetRemaining().AsDuration())
	got := e.execute(ctx, k, r.Msg.GetJob(), deadline)
	if ctx.Err() != nil {
		return nil, errNotAnswered
	}
	return e.executeResponse(got), nil
}

func (e *Entry) executeResponse(r reply) *connect.Response[peerv1.ExecuteResponse] {
	m := &peerv1.ExecuteResponse{Versions: e.opts.Cluster.Versions()}
	switch {
	case r.failure != nil:
		m.Outcome = &peerv1.ExecuteResponse_Failure{Failure: failureToProto(r.failure)}
	case r.results != nil:
		m.Outcome = &peerv1.ExecuteResponse_Answer{Answer: answerToProto(r.results)}
	default:
		m.Outcome = &peerv1.ExecuteResponse_NotHome{NotHome: e.notHome()}
	}
	return connect.NewResponse(m)
}

func (e *Entry) notHome() *peerv1.NotHome { return &peerv1.NotHome{Table: e.opts.Cluster.Table()} }

// CancelJob implements the EntryPeer service.
func (p peerService) CancelJob(ctx context.Context, r *connect.Request[peerv1.CancelJobRequest]) (*connect.Response[peerv1.CancelJobResponse], error) {
	k, err := keyFromProto(r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	got, ok := ask(ctx, p.e.home, func(out chan<- cancelReply) message { return cancelMsg{key: k, out: out} })
	switch {
	case !ok:
		return nil, errNotAnswered
	case got.holder != nil:
		resp, err := p.e.peers.entryAt(got.holder.GetAddress()).CancelJob(ctx, connect.NewRequest(r.Msg))
		if err != nil {
			return nil, errNotAnswered
		}
		return connect.NewResponse(resp.Msg), nil
	}
	m := &peerv1.CancelJobResponse{NotStarted: uint32(got.notStarted)}
	if got.notHome {
		m.NotHome = p.e.notHome()
	}
	return connect.NewResponse(m), nil
}

// Lookup implements the EntryPeer service.
func (p peerService) Lookup(ctx context.Context, r *connect.Request[peerv1.LookupRequest]) (*connect.Response[peerv1.LookupResponse], error) {
	k, err := keyFromProto(r.Msg.GetKey())
	if err != nil {
		return nil, err
	}
	got, ok := ask(ctx, p.e.home, func(out chan<- lookupReply) message { return lookupMsg{key: k, out: out} })
	switch {
	case !ok:
		return nil, errNotAnswered
	case got.holder != nil:
		resp, err := p.e.peers.entryAt(got.holder.GetAddress()).Lookup(ctx, connect.NewRequest(r.Msg))
		if err != nil {
			return nil, errNotAnswered
		}
		return connect.NewResponse(resp.Msg), nil
	}
	m := &peerv1.LookupResponse{Outcome: got.outcome}
	if got.notHome {
		m.NotHome = p.e.notHome()
	}
	return connect.NewResponse(m), nil
}

// Claim implements the EntryPeer service. After the answer, this entry accepts no new
// submission whose home in the table is the claimant.
func (p peerService) Claim(ctx context.Context, r *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.EntryClaimResponse], error) {
	c := p.e.opts.Cluster
	c.Adopt(nil, r.Msg.GetTable())
	if c.Table().GetVersion() < r.Msg.GetTable().GetVersion() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("entry table of the claim was not adopted"))
	}
	held, ok := ask(ctx, p.e.home, func(out chan<- []*peerv1.Key) message {
		return heldKeysMsg{table: r.Msg.GetTable(), home: r.Msg.GetHome(), out: out}
	})
	if !ok {
		return nil, errNotAnswered
	}
	return connect.NewResponse(&peerv1.EntryClaimResponse{Entry: p.e.self, Held: held}), nil
}

func keyFromProto(k *peerv1.Key) (submission.Key, error) {
	key, err := submission.NewKey(k.GetCaller(), k.GetSubmissionId())
	if err != nil {
		return key, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return key, nil
}
