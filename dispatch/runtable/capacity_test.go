package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// announceCapacity announces the test server with another capacity.
func (f *fixture) announceCapacity(capacity run.Demand) {
	s := testServer
	s.Capacity = capacity
	f.Announce(f.now, s, testIncarnation)
}

// orderDemand orders a run with the given demand for entry e1.
func (f *fixture) orderDemand(ref run.Ref, demand run.Demand) result.Code {
	f.Confirmed("e1", f.now)
	return f.Order(f.now, Order{Ref: ref, Owner: "e1", Demand: demand, Instance: testServer.Instance, Token: f.now})
}

var (
	fullCapacity = run.Demand{CPU: 8000, MemoryMB: 800, GPU: 4}
	halfCapacity = run.Demand{CPU: 4000, MemoryMB: 400, GPU: 2}
	smallDemand  = run.Demand{CPU: 1000, MemoryMB: 100, GPU: 1}
)

// shrunkCapacities are capacities of which one resource is less than halfCapacity.
var shrunkCapacities = map[string]run.Demand{
	"cpu":    {CPU: 3000, MemoryMB: 800, GPU: 4},
	"memory": {CPU: 8000, MemoryMB: 300, GPU: 4},
	"gpu":    {CPU: 8000, MemoryMB: 800, GPU: 1},
}

// newShrunkFixture returns a fixture whose backend server runs a task that uses halfCapacity, and then announces
// the given capacity.
func newShrunkFixture(t *testing.T, capacity run.Demand) *fixture {
	t.Helper()
	f := newFixture(t)
	f.announceCapacity(fullCapacity)
	if code := f.orderDemand(ref("a", 1), halfCapacity); code != 0 {
		t.Fatalf("order before the change: code %d", code)
	}
	f.Accepted(f.now, time.Millisecond, ref("a", 1), f.clock())
	f.announceCapacity(capacity)
	return f
}

// Guards against a start on a backend server whose capacity has shrunk below what runs there, also while the
// run that uses it is being stopped, and against one that stays refused when the capacity has grown again.
func TestShrunkCapacityRefusesOrders(t *testing.T) {
	for name, capacity := range shrunkCapacities {
		t.Run(name, func(t *testing.T) {
			f := newShrunkFixture(t, capacity)
			if code := f.orderDemand(ref("b", 1), smallDemand); code != result.NoFreeSlot {
				t.Errorf("order at the shrunk capacity: code %d", code)
			}
			f.Stop(f.now, ref("a", 1))
			if code := f.orderDemand(ref("b", 1), smallDemand); code != result.NoFreeSlot {
				t.Errorf("order while the stop is in progress: code %d", code)
			}
			f.announceCapacity(fullCapacity)
			if code := f.orderDemand(ref("b", 1), smallDemand); code != 0 {
				t.Errorf("order after the capacity has grown: code %d", code)
			}
		})
	}
}

// Guards against an offer with a negative amount, made while a resource is overcommitted: it counted as free
// capacity for other entries once a run had ended, and their orders exceeded the backend server's capacity.
func TestOverusedResourceIsNotOffered(t *testing.T) {
	for name, capacity := range shrunkCapacities {
		t.Run(name, func(t *testing.T) {
			f := newShrunkFixture(t, capacity)
			f.Request(f.now, "e2", f.now, smallDemand)
			f.Offer(f.now)
			free := f.Free()
			if got := f.FreeFor(f.now, "e1"); got.CPU > free.CPU || got.MemoryMB > free.MemoryMB || got.GPU > free.GPU {
				t.Errorf("free for another entry while overcommitted: %+v of %+v", got, free)
			}
			f.advance(5 * time.Millisecond)
			f.snapshot(nil, []EndedRun{{Number: 1, Ref: ref("a", 1), Kind: run.Done}})
			if got, free := f.FreeFor(f.now, "e1"), f.Free(); got.CPU > free.CPU || got.MemoryMB > free.MemoryMB || got.GPU > free.GPU {
				t.Errorf("free for another entry after the end: %+v of %+v", got, free)
			}
		})
	}
}

// Guards against orders of a restarted agent that exceed the capacity: an order of its previous process may
// start after the first snapshot, and only one that was taken after the quarantine is sure to show the run.
func TestQuarantineEndsWithSnapshotAfterIt(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	f.snapshot(nil, nil)
	f.advance(testLimits.OrderExpiry - time.Millisecond)
	f.snapshot(nil, nil)
	if got := f.NextExpiry(f.now, time.Second); got > 10*time.Millisecond {
		t.Errorf("the next snapshot is awaited for %s", got)
	}
	f.advance(20 * time.Millisecond)
	if code := f.order(ref("b", 1), 6000); code != result.StaleToken {
		t.Errorf("order without a snapshot after the quarantine: code %d", code)
	}
	f.snapshot([]RunningRun{{Ref: ref("a", 1)}}, nil)
	if code := f.order(ref("b", 1), 6000); code != result.NoFreeSlot {
		t.Errorf("order beside a run of the previous process: code %d", code)
	}
	f.snapshot(nil, []EndedRun{{Number: 1, Ref: ref("a", 1), Kind: run.Done}})
	if code := f.order(ref("b", 1), 6000); code != 0 {
		t.Errorf("order after the end of the run: code %d", code)
	}
}
