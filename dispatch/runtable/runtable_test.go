package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

var testLimits = Limits{
	OrderExpiry: 150 * time.Millisecond, LeastExpiry: 60 * time.Millisecond, Lease: 400 * time.Millisecond, RenewFor: 200 * time.Millisecond, OwnerSilence: 300 * time.Millisecond,
	ClaimWindow: 300 * time.Millisecond, EndRetention: 5 * time.Second, OfferHold: 12 * time.Millisecond,
}

const testBorn = 1000

var testServer = run.Server{
	Instance: "i-1@1000", Service: "svc", Domain: "left", State: run.Ready, Room: run.Demand{CPU: 10_000, MemoryMB: 1000},
}

// fixture is a table with its clock; the backend server's clock starts at 5,000 ms.
type fixture struct {
	*Table
	t   *testing.T
	now time.Time
}

func start() time.Time { return time.Unix(1000, 0) }

func newFixture(t *testing.T) *fixture {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testBorn)
	f.look(nil, nil)
	f.advance(200 * time.Millisecond)
	f.look(nil, nil)
	f.Heard("e1", f.now)
	return f
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) clock() int64 { return 5000 + f.now.Sub(start()).Milliseconds() }

func (f *fixture) look(running []Seen, ended []Ended) []Event {
	return f.Looked(f.now, Look{Born: testBorn, ClockMS: f.clock(), Running: running, Ended: ended})
}

func (f *fixture) order(ref run.Ref, cpu int64) result.Code {
	return f.Order(f.now, Order{Ref: ref, Owner: "e1", Demand: run.Demand{CPU: cpu}, Instance: testServer.Instance, Token: f.now})
}

func ref(task string, n uint64) run.Ref { return run.Ref{Task: task, Run: n} }

func single(t *testing.T, events []Event, want run.Kind, code result.Code) {
	t.Helper()
	if len(events) != 1 || events[0].Kind != want || events[0].Reason != code {
		t.Fatalf("events are %+v, want one of kind %s with code %d", events, want, code)
	}
}

// Guards against starts over the backend server's room, also while a stop is under way.
func TestRoomIsHeldUntilTheEndIsSeen(t *testing.T) {
	f := newFixture(t)
	if code := f.order(ref("a", 1), 6000); code != 0 {
		t.Fatalf("first order: %d", code)
	}
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	if code := f.order(ref("b", 1), 6000); code != result.NoFreeSlot {
		t.Errorf("over the room: %d", code)
	}
	if !f.Stop(ref("a", 1)) {
		t.Error("stop is not passed on")
	}
	if code := f.order(ref("b", 1), 6000); code != result.NoFreeSlot {
		t.Errorf("while the stop is under way: %d", code)
	}
	f.advance(20 * time.Millisecond)
	events := f.look(nil, []Ended{{Number: 1, Ref: ref("a", 1), Kind: run.Stopped}})
	single(t, events, run.Stopped, 0)
	if code := f.order(ref("b", 1), 6000); code != 0 {
		t.Errorf("after the end: %d", code)
	}
}

// Guards against a second run of a task whose order got no answer and was carried out late: until the
// expiry has passed and a look shows nothing, the run is neither "not run" nor is its room free.
func TestUnansweredOrderIsSettledByALookAfterItsExpiry(t *testing.T) {
	f := newFixture(t)
	if code := f.order(ref("a", 1), 6000); code != 0 {
		t.Fatal(code)
	}
	f.advance(100 * time.Millisecond)
	if events := f.look(nil, nil); len(events) != 0 {
		t.Fatalf("settled before the expiry: %+v", events)
	}
	f.advance(60 * time.Millisecond)
	single(t, f.look(nil, nil), run.NotRun, result.StartTooLate)
	if free := f.Free(); free.CPU != 10_000 {
		t.Errorf("free is %d", free.CPU)
	}
}

// Guards against a look that was taken before a start, and arrives after its answer, ending the run.
func TestOlderLookDoesNotEndARun(t *testing.T) {
	f := newFixture(t)
	before := f.clock()
	f.advance(5 * time.Millisecond)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	events := f.Looked(f.now, Look{Born: testBorn, ClockMS: before})
	if len(events) != 0 || f.Len() != 1 {
		t.Errorf("events %+v, %d runs", events, f.Len())
	}
}

// Guards against running on for an entry that has died, froze or was cut off, while its callers send
// their jobs again elsewhere.
func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.advance(testLimits.OwnerSilence)
	if stops := f.Sweep(f.now); len(stops) != 0 {
		t.Fatalf("stopped too early: %v", stops)
	}
	f.advance(time.Millisecond)
	if stops := f.Sweep(f.now); len(stops) != 1 {
		t.Fatalf("stops are %v", stops)
	}
	// A stop may be lost, so it is repeated until the end is seen.
	if stops := f.Sweep(f.now); len(stops) != 1 {
		t.Errorf("the stop is not repeated: %v", stops)
	}
}

// Guards against an order that waited in a socket while the entry or the agent was paused.
func TestOrderWithAnOldTokenIsRefused(t *testing.T) {
	f := newFixture(t)
	o := Order{Ref: ref("a", 1), Owner: "e1", Instance: testServer.Instance, Token: f.now}
	f.advance(testLimits.OwnerSilence + time.Millisecond)
	if code := f.Order(f.now, o); code != result.StaleToken {
		t.Errorf("code %d", code)
	}
}

// Guards against starts on a backend server whose draining was acknowledged, in a failure domain that
// is out of service, on another life of the server, by an agent that stops, or without a label.
func TestRefusals(t *testing.T) {
	draining := testServer
	draining.State = run.Draining
	cases := map[string]struct {
		change func(*fixture)
		order  Order
		want   result.Code
	}{
		"draining": {change: func(f *fixture) { f.Announce(f.now, draining, testBorn) }, want: result.ServerLeaving},
		"domain":   {change: func(f *fixture) { f.SetOut(7, []string{"left"}) }, want: result.DomainOut},
		"instance": {order: Order{Instance: "i-0@1"}, want: result.UnknownServer},
		"label":    {order: Order{Label: "gpu"}, want: result.UnknownServer},
		"leaving":  {change: func(f *fixture) { f.Leave() }, want: result.AgentDraining},
		"gone":     {change: func(f *fixture) { f.Gone(f.now) }, want: result.UnknownServer},
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

// Guards against an older set of failure domains, from an entry that was cut off from the store,
// replacing a newer one.
func TestOutNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	f.SetOut(7, []string{"left"})
	f.SetOut(6, nil)
	if code := f.order(ref("a", 1), 1); code != result.DomainOut {
		t.Errorf("code %d", code)
	}
	f.SetOut(8, nil)
	if code := f.order(ref("a", 1), 1); code != 0 {
		t.Errorf("code %d", code)
	}
}

// Guards against an agent that forgets, in its own restart, what runs on the backend server: it
// grants nothing over the room, adopts what entries claim and stops the rest.
func TestRestartedAgentFindsWhatRuns(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testBorn)
	if code := f.order(ref("x", 1), 1); code != result.UnknownServer {
		t.Errorf("order before the first look: %d", code)
	}
	if f.Settled(f.now) {
		t.Error("claims are answered before the first look")
	}
	f.look([]Seen{{Ref: ref("a", 1)}, {Ref: ref("b", 1)}}, []Ended{{Number: 1, Ref: ref("c", 1), Kind: run.Done}})
	f.Heard("e1", f.now)
	if code := f.order(ref("x", 1), 1); code != result.StaleToken {
		t.Errorf("order while orders of the former life can begin: %d", code)
	}
	if e := f.Claim("e1", ref("a", 1), run.Demand{CPU: 4000}, f.now, f.now); e.Kind != run.Running {
		t.Errorf("claim of a running one: %v", e)
	}
	if e := f.Claim("e1", ref("c", 1), run.Demand{CPU: 4000}, f.now, f.now); e.Kind != run.Done {
		t.Errorf("claim of one that is done: %v", e)
	}
	if e := f.Claim("e1", ref("d", 1), run.Demand{CPU: 4000}, f.now, f.now); e.Kind != run.Stopped || e.Reason != result.NoRecord {
		t.Errorf("claim of an unknown one: %v", e)
	}
	f.advance(200 * time.Millisecond)
	f.Heard("e1", f.now)
	f.look([]Seen{{Ref: ref("a", 1)}, {Ref: ref("b", 1)}}, nil)
	if code := f.order(ref("x", 1), 1); code != result.NoFreeSlot {
		t.Errorf("order while the demand of a run is not known: %d", code)
	}
	f.advance(150 * time.Millisecond)
	f.Heard("e1", f.now)
	if stops := f.Sweep(f.now); len(stops) != 1 || stops[0] != ref("b", 1) {
		t.Errorf("stops are %v", stops)
	}
}

// Guards against runs that seem to go on after the crash of their backend server.
func TestNewLifeEndsAllRuns(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	single(t, f.Looked(f.now, Look{Born: testBorn + 1, ClockMS: 10}), run.Stopped, result.ServerLost)
	if code := f.order(ref("b", 1), 1); code != result.UnknownServer {
		t.Errorf("order before the new life has announced itself: %d", code)
	}
}

// Guards against a fresh start elsewhere while a backend server that does not answer may still run
// the task: its lease has to have passed on a clock that is 2% slow.
func TestSilentServerHasLapsedOnlyAfterItsLease(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.Sent(f.Lease(f.now), true)
	f.advance(testLimits.Lease)
	if events := f.Lapsed(f.now); len(events) != 0 {
		t.Fatalf("lapsed at the lease: %+v", events)
	}
	f.advance(20 * time.Millisecond)
	single(t, f.Lapsed(f.now), run.Stopped, result.ServerLost)
}

// Guards against two runs of one task on one backend server, and against more tasks of a step than
// one backend server may have.
func TestTaskAndStepBounds(t *testing.T) {
	f := newFixture(t)
	f.order(ref("j.0.0.0", 1), 1)
	if code := f.order(ref("j.0.0.0", 2), 1); code != result.NoFreeSlot {
		t.Errorf("second run of a task: %d", code)
	}
	o := Order{Ref: ref("j.0.0.1", 1), Owner: "e1", Instance: testServer.Instance, Token: f.now, MaxPerServer: 1}
	if code := f.Order(f.now, o); code != result.NoFreeSlot {
		t.Errorf("second task of a step: %d", code)
	}
}

// Guards against orders that bounce between entry and agent: while the agent refuses all orders, it
// says so. Lost answers of the backend server must not make it refuse orders that it knows of.
func TestServerIsAbsentWhileOrdersAreRefused(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testBorn)
	f.look(nil, nil)
	f.Heard("e1", f.now)
	if s := f.Server(f.now); s.State != run.Absent {
		t.Errorf("state %d in quarantine", s.State)
	}
	f.advance(160 * time.Millisecond)
	f.Heard("e1", f.now)
	f.look(nil, nil)
	if s := f.Server(f.now); s.State != run.Ready {
		t.Errorf("state %d after quarantine", s.State)
	}
	f.order(ref("a", 1), 1)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.advance(time.Second)
	single(t, f.Lapsed(f.now), run.Stopped, result.ServerLost)
	f.look(nil, nil)
	f.Heard("e1", f.now)
	if code := f.order(ref("b", 1), 1); code != 0 {
		t.Errorf("order after a lapse: %d", code)
	}
}

// Guards against work that lapses because a few answers of the backend server were lost, and against
// a lease that is renewed for ever on one that is cut off.
func TestLeaseIsRenewedThroughAFewLostAnswers(t *testing.T) {
	f := newFixture(t)
	f.advance(testLimits.RenewFor)
	if f.Lease(f.now) == 0 {
		t.Error("not renewed after a lost answer")
	}
	f.advance(time.Millisecond)
	if f.Lease(f.now) != 0 {
		t.Error("renewed without an answer for too long")
	}
}

// Guards against entries that race for every free place under load: room that becomes free is held for
// the entry with the most urgent task, and goes to the next one when that one does not use it.
func TestFreeRoomIsOfferedToTheMostUrgentEntry(t *testing.T) {
	f := newFixture(t)
	f.Heard("e2", f.now)
	f.order(ref("a", 1), 9000)
	f.Want(f.now, "e1", f.now.Add(300*time.Millisecond), run.Demand{CPU: 1000})
	f.Want(f.now, "e2", f.now.Add(100*time.Millisecond), run.Demand{CPU: 1000})
	if told := f.Offer(f.now); len(told) != 1 || told[0] != "e2" {
		t.Fatalf("offered to %v", told)
	}
	if code := f.order(ref("b", 1), 1000); code != result.NoFreeSlot {
		t.Errorf("room that is held for another entry: %d", code)
	}
	f.advance(testLimits.OfferHold)
	if told := f.Offer(f.now); len(told) != 1 || told[0] != "e1" {
		t.Errorf("after an unused offer: %v", told)
	}
	if code := f.order(ref("b", 1), 1000); code != 0 {
		t.Errorf("own offer: %d", code)
	}
	f.Want(f.now, "e1", f.now, run.Demand{})
	if told := f.Offer(f.now); len(told) != 0 {
		t.Errorf("offered without room: %v", told)
	}
}

// Guards against tasks of a crashed backend server that wait for a lease which was never renewed: no
// connection could be made. A renewal that is under way counts as long as its fate is open.
func TestRenewalThatWasNotSentMovesNothing(t *testing.T) {
	f := newFixture(t)
	f.order(ref("a", 1), 1000)
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.Sent(f.Lease(f.now), true)
	f.advance(testLimits.RenewFor)
	renewal := f.Lease(f.now)
	f.advance(testLimits.Lease - testLimits.RenewFor + 20*time.Millisecond)
	if events := f.Lapsed(f.now); len(events) != 0 {
		t.Fatalf("lapsed while a renewal is under way: %+v", events)
	}
	f.Sent(renewal, false)
	single(t, f.Lapsed(f.now), run.Stopped, result.ServerLost)
}

// Guards against a restarted agent that calls runs lapsed although the lease that its former life
// granted still holds them: their tasks would start a second time elsewhere. Found by TestModel.
func TestRestartedAgentAssumesTheLongestLease(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testBorn)
	f.look([]Seen{{Ref: ref("a", 1)}}, nil)
	f.advance(testLimits.Lease)
	if events := f.Lapsed(f.now); len(events) != 0 {
		t.Fatalf("lapsed under the former lease: %+v", events)
	}
	f.advance(20 * time.Millisecond)
	single(t, f.Lapsed(f.now), run.Stopped, result.ServerLost)
}

// Guards against tasks that wait long for orders without an answer on a backend server that is
// otherwise fast, and against orders that expire before a slow one can take them.
func TestExpiryFollowsAnswerTimes(t *testing.T) {
	f := newFixture(t)
	if got := f.expiry(); got != testLimits.OrderExpiry {
		t.Errorf("%s before the first answer", got)
	}
	for i := range 60 {
		f.order(ref("a", uint64(i)+1), 1)
		f.Accepted(f.now, time.Millisecond, ref("a", uint64(i)+1), f.clock())
		f.Looked(f.now, Look{Born: testBorn, ClockMS: f.clock() + 5, Ended: []Ended{{Number: int64(i) + 1, Ref: ref("a", uint64(i)+1), Kind: run.Done}}})
		f.advance(10 * time.Millisecond)
		f.Heard("e1", f.now)
	}
	if got := f.expiry(); got != testLimits.LeastExpiry {
		t.Errorf("%s with answers within 1 ms", got)
	}
	f.order(ref("b", 1), 1)
	f.Accepted(f.now, 40*time.Millisecond, ref("b", 1), f.clock())
	if got := f.expiry(); got != testLimits.OrderExpiry {
		t.Errorf("%s after an answer of 40 ms", got)
	}
}

// Guards against a refusal "not run" of a job whose task ran under the agent's former life, which saw
// its end and took it along. Found by the soak, seeds 29 and 32.
func TestOnlyAnAgentThatWasThereSaysNotRun(t *testing.T) {
	f := newFixture(t)
	f.advance(3 * time.Second)
	cases := []struct {
		ordered time.Time
		want    run.Kind
	}{
		{f.now.Add(-time.Second), run.NotRun},
		{start(), run.Stopped},
		{start().Add(-time.Second), run.Stopped},
	}
	for _, c := range cases {
		if e := f.Claim("e1", ref("a", 1), run.Demand{}, f.now, c.ordered); e.Kind != c.want {
			t.Errorf("ordered %s after the agent's start: %s", c.ordered.Sub(start()), e.Kind)
		}
	}
	f.advance(testLimits.EndRetention)
	if e := f.Claim("e1", ref("a", 1), run.Demand{}, f.now, f.now.Add(-testLimits.EndRetention)); e.Kind != run.Stopped {
		t.Errorf("after the retention of ends: %s", e.Kind)
	}
}

// Guards against a restarted agent that waits a second or more for the next announcement of a backend server
// that it knew, and against one that takes a new life of the backend server, or one that has left, for it.
func TestRestartedAgentRecallsItsServer(t *testing.T) {
	usable := func(born int64, then func(*fixture)) bool {
		f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
		f.Recall(testServer, born)
		if f.Server(f.now).State != run.Absent {
			t.Error("in use before a look")
		}
		f.look(nil, nil)
		if f.Server(f.now).State != run.Absent {
			t.Error("in use while orders to a former life of the agent can begin")
		}
		f.advance(testLimits.OrderExpiry + time.Millisecond)
		f.look(nil, nil)
		then(f)
		f.Heard("e1", f.now)
		return f.order(ref("t", 1), 100) == 0
	}
	if !usable(testBorn, func(*fixture) {}) {
		t.Error("the same life of the backend server gets no orders")
	}
	if usable(testBorn-1, func(*fixture) {}) {
		t.Error("another life of the backend server gets orders")
	}
	left := func(f *fixture) { f.Gone(f.now); f.Recall(testServer, testBorn) }
	if usable(testBorn, left) {
		t.Error("a backend server that has left gets orders")
	}
	draining := func(f *fixture) {
		s := testServer
		s.State = run.Draining
		f.Announce(f.now, s, testBorn)
		f.Recall(testServer, testBorn)
	}
	if usable(testBorn, draining) {
		t.Error("what was recalled counts more than an announcement")
	}
}
