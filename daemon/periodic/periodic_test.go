package periodic

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against work that is done at once, too seldom, or after the context has ended.
func TestRunCallsOncePerIntervalUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 35*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		Run(ctx, 10*time.Millisecond, func() { calls = append(calls, time.Since(start)) })
		if took := time.Since(start); took != 35*time.Millisecond {
			t.Errorf("Run returned after %s, want 35ms", took)
		}
		if len(calls) != 3 || calls[0] != 10*time.Millisecond || calls[2] != 30*time.Millisecond {
			t.Errorf("calls after %v, want 10ms, 20ms and 30ms", calls)
		}
	})
}

// Guards against a wait for a condition that holds already, and against one that goes on after the condition holds.
func TestWaitEndsWithCondition(t *testing.T) {
	for checks, want := range map[int]time.Duration{1: 0, 3: 20 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			start, n := time.Now(), 0
			err := Wait(t.Context(), 10*time.Millisecond, func() bool { n++; return n == checks })
			if took := time.Since(start); err != nil || took != want {
				t.Errorf("Wait returned %v after %s, want nil after %s", err, took, want)
			}
		})
	}
}

// Guards against a wait that outlasts its context, and against one that hides that the condition does not hold.
func TestWaitReturnsErrorOfContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
		defer cancel()
		start := time.Now()
		err := Wait(ctx, 10*time.Millisecond, func() bool { return false })
		if took := time.Since(start); !errors.Is(err, context.DeadlineExceeded) || took != 25*time.Millisecond {
			t.Errorf("Wait returned %v after %s, want %v after 25ms", err, took, context.DeadlineExceeded)
		}
	})
}
