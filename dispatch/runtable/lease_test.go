package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// leasedServer is a backend server that does not carry out stops. Everything on it runs until its lease
// ends, which polls and orders extend.
type leasedServer struct {
	*fixture
	lease int64 // end of the lease on the server's clock
}

// poll renews the lease and delivers a snapshot with the given runs.
func (s *leasedServer) poll(running ...run.Ref) {
	lease := s.RenewLease(s.now)
	s.lease = max(s.lease, lease)
	s.RenewalDone(lease, true)
	var list []RunningRun
	for _, r := range running {
		list = append(list, RunningRun{Ref: r})
	}
	s.snapshot(list, nil)
}

// startRun orders a run for the owner, and the server starts it at once.
func (s *leasedServer) startRun(owner string, r run.Ref) result.Code {
	code := s.Order(s.now, Order{Ref: r, Owner: owner, Demand: run.Demand{CPU: 100}, Instance: testServer.Instance, Token: s.now})
	if code != 0 {
		return code
	}
	s.lease = max(s.lease, s.Expiry(r))
	s.Accepted(s.now, time.Millisecond, r, s.clock())
	return 0
}

// pollStep is the time between two polls in these tests.
const pollStep = 20 * time.Millisecond

// Guards against a run of a silent entry that continues while its stop calls are lost, because the
// agent renews the lease for another entry's run: the silent entry starts the task elsewhere.
func TestLostStopOfOrphanedRunDoesNotOutliveLease(t *testing.T) {
	s := &leasedServer{fixture: newFixture(t)}
	s.startRun("e1", ref("a", 1))
	lastConfirmed := s.clock()
	s.Confirmed("e2", s.now)
	s.startRun("e2", ref("b", 1))
	for range 50 {
		s.advance(pollStep)
		s.Confirmed("e2", s.now)
		s.poll(ref("a", 1), ref("b", 1))
		s.Sweep(s.now)
	}
	if limit := lastConfirmed + (testLimits.OwnerSilence + testLimits.Lease).Milliseconds(); s.lease > limit {
		t.Errorf("the lease was extended to %d ms after the owner's newest confirmation, %d ms are allowed", s.lease-lastConfirmed, limit-lastConfirmed)
	}
}

// Guards against renewals that are refused for longer than necessary: once the end of the orphaned run
// is seen, the other runs must not lapse.
func TestRenewalsContinueAfterEndOfOrphanedRun(t *testing.T) {
	s := &leasedServer{fixture: newFixture(t)}
	s.startRun("e1", ref("a", 1))
	s.advance(testLimits.OwnerSilence + pollStep)
	s.Confirmed("e2", s.now)
	s.poll(ref("a", 1))
	s.Sweep(s.now)
	s.snapshot(nil, []EndedRun{{Number: 1, Ref: ref("a", 1), Kind: run.Stopped}})
	if got, want := s.RenewLease(s.now), s.clock()+testLimits.Lease.Milliseconds(); got != want {
		t.Errorf("lease renewed to %d, want %d", got, want)
	}
}

// Guards against orders that extend the lease of an orphaned run whose stop calls are lost, and against
// entries that send such orders again and again because the agent reports free capacity.
func TestOrdersDoNotExtendLeaseOfOrphanedRun(t *testing.T) {
	s := &leasedServer{fixture: newFixture(t)}
	s.startRun("e1", ref("a", 1))
	lastConfirmed := s.clock()
	accepted, refused := 0, 0
	for i := range 40 {
		s.advance(pollStep)
		s.Confirmed("e2", s.now)
		s.poll(ref("a", 1))
		s.Sweep(s.now)
		free := s.FreeFor(s.now, "e2")
		switch code := s.startRun("e2", ref("b", uint64(i)+1)); {
		case code == 0:
			accepted++
			s.processEnds(s.now, []EndedRun{{Number: int64(i) + 1, Ref: ref("b", uint64(i)+1), Kind: run.Done}})
		case code == result.NoFreeSlot && free.CPU == 0:
			refused++
		default:
			t.Fatalf("order refused with code %d while %d CPU are reported as free", code, free.CPU)
		}
	}
	if limit := lastConfirmed + (testLimits.OwnerSilence + testLimits.Lease).Milliseconds(); s.lease > limit {
		t.Errorf("orders extended the lease to %d ms after the owner's newest confirmation, %d ms are allowed", s.lease-lastConfirmed, limit-lastConfirmed)
	}
	if accepted < 20 || refused == 0 {
		t.Errorf("%d orders accepted and %d refused", accepted, refused)
	}
}

// Guards against a run that its owner has stopped and that continues while the stop calls are lost: the
// caller of an abandoned job submits it again to another entry. Runs on a server that carries out the
// stop in time must not be affected.
func TestLostStopAskedByOwnerDoesNotOutliveLease(t *testing.T) {
	s := &leasedServer{fixture: newFixture(t)}
	s.startRun("e1", ref("a", 1))
	s.startRun("e1", ref("b", 1))
	stopped, stoppedAt := s.clock(), s.now
	s.Stop(s.now, ref("a", 1))
	for range 60 {
		s.advance(pollStep)
		s.Confirmed("e1", s.now)
		s.Stop(s.now, ref("a", 1))
		s.poll(ref("a", 1), ref("b", 1))
		if s.now.Sub(stoppedAt) < testLimits.StopPatience-pollStep && s.lease != s.clock()+testLimits.Lease.Milliseconds() {
			t.Fatalf("the lease is not renewed in full %s after the stop", s.now.Sub(stoppedAt))
		}
	}
	if limit := stopped + (testLimits.StopPatience + testLimits.Lease).Milliseconds(); s.lease > limit {
		t.Errorf("the lease was extended to %d ms after the stop, %d ms are allowed", s.lease-stopped, limit-stopped)
	}
}

// Guards against runs that a restarted agent finds and keeps running while stop calls are lost. Their
// owner may have been silent since before the restart, and starts the tasks elsewhere. A run may also
// start from an order of the former process after the first snapshot.
func TestRestartedAgentDoesNotRenewLeaseOfUnclaimedRuns(t *testing.T) {
	s := &leasedServer{fixture: &fixture{Table: New(start(), testLimits), t: t, now: start()}}
	s.Announce(s.now, testServer, testIncarnation)
	s.poll()
	for range 30 {
		s.advance(pollStep)
		if s.now.Sub(start()) < testLimits.OrderExpiry/2 {
			s.poll()
		} else {
			s.poll(ref("a", 1))
		}
		s.Sweep(s.now)
		if s.lease > 0 {
			t.Fatalf("lease renewed %s after the first snapshot", s.now.Sub(start()))
		}
	}
}

// Guards against runs that lapse after a restart of the agent although their owner has claimed them.
func TestRestartedAgentRenewsLeaseOfClaimedRuns(t *testing.T) {
	s := &leasedServer{fixture: &fixture{Table: New(start(), testLimits), t: t, now: start()}}
	s.poll(ref("a", 1))
	s.Confirmed("e1", s.now)
	s.Claim("e1", ref("a", 1), run.Demand{CPU: 100}, s.now, s.now)
	s.advance(testLimits.OrderExpiry + time.Millisecond)
	s.Confirmed("e1", s.now)
	s.poll(ref("a", 1))
	if got, want := s.RenewLease(s.now), s.clock()+testLimits.Lease.Milliseconds(); got != want {
		t.Errorf("lease renewed to %d, want %d", got, want)
	}
}

// Guards against an agent whose restart renews the patience with a run that its owner had stopped: the
// caller submits the abandoned job again at a time that does not depend on the restart.
func TestRestartedAgentDoesNotRenewLeaseOfStoppedRun(t *testing.T) {
	s := &leasedServer{fixture: &fixture{Table: New(start(), testLimits), t: t, now: start()}}
	s.poll(ref("a", 1))
	s.Confirmed("e1", s.now)
	s.Claim("e1", ref("a", 1), run.Demand{CPU: 100}, s.now, s.now)
	s.Stop(s.now, ref("a", 1))
	for range 30 {
		s.advance(pollStep)
		s.Confirmed("e1", s.now)
		s.poll(ref("a", 1))
		if s.lease > 0 {
			t.Fatalf("lease renewed %s after the first snapshot", s.now.Sub(start()))
		}
	}
}

// Guards against a run that nobody stops because the stop reached a restarted agent before a snapshot
// showed the run, which an order of the former process had started late.
func TestStopIsKeptUntilOrdersOfFormerProcessHaveExpired(t *testing.T) {
	s := &leasedServer{fixture: &fixture{Table: New(start(), testLimits), t: t, now: start()}}
	s.poll()
	if s.Stop(s.now, ref("a", 1)) {
		t.Error("an unknown run counts as known")
	}
	s.advance(testLimits.OrderExpiry + pollStep)
	s.poll(ref("a", 1))
	s.Confirmed("e1", s.now)
	s.Claim("e1", ref("a", 1), run.Demand{CPU: 100}, s.now, s.now)
	if stops := s.Sweep(s.now); len(stops) != 1 {
		t.Errorf("runs to stop: %v", stops)
	}
}

// Guards against a stop that arrives late, after the agent was paused, and whose patience counts from its
// arrival: the caller of the job counts from the time at which the entry sent the stop.
func TestPatienceOfLateStopCountsFromOwnersContact(t *testing.T) {
	s := &leasedServer{fixture: newFixture(t)}
	s.startRun("e1", ref("a", 1))
	sent, pause := s.clock(), testLimits.Lease-pollStep
	s.advance(pause)
	s.Stop(s.now, ref("a", 1))
	for range 60 {
		s.snapshot([]RunningRun{{Ref: ref("a", 1)}}, nil)
		s.Confirmed("e1", s.now)
		s.poll(ref("a", 1))
		s.advance(pollStep)
	}
	if limit := sent + (testLimits.OwnerSilence + testLimits.StopPatience + testLimits.Lease).Milliseconds(); s.lease > limit {
		t.Errorf("the lease was extended to %d ms after the stop was sent, %d ms are allowed", s.lease-sent, limit-sent)
	}
}

// Guards against a restarted agent that never answers claims because its backend server does not respond,
// and against one that answers before every lease and order of its former process has expired.
func TestClaimsAreAnsweredWithoutSnapshotAfterFormerLease(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.advance(time.Duration(float64(testLimits.Lease+testLimits.OrderExpiry) / minClockRate))
	if f.CanAnswerClaim(f.now, ref("a", 1)) {
		t.Error("claim answered while a run of the former process may be in progress")
	}
	f.advance(time.Millisecond)
	if !f.CanAnswerClaim(f.now, ref("a", 1)) {
		t.Error("claim not answered after the former lease has expired")
	}
	if e := f.Claim("e1", ref("a", 1), run.Demand{}, f.now, f.now); e.Kind != run.Stopped {
		t.Errorf("claim answered with %s", e.Kind)
	}
}
