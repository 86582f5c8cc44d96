package runtable

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Claim answers an entry that asks what has become of a run which it ordered at orderedAt. The
// entry becomes the owner of a run that is in the table. If the demand that it names is out of range, the run counts
// as using more than the backend server has until it ends.
func (t *Table) Claim(owner string, ref run.Ref, demand run.Demand, now, orderedAt time.Time) run.Event {
	if !demand.Valid() {
		demand = run.Demand{CPU: run.MaxAmount, MemoryMB: run.MaxAmount, GPU: run.MaxAmount}
	}
	if r := t.runs[ref]; r != nil {
		r.owner = owner
		r.demand = demand
		return run.Event{Ref: ref, Kind: run.Running}
	}
	if e, ok := t.retainedEnds[ref]; ok {
		return e.event
	}
	if t.wouldKnow(now, orderedAt) {
		// The order has not arrived, and the link that would have carried it is closed.
		return run.Event{Ref: ref, Kind: run.NotRun, Reason: result.NoRecord}
	}
	return run.Event{Ref: ref, Kind: run.Stopped, Reason: result.NoRecord}
}

// orderTimeMargin covers the travel times of an order and of a claim, by which the time of an order
// is uncertain.
const orderTimeMargin = time.Second

// wouldKnow reports whether the table would have a record of a run that was ordered at the given
// time, had it started. It would not if an earlier process of the agent may have started the run
// and seen its end, or if the end may already be forgotten.
func (t *Table) wouldKnow(now, orderedAt time.Time) bool {
	return orderedAt.Sub(t.startedAt) > orderTimeMargin && now.Sub(orderedAt) < t.limits.EndRetention-orderTimeMargin
}

// CanAnswerClaims reports whether claims of runs that the table knows can be answered. After its own
// start, an agent first needs a snapshot, or has to wait until every lease and order of its earlier
// process has expired.
func (t *Table) CanAnswerClaims(now time.Time) bool {
	return t.claimsReady || t.formerRunsOver(now)
}

// CanAnswerClaim reports whether a claim of the given run can be answered. A run that the table does
// not know may still start from an order of an earlier process of the agent, until a snapshot is newer
// than every such order.
func (t *Table) CanAnswerClaim(now time.Time, ref run.Ref) bool {
	if !t.CanAnswerClaims(now) {
		return false
	}
	_, ended := t.retainedEnds[ref]
	return t.runs[ref] != nil || ended || t.listsAllRuns() || t.formerRunsOver(now)
}

// listsAllRuns reports whether the newest complete snapshot is newer than every order that is unknown to
// the table, so that the table has all runs.
func (t *Table) listsAllRuns() bool { return !t.unknownOrders && t.listedMS > t.quarantineEnd }

// formerRunsOver reports whether every lease and order of the agent's earlier process has expired
// since the start of this one.
func (t *Table) formerRunsOver(now time.Time) bool {
	expiry := time.Duration(float64(t.limits.Lease+t.limits.OrderExpiry) / minClockRate)
	return t.uptime.Since(0, now) > expiry
}

// ownerHeardWithin is how long ago the newest message of an entry with runs may have been for RunsListed. Such entries send one
// each 90 ms at the latest. An entry begins a job 350 ms after the start of its registrars at the earliest, by a frame that is up to
// 140 ms old, so that it learns of runs whose owner has died together with the former registrars.
const ownerHeardWithin = 200 * time.Millisecond

// RunsListed reports whether the backend server has listed its runs since the agent's start, the list is newer than every order
// of the agent's former processes, and no run is left that no entry has claimed, whose entry is silent, or that a former process
// ordered and that is being stopped.
func (t *Table) RunsListed(now time.Time) bool {
	if !t.hasSnapshot || !t.listsAllRuns() || t.incomplete || t.HasUnsettled() {
		return false
	}
	for _, r := range t.runs {
		if r.owner == "" || r.found && r.stopRequested || now.Sub(t.confirmedAt[r.owner]) > ownerHeardWithin {
			return false
		}
	}
	return true
}
