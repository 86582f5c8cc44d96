package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

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

// Guards against tasks that wait long for unanswered orders on a backend server that is otherwise
// fast, and against orders that expire before a slow one can start them.
func TestOrderTimeoutFollowsAnswerTimes(t *testing.T) {
	f := newFixture(t)
	if got := f.orderTimeout(); got != testLimits.OrderExpiry {
		t.Errorf("order timeout is %s before the first answer", got)
	}
	for i := range 60 {
		f.orderAndStart(ref("a", uint64(i)+1), 1)
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
