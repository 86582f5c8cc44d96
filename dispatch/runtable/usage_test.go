package runtable

import (
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

func (f *fixture) startKind(task, kind string, cpu int64) run.Ref {
	f.t.Helper()
	ref := run.Ref{Task: task, Run: 1}
	if code := f.Order(f.now, Order{Ref: ref, Owner: "e1", Demand: run.Demand{CPU: cpu}, Instance: testServer.Instance, Token: f.now, Kind: kind}); code != 0 {
		f.t.Fatalf("order refused with code %d", code)
	}
	f.Accepted(f.now, time.Millisecond, ref, f.clock())
	return ref
}

// Guards against the end of a run that does not tell which kinds ran beside it, also when it is claimed later, and against
// an agent that restarts and reports what it has seen of a run's neighbours since as all of it.
func TestUsageBesideRuns(t *testing.T) {
	f := newFixture(t)
	long, short := f.startKind("long.0.0.0", "long", 4000), f.startKind("short.0.0.0", "short", 1000)
	if got := f.Usage(f.now); !slices.Equal(got, []run.KindUsage{{Kind: "long", Permille: 400}, {Kind: "short", Permille: 100}}) {
		t.Errorf("usage: %v", got)
	}
	f.advance(50 * time.Millisecond)
	events := f.snapshot([]RunningRun{{Ref: long}}, []EndedRun{{Number: 1, Ref: short, Kind: run.Done}})
	want := []run.KindUsage{{Kind: "long", Permille: 400}, {Kind: "short"}}
	if len(events) != 1 || !slices.Equal(events[0].Beside, want) {
		t.Fatalf("events %+v, want one beside %v", events, want)
	}
	if e := f.Claim("e1", short, run.Demand{CPU: 1000}, f.now, f.now); !slices.Equal(e.Beside, want) {
		t.Errorf("claim answered with %+v", e)
	}
	// The next process of the agent finds the long run and does not know its kind.
	f.Table = New(f.now, testLimits)
	f.Announce(f.now, testServer, testIncarnation)
	f.snapshot([]RunningRun{{Ref: long}}, nil)
	f.advance(200 * time.Millisecond)
	f.snapshot([]RunningRun{{Ref: long}}, nil)
	f.Confirmed("e1", f.now)
	f.Claim("e1", long, run.Demand{CPU: 4000}, f.now, f.now)
	other, again := f.startKind("other.0.0.0", "other", 1000), f.startKind("short.0.0.1", "short", 1000)
	f.advance(50 * time.Millisecond)
	events = f.snapshot([]RunningRun{{Ref: other}}, []EndedRun{{Number: 2, Ref: again, Kind: run.Done}, {Number: 3, Ref: long, Kind: run.Done}})
	if len(events) != 2 || events[0].Beside != nil || events[1].Beside != nil {
		t.Errorf("events %+v, want two without usage", events)
	}
}
