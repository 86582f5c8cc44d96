package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/submission"
)

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
		boottime.Sleep(ctx, claimRetryDelay)
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
