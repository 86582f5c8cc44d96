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
	// claimTimeout bounds one attempt to claim from a member or an agent. A running one answers
	// within milliseconds.
	claimTimeout = time.Second
	// claimRetryDelay is the pause between two attempts.
	claimRetryDelay = 100 * time.Millisecond
)

// claimRound is the newest claim of this entry.
type claimRound struct {
	ctx    context.Context
	cancel context.CancelFunc
	begun  time.Time
}

func (r *claimRound) stop() {
	if r.cancel != nil {
		r.cancel()
	}
}

// beginClaim starts a claim for the newest table, in place of an unfinished one. It asks
// every other member of the table for the keys that the member holds.
func (h *home) beginClaim(now time.Time) {
	h.claim.stop()
	h.claim = claimRound{begun: now}
	h.claim.ctx, h.claim.cancel = context.WithCancel(h.ctx)
	t := h.rec.Table()
	h.e.opts.Log.Info(event.ClaimStarted, event.Fields{"table": t.GetVersion(), "round": h.rec.Round()})
	for _, m := range t.GetMembers() {
		if m.GetId() != h.e.self {
			go h.claimFromMember(h.claim.ctx, h.rec.Round(), t, m)
		}
	}
	h.advanceClaim(now)
}

// advanceClaim asks the agents that have not been asked yet, once all members have answered,
// and ends the claim when it is complete.
func (h *home) advanceClaim(now time.Time) {
	if !h.rec.Claiming() {
		return
	}
	for _, id := range h.rec.Ask(now, h.directory.ids()) {
		go h.claimFromAgent(h.claim.ctx, h.newAgentClaim(h.directory.agents[id]))
	}
	if !h.rec.Settle(now) {
		return
	}
	d := now.Sub(h.claim.begun)
	h.e.metrics.claimSeconds.Update(seconds(d))
	h.e.opts.Log.Info(event.ClaimEnded, event.Fields{
		"table": h.rec.Table().GetVersion(), "duration": d.String(), "agents": len(h.directory.agents),
		"unknown_until": h.rec.UnknownUntil().UTC().Format(time.RFC3339Nano),
	})
	if h.readyFrom.Load() == 0 {
		h.readyFrom.Store(max(h.rec.UnknownUntil().UnixNano(), 1))
	}
	h.settled.Store(h.rec.InTable())
	h.readmitParked(now)
}

// claimFromMember repeats the claim until the member answers. The claimed keys are not served
// until then, since the member may hold some of them.
func (h *home) claimFromMember(ctx context.Context, round uint64, t *peerv1.EntryTable, m *peerv1.EntryMember) {
	for ctx.Err() == nil {
		sent := time.Now()
		answer, err := h.claimMemberOnce(ctx, t, m)
		if err == nil {
			answer.round = round
			_ = h.post(ctx, *answer)
			return
		}
		h.e.peers.onCallError(m.GetAddress(), sent, err)
		sleep(ctx, claimRetryDelay)
	}
}

// claimMemberOnce sends one claim to a member and fetches the member's list of agents.
func (h *home) claimMemberOnce(ctx context.Context, t *peerv1.EntryTable, m *peerv1.EntryMember) (*memberClaimMsg, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
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
	out := &memberClaimMsg{
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

// memberClaimMsg carries the answer of a member to the home loop.
type memberClaimMsg struct {
	round  uint64
	member recovery.Member
	held   []submission.Key
	agents []*peerv1.AgentState
}

func (m memberClaimMsg) apply(h *home, now time.Time) {
	h.directory.merge(now, m.agents)
	h.rec.EntryAnswered(m.round, m.member, m.held, len(m.agents) > 0, h.holds)
	h.advanceClaim(now)
}

// holds reports whether this entry holds the submission.
func (h *home) holds(k submission.Key) bool { return h.held[k] != nil }

// agentClaim is what claimFromAgent needs to know, as of the start of the claim. It has no reference to
// the knownAgent, which only the home loop may use.
type agentClaim struct {
	round   uint64
	table   *peerv1.EntryTable
	session *agentSession
	giveUp  time.Time
	// wasSilent tells that the agent had reported and was already lost before the claim.
	wasSilent bool
}

// newAgentClaim returns the claim of the present round from an agent. Only the home loop may call it.
func (h *home) newAgentClaim(a *knownAgent) agentClaim {
	return agentClaim{
		round: h.rec.Round(), table: h.rec.Table(), session: a.session, giveUp: h.rec.GiveUpAt(), wasSilent: a.lost && a.reported,
	}
}

// claimFromAgent repeats the claim until the agent answers, is replaced by another
// incarnation, or the time giveUp has passed. An agent that was silent before the claim is
// asked only once.
func (h *home) claimFromAgent(ctx context.Context, c agentClaim) {
	for ctx.Err() == nil {
		sent := time.Now()
		answer, err := h.claimAgentOnce(ctx, c.table, c.session.address)
		if err == nil {
			answer.round, answer.agent = c.round, c.session.agent
			_ = h.post(ctx, *answer)
			return
		}
		h.e.peers.onCallError(c.session.address, sent, err)
		if c.wasSilent || time.Now().After(c.giveUp) || c.session.isReplaced() {
			h.e.opts.Log.Warn(event.AgentNotClaimed, event.Fields{"agent": c.session.agent, "error": err.Error()})
			_ = h.post(ctx, agentUnreachableMsg{round: c.round, agent: c.session.agent})
			return
		}
		sleep(ctx, claimRetryDelay)
	}
}

// claimAgentOnce sends one claim to an agent. It skips start records with a malformed key or
// hash.
func (h *home) claimAgentOnce(ctx context.Context, t *peerv1.EntryTable, addr string) (*agentClaimMsg, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	resp, err := h.e.peers.agentAt(addr).Claim(ctx, connect.NewRequest(&peerv1.ClaimRequest{Table: t, Home: h.e.self}))
	if err != nil {
		return nil, err
	}
	out := &agentClaimMsg{started: time.UnixMilli(resp.Msg.GetStartedUnixMs())}
	for _, r := range resp.Msg.GetRecords() {
		key, err := submission.NewKey(r.GetKey().GetCaller(), r.GetKey().GetSubmissionId())
		if err != nil || len(r.GetRequestHash()) != 32 {
			continue
		}
		out.records = append(out.records, recovery.Record{Key: key, Task: r.GetTaskIndex(), Hash: [32]byte(r.GetRequestHash())})
	}
	return out, nil
}

// agentClaimMsg carries the answer of an agent to the home loop.
type agentClaimMsg struct {
	round   uint64
	agent   string
	started time.Time
	records []recovery.Record
}

func (m agentClaimMsg) apply(h *home, now time.Time) {
	h.rec.AgentAnswered(m.round, m.agent, m.started, m.records, h.holds)
	h.advanceClaim(now)
}

// agentUnreachableMsg tells the home loop that an agent did not answer the claim.
type agentUnreachableMsg struct {
	round uint64
	agent string
}

func (m agentUnreachableMsg) apply(h *home, now time.Time) {
	h.rec.AgentUnreachable(m.round, m.agent)
	h.advanceClaim(now)
}

// heldKeysMsg asks the home loop for the keys that this entry holds and whose home in the
// claimant's table is the claimant.
type heldKeysMsg struct {
	table *peerv1.EntryTable
	home  string
	out   chan<- []*peerv1.Key
}

func (m heldKeysMsg) apply(h *home, _ time.Time) {
	keys := []*peerv1.Key{}
	for k := range h.held {
		if table.Home(m.table, k).GetId() == m.home {
			keys = append(keys, &peerv1.Key{Caller: k.Caller, SubmissionId: k.ID[:]})
		}
	}
	m.out <- keys
}

// parkedSubmission is a submission that waits until the claim of its key has ended.
type parkedSubmission struct {
	executeMsg
	until time.Time
}

// park lets a submission wait until the claim of its key has ended, for at most parkTimeout in
// total and not beyond the job's deadline. It answers the submission at once when that time is
// used up or maxParked submissions are parked.
func (h *home) park(now time.Time, m executeMsg) {
	if m.parkUntil.IsZero() {
		m.parkUntil = now.Add(parkTimeout)
		if m.job.Deadline.Before(m.parkUntil) {
			m.parkUntil = m.job.Deadline
		}
	}
	if len(h.parked) >= maxParked || !now.Before(m.parkUntil) {
		m.out <- reply{failure: rangeClosed()}
		return
	}
	h.parked = append(h.parked, parkedSubmission{executeMsg: m, until: m.parkUntil})
}

// readmitParked admits the parked submissions again, after a claim or a change of the table.
func (h *home) readmitParked(now time.Time) {
	waiting := h.parked
	h.parked = nil
	for _, p := range waiting {
		h.admit(now, p.executeMsg)
	}
}

// expireParked answers the parked submissions whose time to wait has passed.
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

// cancelParked answers the parked copies of a cancelled submission.
func (h *home) cancelParked(k submission.Key) {
	kept := h.parked[:0]
	for _, p := range h.parked {
		if p.job.Key != k {
			kept = append(kept, p)
			continue
		}
		p.out <- reply{failure: &result.Failure{Code: result.Cancelled, Effect: result.Unknown,
			Message: "the submission was cancelled while its home was claiming its key range"}}
	}
	clear(h.parked[len(kept):])
	h.parked = kept
}

// rangeClosed returns the failure of a submission whose key is still being claimed. Its
// effect is unknown: a process that has not answered the claim may have started it.
func rangeClosed() *result.Failure {
	return &result.Failure{Code: result.RangeClosed, Effect: result.Unknown, RetryAfter: shortRetryAfter,
		Message: "the home of the submission is still claiming its key range"}
}
