package runtable

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Snapshot lists the runs of the backend server at one time. Incarnation identifies the server's
// process, and ClockMS is the server's clock at that time, in milliseconds.
type Snapshot struct {
	Incarnation int64
	ClockMS     int64
	Running     []RunningRun
	Ended       []EndedRun
}

// RunningRun is a run in progress, with its newest checkpoint and the completed part in percent.
type RunningRun struct {
	Ref        run.Ref
	Checkpoint string
	Percent    int
}

// EndedRun is a run that has ended. Numbers rise within one incarnation of the backend server.
type EndedRun struct {
	Number     int64
	Ref        run.Ref
	Kind       run.EventKind
	Checkpoint string
}

// LastEnd returns the highest processed number of an ended run. The backend server may forget ends
// up to it.
func (t *Table) LastEnd() int64 { return t.lastEnd }

// RenewLease returns the time, on the backend server's clock in milliseconds, to which a renewal
// sent at now may extend the lease. It returns 0 before the clock is known, and after RenewFor
// without an answer: otherwise the time at which all runs have certainly ended would be postponed
// indefinitely. It also returns 0 once leaseLimit has passed, and until the table has all runs.
func (t *Table) RenewLease(now time.Time) int64 {
	if !t.Responding(now) || !t.listsAllRuns() {
		return 0
	}
	clock := t.clock.at(now)
	end := min(clock+t.limits.Lease.Milliseconds(), t.leaseLimit())
	if end <= clock {
		return 0
	}
	t.pendingRenewals = append(t.pendingRenewals, end)
	return end
}

// RenewalDone records the outcome of the renewal to the given lease end: delivered is true if it
// may have reached the backend server. A renewal for which no connection could be made has not
// reached it and does not extend the lease. Several renewals may be in flight.
func (t *Table) RenewalDone(end int64, delivered bool) {
	if i := slices.Index(t.pendingRenewals, end); i >= 0 {
		t.pendingRenewals = slices.Delete(t.pendingRenewals, i, i+1)
	}
	if delivered {
		t.latestLease = max(t.latestLease, end)
	}
}

// latestPossibleLease returns the latest lease end that the backend server knows or may still
// receive.
func (t *Table) latestPossibleLease() int64 {
	latest := t.latestLease
	for _, end := range t.pendingRenewals {
		latest = max(latest, end)
	}
	return latest
}

// ExpireLease ends all runs once the newest lease has certainly expired on a backend server that
// does not answer.
func (t *Table) ExpireLease(now time.Time) []Event {
	if len(t.runs) == 0 || !t.clock.known || t.clock.lowerBound(now) <= t.latestPossibleLease() {
		return nil
	}
	t.hasSnapshot = false
	return t.endAllRuns(now)
}

// ApplySnapshot applies a snapshot that was received at now and returns the resulting events.
func (t *Table) ApplySnapshot(now time.Time, snapshot Snapshot) []Event {
	events := t.setIncarnation(now, snapshot.Incarnation)
	t.useRestored()
	fresh := !t.clock.known || snapshot.ClockMS >= t.clock.ms
	t.clock.observe(now, snapshot.ClockMS)
	events = append(events, t.processEnds(now, snapshot.Ended)...)
	if !fresh {
		return events
	}
	seen := make(map[run.Ref]bool, len(snapshot.Running))
	for _, s := range snapshot.Running {
		seen[s.Ref] = true
		t.recordRunning(now, snapshot, s)
	}
	events = append(events, t.endMissingRuns(now, snapshot, seen)...)
	t.claimsReady = true
	t.hasSnapshot = true
	if t.unknownOrders {
		t.unknownOrders = false
		t.latestLease = max(t.latestLease, snapshot.ClockMS+t.limits.Lease.Milliseconds())
		t.quarantineEnd = snapshot.ClockMS + t.limits.OrderExpiry.Milliseconds()
	}
	if t.listsAllRuns() {
		clear(t.earlyStops)
	}
	return events
}

// processEnds ends the runs that have ended since the last snapshot and retains the ends of runs
// that are not in the table.
func (t *Table) processEnds(now time.Time, ends []EndedRun) []Event {
	var events []Event
	for _, e := range ends {
		if e.Number <= t.lastEnd {
			continue
		}
		t.lastEnd = e.Number
		r := t.runs[e.Ref]
		if r == nil {
			t.retainedEnds[e.Ref] = retainedEnd{event: run.Event{Ref: e.Ref, Kind: e.Kind, Checkpoint: e.Checkpoint}, at: now}
			continue
		}
		events = append(events, t.end(now, r, e.Kind, 0, e.Checkpoint))
	}
	return events
}

// recordRunning updates a run that a snapshot lists, and adds it without an owner if the table does
// not have it.
func (t *Table) recordRunning(now time.Time, snapshot Snapshot, s RunningRun) {
	r := t.runs[s.Ref]
	if r == nil {
		if _, ended := t.retainedEnds[s.Ref]; ended {
			return
		}
		r = &record{ref: s.Ref, phase: running, accepted: true, visibleByMS: snapshot.ClockMS, firstSeen: now, runningSince: now, found: true}
		if t.earlyStops[s.Ref] {
			t.requestStop(now, r)
		}
		t.runs[s.Ref] = r
	}
	r.percent = s.Percent
	r.checkpoint = s.Checkpoint
	t.accept(now, r, snapshot.ClockMS)
}

// endMissingRuns ends the runs that a snapshot should list and does not. A snapshot may have been
// taken before a start whose answer arrived first, so only one with a later clock counts.
func (t *Table) endMissingRuns(now time.Time, snapshot Snapshot, seen map[run.Ref]bool) []Event {
	var events []Event
	for ref, r := range t.runs {
		if seen[ref] || snapshot.ClockMS <= r.visibleByMS+1 {
			continue
		}
		kind, code := run.Stopped, result.ServerLost
		if !r.accepted {
			kind, code = run.NotRun, result.StartTooLate
		}
		events = append(events, t.end(now, r, kind, code, r.checkpoint))
	}
	return events
}

// Sweep returns the runs to stop because their owner is silent or no entry has claimed them, and
// forgets old ends. A run is returned each time until it has ended, so that lost stops are
// repeated.
func (t *Table) Sweep(now time.Time) []run.Ref {
	for ref, e := range t.retainedEnds {
		if now.Sub(e.at) > t.limits.EndRetention {
			delete(t.retainedEnds, ref)
		}
	}
	var stops []run.Ref
	for ref, r := range t.runs {
		if r.stopRequested || t.orphaned(now, r) {
			t.requestStop(now, r)
			stops = append(stops, ref)
		}
	}
	return stops
}

// orphaned reports whether the run has been unclaimed for longer than ClaimWindow, or its owner
// silent for longer than OwnerSilence.
func (t *Table) orphaned(now time.Time, r *record) bool { return now.After(t.orphanedAt(r)) }

// Claim answers an entry that asks what has become of a run which it ordered at orderedAt. The
// entry becomes the owner of a run that is in the table.
func (t *Table) Claim(owner string, ref run.Ref, demand run.Demand, now, orderedAt time.Time) run.Event {
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

// listsAllRuns reports whether the newest snapshot is newer than every order that is unknown to the
// table, so that the table has all runs.
func (t *Table) listsAllRuns() bool { return !t.unknownOrders && t.clock.ms > t.quarantineEnd }

// formerRunsOver reports whether every lease and order of the agent's earlier process has expired
// since the start of this one.
func (t *Table) formerRunsOver(now time.Time) bool {
	expiry := time.Duration(float64(t.limits.Lease+t.limits.OrderExpiry) / minClockRate)
	return now.Sub(t.startedAt) > expiry
}

// Progress returns the progress of the owner's runs.
func (t *Table) Progress(now time.Time, owner string) []Progress {
	var all []Progress
	for ref, r := range t.runs {
		if r.owner == owner && r.accepted {
			all = append(all, Progress{Ref: ref, Percent: r.percent, Age: now.Sub(r.runningSince)})
		}
	}
	return all
}
