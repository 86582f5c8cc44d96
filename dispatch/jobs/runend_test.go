package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// TestFailedTaskIsRetriedUpToItsAttempts checks that a failed task is retried on other backend servers,
// because one server may fail every task, and that its job fails once the attempts of the queue are
// used up.
func TestFailedTaskIsRetriedUpToItsAttempts(t *testing.T) {
	h := newHarness(t, 3, 10_000)
	h.submit("j", 1, 3000, 100*time.Millisecond)
	for i := range testQueue.Attempts {
		if h.placed() != 1 {
			t.Fatalf("%d orders before failure %d, want 1", h.placed(), i)
		}
		for agent, list := range h.orders {
			if len(list) > 0 {
				h.endRun(agent, list[0].Ref, run.Failed, 0)
				break
			}
		}
	}
	if o := h.outcomes["j"]; o.Code != result.TaskFailed {
		t.Errorf("outcome %+v", o)
	}
}

// TestRefusingAgentIsPaused checks that an order that an agent refuses is not repeated at once: 7,868
// refusals in 8 s were seen from five agents whose backend servers lost answers.
func TestRefusingAgentIsPaused(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("j", 1, 3000, 400*time.Millisecond)
	h.endRun("a0", h.orders["a0"][0].Ref, run.NotRun, result.StaleToken)
	h.report("a0", 10_000)
	h.take()
	if h.placed() != 0 {
		t.Error("ordered again before refusalPause passed")
	}
	h.advance(refusalPause)
	if h.placed() != 1 {
		t.Error("not ordered again after refusalPause")
	}
}

// TestLostAnswersPauseServerWithoutSuspension checks that lost answers do not suspend a backend server,
// but that one that answers no orders gets none for a while.
func TestLostAnswersPauseServerWithoutSuspension(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("j", 1, 3000, 400*time.Millisecond)
	for i := range unansweredLimit {
		if h.placed() != 1 {
			t.Fatalf("no order after %d lost answers", i)
		}
		h.endRun("a0", h.orders["a0"][0].Ref, run.NotRun, result.StartTooLate)
	}
	if h.placed() != 0 {
		t.Error("ordered again after unansweredLimit orders without an answer")
	}
	h.advance(unansweredPause)
	if h.placed() != 1 {
		t.Error("not ordered again after the pause")
	}
}

// TestOutdatedRunGetsHigherNumber checks that a task that is refused as outdated gets a run number
// above those of an entry with a clock that is ahead. Otherwise it is refused for as long as the clocks
// differ: this happens when a caller sends a job again to an entry whose clock is behind.
func TestOutdatedRunGetsHigherNumber(t *testing.T) {
	h := newHarness(t, 1, 8000)
	h.submit("j", 1, 1000, time.Second)
	first := h.orders["a0"][0].Ref
	h.orders["a0"] = nil
	h.endRun("a0", first, run.NotRun, result.OutdatedRun)
	h.take()
	if len(h.orders["a0"]) != 1 || h.orders["a0"][0].Ref.Run < first.Run+6000 {
		t.Errorf("orders after run %d was refused as outdated: %v", first.Run, h.orders["a0"])
	}
}
