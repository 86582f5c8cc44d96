package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/sched"
)

// Bounds of a start call.
const (
	// callMargin is added to a task's time limit to bound one attempt of the call, so that
	// a silent connection cannot hold it forever.
	callMargin = 5 * time.Second
	// maxTimeLimit bounds the run time of a kind without a time limit.
	maxTimeLimit = 60 * time.Second
	// resendFor is how long a start whose connection broke is sent again.
	resendFor    = 5 * time.Second
	resendPause  = 200 * time.Millisecond
	maxStale     = 3
	tokenMargin  = 100 * time.Millisecond
	refusedPause = 100 * time.Millisecond
)

// startsRun groups the start calls of one membership of this entry.
type startsRun struct {
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
}

// reset abandons the start calls of the earlier membership. Their agents keep the records.
func (r *startsRun) reset(parent context.Context) {
	if r.cancel != nil {
		r.cancel()
	}
	r.epoch++
	r.ctx, r.cancel = context.WithCancel(parent)
}

// start sends a StartTask to its agent. The token is read before freshness is checked:
// the agent refuses a start whose token is older than the token age, so the start ends
// within freshness plus token age whatever delays the call.
func (h *home) start(now time.Time, t sched.StartTask) []sched.Action {
	a := h.dir.agents[t.To.Agent]
	if a == nil {
		f := notRun(result.UnknownServer, "agent %s is not known", t.To.Agent)
		if t.AttachOnly {
			f = outcomeUnknown("the agent that started a task is not known any more")
		}
		return h.sched.StartReply(now, t.Ref, sched.StartReply{Failure: f})
	}
	token := a.cell.token.Load()
	if !t.AttachOnly && !h.mayStart(time.Now()) {
		h.active = false
		more := h.sched.SetActive(now, false)
		f := notRunYet(result.NotReady, retrySoon, "this entry is not fresh")
		return append(more, h.sched.StartReply(now, t.Ref, sched.StartReply{Failure: f})...)
	}
	c := &startCall{e: h.e, cell: a.cell, task: t, request: h.startRequest(t, token)}
	h.e.metrics.starts.Inc()
	if x := h.held[t.Ref.Key]; x != nil {
		x.launched = true
	}
	go c.runAndPost(h.starts.ctx, h, h.starts.epoch)
	return nil
}

func (h *home) startRequest(t sched.StartTask, token *peerv1.Token) *peerv1.StartRequest {
	v := &peerv1.Versions{Table: h.rec.Table().GetVersion(), Config: h.config.GetVersion()}
	return &peerv1.StartRequest{
		Versions: v, Token: token,
		Key:       &peerv1.Key{Caller: t.Ref.Key.Caller, SubmissionId: t.Ref.Key.ID[:]},
		TaskIndex: t.Ref.Task, RequestHash: t.Hash[:],
		Server: t.To.Server, Service: t.Service, Kind: t.Kind, Payload: t.Payload,
		TimeLimit: durationpb.New(limitOf(t)), AttachOnly: t.AttachOnly,
	}
}

func limitOf(t sched.StartTask) time.Duration {
	if t.TimeLimit <= 0 {
		return maxTimeLimit
	}
	return t.TimeLimit
}

// startCall carries one StartTask to its end over as many sends as it takes.
type startCall struct {
	e       *Entry
	cell    *agentCell
	task    sched.StartTask
	request *peerv1.StartRequest
	// ambiguous is the time of the newest send whose outcome is not known.
	ambiguous time.Time
	broken    time.Time
	stale     int
	// refusal is kept while an attach-only call settles whether it is true.
	refusal *result.Failure
}

func (c *startCall) runAndPost(ctx context.Context, h *home, epoch uint64) {
	r := c.run(ctx)
	if ctx.Err() != nil {
		return
	}
	_ = h.post(ctx, startDone{epoch: epoch, ref: c.task.Ref, reply: r})
}

// startDone brings the outcome of a start call to the home loop.
type startDone struct {
	epoch uint64
	ref   sched.StartRef
	reply sched.StartReply
}

func (m startDone) apply(h *home, now time.Time) {
	if m.epoch == h.starts.epoch {
		h.do(now, h.sched.StartReply(now, m.ref, m.reply))
	}
}

func (c *startCall) run(ctx context.Context) sched.StartReply {
	for {
		sent := time.Now()
		resp, err := c.send(ctx)
		if ctx.Err() != nil {
			return sched.StartReply{Failure: outcomeUnknown("the start was abandoned")}
		}
		if err != nil {
			if r, ended := c.onBroken(ctx, sent, err); ended {
				return r
			}
			continue
		}
		c.cell.renew(resp.GetToken())
		if r, ended := c.onResponse(ctx, resp); ended {
			return r
		}
	}
}

func (c *startCall) send(ctx context.Context) (*peerv1.StartResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limitOf(c.task)+callMargin)
	defer cancel()
	resp, err := c.e.peers.agentAt(c.cell.address).Start(ctx, connect.NewRequest(c.request))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// onBroken handles a send without a response. The agent may have received it, so the
// same request is sent again over a fresh connection, where it attaches.
func (c *startCall) onBroken(ctx context.Context, sent time.Time, err error) (sched.StartReply, bool) {
	c.e.metrics.wasted.Inc()
	if !neverSent(err) && !c.request.GetAttachOnly() {
		c.ambiguous = sent
	}
	first := c.broken.IsZero()
	if first {
		c.broken = time.Now()
	}
	if !connect.IsWireError(err) {
		c.e.peers.resetAfter(c.cell.address, sent)
	}
	if !first && c.ambiguous.IsZero() && !c.task.AttachOnly {
		f := notRunYet(result.AgentLost, retrySoon, "agent %s cannot be reached", c.cell.agent)
		return sched.StartReply{Failure: f}, true
	}
	if c.cell.isReplaced() || !first && c.isSilent() || time.Since(c.broken) > resendFor || !first && !sleep(ctx, resendPause) {
		return c.lost(), true
	}
	return sched.StartReply{}, false
}

// isSilent tells whether the agent has sent nothing for so long that it counts as lost.
func (c *startCall) isSilent() bool {
	return time.Since(time.Unix(0, c.cell.heard.Load())) > c.e.o.Settings.Limits.PeerSilence
}

func (c *startCall) lost() sched.StartReply {
	return sched.StartReply{Failure: &result.Failure{Code: result.AgentLost, Effect: result.Unknown,
		Message: "agent " + c.cell.agent + " was lost while it may have run a task"}}
}

func (c *startCall) onResponse(ctx context.Context, resp *peerv1.StartResponse) (sched.StartReply, bool) {
	if resp.GetFailure() == nil {
		return c.reply(resp, nil), true
	}
	f := failureFromProto(resp.GetFailure())
	if f.Effect != result.NotRun {
		return c.reply(resp, f), true
	}
	c.e.metrics.refused(f.Code)
	switch {
	case c.refusal != nil:
		return c.onSettled(ctx, resp, f)
	case !c.ambiguous.IsZero():
		return c.settle(ctx, resp, f)
	case f.Code == result.StaleToken && c.renewed(resp):
		return sched.StartReply{}, false
	}
	return c.reply(resp, f), true
}

// renewed puts the agent's fresh token into the request, when this entry may still
// decide to start.
func (c *startCall) renewed(resp *peerv1.StartResponse) bool {
	c.stale++
	if c.stale > maxStale || resp.GetToken().GetIncarnation() != c.cell.incarnation {
		return false
	}
	c.request.Token = resp.GetToken()
	cl := c.e.o.Cluster
	return c.request.GetAttachOnly() || cl.Synced() && cl.Fresh(time.Now())
}

// settle checks a refusal that followed a send with unknown outcome. The earlier copy
// may still be granted while its token is valid; after that, an agent that has no record
// of the task never will have one from it.
func (c *startCall) settle(ctx context.Context, resp *peerv1.StartResponse, f *result.Failure) (sched.StartReply, bool) {
	if resp.GetToken().GetIncarnation() != c.cell.incarnation {
		return c.lost(), true
	}
	c.refusal = f
	if !sleep(ctx, time.Until(c.ambiguous.Add(c.e.o.Settings.Limits.TokenAge+tokenMargin))) {
		return c.lost(), true
	}
	c.request.AttachOnly = true
	c.request.Token = c.cell.token.Load()
	c.request.Versions = c.e.o.Cluster.Versions()
	return sched.StartReply{}, false
}

func (c *startCall) onSettled(ctx context.Context, resp *peerv1.StartResponse, f *result.Failure) (sched.StartReply, bool) {
	switch {
	case resp.GetToken().GetIncarnation() != c.cell.incarnation:
		return c.lost(), true
	case f.Code == result.NoRecord:
		return c.reply(resp, c.refusal), true
	case f.Code == result.StaleToken && c.renewed(resp):
		return sched.StartReply{}, false
	case f.Code == result.StaleTable && time.Since(c.ambiguous) < resendFor && sleep(ctx, refusedPause):
		c.request.Versions = c.e.o.Cluster.Versions()
		return sched.StartReply{}, false
	}
	return c.lost(), true
}

func (c *startCall) reply(resp *peerv1.StartResponse, f *result.Failure) sched.StartReply {
	r := sched.StartReply{Failure: f, RunTime: resp.GetRunTime().AsDuration()}
	if f == nil {
		r.Result = resp.GetResult().GetPayload()
	}
	if !c.task.AttachOnly && resp.GetToken().GetIncarnation() == c.cell.incarnation {
		r.HasSlots, r.FreeSlots, r.Sequence = true, int(resp.GetFreeSlots()), resp.GetSequence()
	}
	return r
}

// sleep waits for d and tells whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
