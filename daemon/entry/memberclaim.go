package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

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
		boottime.Sleep(ctx, claimRetryDelay)
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
