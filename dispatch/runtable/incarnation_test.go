package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Guards against runs that seem to continue after the crash of their backend server.
func TestNewIncarnationEndsListedRuns(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.SendCopy(f.now, ref("a", 1))
	f.advance(time.Millisecond)
	f.CopyReturned(f.now, ref("a", 1), true)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.advance(time.Millisecond)
	f.snapshot([]RunningRun{{Ref: ref("a", 1)}}, nil)
	wantSingleEvent(t, f.ApplySnapshot(f.now, Snapshot{Incarnation: testIncarnation + 1, ClockMS: 10}), run.Stopped, result.ServerLost)
	if code := f.order(ref("b", 1), 1); code != result.UnknownServer {
		t.Errorf("order before the new incarnation has announced itself: code %d", code)
	}
}

// Guards against two runs of a task on a backend server that leaves: all runs were ended at once,
// although the server may run them for a moment longer.
func TestRunsOfLeavingServerEndWhenThatIsSeen(t *testing.T) {
	runningFixture := func() *fixture {
		f := newFixture(t)
		f.orderAndStart(ref("a", 1), 6000)
		f.advance(5 * time.Millisecond)
		f.RenewalDone(f.RenewLease(f.now), true)
		f.snapshot([]RunningRun{{Ref: ref("a", 1)}}, nil)
		if !f.ServerLeft(f.now, testServer.Instance) || f.Server(f.now).State != run.Absent {
			t.Fatal("server usable after it left")
		}
		if stops := f.Sweep(f.now); f.Len() != 1 || len(stops) != 1 {
			t.Fatalf("%d runs, stops %v after the server left", f.Len(), stops)
		}
		return f
	}
	f := runningFixture()
	f.advance(5 * time.Millisecond)
	wantSingleEvent(t, f.snapshot(nil, []EndedRun{{Number: 1, Ref: ref("a", 1), Kind: run.Stopped}}), run.Stopped, 0)
	f = runningFixture()
	f.advance(testLimits.Lease)
	if events := f.ExpireLease(f.now); len(events) != 0 {
		t.Fatalf("events %+v before the lease has passed", events)
	}
	f.advance(20 * time.Millisecond)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
}

// Guards against a leave of a former incarnation that makes its successor unusable and stops its runs.
func TestLeaveOfOtherInstanceIsIgnored(t *testing.T) {
	f := newFixture(t)
	if f.ServerLeft(f.now, "i-1@999") || f.order(ref("a", 1), 1) != 0 {
		t.Error("a leave of a former incarnation counts")
	}
}
