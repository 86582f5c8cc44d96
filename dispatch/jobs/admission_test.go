package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
)

// countRejectedOfTen returns how many of ten jobs are rejected by a scheduler with one backend server.
func countRejectedOfTen(t *testing.T, prepare func(*harness)) int {
	h := newHarness(t, 1, 10_000)
	prepare(h)
	n := 0
	for i := range 10 {
		if !h.submit(fmt.Sprint("j", i), 2, 3000, 100*time.Millisecond) {
			n++
		}
	}
	return n
}

// TestWarmUpCountsExpectedAgents checks that jobs are not rejected for lack of capacity while the
// agents of a system that has just started are still connecting: 46 were rejected within 0.2 s after a
// power failure.
func TestWarmUpCountsExpectedAgents(t *testing.T) {
	rejected := func(expect int) int {
		return countRejectedOfTen(t, func(h *harness) { h.SetExpectedAgents(h.now, expect) })
	}
	if few, many := rejected(11), rejected(1); few >= many {
		t.Errorf("%d jobs rejected while agents are expected, %d otherwise", few, many)
	}
}

// TestWarmUpHoldsJobsForTheFirstServer checks that jobs are held while an entry that has just started
// waits for its first backend server, which is known 0.1 s after the start of the entry.
func TestWarmUpHoldsJobsForTheFirstServer(t *testing.T) {
	h := newHarness(t, 0, 0)
	if h.submit("early", 1, 3000, 100*time.Millisecond) || h.outcomes["early"].Code != result.NotReady {
		t.Error("a job was not rejected as NotReady although no agent is known")
	}
	h.SetExpectedAgents(h.now, 1)
	if !h.submit("j", 1, 3000, 100*time.Millisecond) {
		t.Fatal("rejected although an agent is expected")
	}
	h.advance(100 * time.Millisecond)
	h.connect("a0", 10_000)
	h.advance(time.Millisecond)
	if h.placed() != 1 {
		t.Error("not placed on the first server")
	}
	h = newHarness(t, 0, 0)
	h.SetExpectedAgents(h.now, 1)
	h.submit("j", 1, 3000, 100*time.Millisecond)
	for range 12 {
		h.advance(50 * time.Millisecond)
	}
	if o := h.outcomes["j"]; o.Code != result.DeadlineUnmet || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("outcome without a server: %+v", o)
	}
}

// TestLowPriorityJobMayWaitBriefly checks that jobs of low priority are not rejected as soon as any job
// waits.
func TestLowPriorityJobMayWaitBriefly(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	low := testQueue
	low.Priority = 9
	for i := range 3 {
		h.submit(fmt.Sprint("j", i), 1, 3000, 400*time.Millisecond)
	}
	h.submit("waits", 1, 100, time.Millisecond)
	h.submit("waits too", 1, 3000, 2*time.Millisecond)
	if !h.submitTo(low, "low", 1, 3000, 400*time.Millisecond) {
		t.Errorf("rejected behind a backlog of 6 ms: %+v", h.outcomes["low"])
	}
}

// TestOpeningLinksCountInAdmission checks that jobs are not rejected if the capacity for them is on
// agents to which links will be open in a few milliseconds.
func TestOpeningLinksCountInAdmission(t *testing.T) {
	rejected := func(opening int) int {
		return countRejectedOfTen(t, func(h *harness) { h.SetOpening(opening) })
	}
	if few, many := rejected(10), rejected(0); few >= many {
		t.Errorf("%d jobs rejected while ten links are being opened, %d otherwise", few, many)
	}
}

// TestUnfitJobIsNotReadyWithPartOfTheFleet checks that a job that fits on no known backend server is rejected as
// NotReady while there are agents without a link. With CannotRun its caller would not retry, and the
// entry would not look for these agents.
func TestUnfitJobIsNotReadyWithPartOfTheFleet(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("all", 1, 20_000, time.Second)
	if o := h.outcomes["all"]; o.Code != result.CannotRun || h.TakeJobRefused() {
		t.Errorf("with links to all agents: %+v", o)
	}
	h.SetPartial(true)
	h.submit("part", 1, 20_000, time.Second)
	if o := h.outcomes["part"]; o.Code != result.NotReady || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("with links to a part of the agents: %+v", o)
	}
	if !h.TakeJobRefused() || h.TakeJobRefused() {
		t.Error("TakeJobRefused does not report the refusal exactly once")
	}
}
