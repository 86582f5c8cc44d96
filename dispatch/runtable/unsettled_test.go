package runtable

import (
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

const newIncarnation = testIncarnation + 1

// newSnapshot applies a snapshot of a new incarnation, whose clock starts at 10 ms.
func (f *fixture) newSnapshot(running ...RunningRun) []Event {
	f.advance(5 * time.Millisecond)
	return f.ApplySnapshot(f.now, Snapshot{Requested: f.now, Incarnation: newIncarnation, ClockMS: f.clock() - 5190, Running: running})
}

// unsettledFixture returns a table with a run of 6,000 CPU whose order was sent and not listed when
// the backend server started anew.
func unsettledFixture(t *testing.T, answered bool) *fixture {
	f := newFixture(t)
	f.order(ref("a", 1), 6000)
	f.SendCopy(f.now, ref("a", 1))
	f.advance(time.Millisecond)
	if answered {
		f.CopyReturned(f.now, ref("a", 1), true)
		f.Accepted(f.now, time.Millisecond, ref("a", 1), 10)
	}
	return f
}

// stop sends the stops of a sweep, has them answered, and returns the runs.
func (f *fixture) stop() []run.Ref {
	f.advance(time.Millisecond)
	sent := f.now
	stops := f.Sweep(f.now)
	f.advance(time.Millisecond)
	for _, r := range stops {
		f.StopAnswered(f.now, r, sent)
	}
	return stops
}

// Guards against two runs of a task whose order was carried out by a new incarnation of the backend
// server before the agent knew of that incarnation: all runs were ended at once, the entry started
// the task elsewhere, and nothing stopped the run that the new incarnation listed.
func TestRunOnNewIncarnationEndsOnlyAfterStop(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			f := unsettledFixture(t, answered)
			if events := f.newSnapshot(RunningRun{Ref: ref("a", 1)}); len(events) != 0 {
				t.Fatalf("events %+v while the run is listed", events)
			}
			s := testServer
			s.Instance = "i-1@1001"
			f.Announce(f.now, s, newIncarnation)
			f.advance(200 * time.Millisecond)
			f.newSnapshot(RunningRun{Ref: ref("a", 1)})
			if f.Server(f.now).State != run.Absent || f.Free().CPU != 4000 {
				t.Errorf("state %d, %d CPU free with an unsettled run", f.Server(f.now).State, f.Free().CPU)
			}
			if !answered {
				f.CopyReturned(f.now, ref("a", 1), false)
			}
			if stops := f.stop(); !slices.Equal(stops, []run.Ref{ref("a", 1)}) {
				t.Fatalf("runs to stop: %v", stops)
			}
			if events := f.newSnapshot(RunningRun{Ref: ref("a", 1)}); len(events) != 0 {
				t.Fatalf("events %+v while the run is listed", events)
			}
			wantSingleEvent(t, f.newSnapshot(), run.Stopped, result.ServerLost)
			f.Confirmed("e1", f.now)
			if state := f.Server(f.now).State; state != run.Ready {
				t.Errorf("state %d after the run has ended", state)
			}
			if stops := f.Sweep(f.now); len(stops) != 0 {
				t.Errorf("runs to stop: %v", stops)
			}
		})
	}
}

// Guards against ending an unsettled run while a copy of its order is outstanding, after a stop that
// was sent to the former incarnation, or by a snapshot that was requested before the stop's answer.
func TestUnsettledRunNeedsStopAndLaterSnapshot(t *testing.T) {
	f := unsettledFixture(t, false)
	early := f.now
	f.newSnapshot()
	f.StopAnswered(f.now, ref("a", 1), early)
	f.stop()
	if events := f.newSnapshot(); len(events) != 0 {
		t.Fatalf("events %+v while a copy is outstanding", events)
	}
	f.CopyReturned(f.now, ref("a", 1), false)
	if events := f.newSnapshot(); len(events) != 0 {
		t.Fatalf("events %+v without a stop after the last copy", events)
	}
	requested := f.now
	f.stop()
	before := Snapshot{Requested: requested, Incarnation: newIncarnation, ClockMS: f.clock()}
	if events := f.ApplySnapshot(f.now, before); len(events) != 0 {
		t.Fatalf("events %+v from a snapshot requested before the stop", events)
	}
	f.advance(time.Millisecond)
	after := Snapshot{Requested: f.now, Incarnation: newIncarnation, ClockMS: f.clock()}
	wantSingleEvent(t, f.ApplySnapshot(f.now, after), run.Stopped, result.ServerLost)
}

// Guards against a late snapshot of the former incarnation that shows a run as missing which the new
// one has started and answered: the new clock was lower, so any snapshot seemed to be later.
func TestSnapshotOfFormerIncarnationDoesNotEndRunOfNewOne(t *testing.T) {
	f := unsettledFixture(t, true)
	late := Snapshot{Requested: f.now, Incarnation: testIncarnation, ClockMS: f.clock() + 5}
	if events := f.ApplySnapshot(f.now, late); len(events) != 0 {
		t.Errorf("events %+v", events)
	}
	f.newSnapshot(RunningRun{Ref: ref("a", 1)})
	if events := f.ApplySnapshot(f.now, late); len(events) != 0 || f.incarnation != newIncarnation {
		t.Errorf("events %+v, incarnation %d", events, f.incarnation)
	}
	f.Announce(f.now, testServer, testIncarnation)
	if f.incarnation != newIncarnation {
		t.Error("a delayed announcement of the former incarnation counts")
	}
}

// Guards against a copy of an order that is sent after the end of its run, or to an incarnation on
// whose clock its expiry means nothing.
func TestCopiesAreNotSentAfterEndOrToNewIncarnation(t *testing.T) {
	f := unsettledFixture(t, false)
	if !f.SendCopy(f.now, ref("a", 1)) {
		t.Error("second copy not sent")
	}
	f.newSnapshot()
	if f.SendCopy(f.now, ref("a", 1)) {
		t.Error("copy sent to a new incarnation")
	}
	f = unsettledFixture(t, false)
	f.Rejected(f.now, ref("a", 1), result.NoFreeSlot)
	if f.SendCopy(f.now, ref("a", 1)) {
		t.Error("copy sent after the end")
	}
}

// Guards against an order without an answer that a new incarnation carries out after its run was
// reported as not run.
func TestOrdersOfFormerIncarnationAreStopped(t *testing.T) {
	f := unsettledFixture(t, false)
	f.CopyReturned(f.now, ref("a", 1), false)
	f.advance(160 * time.Millisecond)
	wantSingleEvent(t, f.snapshot(nil, nil), run.NotRun, result.StartTooLate)
	f.Confirmed("e1", f.now)
	if stops := f.stop(); len(stops) != 0 {
		t.Errorf("%v stopped at the incarnation that shows it as not run", stops)
	}
	f.newSnapshot()
	if stops := f.stop(); !slices.Equal(stops, []run.Ref{ref("a", 1)}) {
		t.Errorf("runs to stop: %v", stops)
	}
	if stops := f.stop(); len(stops) != 0 {
		t.Errorf("%v stopped again after an answer", stops)
	}
}

// Guards against memory that grows with orders that got no answer.
func TestOrderCopiesAreBounded(t *testing.T) {
	f := newFixture(t)
	for i := range uint64(maxOrderCopies + 10) {
		f.order(ref("a", i+1), 1)
		f.SendCopy(f.now, ref("a", i+1))
		f.CopyReturned(f.now, ref("a", i+1), false)
		f.Rejected(f.now, ref("a", i+1), result.NoFreeSlot)
	}
	if n := len(f.copies); n > maxOrderCopies {
		t.Errorf("%d orders are kept, at most %d are allowed", n, maxOrderCopies)
	}
	f.advance(lateCallLimit + time.Millisecond)
	f.Sweep(f.now)
	if n := len(f.copies); n != 0 {
		t.Errorf("%d orders are kept after their copies can no longer arrive", n)
	}
}

// Guards against runs that never end because a new incarnation announced itself and then did not
// answer, and against ending them while a copy of their order may still be carried out.
func TestUnsettledRunOfSilentServerEnds(t *testing.T) {
	f := unsettledFixture(t, false)
	f.CopyReturned(f.now, ref("a", 1), false)
	f.Announce(f.now, testServer, newIncarnation)
	f.advance(lateCallLimit)
	if events := f.ExpireLease(f.now); len(events) != 0 {
		t.Fatalf("events %+v while a copy may be carried out", events)
	}
	f.advance(testLimits.MaxLease + 300*time.Millisecond)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
}
