package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// TestJobCompletesWithItsLastTask checks that a job is completed exactly once, after all its tasks are
// done.
func TestJobCompletesWithItsLastTask(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("j", 3, 3000, 100*time.Millisecond)
	if h.placed() != 3 {
		t.Fatalf("%d tasks placed, want 3", h.placed())
	}
	for agent, list := range h.orders {
		for _, o := range append([]Order(nil), list...) {
			if _, done := h.outcomes["j"]; done {
				t.Fatal("outcome before the last task is done")
			}
			h.endRun(agent, o.Ref, run.Done, 0)
		}
	}
	if o, ok := h.outcomes["j"]; !ok || o.Code != 0 {
		t.Errorf("outcome %+v (recorded: %v), want completed", o, ok)
	}
}

// TestAbandonStopsRuns checks that the runs of an abandoned job are stopped: its caller may submit the
// job again elsewhere.
func TestAbandonStopsRuns(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("j", 4, 3000, 400*time.Millisecond)
	h.Abandon("j")
	h.take()
	if len(h.stops) != 4 {
		t.Errorf("%d runs stopped, want 4", len(h.stops))
	}
	if _, ok := h.outcomes["j"]; ok {
		t.Error("an abandoned job has an outcome")
	}
}

// TestEffectTellsWhetherJobMayHaveRun checks that the effect of a job that may have started is not
// NotRun.
func TestEffectTellsWhetherJobMayHaveRun(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("ran", 1, 3000, 100*time.Millisecond)
	h.submit("refused", 1, 3000, 100*time.Millisecond)
	h.AgentDisconnected(h.now, "a0")
	for _, o := range append([]Order(nil), h.orders["a0"]...) {
		if o.Ref.Task == run.TaskName("refused", 0, 0, 0) {
			h.endRun("a0", o.Ref, run.NotRun, result.NoFreeSlot)
		}
	}
	h.advance(1600 * time.Millisecond)
	if o := h.outcomes["ran"]; o.Effect != result.Run {
		t.Errorf("ran: %+v", o)
	}
	if o := h.outcomes["refused"]; o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("refused: %+v", o)
	}
}

// TestRunTimeCountsFromItsStart checks that the run time counts from the start of the run, not from the
// order. When it counted from the order, a tenth of the runs looked slow and were stopped while 30% of
// the answers were lost.
func TestRunTimeCountsFromItsStart(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 900 * time.Millisecond, 200 * time.Millisecond: 1800 * time.Millisecond} {
		h := newHarness(t, 1, 8000)
		h.submit("j", 1, 1000, time.Second)
		ref := h.orders["a0"][0].Ref
		h.now = h.now.Add(200 * time.Millisecond)
		h.Progress(h.now, "a0", ref, 10, age)
		if remaining, known := h.servers["a0"].runs[ref].remaining(h.now); !known || remaining != want {
			t.Errorf("a run at 10%% after %v has %v remaining (known: %t)", age, remaining, known)
		}
	}
}
