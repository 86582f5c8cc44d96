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

// Limits of a start call.
const (
	// callMargin is added to a task's time limit to bound one attempt of the call, so that a
	// silent connection cannot block the call forever.
	callMargin = 5 * time.Second
	// defaultTimeLimit is the time limit of a task whose kind declares none.
	defaultTimeLimit = 60 * time.Second
	// resendWindow is how long after the first send error a start is sent again.
	resendWindow = 5 * time.Second
	// resendDelay is the pause before each resend after the first one.
	resendDelay = 200 * time.Millisecond
	// maxTokenRenewals is how often a start that was refused for a stale token is sent again
	// with a new token.
	maxTokenRenewals = 3
	// tokenMargin is added to the token age before a refusal is checked.
	tokenMargin = 100 * time.Millisecond
	// staleTableDelay is the pause before an attach-only start that was refused for a stale
	// table is sent again.
	staleTableDelay = 100 * time.Millisecond
)

// startGroup is the group of start calls of one period in which this entry was a member. The
// outcomes of calls with an earlier epoch are ignored.
type startGroup struct {
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
}

// reset abandons the start calls of the current group and begins a new one. The agents keep
// the start records.
func (r *startGroup) reset(parent context.Context) {
	if r.cancel != nil {
		r.cancel()
	}
	r.epoch++
	r.ctx, r.cancel = context.WithCancel(parent)
}

// start sends a StartTask to its agent. It reads the agent's token before it checks that this
// entry is fresh. Since the agent refuses a token older than the token age, an entry that is
// cut off can cause starts for at most the freshness period plus the token age, however long
// a call is delayed.
func (h *home) start(now time.Time, t sched.StartTask) []sched.Action {
	a := h.directory.agents[t.Placement.Agent]
	if a == nil {
		f := notRun(result.UnknownServer, "agent %s is unknown to this entry", t.Placement.Agent)
		if t.AttachOnly {
			f = outcomeUnknown("the agent that started a task is no longer known to this entry")
		}
		return h.sched.StartReply(now, t.Ref, sched.StartReply{Failure: f})
	}
	token := a.session.token.Load()
	if !t.AttachOnly && !h.mayStart(time.Now()) {
		h.active = false
		more := h.sched.SetFresh(now, false)
		f := notRunRetry(result.NotReady, shortRetryAfter, "this entry may not start tasks at present")
		return append(more, h.sched.StartReply(now, t.Ref, sched.StartReply{Failure: f})...)
	}
	c := &startCall{e: h.e, session: a.session, task: t, request: h.startRequest(t, token)}
	h.e.metrics.startCount.Inc()
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
		Server: t.Placement.Server, Service: t.Service, Kind: t.Kind, Payload: t.Payload,
		TimeLimit: durationpb.New(timeLimitOf(t)), AttachOnly: t.AttachOnly,
	}
}

func timeLimitOf(t sched.StartTask) time.Duration {
	if t.TimeLimit <= 0 {
		return defaultTimeLimit
	}
	return t.TimeLimit
}

// startCall sends the start of one task as often as needed until the outcome is known.
type startCall struct {
	e       *Entry
	session *agentSession
	task    sched.StartTask
	request *peerv1.StartRequest
	// unresolvedSend is the time of the newest send without a response that may have reached
	// the agent; it is zero if there is none. Attach-only sends do not count.
	unresolvedSend time.Time
	// brokenSince is the time of the first send error.
	brokenSince time.Time
	// tokenRenewals counts the refusals for a stale token.
	tokenRenewals int
	// firstRefusal is the refusal that attach-only sends are checking; see checkRefusal.
	firstRefusal *result.Failure
}

// runAndPost runs the call and posts its outcome to the home loop, unless ctx has ended.
func (c *startCall) runAndPost(ctx context.Context, h *home, epoch uint64) {
	r := c.run(ctx)
	if ctx.Err() != nil {
		return
	}
	_ = h.post(ctx, startDoneMsg{epoch: epoch, ref: c.task.Ref, reply: r})
}

// startDoneMsg carries the outcome of a start call to the home loop.
type startDoneMsg struct {
	epoch uint64
	ref   sched.StartRef
	reply sched.StartReply
}

func (m startDoneMsg) apply(h *home, now time.Time) {
	if m.epoch == h.starts.epoch {
		h.perform(now, h.sched.StartReply(now, m.ref, m.reply))
	}
}

// run sends the start until its outcome is known.
func (c *startCall) run(ctx context.Context) sched.StartReply {
	for {
		sent := time.Now()
		resp, err := c.send(ctx)
		if ctx.Err() != nil {
			return sched.StartReply{Failure: outcomeUnknown("the start call was abandoned")}
		}
		if err != nil {
			if r, ended := c.onSendError(ctx, sent, err); ended {
				return r
			}
			continue
		}
		c.session.storeToken(resp.GetToken())
		if r, ended := c.onResponse(ctx, resp); ended {
			return r
		}
	}
}

// send sends the request once and waits for the response.
func (c *startCall) send(ctx context.Context) (*peerv1.StartResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeLimitOf(c.task)+callMargin)
	defer cancel()
	resp, err := c.e.peers.agentAt(c.session.address).Start(ctx, connect.NewRequest(c.request))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// onSendError handles a send without a response. The agent may have received the request, so
// the same request is sent again over a new connection, where it attaches to the start if
// there was one. It returns true when the call has ended.
func (c *startCall) onSendError(ctx context.Context, sent time.Time, err error) (sched.StartReply, bool) {
	c.e.metrics.wasted.Inc()
	if !neverSent(err) && !c.request.GetAttachOnly() {
		c.unresolvedSend = sent
	}
	first := c.brokenSince.IsZero()
	if first {
		c.brokenSince = time.Now()
	}
	if !connect.IsWireError(err) {
		c.e.peers.resetConnection(c.session.address, sent)
	}
	if !first && c.unresolvedSend.IsZero() && !c.task.AttachOnly {
		f := notRunRetry(result.AgentLost, shortRetryAfter, "agent %s cannot be reached", c.session.agent)
		return sched.StartReply{Failure: f}, true
	}
	if c.session.isReplaced() || !first && c.isSilent() || time.Since(c.brokenSince) > resendWindow || !first && !sleep(ctx, resendDelay) {
		return c.agentLost(), true
	}
	return sched.StartReply{}, false
}

// isSilent reports whether the agent has sent nothing for so long that it counts as lost.
func (c *startCall) isSilent() bool {
	return time.Since(time.Unix(0, c.session.lastContact.Load())) > c.e.opts.Settings.Limits.PeerSilence
}

// agentLost returns the outcome of a start whose agent is lost and may have run the task.
func (c *startCall) agentLost() sched.StartReply {
	return sched.StartReply{Failure: &result.Failure{Code: result.AgentLost, Effect: result.Unknown,
		Message: "agent " + c.session.agent + " was lost while it may have been running a task"}}
}

// onResponse handles a response of the agent. It returns true when the call has ended.
func (c *startCall) onResponse(ctx context.Context, resp *peerv1.StartResponse) (sched.StartReply, bool) {
	if resp.GetFailure() == nil {
		return c.startReply(resp, nil), true
	}
	f := failureFromProto(resp.GetFailure())
	if f.Effect != result.NotRun {
		return c.startReply(resp, f), true
	}
	c.e.metrics.startRefused(f.Code)
	switch {
	case c.firstRefusal != nil:
		return c.onCheckResponse(ctx, resp, f)
	case !c.unresolvedSend.IsZero():
		return c.checkRefusal(ctx, resp, f)
	case f.Code == result.StaleToken && c.renewToken(resp):
		return sched.StartReply{}, false
	}
	return c.startReply(resp, f), true
}

// renewToken puts the agent's new token into the request. It reports whether the request may
// be sent again: this entry must still be allowed to start tasks, unless the request only
// attaches.
func (c *startCall) renewToken(resp *peerv1.StartResponse) bool {
	c.tokenRenewals++
	if c.tokenRenewals > maxTokenRenewals || resp.GetToken().GetIncarnation() != c.session.incarnation {
		return false
	}
	c.request.Token = resp.GetToken()
	cl := c.e.opts.Cluster
	return c.request.GetAttachOnly() || cl.Synced() && cl.Fresh(time.Now())
}

// checkRefusal begins the check of a refusal that followed a send with an unknown outcome.
// The agent may still grant the earlier copy of the request while its token is valid. Once
// the token has expired, an attach-only request tells whether the agent granted that copy:
// if it has no start record of the task then, it will not get one from that copy.
func (c *startCall) checkRefusal(ctx context.Context, resp *peerv1.StartResponse, f *result.Failure) (sched.StartReply, bool) {
	if resp.GetToken().GetIncarnation() != c.session.incarnation {
		return c.agentLost(), true
	}
	c.firstRefusal = f
	if !sleep(ctx, time.Until(c.unresolvedSend.Add(c.e.opts.Settings.Limits.TokenAge+tokenMargin))) {
		return c.agentLost(), true
	}
	c.request.AttachOnly = true
	c.request.Token = c.session.token.Load()
	c.request.Versions = c.e.opts.Cluster.Versions()
	return sched.StartReply{}, false
}

// onCheckResponse handles a refusal of the attach-only request that checkRefusal prepared.
func (c *startCall) onCheckResponse(ctx context.Context, resp *peerv1.StartResponse, f *result.Failure) (sched.StartReply, bool) {
	switch {
	case resp.GetToken().GetIncarnation() != c.session.incarnation:
		return c.agentLost(), true
	case f.Code == result.NoRecord:
		return c.startReply(resp, c.firstRefusal), true
	case f.Code == result.StaleToken && c.renewToken(resp):
		return sched.StartReply{}, false
	case f.Code == result.StaleTable && time.Since(c.unresolvedSend) < resendWindow && sleep(ctx, staleTableDelay):
		c.request.Versions = c.e.opts.Cluster.Versions()
		return sched.StartReply{}, false
	}
	return c.agentLost(), true
}

// startReply converts a response of the agent. It passes on the free slots unless the request
// of the scheduler was attach-only or the agent has a new incarnation.
func (c *startCall) startReply(resp *peerv1.StartResponse, f *result.Failure) sched.StartReply {
	r := sched.StartReply{Failure: f, RunTime: resp.GetRunTime().AsDuration()}
	if f == nil {
		r.Result = resp.GetResult().GetPayload()
	}
	if !c.task.AttachOnly && resp.GetToken().GetIncarnation() == c.session.incarnation {
		r.HasSlots, r.FreeSlots, r.Sequence = true, int(resp.GetFreeSlots()), resp.GetSequence()
	}
	return r
}

// sleep waits for d. It returns false when ctx has ended.
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
