package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Guards against a second run of a task whose order got no answer and was carried out late. Until
// the expiry has passed and a snapshot does not list the run, the run is not reported as "not run"
// and keeps its capacity.
func TestUnansweredOrderEndsWithSnapshotAfterExpiry(t *testing.T) {
	f := newFixture(t)
	if code := f.order(ref("a", 1), 6000); code != 0 {
		t.Fatal(code)
	}
	f.advance(100 * time.Millisecond)
	if events := f.snapshot(nil, nil); len(events) != 0 {
		t.Fatalf("events before the expiry: %+v", events)
	}
	f.advance(60 * time.Millisecond)
	wantSingleEvent(t, f.snapshot(nil, nil), run.NotRun, result.StartTooLate)
	if free := f.Free(); free.CPU != 10_000 {
		t.Errorf("free CPU is %d", free.CPU)
	}
}

// Guards against a snapshot that was taken before a start, and arrives after its answer, ending the
// run.
func TestOlderSnapshotDoesNotEndRun(t *testing.T) {
	f := newFixture(t)
	before := f.clock()
	f.advance(5 * time.Millisecond)
	f.orderAndStart(ref("a", 1), 1000)
	events := f.ApplySnapshot(f.now, Snapshot{Incarnation: testIncarnation, ClockMS: before})
	if len(events) != 0 || f.Len() != 1 {
		t.Errorf("events %+v, %d runs", events, f.Len())
	}
}

// Guards against a backend server to which no start can be sent becoming usable again by a snapshot
// that was requested before, and against refusing orders after a later one.
func TestUnsentStartNeedsLaterSnapshot(t *testing.T) {
	f := newFixture(t)
	earlier := Snapshot{Requested: f.now, Incarnation: testIncarnation, ClockMS: f.clock()}
	f.advance(time.Millisecond)
	f.StartNotSent(f.now)
	f.ApplySnapshot(f.now, earlier)
	if code := f.order(ref("a", 1), 1); code != result.UnknownServer || f.Server(f.now).State != run.Absent {
		t.Errorf("code %d, state %d after a start could not be sent", code, f.Server(f.now).State)
	}
	f.advance(time.Millisecond)
	f.snapshot(nil, nil)
	if code := f.order(ref("a", 1), 1); code != 0 {
		t.Errorf("code %d after a later snapshot", code)
	}
}
