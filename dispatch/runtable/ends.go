package runtable

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// EndBasis is how the end of a run was established.
type EndBasis int

// Ways to establish the end of a run. All but EndListed infer it.
const (
	// EndListed means that the backend server listed the run as ended.
	EndListed EndBasis = iota + 1
	// EndMissing means that a snapshot which should have listed the run did not.
	EndMissing
	// EndLeasePassed means that the lease has expired on a backend server that does not answer.
	EndLeasePassed
	// EndNewIncarnation means that the backend server has started anew.
	EndNewIncarnation
	// EndStopConfirmed means that a new incarnation of the backend server has answered a stop of the
	// run and does not list it.
	EndStopConfirmed
	// EndRefused means that the start was refused or could not be sent.
	EndRefused
)

var endBasisNames = map[EndBasis]string{
	EndListed: "listed by the server", EndMissing: "missing from a snapshot", EndLeasePassed: "lease passed",
	EndNewIncarnation: "new incarnation", EndRefused: "refused",
	EndStopConfirmed: "stopped at a new incarnation",
}

// String returns the name that logs show; "unknown" for other values.
func (b EndBasis) String() string {
	if name, ok := endBasisNames[b]; ok {
		return name
	}
	return "unknown"
}

// retainedEnd is the last event of an ended run, kept for EndRetention.
type retainedEnd struct {
	event run.Event
	basis EndBasis
	at    time.Time
	// incarnation is the backend server's when the end was established, and clockMS the time on its
	// clock, or 0 if a snapshot of any time that lists the run contradicts the end.
	incarnation int64
	clockMS     int64
}

// UnexpectedRun is a run that the backend server listed although its end had been inferred.
type UnexpectedRun struct {
	Ref   run.Ref
	Kind  run.EventKind // the end that was reported
	Basis EndBasis
	// Running is true if the backend server listed the run as in progress, and false if it listed the
	// run as ended.
	Running bool
}

// TakeUnexpectedRuns returns the unexpected runs that were listed since the last call. Those in
// progress are in the table without an owner and are being stopped.
func (t *Table) TakeUnexpectedRuns() []UnexpectedRun {
	list := t.unexpected
	t.unexpected = nil
	return list
}

// contradicts reports whether a run that the snapshot lists, of the current incarnation, cannot have ended as retained. An
// answer to a poll that was sent before the end was established may be older than the end.
func (t *Table) contradicts(e retainedEnd, snapshot Snapshot) bool {
	if e.incarnation != t.incarnation {
		return true
	}
	return e.basis != EndListed && (snapshot.Requested.After(e.at) || snapshot.ClockMS > e.clockMS)
}

// stopUnexpected adds a run whose end had been established wrongly. Its demand is not known, so that
// it counts as using all capacity until it has ended.
func (t *Table) stopUnexpected(now time.Time, e retainedEnd, snapshot Snapshot) {
	t.unexpected = append(t.unexpected, UnexpectedRun{Ref: e.event.Ref, Kind: e.event.Kind, Basis: e.basis, Running: true})
	t.runs[e.event.Ref] = &record{
		ref: e.event.Ref, phase: stopping, accepted: true, visibleByMS: snapshot.ClockMS, listedAt: snapshot.Requested,
		firstSeen: now, runningSince: now, stopRequested: true, usage: t.usage.Add(now, "", 0),
	}
}

// retainListedEnd retains the end of a run that is not in the table. A backend server that stopped
// answering may list later how a run ended whose lease had passed; all other inferred ends say that
// it had no such run.
func (t *Table) retainListedEnd(now time.Time, e EndedRun) {
	if earlier, ok := t.retainedEnds[e.Ref]; ok && earlier.basis != EndListed && earlier.basis != EndLeasePassed {
		t.unexpected = append(t.unexpected, UnexpectedRun{Ref: e.Ref, Kind: earlier.event.Kind, Basis: earlier.basis})
	}
	event := run.Event{Ref: e.Ref, Kind: e.Kind, Checkpoint: e.Checkpoint}
	t.retainedEnds[e.Ref] = retainedEnd{event: event, basis: EndListed, at: now, incarnation: t.incarnation}
}

// ending is how a run ended.
type ending struct {
	basis EndBasis
	kind  run.EventKind
	code  result.Code
	// clockMS is the time on the backend server's clock that the basis refers to, or 0.
	clockMS int64
}

// end removes a run and retains its end for an entry that asks later.
func (t *Table) end(now time.Time, r *record, how ending, checkpoint string) Event {
	delete(t.runs, r.ref)
	e := run.Event{
		Ref: r.ref, Kind: how.kind, Reason: how.code, Checkpoint: checkpoint, Beside: t.usage.Remove(now, r.usage, t.server.Capacity.CPU),
	}
	t.retainedEnds[r.ref] = retainedEnd{event: e, basis: how.basis, at: now, incarnation: t.incarnation, clockMS: how.clockMS}
	return Event{Owner: r.owner, Event: e, Basis: how.basis}
}
