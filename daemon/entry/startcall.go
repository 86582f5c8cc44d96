package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/sched"
)

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
	if c.session.isReplaced() || time.Since(c.brokenSince) > resendWindow {
		return c.agentLost(), true
	}
	if first {
		// The first resend is immediate.
		return sched.StartReply{}, false
	}
	if c.isSilent() || !boottime.Sleep(ctx, resendDelay) {
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
	if !boottime.Sleep(ctx, time.Until(c.unresolvedSend.Add(c.e.opts.Settings.Limits.TokenAge+tokenMargin))) {
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
	case f.Code == result.StaleTable && time.Since(c.unresolvedSend) < resendWindow && boottime.Sleep(ctx, staleTableDelay):
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
