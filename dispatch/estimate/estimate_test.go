package estimate

import (
	"testing"
	"time"
)

// Guards against estimates that one outlier moves, and against a wrong fallback.
func TestExpected(t *testing.T) {
	now := time.Unix(0, 0)
	k := New[string]().Kind("check")
	fast, unknown := k.Cell("fast"), k.Cell("unknown")
	check := func(name string, got, want time.Duration) {
		if got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	check("nothing known", unknown.Expected(0), Default)
	check("declared", unknown.Expected(time.Minute), time.Minute)
	for range samples {
		fast.Observe(now, 100*time.Millisecond)
	}
	fast.Observe(now, time.Hour)
	check("outlier", fast.Expected(0), 100*time.Millisecond)
	check("other servers", unknown.Expected(time.Minute), 100*time.Millisecond)
}
