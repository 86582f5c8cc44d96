package jobs

import (
	"testing"
	"time"
)

// Guards against an entry that takes more work than its backend servers can do: when the capacity had shrunk
// below what ran there, the entry's share of the throughput was computed as more than all of it.
func TestShareOfShrunkServerIsAtMostAll(t *testing.T) {
	h := newHarness(t, 1, 8000)
	for _, id := range []string{"1", "2", "3", "4"} {
		if !h.submit(id, 1, 2000, time.Second) {
			t.Fatalf("job %s was rejected", id)
		}
	}
	h.report("a0", 2000)
	if got := h.throughput(h.now, "svc", pool{}); got > 2000 {
		t.Errorf("throughput of a backend server with 2000 CPU: %v", got)
	}
}
