package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Guards against entries that begin a job on the word of an agent while a run of a former process may still start, is unclaimed or
// is being stopped there, or the owner of a run is dead.
func TestRunsListedOnlyWithoutRunsOfOthers(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	expect := func(want bool, when string) {
		t.Helper()
		if got := f.RunsListed(f.now); got != want {
			t.Errorf("%s: runs listed: %t", when, got)
		}
	}
	expect(false, "before the first snapshot")
	a, b := RunningRun{Ref: ref("a", 1)}, RunningRun{Ref: ref("b", 1)}
	f.snapshot([]RunningRun{a, b}, nil)
	f.Claim("e1", a.Ref, run.Demand{CPU: 1000}, f.now, f.now)
	f.Claim("e1", b.Ref, run.Demand{CPU: 1000}, f.now, f.now)
	f.Confirmed("e1", f.now)
	expect(false, "while orders of the former process may start")
	f.advance(160 * time.Millisecond)
	f.Confirmed("e1", f.now)
	c := RunningRun{Ref: ref("c", 1)}
	f.snapshot([]RunningRun{a, b, c}, nil)
	expect(false, "with an unclaimed run")
	f.Claim("e1", c.Ref, run.Demand{CPU: 1000}, f.now, f.now)
	expect(true, "with claimed runs")
	f.Stop(f.now, c.Ref)
	expect(false, "with a found run that is being stopped")
	f.snapshot([]RunningRun{a, b}, []EndedRun{{Number: 1, Ref: c.Ref, Kind: run.Stopped}})
	expect(true, "after the end of that run")
	f.advance(ownerHeardWithin + time.Millisecond)
	expect(false, "with a silent owner")
	f.Confirmed("e1", f.now)
	expect(true, "after a message of the owner")
	f.snapshot([]RunningRun{a, b}, nil)
	f.ApplySnapshot(f.now, Snapshot{Requested: f.now, Incarnation: testIncarnation, ClockMS: f.clock() + 1, Running: []RunningRun{a, b}, UnreadableRuns: 1})
	expect(false, "with a row that cannot be read")
	f.snapshot([]RunningRun{a, b}, nil)
	f.requireSnapshot(f.now)
	expect(false, "after a pause, before a new snapshot")
}
