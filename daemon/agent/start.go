package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// run is the execution of a granted task. Agent.mu guards the fields; outcome does
// not change once done is closed.
type run struct {
	done    chan struct{}
	outcome fence.Outcome
	ended   bool
	// waiting counts the Start calls that wait for the outcome.
	waiting int
	// collected is set when a Start call has received the outcome or does not need it.
	collected bool
}

// peerService implements poplargw.peer.v1.AgentPeer.
type peerService struct{ a *Agent }

var _ peerv1connect.AgentPeerHandler = peerService{}

const (
	// maxTimeLimit is the largest time limit of a task.
	maxTimeLimit = 60 * time.Second
	// maxHashBytes is the largest size of a request hash.
	maxHashBytes = 64
)

// Start implements poplargw.peer.v1.AgentPeer.Start. The run does not depend on
// ctx: if the calling entry disconnects, the task continues and its result is kept.
func (s peerService) Start(ctx context.Context, req *connect.Request[peerv1.StartRequest]) (*connect.Response[peerv1.StartResponse], error) {
	a, m := s.a, req.Msg
	r, fail := parseStart(m)
	if fail != nil {
		return a.newStartResponse(m.GetServer(), fence.Outcome{Failure: fail}), nil
	}
	d, rn := a.startOrAttach(r, m)
	switch d.Verdict {
	case fence.Refused:
		return a.newStartResponse(m.GetServer(), fence.Outcome{Failure: d.Failure}), nil
	case fence.Ended:
		return a.newStartResponse(m.GetServer(), d.Outcome), nil
	}
	select {
	case <-rn.done:
		a.stopWaiting(r.Task, rn, true)
		return a.newStartResponse(m.GetServer(), rn.outcome), nil
	case <-ctx.Done():
		a.stopWaiting(r.Task, rn, false)
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// parseStart validates a Start message and returns it as a request to the fence, or
// the failure with which to refuse it.
func parseStart(m *peerv1.StartRequest) (fence.Request, *result.Failure) {
	key, err := submission.NewKey(m.GetKey().GetCaller(), m.GetKey().GetSubmissionId())
	switch {
	case err != nil:
		return fence.Request{}, malformed(err.Error())
	case len(m.GetRequestHash()) == 0 || len(m.GetRequestHash()) > maxHashBytes:
		return fence.Request{}, malformed(fmt.Sprintf("request hash must have 1 to %d bytes", maxHashBytes))
	case len(m.GetPayload()) > maxPayloadBytes:
		return fence.Request{}, &result.Failure{Code: result.TooLarge, Effect: result.NotRun,
			Message: fmt.Sprintf("payload is larger than %d bytes", maxPayloadBytes)}
	case m.GetTimeLimit().AsDuration() < 0:
		return fence.Request{}, malformed("time limit is negative")
	}
	return fence.Request{
		Task:       fence.Task{Key: key, Index: m.GetTaskIndex()},
		Hash:       m.GetRequestHash(),
		Config:     m.GetVersions().GetConfig(),
		Table:      m.GetVersions().GetTable(),
		Token:      fence.Token{Incarnation: m.GetToken().GetIncarnation(), Issued: time.Duration(m.GetToken().GetIssuedNs())},
		Server:     m.GetServer(),
		Service:    m.GetService(),
		Kind:       m.GetKind(),
		AttachOnly: m.GetAttachOnly(),
	}, nil
}

// malformed returns the failure of an invalid request.
func malformed(message string) *result.Failure {
	return &result.Failure{Code: result.Malformed, Effect: result.NotRun, Message: message}
}

// startOrAttach requests a start from the fence. It begins the run if the start was
// granted, and attaches to the existing run if the task is already running. In both
// cases it returns the run and counts the call as waiting for it; otherwise the run
// is nil.
func (a *Agent) startOrAttach(r fence.Request, m *peerv1.StartRequest) (fence.Decision, *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rn := &run{done: make(chan struct{})}
	d := a.tryGrant(r, rn, a.now())
	a.requestNewerRecords(r)
	switch d.Verdict {
	case fence.Ended:
		delete(a.uncollected, r.Task)
		a.counters.attached.Inc()
		return d, nil
	case fence.Refused:
		return d, nil
	case fence.Granted:
		a.counters.granted.Inc()
		// The slots of the backend servers bound the number of these goroutines.
		go a.execute(r, m, d, rn, a.backends[r.Server])
	case fence.Running:
		a.counters.attached.Inc()
		rn = a.runs[r.Task]
	}
	rn.waiting++
	a.waitingCalls++
	return d, rn
}

// tryGrant requests a start from the fence and registers the run if it was granted.
// If the start took the last slot, it notifies all entries except the home. The
// caller must hold a.mu.
func (a *Agent) tryGrant(r fence.Request, rn *run, now fence.Clocks) fence.Decision {
	d := a.fence.Start(r, now)
	if d.Verdict != fence.Granted {
		return d
	}
	a.runs[r.Task] = rn
	if a.fence.FreeSlots(r.Server, now) == 0 {
		a.notifyAllButHome(r.Task.Key)
	}
	return d
}

// requestNewerRecords requests immediate reports if a Start refers to a newer entry
// table or configuration, which the responses then deliver. The caller must hold a.mu.
func (a *Agent) requestNewerRecords(r fence.Request) {
	if r.Table > a.fence.Table().GetVersion() || r.Config > a.fence.ConfigVersion() {
		a.notifyAll()
	}
}

// stopWaiting ends the wait of a Start call. collected tells whether the call
// receives the outcome.
func (a *Agent) stopWaiting(t fence.Task, rn *run, collected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waitingCalls--
	rn.waiting--
	rn.collected = rn.collected || collected
	if collected {
		delete(a.uncollected, t)
	}
	a.markUncollected(t, rn)
}

// markUncollected registers an outcome that no Start call has received or waits for.
// The caller must hold a.mu.
func (a *Agent) markUncollected(t fence.Task, rn *run) {
	if rn.ended && rn.waiting == 0 && !rn.collected {
		a.uncollected[t] = a.now().Mono
	}
}

// execute calls the backend server once, with the shortest of the time limits that
// apply, and records the outcome.
func (a *Agent) execute(r fence.Request, m *peerv1.StartRequest, d fence.Decision, rn *run, b *backend) {
	timeLimit := maxTimeLimit
	for _, l := range []time.Duration{m.GetTimeLimit().AsDuration(), d.TimeLimit} {
		if l > 0 {
			timeLimit = min(timeLimit, l)
		}
	}
	o := b.run(a.runCtx, &apiv1.RunRequest{
		Caller:            r.Task.Key.Caller,
		SubmissionId:      r.Task.Key.ID[:],
		TaskIndex:         r.Task.Index,
		Service:           r.Service,
		Kind:              r.Kind,
		Payload:           m.GetPayload(),
		StartBeforeUnixMs: d.StartBefore.UnixMilli(),
	}, timeLimit)
	a.counters.runSeconds.Update(o.RunTime.Seconds())
	if o.Failure != nil && o.Failure.Code == result.ServerLost {
		a.opts.Log.Warn(event.RunConnectionLost, event.Fields{"server": r.Server, "error": o.Failure.Message})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishRun(r, rn, o)
}

// finishRun records the outcome and wakes the waiting calls. It notifies entries
// other than the home of the free slot only if slots were scarce; otherwise they
// already know of free ones. The caller must hold a.mu.
func (a *Agent) finishRun(r fence.Request, rn *run, o fence.Outcome) {
	t, lowOnSlots := r.Task, a.fence.LowOnSlots(r.Server)
	if o.Failure != nil && o.Failure.Effect == result.NotRun {
		a.fence.Withdraw(t, a.now())
		rn.collected = true
	} else {
		a.fence.Finish(t, o)
	}
	delete(a.runs, t)
	rn.outcome, rn.ended = o, true
	a.markUncollected(t, rn)
	close(rn.done)
	if lowOnSlots {
		a.notifyAllButHome(t.Key)
	}
}

// newStartResponse returns the response to a Start: the outcome, a new token and the
// free slots of the backend server.
func (a *Agent) newStartResponse(server string, o fence.Outcome) *connect.Response[peerv1.StartResponse] {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sequence++
	m := &peerv1.StartResponse{
		Versions:  &peerv1.Versions{Config: a.fence.ConfigVersion(), Table: a.fence.NewestTable()},
		Token:     a.token(now),
		FreeSlots: a.fence.FreeSlots(server, now),
		Sequence:  a.sequence,
	}
	if o.RunTime > 0 {
		m.RunTime = durationpb.New(o.RunTime)
	}
	if o.Failure == nil {
		m.Outcome = &peerv1.StartResponse_Result{Result: &apiv1.TaskResult{Payload: o.Payload}}
		return connect.NewResponse(m)
	}
	a.counters.countFailure(uint32(o.Failure.Code))
	f := &apiv1.Failure{Code: uint32(o.Failure.Code), Effect: apiv1.Effect(o.Failure.Effect), Message: o.Failure.Message}
	if o.Failure.RetryAfter > 0 {
		f.RetryAfter = durationpb.New(o.Failure.RetryAfter)
	}
	m.Outcome = &peerv1.StartResponse_Failure{Failure: f}
	return connect.NewResponse(m)
}

// token issues a new token. The caller must hold a.mu.
func (a *Agent) token(now fence.Clocks) *peerv1.Token {
	t := a.fence.IssueToken(now)
	return &peerv1.Token{Incarnation: t.Incarnation, IssuedNs: int64(t.Issued)}
}

// Claim implements poplargw.peer.v1.AgentPeer.Claim.
func (s peerService) Claim(_ context.Context, req *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.AgentClaimResponse], error) {
	a, t, home := s.a, req.Msg.GetTable(), req.Msg.GetHome()
	if t.GetVersion() == 0 || table.Member(t, home) == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("table: must have a version and contain the claiming entry"))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	previousVersion := a.fence.Table().GetVersion()
	claimed := a.fence.Claim(t, home)
	a.onTableChange(previousVersion)
	m := &peerv1.AgentClaimResponse{Agent: a.opts.Settings.Node.ID, Incarnation: a.incarnation, StartedUnixMs: a.started.UnixMilli()}
	for _, c := range claimed {
		m.Records = append(m.Records, &peerv1.StartRecord{
			Key:         &peerv1.Key{Caller: c.Task.Key.Caller, SubmissionId: c.Task.Key.ID[:]},
			TaskIndex:   c.Task.Index,
			ResultHeld:  c.ResultHeld,
			Running:     c.Running,
			RequestHash: c.Hash,
		})
	}
	a.opts.Log.Info(event.AgentClaimed, event.Fields{"entry": home, "table": t.GetVersion(), "records": len(claimed)})
	return connect.NewResponse(m), nil
}
