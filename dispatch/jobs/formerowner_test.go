package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// newFleetWithLostOwner returns a fleet whose first entry has died with runs of job j, and the agents of these runs.
func newFleetWithLostOwner(t *testing.T) (f *ownerFleet, at []string) {
	f = newFleetWithJob(t, 2, 8)
	for _, agent := range f.entries[0].running {
		at = append(at, agent)
	}
	f.killEntry(f.entries[0])
	return f, at
}

// Guards against a second run of a task when the caller goes to the next entry only after the registrars have dropped the lost owner, and no
// entry waited for it (review/6), and against a job that waits for ever when the VM goes on.
func TestJobOfDeadEntryWaitsForSuspendedAgentWhenSentLater(t *testing.T) {
	f, at := newFleetWithLostOwner(t)
	second := f.entries[1]
	f.cut(second, at[0])
	f.pass(1300 * time.Millisecond)
	f.submit(second, "j")
	if f.pass(longSilence); f.runs(second) != 0 {
		t.Fatalf("%d runs while a run of the lost owner is on a suspended VM", f.runs(second))
	}
	f.connect(second, at[0])
	f.submit(second, "j") // the former submission was rejected because it came too late
	if wait := f.passUntilRuns(second, 2*time.Second); wait < lostRecordLimits().LostAfter || wait > time.Second {
		t.Errorf("ordered %s after the VM went on", wait)
	}
}

// Guards against a wait where no agent was away: the agents have run since the loss, and their next message shows it.
func TestJobOfDeadEntryBeginsWithNextMessages(t *testing.T) {
	f, _ := newFleetWithLostOwner(t)
	second := f.entries[1]
	f.pass(1300 * time.Millisecond)
	f.submit(second, "j")
	if wait := f.passUntilRuns(second, 2*time.Second); wait > 60*time.Millisecond {
		t.Errorf("ordered %s after the submission", wait)
	}
}

// Guards against "not run" for a job that a lost owner may have run.
func TestJobOfDeadEntryIsRejectedWithUnknownEffect(t *testing.T) {
	f, at := newFleetWithLostOwner(t)
	second := f.entries[1]
	f.cut(second, at[0])
	f.pass(1300 * time.Millisecond)
	f.submit(second, "j")
	f.pass(10 * time.Second)
	if o, ok := second.ended["j"]; !ok || o.Effect != result.Unknown || o.Code != result.OutcomeUnknown {
		t.Errorf("outcome %+v, %t", o, ok)
	}
}

// Guards against a wait for agents with registrars of an earlier version, which do not say that an owner was lost.
func TestGrantWithoutLossDoesNotWait(t *testing.T) {
	f, at := newFleetWithLostOwner(t)
	second := f.entries[1]
	f.cut(second, at[0])
	f.pass(1300 * time.Millisecond)
	f.submit(second, "j")
	for _, agent := range f.agents {
		for len(second.frames[agent]) > 0 {
			f.deliverFrame(second, agent)
		}
		for i, a := range second.answers[agent] {
			second.answers[agent][i].Answer = owner.Answer{Entry: a.Entry, Request: a.Request, Granted: a.Granted}
		}
	}
	f.deliverAll()
	if f.runs(second) == 0 {
		t.Error("no run after the grants")
	}
}

// Guards against a gap in the messages of an agent that counts as time in which it ran.
func TestAgentHasRunOnlyWithoutGap(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	v := &server{runs: map[run.Ref]*attempt{}}
	const limit, d = 200 * time.Millisecond, 800 * time.Millisecond
	for ms := 0; ms <= 900; ms += 140 {
		v.recordMessage(at(ms), limit)
	}
	if !v.hasRun(at(0), d) || v.hasRun(at(200), d) {
		t.Error("messages up to 840 ms")
	}
	v.recordMessage(at(1500), limit)
	v.recordMessage(at(1640), limit)
	if v.hasRun(at(0), d) {
		t.Error("a gap of 660 ms counts")
	}
	for ms := 1640; ms <= 2340; ms += 140 {
		v.recordMessage(at(ms), limit)
	}
	if !v.hasRun(at(0), d) {
		t.Error("840 ms after the gap do not count")
	}
}
