package entry

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// cancelMsg cancels a submission.
type cancelMsg struct {
	key submission.Key
	out chan<- cancelReply
}

type cancelReply struct {
	notStarted int
	holder     *peerv1.EntryMember
	notHome    bool
}

func (m cancelMsg) apply(h *home, now time.Time) {
	if x := h.held[m.key]; x != nil {
		n, actions := h.sched.Cancel(now, m.key)
		h.do(now, actions)
		m.out <- cancelReply{notStarted: n}
		return
	}
	h.cancelParked(m.key)
	holder, ok := h.elsewhere(m.key)
	m.out <- cancelReply{holder: holder, notHome: !ok}
}

// elsewhere returns the member that holds a key of this home, if any. It returns false
// when this entry is not the home.
func (h *home) elsewhere(k submission.Key) (*peerv1.EntryMember, bool) {
	if !h.rec.Member() || table.Home(h.rec.Table(), k).GetId() != h.e.self {
		return nil, false
	}
	if d := h.rec.Decide(k, maxTasks); d.Verdict == recovery.Forward {
		return table.Member(h.rec.Table(), d.Holder.ID), true
	}
	return nil, true
}

// lookupMsg asks for what is known of a submission.
type lookupMsg struct {
	key submission.Key
	out chan<- lookupReply
}

type lookupReply struct {
	outcome *poplargwv1.GetOutcomeResponse
	holder  *peerv1.EntryMember
	notHome bool
}

func (m lookupMsg) apply(h *home, now time.Time) {
	if x := h.held[m.key]; x != nil {
		m.out <- lookupReply{outcome: x.lookup()}
		return
	}
	holder, ok := h.elsewhere(m.key)
	if holder != nil || !ok {
		m.out <- lookupReply{holder: holder, notHome: !ok}
		return
	}
	m.out <- lookupReply{outcome: h.unheld(m.key)}
}

func (x *execution) lookup() *poplargwv1.GetOutcomeResponse {
	if !x.done {
		return &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_PENDING}
	}
	r := x.outcome()
	if x.failure != nil {
		return &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_FAILED, Failure: failureToProto(r.failure)}
	}
	out := &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_COMPLETE}
	if r.results != nil {
		out.Answer = answerToProto(r.results)
	}
	return out
}

// unheld describes a key of this home that no member holds.
func (h *home) unheld(k submission.Key) *poplargwv1.GetOutcomeResponse {
	out := &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_UNKNOWN}
	if v := h.rec.Decide(k, maxTasks).Verdict; v != recovery.Fresh {
		out.Failure = failureToProto(outcomeUnknown("the submission may have been started before this entry became its home"))
	}
	return out
}
