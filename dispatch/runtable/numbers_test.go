package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// outOfRange are demands that no entry may name.
var outOfRange = map[string]run.Demand{
	"negative CPU":    {CPU: -1000, MemoryMB: 1},
	"negative memory": {CPU: 1, MemoryMB: -100},
	"negative GPU":    {CPU: 1, GPU: -1},
	"too much CPU":    {CPU: run.MaxAmount + 1},
	"too much memory": {MemoryMB: 1<<63 - 1},
	"too much GPU":    {GPU: 1<<63 - 1},
	"least":           {CPU: -1 << 63, MemoryMB: -1 << 63, GPU: -1 << 63},
}

// Guards against an order that frees capacity that does not exist, so that later orders bring the backend server over
// its capacity.
func TestOrderOfDemandOutOfRangeIsRefused(t *testing.T) {
	for name, demand := range outOfRange {
		f := newFixture(t)
		f.announceCapacity(fullCapacity)
		if code := f.orderDemand(ref("a", 1), demand); code != result.Malformed {
			t.Errorf("%s: code %d", name, code)
		}
		if f.Len() != 0 || f.Free() != fullCapacity {
			t.Errorf("%s: %d runs, %+v free", name, f.Len(), f.Free())
		}
	}
	f := newFixture(t)
	if code := f.orderDemand(run.Ref{Run: 1}, smallDemand); code != result.Malformed {
		t.Errorf("order without a task: code %d", code)
	}
}

// Guards against a claim that changes the demand of a run so that capacity seems free that is not.
func TestClaimOfDemandOutOfRangeFreesNothing(t *testing.T) {
	for name, demand := range outOfRange {
		f := newFixture(t)
		f.announceCapacity(fullCapacity)
		if code := f.orderDemand(ref("a", 1), smallDemand); code != 0 {
			t.Fatalf("code %d", code)
		}
		if e := f.Claim("e1", ref("a", 1), demand, f.now, f.now); e.Kind != run.Running {
			t.Errorf("%s: claim answered with %+v", name, e)
		}
		if code := f.orderDemand(ref("b", 1), smallDemand); code != result.NoFreeSlot {
			t.Errorf("%s: code %d for an order beside the claimed run", name, code)
		}
	}
}

// Guards against a request of an entry after which another one is told of more free capacity than there is.
func TestRequestOfDemandOutOfRangeFreesNothing(t *testing.T) {
	for name, demand := range outOfRange {
		f := newFixture(t)
		f.announceCapacity(fullCapacity)
		f.Request(f.now, "e2", f.now.Add(time.Second), demand)
		f.Offer(f.now)
		if free := f.FreeFor(f.now, "e1"); !free.Fits(fullCapacity) {
			t.Errorf("%s: %+v free of %+v", name, free, fullCapacity)
		}
		if code := f.orderDemand(ref("a", 1), run.Demand{CPU: fullCapacity.CPU + 1}); code != result.NoFreeSlot {
			t.Errorf("%s: code %d for an order beyond the capacity", name, code)
		}
	}
}
