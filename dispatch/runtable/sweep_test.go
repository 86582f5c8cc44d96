package runtable

import (
	"testing"
	"time"
)

// Guards against runs that continue for an entry that crashed, froze or was disconnected, while its
// callers submit their jobs again elsewhere.
func TestRunsOfSilentEntryAreStopped(t *testing.T) {
	f := newFixture(t)
	f.orderAndStart(ref("a", 1), 1000)
	f.advance(testLimits.OwnerSilence)
	if stops := f.Sweep(f.now); len(stops) != 0 {
		t.Fatalf("runs stopped too early: %v", stops)
	}
	f.advance(time.Millisecond)
	if stops := f.Sweep(f.now); len(stops) != 1 {
		t.Fatalf("runs to stop: %v", stops)
	}
	// A stop may be lost, so it is repeated until the end is seen.
	if stops := f.Sweep(f.now); len(stops) != 1 {
		t.Errorf("the stop is not repeated: %v", stops)
	}
}
