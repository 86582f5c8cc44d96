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

// run is a granted task until it has ended. The fields are guarded by Agent.mu;
// outcome is constant once done is closed.
type run struct {
	done    chan struct{}
	outcome fence.Outcome
	ended   bool
	// waiting counts the Start calls that wait for the outcome.
	waiting int
	// read says that a Start call has taken the outcome.
	read bool
}

// peerService implements poplargw.peer.v1.AgentPeer.
type peerService struct{ a *Agent }

var _ peerv1connect.AgentPeerHandler = peerService{}

const (
	// maxTimeLimit is the largest time limit of a task.
	maxTimeLimit = 60 * time.Second
	// maxHash bounds the request hash in bytes.
	maxHash = 64
)

// Start implements poplargw.peer.v1.AgentPeer.Start. The run does not depend on
// ctx: when the caller goes away, the task runs on and its result is kept.
func (s peerService) Start(ctx context.Context, req *connect.Request[peerv1.StartRequest]) (*connect.Response[peerv1.StartResponse], error) {
	a, m := s.a, req.Msg
	r, fail := parseStart(m)
	if fail != nil {
		return a.reply(m.GetServer(), fence.Outcome{Failure: fail}), nil
	}
	d, rn := a.decide(r, m)
	switch d.Verdict {
	case fence.Refused:
		return a.reply(m.GetServer(), fence.Outcome{Failure: d.Failure}), nil
	case fence.Ended:
		return a.reply(m.GetServer(), d.Outcome), nil
	}
	select {
	case <-rn.done:
		a.stopWaiting(r.Task, rn, true)
		return a.reply(m.GetServer(), rn.outcome), nil
	case <-ctx.Done():
		a.stopWaiting(r.Task, rn, false)
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

func parseStart(m *peerv1.StartRequest) (fence.Request, *result.Failure) {
	key, err := submission.NewKey(m.GetKey().GetCaller(), m.GetKey().GetSubmissionId())
	switch {
	case err != nil:
		return fence.Request{}, malformed(err.Error())
	case len(m.GetRequestHash()) == 0 || len(m.GetRequestHash()) > maxHash:
		return fence.Request{}, malformed(fmt.Sprintf("request hash must have 1 to %d bytes", maxHash))
	case len(m.GetPayload()) > maxPayload:
		return fence.Request{}, &result.Failure{Code: result.TooLarge, Effect: result.NotRun,
			Message: fmt.Sprintf("payload is larger than %d bytes", maxPayload)}
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

func malformed(text string) *result.Failure {
	return &result.Failure{Code: result.Malformed, Effect: result.NotRun, Message: text}
}

// decide asks the fence. When the start is granted it starts the run; when the
// task runs, the caller is counted as waiting.
func (a *Agent) decide(r fence.Request, m *peerv1.StartRequest) (fence.Decision, *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rn := &run{done: make(chan struct{})}
	d := a.grant(r, rn, a.now())
	a.askForNewer(r)
	switch d.Verdict {
	case fence.Ended:
		delete(a.unread, r.Task)
		a.m.attached.Inc()
		return d, nil
	case fence.Refused:
		return d, nil
	case fence.Granted:
		a.m.granted.Inc()
		// The number of these goroutines is bounded by the slots of the backend servers.
		go a.execute(r, m, d, rn, a.backends[r.Server])
	case fence.Running:
		a.m.attached.Inc()
		rn = a.runs[r.Task]
	}
	rn.waiting++
	a.waiting++
	return d, rn
}

// grant asks the fence and registers the run of a granted start. The other entries
// hear of it if it took the last slot. It must be called under the lock.
func (a *Agent) grant(r fence.Request, rn *run, now fence.Now) fence.Decision {
	d := a.fence.Start(r, now)
	if d.Verdict != fence.Granted {
		return d
	}
	a.runs[r.Task] = rn
	if a.fence.FreeSlots(r.Server, now) == 0 {
		a.notifyOthers(r.Task.Key)
	}
	return d
}

// askForNewer reports at once when a Start shows that a newer entry table or
// configuration exists: the answer brings it.
func (a *Agent) askForNewer(r fence.Request) {
	if r.Table > a.fence.Table().GetVersion() || r.Config > a.fence.ConfigVersion() {
		a.notifyAll()
	}
}

func (a *Agent) stopWaiting(t fence.Task, rn *run, read bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	rn.waiting--
	rn.read = rn.read || read
	if read {
		delete(a.unread, t)
	}
	a.noteUnread(t, rn)
}

// noteUnread remembers an outcome that no Start call has taken.
func (a *Agent) noteUnread(t fence.Task, rn *run) {
	if rn.ended && rn.waiting == 0 && !rn.read {
		a.unread[t] = a.now().Mono
	}
}

// execute calls the backend server once and records the outcome.
func (a *Agent) execute(r fence.Request, m *peerv1.StartRequest, d fence.Decision, rn *run, b *backend) {
	limit := maxTimeLimit
	for _, l := range []time.Duration{m.GetTimeLimit().AsDuration(), d.TimeLimit} {
		if l > 0 {
			limit = min(limit, l)
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
	}, limit)
	a.m.runSeconds.Update(o.RunTime.Seconds())
	if o.Failure != nil && o.Failure.Code == result.ServerLost {
		a.o.Log.Warn(event.RunConnectionLost, event.Fields{"server": r.Server, "error": o.Failure.Message})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end(r, rn, o)
}

// end records the outcome and wakes the waiting calls. Entries other than the home
// hear of the free slot only if slots were scarce: otherwise they know of free ones.
// It must be called under the lock.
func (a *Agent) end(r fence.Request, rn *run, o fence.Outcome) {
	t, scarce := r.Task, a.fence.Scarce(r.Server)
	if o.Failure != nil && o.Failure.Effect == result.NotRun {
		a.fence.Withdraw(t, a.now())
		rn.read = true
	} else {
		a.fence.Finish(t, o)
	}
	delete(a.runs, t)
	rn.outcome, rn.ended = o, true
	a.noteUnread(t, rn)
	close(rn.done)
	if scarce {
		a.notifyOthers(t.Key)
	}
}

// reply answers a Start with the outcome, a fresh token and the free slots.
func (a *Agent) reply(server string, o fence.Outcome) *connect.Response[peerv1.StartResponse] {
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
	a.m.failed(uint32(o.Failure.Code))
	f := &apiv1.Failure{Code: uint32(o.Failure.Code), Effect: apiv1.Effect(o.Failure.Effect), Message: o.Failure.Message}
	if o.Failure.RetryAfter > 0 {
		f.RetryAfter = durationpb.New(o.Failure.RetryAfter)
	}
	m.Outcome = &peerv1.StartResponse_Failure{Failure: f}
	return connect.NewResponse(m)
}

// token must be called under the lock.
func (a *Agent) token(now fence.Now) *peerv1.Token {
	t := a.fence.IssueToken(now)
	return &peerv1.Token{Incarnation: t.Incarnation, IssuedNs: int64(t.Issued)}
}

// Claim implements poplargw.peer.v1.AgentPeer.Claim.
func (s peerService) Claim(_ context.Context, req *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.AgentClaimResponse], error) {
	a, t, home := s.a, req.Msg.GetTable(), req.Msg.GetHome()
	if t.GetVersion() == 0 || table.Member(t, home) == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("table: must have a version and name the claiming entry"))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	older := a.fence.Table().GetVersion()
	claimed := a.fence.Claim(t, home)
	a.tableChanged(older)
	m := &peerv1.AgentClaimResponse{Agent: a.o.Settings.Node.ID, Incarnation: a.incarnation, StartedUnixMs: a.started.UnixMilli()}
	for _, c := range claimed {
		m.Records = append(m.Records, &peerv1.StartRecord{
			Key:         &peerv1.Key{Caller: c.Task.Key.Caller, SubmissionId: c.Task.Key.ID[:]},
			TaskIndex:   c.Task.Index,
			ResultHeld:  c.Held,
			Running:     c.Running,
			RequestHash: c.Hash,
		})
	}
	a.o.Log.Info(event.AgentClaimed, event.Fields{"entry": home, "table": t.GetVersion(), "records": len(claimed)})
	return connect.NewResponse(m), nil
}
