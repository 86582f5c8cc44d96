package entry

import (
	"context"
	"time"

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
