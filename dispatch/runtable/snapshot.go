package runtable

import (
	"cmp"
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Snapshot lists the runs of the backend server at one time. Incarnation identifies the server's
// process, and ClockMS is the server's clock at that time, in milliseconds. Requested is when the agent
// asked for the snapshot.
type Snapshot struct {
	Requested   time.Time
	Incarnation int64
	ClockMS     int64
	Running     []RunningRun
	Ended       []EndedRun
	// UnreadableRuns is the number of runs in progress that the server listed in a form which does not tell
	// which runs they are. Any run may be one of them, so if it is not 0, no run is missing from Running.
	UnreadableRuns int
	// UnreadableEnds is the number of ended runs that were listed in such a form.
	UnreadableEnds int
}

// Complete reports whether a run that is not in Running is not in progress.
func (s *Snapshot) Complete() bool { return s.UnreadableRuns == 0 }

// UnknownPercent is the completed part of a run if the backend server did not tell it.
const UnknownPercent = -1

// RunningRun is a run in progress, with its newest checkpoint and the completed part in percent. An empty
// checkpoint and UnknownPercent leave what an earlier snapshot has shown.
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
	i := slices.Index(t.pendingRenewals, end)
	if i < 0 {
		t.formerRenewalDone(end)
		return
	}
	t.pendingRenewals = slices.Delete(t.pendingRenewals, i, i+1)
	if delivered {
		t.latestLease = max(t.latestLease, end)
	}
}

// formerRenewalDone records that a renewal has returned whose lease end is a time on the clock of a
// former incarnation.
func (t *Table) formerRenewalDone(end int64) {
	if i := slices.Index(t.formerRenewals, end); i >= 0 {
		t.formerRenewals = slices.Delete(t.formerRenewals, i, i+1)
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
	if len(t.runs) == 0 {
		return nil
	}
	passed := t.clock.known && t.clock.lowerBound(now) > t.latestPossibleLease()
	if passed {
		t.hasSnapshot = false
	}
	if passed && !t.Responding(now) {
		t.noteSilence(t.clock.readAt)
	}
	how := ending{basis: EndLeasePassed, kind: run.Stopped, code: result.ServerLost, clockMS: t.latestPossibleLease()}
	var events []Event
	for _, r := range t.runs {
		if !r.unsettled && passed || r.unsettled && t.lapsed(now, r, passed) {
			events = append(events, t.end(now, r, how, r.checkpoint))
		}
	}
	return events
}

// ApplySnapshot applies a snapshot that was received at now and returns the resulting events. One that is
// not complete shows the server's clock and the runs that it lists, but not that any other run is over.
func (t *Table) ApplySnapshot(now time.Time, snapshot Snapshot) []Event {
	if t.IsFormer(snapshot.Incarnation) && !snapshot.Requested.After(t.incarnationSince) {
		return nil
	}
	events := t.setIncarnation(now, snapshot.Incarnation)
	t.useRestored()
	if t.silent != nil && snapshot.Requested.After(t.silent.At) {
		t.silent = nil
	}
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
	t.incomplete = !snapshot.Complete()
	if !t.incomplete {
		events = append(events, t.endMissingRuns(now, snapshot, seen)...)
		t.claimsReady = true
		t.listedMS = snapshot.ClockMS
	}
	t.hasSnapshot = t.hasSnapshot || t.notSentAt.IsZero() || snapshot.Requested.After(t.notSentAt)
	if t.unknownOrders {
		// Renewals for a former incarnation may have granted the longest lease, because their ends are
		// times on another clock. One that is in flight may still do so.
		t.unknownOrders = len(t.formerRenewals) > 0
		t.latestLease = max(t.latestLease, snapshot.ClockMS+t.initialLease.Milliseconds())
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
			t.retainListedEnd(now, e)
			continue
		}
		events = append(events, t.end(now, r, ending{basis: EndListed, kind: e.Kind}, cmp.Or(e.Checkpoint, r.checkpoint)))
	}
	return events
}

// recordRunning updates a run that a snapshot lists, and adds it without an owner if the table does
// not have it. A run whose end had been inferred is stopped.
func (t *Table) recordRunning(now time.Time, snapshot Snapshot, s RunningRun) {
	r := t.runs[s.Ref]
	if r == nil {
		if e, ended := t.retainedEnds[s.Ref]; ended {
			if t.contradicts(e, snapshot.ClockMS) {
				t.stopUnexpected(now, e, snapshot)
			}
			return
		}
		r = &record{ref: s.Ref, phase: running, accepted: true, visibleByMS: snapshot.ClockMS, firstSeen: now, runningSince: now, found: true}
		if t.earlyStops[s.Ref] {
			t.requestStop(now, r)
		}
		t.runs[s.Ref] = r
	}
	r.listedAt = snapshot.Requested
	if s.Percent != UnknownPercent {
		r.percent = s.Percent
	}
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	t.accept(now, r, snapshot.ClockMS)
}

// endMissingRuns ends the runs that a snapshot should list and does not. A snapshot may have been
// taken before a start whose answer arrived first, so only one with a later clock counts. The answer
// may also have come from a new incarnation with a lower clock, before the agent knew of it, so the
// snapshot must have been requested after the answer.
func (t *Table) endMissingRuns(now time.Time, snapshot Snapshot, seen map[run.Ref]bool) []Event {
	var events []Event
	for ref, r := range t.runs {
		if seen[ref] || !r.endsWithout(snapshot) {
			continue
		}
		how := ending{basis: EndMissing, kind: run.Stopped, code: result.ServerLost, clockMS: snapshot.ClockMS}
		switch {
		case r.unsettled:
			how.basis = EndStopConfirmed
		case !r.accepted:
			how.kind, how.code = run.NotRun, result.StartTooLate
		}
		events = append(events, t.end(now, r, how, r.checkpoint))
	}
	return events
}

// endsWithout reports whether the run has ended, or never starts, if the snapshot does not list it.
func (r *record) endsWithout(snapshot Snapshot) bool {
	switch {
	case r.unsettled:
		return r.settled(snapshot)
	case r.accepted && !snapshot.Requested.After(r.runningSince):
		return false
	}
	return snapshot.ClockMS > r.visibleByMS+1
}

// Sweep returns the runs to stop because their owner is silent, no entry has claimed them or the
// backend server has started anew, and forgets old ends. A run is returned each time until it has
// ended, so that lost stops are repeated.
func (t *Table) Sweep(now time.Time) []run.Ref {
	t.forgetCopies(now)
	for ref, e := range t.retainedEnds {
		if now.Sub(e.at) > t.limits.EndRetention && t.copies[ref] == nil {
			delete(t.retainedEnds, ref)
		}
	}
	stops := t.lateStops(now)
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
