package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// wantCrash checks that the table reports one crash of testServer with a single run of the given age.
func wantCrash(t *testing.T, f *fixture, task string, age time.Duration) {
	t.Helper()
	crashes := f.Crashes(f.now, 0)
	if len(crashes) != 1 || crashes[0].Instance != testServer.Instance || len(crashes[0].Suspects) != 1 {
		t.Fatalf("crashes %+v, want one of %s with one run", crashes, testServer.Instance)
	}
	if s := crashes[0].Suspects[0]; s.Task != task || s.Kind != "kind" || s.Age != age {
		t.Errorf("suspect %+v, want task %s of kind \"kind\", %s old", s, task, age)
	}
}

// startRun orders a run that the backend server starts at once.
func (f *fixture) startRun(task string) run.Ref {
	f.t.Helper()
	r := ref(task, 1)
	if code := f.Order(f.now, Order{Ref: r, Owner: "e1", Kind: "kind", Demand: run.Demand{CPU: 100}, Instance: testServer.Instance, Token: f.now}); code != 0 {
		f.t.Fatalf("order refused with code %d", code)
	}
	f.Accepted(f.now, time.Millisecond, r, f.clock())
	return r
}

// Guards against learning of a crash only when the lease has passed: refused connections show it at once, and the
// runs stay until their end is certain.
func TestRefusedConnectionReportsCrashOnce(t *testing.T) {
	f := newFixture(t)
	f.startRun("j.0.0.0")
	f.advance(10 * time.Millisecond)
	if !f.ServerGone(f.now) || f.ServerGone(f.now) {
		t.Error("the crash was not reported exactly once")
	}
	wantCrash(t, f, "j.0.0.0", 10*time.Millisecond)
	if f.Len() != 1 {
		t.Error("the run was ended")
	}
	f.Announce(f.now, testServer, testIncarnation+1)
	if n := len(f.Crashes(f.now, 0)); n != 1 {
		t.Errorf("%d crashes after the return of the backend server, want 1", n)
	}
}

// silentServer returns a fixture whose backend server has become silent with a run, until the lease has passed.
func silentServer(t *testing.T) *fixture {
	f := newFixture(t)
	f.startRun("j.0.0.0")
	f.advance(20 * time.Millisecond)
	f.snapshot([]RunningRun{{Ref: ref("j.0.0.0", 1)}}, nil)
	f.advance(2 * time.Second)
	if events := f.ExpireLease(f.now); len(events) != 1 {
		t.Fatalf("events %+v, want the end of the run", events)
	}
	return f
}

// Guards against an unnoticed crash of a backend server that becomes silent and comes back as a new process.
func TestReturnOfSilentServerReportsCrash(t *testing.T) {
	f := silentServer(t)
	f.Announce(f.now, testServer, testIncarnation+1)
	wantCrash(t, f, "j.0.0.0", 20*time.Millisecond)
}

// Guards against taking a stall of a backend server for a crash: after some, an innocent job would be given up. A
// later crash of the same process counts.
func TestStallOfServerIsNoCrash(t *testing.T) {
	f := silentServer(t)
	if n := len(f.Crashes(f.now, 0)); n > 0 {
		t.Fatalf("%d crashes reported while the backend server was silent", n)
	}
	f.snapshot(nil, nil)
	f.advance(300 * time.Millisecond)
	f.snapshot(nil, nil)
	f.Confirmed("e1", f.now)
	f.startRun("k.0.0.0")
	f.advance(10 * time.Millisecond)
	f.ServerGone(f.now)
	wantCrash(t, f, "k.0.0.0", 10*time.Millisecond)
}

// Guards against counting an order that never began as a crash under its task.
func TestUnansweredOrderIsNoSuspect(t *testing.T) {
	f := newFixture(t)
	if code := f.order(ref("j.0.0.0", 1), 100); code != 0 {
		t.Fatalf("order refused with code %d", code)
	}
	if f.ServerGone(f.now) || len(f.Crashes(f.now, 0)) > 0 {
		t.Error("a backend server that had started nothing was reported as crashed")
	}
}

// Guards against an unnoticed crash of a backend server that is back before its lease has passed.
func TestNewIncarnationReportsCrash(t *testing.T) {
	f := newFixture(t)
	f.startRun("j.0.0.0")
	f.advance(20 * time.Millisecond)
	f.snapshot([]RunningRun{{Ref: ref("j.0.0.0", 1)}}, nil)
	f.advance(50 * time.Millisecond)
	f.Announce(f.now, testServer, testIncarnation+1)
	wantCrash(t, f, "j.0.0.0", 20*time.Millisecond)
}

// Guards against suspecting the runs of a backend server that has shut down gracefully, and those of one that had
// none.
func TestGracefulEndIsNoCrash(t *testing.T) {
	f := newFixture(t)
	if f.ServerGone(f.now) {
		t.Error("a backend server without runs was reported as crashed")
	}
	f.startRun("j.0.0.0")
	f.ServerLeft(f.now, testServer.Instance)
	if f.ServerGone(f.now) || len(f.Crashes(f.now, 0)) > 0 {
		t.Error("a backend server that has left was reported as crashed")
	}
}

// Guards against blaming runs for a crash when the lease of a backend server that answers passes only because it
// is not renewed, for the sake of an orphaned run whose stops are lost.
func TestWithheldRenewalIsNoCrash(t *testing.T) {
	f := newFixture(t)
	f.startRun("j.0.0.0")
	ended := false
	for range 100 {
		f.advance(20 * time.Millisecond)
		f.RenewalDone(f.RenewLease(f.now), true)
		if !ended {
			f.snapshot([]RunningRun{{Ref: ref("j.0.0.0", 1)}}, nil)
		}
		f.Sweep(f.now)
		ended = ended || len(f.ExpireLease(f.now)) > 0
		if crashes := f.Crashes(f.now, 0); len(crashes) > 0 {
			t.Fatalf("a crash was recorded: %+v", crashes)
		}
	}
	if !ended {
		t.Error("the run has not ended")
	}
}

// Guards against counting one crash twice: the lease of the new incarnation passed while a stop of an unsettled
// run was lost, and the run was then suspected of another crash.
func TestLostStopOfUnsettledRunIsNoSecondCrash(t *testing.T) {
	f := newFixture(t)
	f.startRun("j.0.0.0")
	f.advance(10 * time.Millisecond)
	f.ServerGone(f.now)
	f.Announce(f.now, testServer, newIncarnation)
	for range 100 {
		f.advance(20 * time.Millisecond)
		f.RenewalDone(f.RenewLease(f.now), true)
		f.newSnapshot()
		f.Sweep(f.now)
		f.ExpireLease(f.now)
	}
	if crashes := f.Crashes(f.now, 0); len(crashes) != 1 {
		t.Errorf("crashes %+v, want one", crashes)
	}
}

// Guards against counting one crash twice under a task: a run that may have been lost with the former incarnation stays in
// the table until a stop is answered, and the new one may refuse connections or crash meanwhile.
func TestCrashCountsOnceForUnsettledRun(t *testing.T) {
	f := newFixture(t)
	f.startRun("j.0.0.0")
	f.advance(2 * time.Millisecond)
	f.Announce(f.now, testServer, testIncarnation+1)
	if f.Len() != 1 {
		t.Fatal("the run was ended, want it unsettled")
	}
	f.advance(10 * time.Millisecond)
	f.ServerGone(f.now)
	if n := len(f.Crashes(f.now, 0)); n != 1 {
		t.Errorf("%d crashes reported, want 1", n)
	}
}
