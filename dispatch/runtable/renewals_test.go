package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Guards against a new start elsewhere while a backend server that does not answer may still run
// the task: its lease must have expired even on a clock that is 2% slow.
func TestRunsOfSilentServerEndOnlyAfterLease(t *testing.T) {
	f := newFixture(t)
	f.orderAndStart(ref("a", 1), 1000)
	f.RenewalDone(f.RenewLease(f.now), true)
	f.advance(testLimits.Lease)
	if events := f.ExpireLease(f.now); len(events) != 0 {
		t.Fatalf("runs ended at the nominal end of the lease: %+v", events)
	}
	f.advance(20 * time.Millisecond)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
}

// Guards against runs that are lost because a few answers of the backend server were lost, and
// against renewing the lease indefinitely on a backend server that is disconnected.
func TestLeaseIsRenewedDespiteLostAnswers(t *testing.T) {
	f := newFixture(t)
	f.advance(testLimits.RenewFor)
	if f.RenewLease(f.now) == 0 {
		t.Error("lease not renewed after a lost answer")
	}
	f.advance(time.Millisecond)
	if f.RenewLease(f.now) != 0 {
		t.Error("lease renewed without an answer for too long")
	}
}

// Guards against tasks of a crashed backend server that wait for a lease that was never renewed
// because no connection could be made. A renewal in flight counts until its outcome is known.
func TestUnsentRenewalDoesNotExtendLease(t *testing.T) {
	f := newFixture(t)
	f.orderAndStart(ref("a", 1), 1000)
	f.RenewalDone(f.RenewLease(f.now), true)
	f.advance(testLimits.RenewFor)
	renewal := f.RenewLease(f.now)
	f.advance(testLimits.Lease - testLimits.RenewFor + 20*time.Millisecond)
	if events := f.ExpireLease(f.now); len(events) != 0 {
		t.Fatalf("runs ended while a renewal is in flight: %+v", events)
	}
	f.RenewalDone(renewal, false)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
}
