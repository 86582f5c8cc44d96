package estimate

import (
	"testing"
	"time"
)

// Guards against estimates that change because of one outlier, and against a wrong fallback.
func TestExpected(t *testing.T) {
	now := time.Unix(0, 0)
	k := New[string]().Kind("check")
	fast, unknown := k.ForServer("fast"), k.ForServer("unknown")
	check := func(name string, got, want time.Duration) {
		if got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	check("nothing known", unknown.Expected(0), Default)
	check("declared", unknown.Expected(time.Minute), time.Minute)
	for range windowSize {
		fast.Observe(now, 100*time.Millisecond)
	}
	fast.Observe(now, time.Hour)
	check("outlier", fast.Expected(0), 100*time.Millisecond)
	check("other servers", unknown.Expected(time.Minute), 100*time.Millisecond)
	for range recentSize {
		fast.Observe(now, 300*time.Millisecond)
	}
	check("change of speed", fast.Expected(0), 300*time.Millisecond)
}

// Guards against two equally fast servers that seem different because of a few run times, and
// against applying a server's general speed to a kind that it runs at an unusual speed.
func TestPooledEstimate(t *testing.T) {
	now := time.Unix(0, 0)
	table := New[string]()
	observe := func(kind, server string, ms ...time.Duration) *ServerEstimate {
		e := table.Kind(kind).ForServer(server)
		for range windowSize {
			for _, d := range ms {
				e.Observe(now, d*time.Millisecond)
			}
		}
		return e
	}
	for _, server := range []string{"a", "c"} {
		observe("check", server, 100)
		observe("long", server, 1000)
		observe("special", server, 100)
	}
	observe("long", "b", 1000)
	if got := observe("check", "b", 130).Expected(0); got <= 100*time.Millisecond || got >= 130*time.Millisecond {
		t.Errorf("pooled estimate is %v", got)
	}
	if got := observe("special", "b", 400).Expected(0); got != 400*time.Millisecond {
		t.Errorf("estimate of a special kind is %v", got)
	}
}
