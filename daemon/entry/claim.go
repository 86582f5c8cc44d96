package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

const (
	// claimCall bounds one Claim call; a member or agent that is alive answers within milliseconds.
	claimCall  = time.Second
	claimPause = 100 * time.Millisecond
)

// claimRun is the claim in progress.
type claimRun struct {
	ctx    context.Context
	cancel context.CancelFunc
	begun  time.Time
}

func (r *claimRun) stop() {
	if r.cancel != nil {
		r.cancel()
	}
}

// beginClaim asks every other member of the newest table for the keys that it holds.
func (h *home) beginClaim(now time.Time) {
	h.claim.stop()
	h.claim = claimRun{begun: now}
	h.claim.ctx, h.claim.cancel = context.WithCancel(h.ctx)
	t := h.rec.Table()
	h.e.o.Log.Info(event.ClaimStarted, event.Fields{"table": t.GetVersion(), "round": h.rec.Round()})
	for _, m := range t.GetMembers() {
		if m.GetId() != h.e.self {
			go h.askMember(h.claim.ctx, h.rec.Round(), t, m)
		}
	}
	h.advanceClaim(now)
}

// advanceClaim asks agents that were not asked yet and ends the claim when it is complete.
func (h *home) advanceClaim(now time.Time) {
	if !h.rec.Open() {
		return
	}
	for _, id := range h.rec.Ask(now, h.dir.ids()) {
		go h.askAgent(h.claim.ctx, h.rec.Round(), h.rec.Table(), h.dir.agents[id], h.rec.GiveUpAt())
	}
	if !h.rec.Settle(now) {
		return
	}
	d := now.Sub(h.claim.begun)
	h.e.metrics.claims.Update(seconds(d))
	h.e.o.Log.Info(event.ClaimEnded, event.Fields{
		"table": h.rec.Table().GetVersion(), "duration": d.String(), "agents": len(h.dir.agents),
		"unknown_until": h.rec.UnknownUntil().UTC().Format(time.RFC3339Nano),
	})
	if h.readyFrom.Load() == 0 {
		h.readyFrom.Store(max(h.rec.UnknownUntil().UnixNano(), 1))
	}
	h.settled.Store(h.rec.Member())
	h.unpark(now)
}

// askMember repeats the claim until the member answers: while it may hold keys of the
// range, the range stays closed.
func (h *home) askMember(ctx context.Context, round uint64, t *peerv1.EntryTable, m *peerv1.EntryMember) {
	for ctx.Err() == nil {
		sent := time.Now()
		answer, err := h.claimMember(ctx, t, m)
		if err == nil {
			answer.round = round
			_ = h.post(ctx, *answer)
			return
		}
		h.e.peers.repair(m.GetAddress(), sent, err)
		sleep(ctx, claimPause)
	}
}

func (h *home) claimMember(ctx context.Context, t *peerv1.EntryTable, m *peerv1.EntryMember) (*memberClaimed, error) {
	ctx, cancel := context.WithTimeout(ctx, claimCall)
	defer cancel()
	c := h.e.peers.entryAt(m.GetAddress())
	held, err := c.Claim(ctx, connect.NewRequest(&peerv1.ClaimRequest{Table: t, Home: h.e.self}))
	if err != nil {
		return nil, err
	}
	known, err := c.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Agents: true}))
	if err != nil {
		return nil, err
	}
	out := &memberClaimed{
		member: recovery.Member{ID: m.GetId(), Incarnation: m.GetIncarnation()},
		agents: known.Msg.GetAgents(),
	}
	for _, k := range held.Msg.GetHeld() {
		if key, err := submission.NewKey(k.GetCaller(), k.GetSubmissionId()); err == nil {
			out.held = append(out.held, key)
		}
	}
	return out, nil
}

// memberClaimed is the answer of a member.
type memberClaimed struct {
	round  uint64
	member recovery.Member
	held   []submission.Key
	agents []*peerv1.AgentState
}

func (m memberClaimed) apply(h *home, now time.Time) {
	h.dir.merge(now, m.agents)
	h.rec.EntryAnswered(m.round, m.member, m.held, len(m.agents) > 0, h.holds)
	h.advanceClaim(now)
}

func (h *home) holds(k submission.Key) bool { return h.held[k] != nil }

// askAgent repeats the claim until the agent answers or giveUp has passed. An agent that
// was silent before the claim is asked once.
func (h *home) askAgent(ctx context.Context, round uint64, t *peerv1.EntryTable, a *agentEntry, giveUp time.Time) {
	silent := a.lost && a.reported
	for ctx.Err() == nil {
		sent := time.Now()
		answer, err := h.claimAgent(ctx, t, a.cell.address)
		if err == nil {
			answer.round, answer.agent = round, a.cell.agent
			_ = h.post(ctx, *answer)
			return
		}
		h.e.peers.repair(a.cell.address, sent, err)
		if silent || time.Now().After(giveUp) || a.cell.isReplaced() {
			h.e.o.Log.Warn(event.AgentNotClaimed, event.Fields{"agent": a.cell.agent, "error": err.Error()})
			_ = h.post(ctx, agentUnreachable{round: round, agent: a.cell.agent})
			return
		}
		sleep(ctx, claimPause)
	}
}

func (h *home) claimAgent(ctx context.Context, t *peerv1.EntryTable, addr string) (*agentClaimed, error) {
	ctx, cancel := context.WithTimeout(ctx, claimCall)
	defer cancel()
	resp, err := h.e.peers.agentAt(addr).Claim(ctx, connect.NewRequest(&peerv1.ClaimRequest{Table: t, Home: h.e.self}))
	if err != nil {
		return nil, err
	}
	out := &agentClaimed{started: time.UnixMilli(resp.Msg.GetStartedUnixMs())}
	for _, r := range resp.Msg.GetRecords() {
		key, err := submission.NewKey(r.GetKey().GetCaller(), r.GetKey().GetSubmissionId())
		if err != nil || len(r.GetRequestHash()) != 32 {
			continue
		}
		out.records = append(out.records, recovery.Record{Key: key, Task: r.GetTaskIndex(), Hash: [32]byte(r.GetRequestHash())})
	}
	return out, nil
}

// agentClaimed is the answer of an agent.
type agentClaimed struct {
	round   uint64
	agent   string
	started time.Time
	records []recovery.Record
}

func (m agentClaimed) apply(h *home, now time.Time) {
	h.rec.AgentAnswered(m.round, m.agent, m.started, m.records, h.holds)
	h.advanceClaim(now)
}

// agentUnreachable says that an agent did not answer the claim.
type agentUnreachable struct {
	round uint64
	agent string
}

func (m agentUnreachable) apply(h *home, now time.Time) {
	h.rec.AgentUnreachable(m.round, m.agent)
	h.advanceClaim(now)
}

// heldMsg asks for the keys that this entry holds and whose home in the table is the claimant.
type heldMsg struct {
	table *peerv1.EntryTable
	home  string
	out   chan<- []*peerv1.Key
}

func (m heldMsg) apply(h *home, _ time.Time) {
	keys := []*peerv1.Key{}
	for k := range h.held {
		if table.Home(m.table, k).GetId() == m.home {
			keys = append(keys, &peerv1.Key{Caller: k.Caller, SubmissionId: k.ID[:]})
		}
	}
	m.out <- keys
}

// parked is a submission that waits for the claim of its range.
type parked struct {
	executeMsg
	until time.Time
}

func (h *home) park(now time.Time, m executeMsg) {
	if m.parkUntil.IsZero() {
		m.parkUntil = now.Add(parkLimit)
		if m.job.Deadline.Before(m.parkUntil) {
			m.parkUntil = m.job.Deadline
		}
	}
	if len(h.parked) >= maxParked || !now.Before(m.parkUntil) {
		m.out <- reply{failure: rangeClosed()}
		return
	}
	h.parked = append(h.parked, parked{executeMsg: m, until: m.parkUntil})
}

// unpark decides anew about the parked submissions.
func (h *home) unpark(now time.Time) {
	waiting := h.parked
	h.parked = nil
	for _, p := range waiting {
		h.admit(now, p.executeMsg)
	}
}

func (h *home) expireParked(now time.Time) {
	kept := h.parked[:0]
	for _, p := range h.parked {
		if now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		p.out <- reply{failure: rangeClosed()}
	}
	clear(h.parked[len(kept):])
	h.parked = kept
}

// cancelParked answers the copies of a submission that wait for a claim.
func (h *home) cancelParked(k submission.Key) {
	kept := h.parked[:0]
	for _, p := range h.parked {
		if p.job.Key != k {
			kept = append(kept, p)
			continue
		}
		p.out <- reply{failure: &result.Failure{Code: result.Cancelled, Effect: result.Unknown,
			Message: "the submission was cancelled while its home was claiming its range"}}
	}
	clear(h.parked[len(kept):])
	h.parked = kept
}

// rangeClosed answers a submission whose range is still being claimed. A process that
// has not answered may have started it.
func rangeClosed() *result.Failure {
	return &result.Failure{Code: result.RangeClosed, Effect: result.Unknown, RetryAfter: retrySoon,
		Message: "the home of the submission is still claiming its range"}
}
