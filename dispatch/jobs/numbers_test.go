package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Guards against an event of a kind that this version does not know which is taken for the end of its run: the task
// would be started a second time beside it.
func TestEventOfUnknownKindEndsNoRun(t *testing.T) {
	h := newHarness(t, 2, 10_000)
	h.submit("j", 1, 1000, 100*time.Millisecond)
	const agent = "a0" // the first of two that are alike
	for _, kind := range []run.EventKind{0, run.Stopped + 1} {
		h.Event(h.now, agent, run.Event{Ref: h.orders[agent][0].Ref, Kind: kind})
		h.take()
	}
	if n := h.placed(); n != 1 || !h.HasRuns(agent) {
		t.Errorf("%d orders, run known %v", n, h.HasRuns(agent))
	}
}
