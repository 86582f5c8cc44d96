package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

var testLimits = Limits{
	OrderExpiry: 150 * time.Millisecond, MinOrderExpiry: 60 * time.Millisecond, Lease: 400 * time.Millisecond, MaxLease: time.Second, RenewFor: 200 * time.Millisecond, OwnerSilence: 300 * time.Millisecond,
	ClaimWindow: 300 * time.Millisecond, StopPatience: 490 * time.Millisecond, EndRetention: 5 * time.Second, OfferHold: 12 * time.Millisecond,
}

const testIncarnation = 1000

var testServer = run.Server{
	Instance: "i-1@1000", Service: "svc", Domain: "left", State: run.Ready, Capacity: run.Demand{CPU: 10_000, MemoryMB: 1000},
}

// fixture is a table with a manual clock. The backend server's clock starts at 5,000 ms.
type fixture struct {
	*Table
	t   *testing.T
	now time.Time
}

func start() time.Time { return time.Unix(1000, 0) }

func newFixture(t *testing.T) *fixture {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	f.snapshot(nil, nil)
	f.advance(200 * time.Millisecond)
	f.snapshot(nil, nil)
	f.Confirmed("e1", f.now)
	return f
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) clock() int64 { return 5000 + f.now.Sub(start()).Milliseconds() }

func (f *fixture) snapshot(running []RunningRun, ended []EndedRun) []Event {
	return f.ApplySnapshot(f.now, Snapshot{Requested: f.now, Incarnation: testIncarnation, ClockMS: f.clock(), Running: running, Ended: ended})
}

func (f *fixture) order(ref run.Ref, cpu int64) result.Code {
	return f.Order(f.now, Order{Ref: ref, Owner: "e1", Demand: run.Demand{CPU: cpu}, Instance: testServer.Instance, Token: f.now})
}

func ref(task string, n uint64) run.Ref { return run.Ref{Task: task, Run: n} }

func wantSingleEvent(t *testing.T, events []Event, want run.EventKind, code result.Code) {
	t.Helper()
	if len(events) != 1 || events[0].Kind != want || events[0].Reason != code {
		t.Fatalf("events are %+v, want one of kind %s with code %d", events, want, code)
	}
}

// Guards against starts beyond the backend server's capacity, also while a stop is in progress.
func TestCapacityIsHeldUntilEndIsSeen(t *testing.T) {
	f := newFixture(t)
	if code := f.order(ref("a", 1), 6000); code != 0 {
		t.Fatalf("first order: code %d", code)
	}
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	if code := f.order(ref("b", 1), 6000); code != result.NoFreeSlot {
		t.Errorf("order beyond the free capacity: code %d", code)
	}
	if !f.Stop(f.now, ref("a", 1)) {
		t.Error("Stop returned false for a known run")
	}
	if code := f.order(ref("b", 1), 6000); code != result.NoFreeSlot {
		t.Errorf("order while the stop is in progress: code %d", code)
	}
	f.advance(20 * time.Millisecond)
	events := f.snapshot(nil, []EndedRun{{Number: 1, Ref: ref("a", 1), Kind: run.Stopped}})
	wantSingleEvent(t, events, run.Stopped, 0)
	if code := f.order(ref("b", 1), 6000); code != 0 {
		t.Errorf("order after the end: code %d", code)
	}
}

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
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	events := f.ApplySnapshot(f.now, Snapshot{Incarnation: testIncarnation, ClockMS: before})
	if len(events) != 0 || f.Len() != 1 {
		t.Errorf("events %+v, %d runs", events, f.Len())
	}
}

// Guards against runs that continue for an entry that crashed, froze or was disconnected, while its
// callers submit their jobs again elsewhere.
func TestRunsOfSilentEntryAreStopped(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.advance(testLimits.OwnerSilence)
	if stops := f.Sweep(f.now); len(stops) != 0 {
		t.Fatalf("runs stopped too early: %v", stops)
	}
	f.advance(time.Millisecond)
	if stops := f.Sweep(f.now); len(stops) != 1 {
		t.Fatalf("runs to stop: %v", stops)
	}
	// A stop may be lost, so it is repeated until the end is seen.
	if stops := f.Sweep(f.now); len(stops) != 1 {
		t.Errorf("the stop is not repeated: %v", stops)
	}
}

// Guards against an order that waited in a socket while the entry or the agent was paused.
func TestOrderWithOldTokenIsRefused(t *testing.T) {
	f := newFixture(t)
	o := Order{Ref: ref("a", 1), Owner: "e1", Instance: testServer.Instance, Token: f.now}
	f.advance(testLimits.OwnerSilence + time.Millisecond)
	if code := f.Order(f.now, o); code != result.StaleToken {
		t.Errorf("code %d", code)
	}
}

// Guards against starts on a backend server whose draining was acknowledged, in a failure domain
// that is out of service, on another incarnation of the server, by an agent that is shutting down,
// or without a required label.
func TestOrderRefusals(t *testing.T) {
	draining := testServer
	draining.State = run.Draining
	cases := map[string]struct {
		change func(*fixture)
		order  Order
		want   result.Code
	}{
		"draining": {change: func(f *fixture) { f.Announce(f.now, draining, testIncarnation) }, want: result.ServerLeaving},
		"domain":   {change: func(f *fixture) { f.SetDomainsOut(7, []string{"left"}) }, want: result.DomainOut},
		"instance": {order: Order{Instance: "i-0@1"}, want: result.UnknownServer},
		"label":    {order: Order{Label: "gpu"}, want: result.UnknownServer},
		"leaving":  {change: func(f *fixture) { f.Drain() }, want: result.AgentDraining},
		"left":     {change: func(f *fixture) { f.ServerLeft(f.now, testServer.Instance) }, want: result.UnknownServer},
	}
	for name, c := range cases {
		f := newFixture(t)
		if c.change != nil {
			c.change(f)
		}
		o := c.order
		o.Ref, o.Owner, o.Token = ref("a", 1), "e1", f.now
		if o.Instance == "" {
			o.Instance = testServer.Instance
		}
		if code := f.Order(f.now, o); code != c.want {
			t.Errorf("%s: code %d, want %d", name, code, c.want)
		}
	}
}

// Guards against an older set of failure domains, from an entry that was disconnected from the
// store, replacing a newer one.
func TestOlderDomainsOutRevisionIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.SetDomainsOut(7, []string{"left"})
	f.SetDomainsOut(6, nil)
	if code := f.order(ref("a", 1), 1); code != result.DomainOut {
		t.Errorf("code %d", code)
	}
	f.SetDomainsOut(8, nil)
	if code := f.order(ref("a", 1), 1); code != 0 {
		t.Errorf("code %d", code)
	}
}

// Guards against an agent that forgets, in its own restart, which runs the backend server has: it
// accepts no order beyond the capacity, adopts the runs that entries claim and stops the rest.
func TestRestartedAgentRecoversRuns(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	if code := f.order(ref("x", 1), 1); code != result.UnknownServer {
		t.Errorf("order before the first snapshot: code %d", code)
	}
	if f.CanAnswerClaims(f.now) {
		t.Error("claims are answered before the first snapshot")
	}
	f.snapshot([]RunningRun{{Ref: ref("a", 1)}, {Ref: ref("b", 1)}}, []EndedRun{{Number: 1, Ref: ref("c", 1), Kind: run.Done}})
	f.Confirmed("e1", f.now)
	if code := f.order(ref("x", 1), 1); code != result.StaleToken {
		t.Errorf("order while orders of the earlier agent process can start: code %d", code)
	}
	if e := f.Claim("e1", ref("a", 1), run.Demand{CPU: 4000}, f.now, f.now); e.Kind != run.Running {
		t.Errorf("claim of a run in progress: %v", e)
	}
	if e := f.Claim("e1", ref("c", 1), run.Demand{CPU: 4000}, f.now, f.now); e.Kind != run.Done {
		t.Errorf("claim of a run that is done: %v", e)
	}
	if !f.CanAnswerClaim(f.now, ref("a", 1)) || !f.CanAnswerClaim(f.now, ref("c", 1)) {
		t.Error("claims of known runs have to wait")
	}
	if f.CanAnswerClaim(f.now, ref("d", 1)) {
		t.Error("the claim of an unknown run is answered while orders of the earlier agent process can start")
	}
	f.advance(200 * time.Millisecond)
	if f.CanAnswerClaim(f.now, ref("d", 1)) {
		t.Error("the claim of an unknown run is answered before a snapshot shows whether its order started")
	}
	f.Confirmed("e1", f.now)
	f.snapshot([]RunningRun{{Ref: ref("a", 1)}, {Ref: ref("b", 1)}}, nil)
	if !f.CanAnswerClaim(f.now, ref("d", 1)) {
		t.Error("the claim of an unknown run has to wait although its order has expired")
	}
	if e := f.Claim("e1", ref("d", 1), run.Demand{CPU: 4000}, f.now, f.now); e.Kind != run.Stopped || e.Reason != result.NoRecord {
		t.Errorf("claim of an unknown run: %v", e)
	}
	if code := f.order(ref("x", 1), 1); code != result.NoFreeSlot {
		t.Errorf("order while the demand of a run is not known: code %d", code)
	}
	f.advance(150 * time.Millisecond)
	f.Confirmed("e1", f.now)
	if stops := f.Sweep(f.now); len(stops) != 1 || stops[0] != ref("b", 1) {
		t.Errorf("runs to stop: %v", stops)
	}
}

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

// Guards against a new start elsewhere while a backend server that does not answer may still run
// the task: its lease must have expired even on a clock that is 2% slow.
func TestRunsOfSilentServerEndOnlyAfterLease(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.RenewalDone(f.RenewLease(f.now), true)
	f.advance(testLimits.Lease)
	if events := f.ExpireLease(f.now); len(events) != 0 {
		t.Fatalf("runs ended at the nominal end of the lease: %+v", events)
	}
	f.advance(20 * time.Millisecond)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
}

// Guards against two runs of one task on one backend server, and against more runs of a step than
// are allowed on one backend server.
func TestTaskAndStepLimits(t *testing.T) {
	f := newFixture(t)
	f.order(ref("j.0.0.0", 1), 1)
	if code := f.order(ref("j.0.0.0", 2), 1); code != result.NoFreeSlot {
		t.Errorf("second run of a task: code %d", code)
	}
	o := Order{Ref: ref("j.0.0.1", 1), Owner: "e1", Instance: testServer.Instance, Token: f.now, MaxPerServer: 1}
	if code := f.Order(f.now, o); code != result.NoFreeSlot {
		t.Errorf("second task of a step: code %d", code)
	}
}

// Guards against entries repeating orders that the agent refuses: while it refuses all orders, it
// reports the server as absent. Lost answers of the backend server must not make it refuse orders
// when it knows all earlier ones.
func TestServerIsAbsentWhileOrdersAreRefused(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	f.snapshot(nil, nil)
	f.Confirmed("e1", f.now)
	if s := f.Server(f.now); s.State != run.Absent {
		t.Errorf("state %d in quarantine", s.State)
	}
	f.advance(160 * time.Millisecond)
	f.Confirmed("e1", f.now)
	f.snapshot(nil, nil)
	if s := f.Server(f.now); s.State != run.Ready {
		t.Errorf("state %d after quarantine", s.State)
	}
	f.order(ref("a", 1), 1)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.advance(time.Second)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
	f.snapshot(nil, nil)
	f.Confirmed("e1", f.now)
	if code := f.order(ref("b", 1), 1); code != 0 {
		t.Errorf("order after the lease expired: code %d", code)
	}
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

// Guards against entries that race for free capacity under load: capacity that becomes free is
// reserved for the entry with the most urgent task, and offered to the next one when that entry
// does not use it.
func TestFreeCapacityIsOfferedToMostUrgentEntry(t *testing.T) {
	f := newFixture(t)
	f.Confirmed("e2", f.now)
	f.order(ref("a", 1), 9000)
	f.Request(f.now, "e1", f.now.Add(300*time.Millisecond), run.Demand{CPU: 1000})
	f.Request(f.now, "e2", f.now.Add(100*time.Millisecond), run.Demand{CPU: 1000})
	if offered := f.Offer(f.now); len(offered) != 1 || offered[0] != "e2" {
		t.Fatalf("capacity offered to %v, want e2", offered)
	}
	if code := f.order(ref("b", 1), 1000); code != result.NoFreeSlot {
		t.Errorf("order for capacity reserved for another entry: code %d", code)
	}
	f.advance(testLimits.OfferHold)
	if offered := f.Offer(f.now); len(offered) != 1 || offered[0] != "e1" {
		t.Errorf("capacity offered to %v after an unused offer, want e1", offered)
	}
	if code := f.order(ref("b", 1), 1000); code != 0 {
		t.Errorf("order for own offer: code %d", code)
	}
	f.Request(f.now, "e1", f.now, run.Demand{})
	if offered := f.Offer(f.now); len(offered) != 0 {
		t.Errorf("capacity offered to %v although none is free", offered)
	}
}

// Guards against tasks of a crashed backend server that wait for a lease that was never renewed
// because no connection could be made. A renewal in flight counts until its outcome is known.
func TestUnsentRenewalDoesNotExtendLease(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
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

// Guards against a restarted agent that reports runs as ended although the lease that its earlier
// process renewed still keeps them running: their tasks would start a second time elsewhere. Found
// by TestModel.
func TestRestartedAgentAssumesLongestLease(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	f.snapshot([]RunningRun{{Ref: ref("a", 1)}}, nil)
	f.advance(testLimits.Lease)
	if events := f.ExpireLease(f.now); len(events) != 0 {
		t.Fatalf("runs ended under the earlier lease: %+v", events)
	}
	f.advance(20 * time.Millisecond)
	wantSingleEvent(t, f.ExpireLease(f.now), run.Stopped, result.ServerLost)
}

// Guards against tasks that wait long for unanswered orders on a backend server that is otherwise
// fast, and against orders that expire before a slow one can start them.
func TestOrderTimeoutFollowsAnswerTimes(t *testing.T) {
	f := newFixture(t)
	if got := f.orderTimeout(); got != testLimits.OrderExpiry {
		t.Errorf("order timeout is %s before the first answer", got)
	}
	for i := range 60 {
		f.order(ref("a", uint64(i)+1), 1)
		f.Accepted(f.now, time.Millisecond, ref("a", uint64(i)+1), f.clock())
		f.ApplySnapshot(f.now, Snapshot{Incarnation: testIncarnation, ClockMS: f.clock() + 5, Ended: []EndedRun{{Number: int64(i) + 1, Ref: ref("a", uint64(i)+1), Kind: run.Done}}})
		f.advance(10 * time.Millisecond)
		f.Confirmed("e1", f.now)
	}
	if got := f.orderTimeout(); got != testLimits.MinOrderExpiry {
		t.Errorf("order timeout is %s with answers within 1 ms", got)
	}
	f.order(ref("b", 1), 1)
	f.Accepted(f.now, 40*time.Millisecond, ref("b", 1), f.clock())
	if got := f.orderTimeout(); got != testLimits.OrderExpiry {
		t.Errorf("order timeout is %s after an answer of 40 ms", got)
	}
}

// Guards against reporting "not run" for a job whose task ran under the agent's earlier process,
// which saw its end and lost the record in the restart. Found by the soak test, seeds 29 and 32.
func TestNotRunIsReportedOnlyForOrdersWithinRecord(t *testing.T) {
	f := newFixture(t)
	f.advance(3 * time.Second)
	cases := []struct {
		ordered time.Time
		want    run.EventKind
	}{
		{f.now.Add(-time.Second), run.NotRun},
		{start(), run.Stopped},
		{start().Add(-time.Second), run.Stopped},
	}
	for _, c := range cases {
		if e := f.Claim("e1", ref("a", 1), run.Demand{}, f.now, c.ordered); e.Kind != c.want {
			t.Errorf("claim of a run ordered %s after the agent's start: %s", c.ordered.Sub(start()), e.Kind)
		}
	}
	f.advance(testLimits.EndRetention)
	if e := f.Claim("e1", ref("a", 1), run.Demand{}, f.now, f.now.Add(-testLimits.EndRetention)); e.Kind != run.Stopped {
		t.Errorf("claim after the retention of ends: %s", e.Kind)
	}
}

// Guards against a restarted agent that waits a second or more for the next announcement of a
// backend server that it already knew, and against one that uses the restored announcement for a
// new incarnation or for a backend server that has shut down.
func TestRestartedAgentRestoresServer(t *testing.T) {
	usable := func(incarnation int64, then func(*fixture)) bool {
		f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
		f.RestoreServer(testServer, incarnation)
		if f.Server(f.now).State != run.Absent {
			t.Error("server is usable before a snapshot")
		}
		f.snapshot(nil, nil)
		if f.Server(f.now).State != run.Absent {
			t.Error("server is usable while orders of an earlier agent process can start")
		}
		f.advance(testLimits.OrderExpiry + time.Millisecond)
		f.snapshot(nil, nil)
		then(f)
		f.Confirmed("e1", f.now)
		return f.order(ref("t", 1), 100) == 0
	}
	if !usable(testIncarnation, func(*fixture) {}) {
		t.Error("the same incarnation of the backend server gets no orders")
	}
	if usable(testIncarnation-1, func(*fixture) {}) {
		t.Error("another incarnation of the backend server gets orders")
	}
	left := func(f *fixture) {
		f.ServerLeft(f.now, testServer.Instance)
		f.RestoreServer(testServer, testIncarnation)
	}
	if usable(testIncarnation, left) {
		t.Error("a backend server that has shut down gets orders")
	}
	draining := func(f *fixture) {
		s := testServer
		s.State = run.Draining
		f.Announce(f.now, s, testIncarnation)
		f.RestoreServer(testServer, testIncarnation)
	}
	if usable(testIncarnation, draining) {
		t.Error("a restored announcement overrides a newer one")
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

// Guards against two runs of a task on a backend server that leaves: all runs were ended at once,
// although the server may run them for a moment longer.
func TestRunsOfLeavingServerEndWhenThatIsSeen(t *testing.T) {
	runningFixture := func() *fixture {
		f := newFixture(t)
		f.order(ref("a", 1), 6000)
		f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
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
