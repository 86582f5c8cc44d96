package entry

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// cancelMsg asks the home loop to cancel a submission.
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
		h.perform(now, actions)
		m.out <- cancelReply{notStarted: n}
		return
	}
	h.cancelParked(m.key)
	holder, ok := h.findHolder(m.key)
	m.out <- cancelReply{holder: holder, notHome: !ok}
}

// findHolder returns the other member that holds a key of this home, or nil if there is
// none. It returns false when this entry is not the home of the key.
func (h *home) findHolder(k submission.Key) (*peerv1.EntryMember, bool) {
	if !h.rec.InTable() || table.Home(h.rec.Table(), k).GetId() != h.e.self {
		return nil, false
	}
	if d := h.rec.Decide(k, maxTasks); d.Verdict == recovery.Forward {
		return table.Member(h.rec.Table(), d.Holder.ID), true
	}
	return nil, true
}

// lookupMsg asks the home loop what it knows about a submission.
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
		m.out <- lookupReply{outcome: x.outcomeResponse()}
		return
	}
	holder, ok := h.findHolder(m.key)
	if holder != nil || !ok {
		m.out <- lookupReply{holder: holder, notHome: !ok}
		return
	}
	m.out <- lookupReply{outcome: h.unheldOutcome(m.key)}
}

// outcomeResponse describes the state of the execution.
func (x *execution) outcomeResponse() *poplargwv1.GetOutcomeResponse {
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

// unheldOutcome describes the state of a key of this home that no member holds. The response
// contains a failure when a task of the submission may have been started.
func (h *home) unheldOutcome(k submission.Key) *poplargwv1.GetOutcomeResponse {
	out := &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_UNKNOWN}
	if v := h.rec.Decide(k, maxTasks).Verdict; v != recovery.NotStarted {
		out.Failure = failureToProto(outcomeUnknown("the submission may have been started before this entry became its home"))
	}
	return out
}
