package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// deliverCancels records cancels at an agent as runagent does, and answers them at once.
func (f *ownerFleet) deliverCancels(e *ownerEntry, agent string, ids []string) {
	for _, id := range ids {
		c, refused := f.tables[agent].Cancel(f.now, e.name, id)
		f.queue(agent, refused...)
		a := CancelAnswer{Recorded: c.Recorded, MayHave: c.MayHave || c.Owner != ""}
		for _, target := range f.entries {
			if target.name != c.Owner {
				continue
			}
			a.PassedOn = target == e || target.linked[agent]
			if target != e && target.linked[agent] {
				target.Cancel(id)
				f.take(target)
			}
		}
		e.CancelAnswered(agent, id, a)
	}
}

// tellCancelled tells an entry over a new link which of its jobs were cancelled.
func (f *ownerFleet) tellCancelled(e *ownerEntry, agent string, owned []string) {
	for _, id := range owned {
		if f.tables[agent].Cancelled(id) {
			e.Cancel(id)
			f.take(e)
		}
	}
}

// reconnect opens a link over which the agent's first frame is the answer to that of the entry, as runagent sends it. It tells the entry
// which of its runs have ended.
func (f *ownerFleet) reconnect(e *ownerEntry, agent string) {
	e.linked[agent], e.tokens[agent] = true, f.now
	e.AgentConnected(f.now, agent)
	f.take(e)
	f.deliverFrame(e, agent)
	f.learnEnds(e)
	e.Report(f.now, agent, Report{Server: serverOf(agent, 64000), Free: run.Demand{CPU: 64000, MemoryMB: 1 << 20}, RecordsOwners: true, Uptime: f.now.Sub(f.started[agent])})
	f.take(e)
	e.Tick(f.now)
	f.take(e)
}

// cancel cancels a job at an entry and returns the result when all frames and answers have arrived.
func (f *ownerFleet) cancel(e *ownerEntry, id string) CancelResult {
	e.RequestCancel(f.now, id)
	f.take(e)
	f.deliverAll()
	return e.FinalCancelState(f.now, id)
}

// newFleetWithJob returns a fleet whose first entry runs job j.
func newFleetWithJob(t *testing.T, entries, agents int) *ownerFleet {
	t.Helper()
	f := newOwnerFleetWith(lostRecordLimits(), entries, agents)
	f.pass(2 * lostRecordLimits().OwnerLostAfter)
	f.submit(f.entries[0], "j")
	f.deliverAll()
	if f.runs(f.entries[0]) == 0 {
		t.Fatal("the job does not run")
	}
	return f
}

// stopRuns ends all runs of an entry, as its agents report.
func (f *ownerFleet) stopRuns(e *ownerEntry) {
	clear(e.running)
	f.learnEnds(e)
	f.deliverAll()
}

// requireNoRun submits the job to the entry and fails the test if it begins there or has no outcome.
func (f *ownerFleet) requireNoRun(t *testing.T, e *ownerEntry) {
	t.Helper()
	f.submit(e, "j")
	f.pass(2 * lostRecordLimits().OwnerLostAfter)
	if f.runs(e) != 0 || e.ended["j"].Code != result.Cancelled {
		t.Errorf("%d runs of the cancelled job, outcome %+v", f.runs(e), e.ended["j"])
	}
}

// Guards against a cancelled job that runs again because its request arrives seconds later, at another entry, with a single
// registrar lost in between (review/8).
func TestCancelledJobDoesNotRunAtOtherEntry(t *testing.T) {
	for lost := range 8 {
		f := newFleetWithJob(t, 2, 8)
		if r := f.cancel(f.entries[0], "j"); r != CancelDone {
			t.Fatalf("result %s", r)
		}
		f.stopRuns(f.entries[0])
		f.pass(2 * time.Second)
		f.disconnect(f.agents[lost])
		f.pass(2 * time.Second)
		f.requireNoRun(t, f.entries[1])
	}
}

// Guards against a registrar that restarts and grants a cancelled job: the entry that had the cancel sends it again.
func TestRestartedRegistrarsLearnOfCancels(t *testing.T) {
	f := newFleetWithJob(t, 2, 3)
	f.cancel(f.entries[0], "j")
	f.stopRuns(f.entries[0])
	f.killAgents(f.agents...)
	f.restartAgents(f.agents...)
	f.pass(2 * lostRecordLimits().OwnerLostAfter)
	f.requireNoRun(t, f.entries[1])
}

// Guards against "no such job" while the owner of the job is not reached: the registrars that know it are cut off (review/7), or the owner
// itself is, and comes back after the cancel (review/9).
func TestCancelDuringCut(t *testing.T) {
	t.Run("canceller", func(t *testing.T) {
		f := newFleetWithJob(t, 2, 6)
		order := f.entries[0].orderFor(f.now, "j")
		for _, agent := range order[:4] {
			f.cut(f.entries[1], agent)
		}
		f.pass(2 * lostRecordLimits().OwnerLostAfter)
		if r := f.cancel(f.entries[1], "j"); r != CancelUnanswered {
			t.Errorf("result %s", r)
		}
		for _, agent := range order[:4] {
			f.connect(f.entries[1], agent)
		}
		f.deliverAll()
		if held, _ := f.entries[0].Has("j"); held {
			t.Error("the owner does not learn of the cancel after the cut")
		}
	})
	t.Run("owner", func(t *testing.T) {
		for _, cut := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
			f := newFleetWithJob(t, 2, 6)
			for _, agent := range f.agents {
				f.cut(f.entries[0], agent)
			}
			f.pass(cut)
			clear(f.entries[0].running)
			if r := f.cancel(f.entries[1], "j"); r != CancelDone {
				t.Errorf("result %s %s after the beginning of the cut", r, cut)
			}
			for _, agent := range f.agents {
				f.reconnect(f.entries[0], agent)
				if n := f.runs(f.entries[0]); n != 0 {
					t.Fatalf("%d runs after the link to %s", n, agent)
				}
			}
			f.learnEnds(f.entries[0])
			f.pass(2 * lostRecordLimits().OwnerLostAfter)
			if o := f.entries[0].ended["j"]; o.Code != result.Cancelled || f.runs(f.entries[0]) != 0 {
				t.Errorf("outcome %+v, %d runs after a cut of %s", o, f.runs(f.entries[0]), cut)
			}
		}
	})
}

// Guards against a job that runs on because it has moved to another entry since the one that gets the cancel had it (review/10), and against
// one that this entry waits for while another owns it.
func TestCancelReachesPresentOwner(t *testing.T) {
	f := newFleetWithJob(t, 3, 4)
	for f.runs(f.entries[0]) > 0 {
		f.endRun(f.entries[0], run.Done)
	}
	f.deliverAll()
	f.submit(f.entries[1], "j")
	f.deliverAll()
	f.submit(f.entries[2], "j")
	f.deliverAll()
	if f.runs(f.entries[1]) == 0 || f.runs(f.entries[2]) != 0 {
		t.Fatalf("runs %d and %d", f.runs(f.entries[1]), f.runs(f.entries[2]))
	}
	if r := f.cancel(f.entries[0], "j"); r != CancelDone {
		t.Errorf("result %s", r)
	}
	for _, e := range f.entries[1:] {
		if o := e.ended["j"]; o.Code != result.Cancelled {
			t.Errorf("outcome %+v at %s", o, e.name)
		}
	}
}

// Guards against a wrong conclusion from the answers: 410 needs those of all registrars, success the record of all but one.
func TestCancelStateNeedsAnswers(t *testing.T) {
	none, recorded := CancelAnswer{}, CancelAnswer{Recorded: true}
	mayHave, full := CancelAnswer{Recorded: true, MayHave: true}, CancelAnswer{MayHave: true}
	passedOn := CancelAnswer{PassedOn: true}
	for _, c := range []struct {
		name    string
		answers []CancelAnswer // of the first agents of four
		cut     int            // number of the last agents without a link
		now     CancelResult
		final   CancelResult
	}{
		{"all know of none", []CancelAnswer{recorded, recorded, recorded, recorded}, 0, CancelNoJob, CancelNoJob},
		{"earlier versions know of none", []CancelAnswer{none, none, none, none}, 0, CancelNoJob, CancelNoJob},
		{"one has not answered", []CancelAnswer{recorded, recorded, recorded}, 0, CancelPending, CancelDone},
		{"one is not reached", []CancelAnswer{recorded, recorded, recorded}, 1, CancelDone, CancelDone},
		{"two are not reached", []CancelAnswer{recorded, recorded}, 2, CancelUnanswered, CancelUnanswered},
		{"one may know of an owner", []CancelAnswer{recorded, recorded, recorded, mayHave}, 0, CancelDone, CancelDone},
		{"one has no space", []CancelAnswer{recorded, recorded, recorded, full}, 0, CancelDone, CancelDone},
		{"two have no space", []CancelAnswer{recorded, recorded, full, full}, 0, CancelUnanswered, CancelUnanswered},
		{"one has no space, one is not reached", []CancelAnswer{recorded, recorded, full}, 1, CancelUnanswered, CancelUnanswered},
		{"the owner was told", []CancelAnswer{passedOn}, 3, CancelDone, CancelDone},
		{"none is reached", nil, 4, CancelUnanswered, CancelUnanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newOwnerFleet(1, 4)
			e := f.entries[0]
			for _, agent := range f.agents[4-c.cut:] {
				f.cut(e, agent)
			}
			f.pass(registrarWait)
			e.RequestCancel(f.now, "j")
			for i, a := range c.answers {
				e.CancelAnswered(f.agents[i], "j", a)
			}
			if now, final := e.CancelState(f.now, "j"), e.FinalCancelState(f.now, "j"); now != c.now || final != c.final {
				t.Errorf("result %s, finally %s; want %s, %s", now, final, c.now, c.final)
			}
		})
	}
}

// Guards against 503 for a cancel that comes while links were reset and are about to open: their first frames carry it.
func TestCancelAwaitsLinksThatWereReset(t *testing.T) {
	f := newFleetWithJob(t, 2, 4)
	e := f.entries[1]
	for _, agent := range f.agents {
		f.cut(e, agent)
	}
	if r := e.RequestCancel(f.now, "j"); r != CancelPending {
		t.Fatalf("result %s", r)
	}
	f.take(e)
	for _, agent := range f.agents {
		f.reconnect(e, agent)
	}
	if r := e.CancelState(f.now, "j"); r != CancelDone {
		t.Errorf("result %s after the links were opened", r)
	}
	if o := f.entries[0].ended["j"]; o.Code != result.Cancelled {
		t.Errorf("outcome %+v at the owner", o)
	}
}

// Guards against further frames for the cancel of a job at its owner, and against cancels that are kept without bound.
func TestCancelsOfEntryAreBounded(t *testing.T) {
	f := newFleetWithJob(t, 1, 8)
	e := f.entries[0]
	e.RequestCancel(f.now, "j")
	if _, batches := e.Take(); len(batches) > 2*registrarsPerJob {
		t.Errorf("%d frames for the cancel of a job with two runs", len(batches))
	}
	for i := range 2 * maxCancels {
		e.RequestCancel(f.now, fmt.Sprint(i))
		e.Take()
	}
	if len(e.cancels) > maxCancels || len(e.cancels) != len(e.cancelOrder) {
		t.Errorf("%d and %d cancels kept", len(e.cancels), len(e.cancelOrder))
	}
	e.Tick(f.now.Add(cancelRetention + time.Second))
	if len(e.cancels) != 0 {
		t.Errorf("%d cancels kept after their time", len(e.cancels))
	}
}

// Guards against an entry of an earlier version that runs a cancelled job: it takes the answer for one that names another owner.
func TestEarlierEntryDoesNotRunCancelledJob(t *testing.T) {
	f := newFleetWithJob(t, 2, 3)
	f.cancel(f.entries[0], "j")
	f.stopRuns(f.entries[0])
	e := f.entries[1]
	f.submit(e, "j")
	for _, agent := range f.agents {
		for len(e.frames[agent]) > 0 {
			f.deliverFrame(e, agent)
		}
		for i := range e.answers[agent] {
			e.answers[agent][i].Answer = owner.Answer{Entry: e.name, Request: e.answers[agent][i].Request, Granted: e.answers[agent][i].Granted}
		}
	}
	f.pass(2 * time.Second)
	if f.runs(e) != 0 {
		t.Errorf("%d runs of the cancelled job", f.runs(e))
	}
}
