package entry

import (
	"context"
	"time"

	"poplargw.example/daemon/event"
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
