package runtable

import (
	"cmp"
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

// ApplySnapshot applies a snapshot that was received at now and returns the resulting events. One that is
// not complete shows the server's clock and the runs that it lists, but not that any other run is over.
func (t *Table) ApplySnapshot(now time.Time, snapshot Snapshot) []Event {
	t.Tick(now)
	if t.IsFormer(snapshot.Incarnation) && !snapshot.Requested.After(t.incarnationSince) {
		return nil
	}
	events := t.setIncarnation(now, snapshot.Incarnation)
	t.useRestored()
	if t.silent != nil && snapshot.Requested.After(t.silent.At) {
		t.silent = nil
	}
	fresh := !t.clock.known || snapshot.ClockMS >= t.clock.ms
	t.clock.observe(now, &t.uptime, snapshot.ClockMS)
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
	t.hasSnapshot = t.hasSnapshot || t.snapshotAfter.IsZero() || snapshot.Requested.After(t.snapshotAfter)
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
			if t.contradicts(e, snapshot) {
				t.stopUnexpected(now, e, snapshot)
			}
			return
		}
		r = &record{ref: s.Ref, phase: running, accepted: true, visibleByMS: snapshot.ClockMS, firstSeen: now, runningSince: now, found: true}
		r.usage = t.usage.Add(now, "", 0)
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
