package runtable

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// oddSnapshot applies a snapshot with one row of a run in progress that cannot be read.
func (f *fixture) oddSnapshot(running []RunningRun, ended []EndedRun) []Event {
	return f.ApplySnapshot(f.now, Snapshot{
		Requested: f.now, Incarnation: testIncarnation, ClockMS: f.clock(), Running: running, Ended: ended, UnreadableRuns: 1,
	})
}

// Guards against a second run of a task at the same time: the row of its first run cannot be read, and the run
// counts as missing from the snapshot.
func TestUnreadableRowEndsNoRun(t *testing.T) {
	f := newFixture(t)
	a, late := ref("a.0.0.0", 1), ref("b.0.0.0", 1)
	f.order(a, 1000)
	f.Accepted(f.now, time.Millisecond, a, f.clock())
	f.order(late, 1000)
	f.advance(200 * time.Millisecond)
	f.Confirmed("e1", f.now)
	if events := f.oddSnapshot(nil, nil); len(events) != 0 || f.Len() != 2 {
		t.Errorf("a snapshot with an unreadable row ends runs: %+v", events)
	}
	if f.RenewLease(f.now) == 0 {
		t.Error("the clock of a snapshot with an unreadable row does not renew the lease")
	}
	if wait := f.NextExpiry(f.now, time.Second); wait != time.Second {
		t.Errorf("the next poll waits %s although the row stays unreadable", wait)
	}
	if events := f.snapshot(nil, nil); len(events) != 2 {
		t.Errorf("a complete snapshot ends %+v", events)
	}
}

// Guards against listed ends that have no effect because a row of a run in progress cannot be read.
func TestUnreadableRowLeavesOtherRowsInForce(t *testing.T) {
	f := newFixture(t)
	a, b := ref("a.0.0.0", 1), ref("b.0.0.0", 1)
	for _, r := range []run.Ref{a, b} {
		f.order(r, 1000)
		f.Accepted(f.now, time.Millisecond, r, f.clock())
	}
	f.advance(20 * time.Millisecond)
	events := f.oddSnapshot([]RunningRun{{Ref: b, Checkpoint: "c", Percent: 30}}, []EndedRun{{Number: 1, Ref: a, Kind: run.Done}})
	wantSingleEvent(t, events, run.Done, 0)
	f.oddSnapshot([]RunningRun{{Ref: b, Percent: UnknownPercent}}, nil)
	if r := f.runs[b]; r.percent != 30 || r.checkpoint != "c" || f.LastEnd() != 1 {
		t.Errorf("percent %d, checkpoint %q, last end %d", r.percent, r.checkpoint, f.LastEnd())
	}
}

// Guards against an agent that takes its record for complete after its restart although a row could not be read:
// it would tell the entry that the run has stopped, and renew the lease of a run that nobody has claimed.
func TestRestartedAgentNeedsCompleteSnapshot(t *testing.T) {
	f := &fixture{Table: New(start(), testLimits), t: t, now: start()}
	f.Announce(f.now, testServer, testIncarnation)
	f.oddSnapshot(nil, nil)
	f.advance(200 * time.Millisecond)
	f.oddSnapshot(nil, nil)
	unknown := ref("a.0.0.0", 1)
	if f.CanAnswerClaim(f.now, unknown) || f.RenewLease(f.now) != 0 {
		t.Error("an incomplete snapshot shows which runs there are")
	}
	f.Confirmed("e1", f.now)
	if code := f.order(ref("b.0.0.0", 1), 1000); code != result.StaleToken {
		t.Errorf("order with code %d", code)
	}
	f.snapshot(nil, nil)
	if !f.CanAnswerClaim(f.now, unknown) || f.RenewLease(f.now) == 0 {
		t.Error("a complete snapshot does not show which runs there are")
	}
}
