package runtable

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a rate that counts old starts, and against unlimited memory for many kinds of request.
func TestStartRatesDecayAndAreBounded(t *testing.T) {
	var r StartRates
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		r.Add(now, "kind")
	}
	if got := r.PerSecond(now)["kind"]; got < 19 || got > 21 {
		t.Errorf("%.1f starts per second, want about 20", got)
	}
	if got := r.PerSecond(now.Add(time.Minute))["kind"]; got > 0.1 {
		t.Errorf("%.3f starts per second a minute after the newest one", got)
	}
	for i := range 2 * maxKinds {
		r.Add(now, fmt.Sprint(i))
	}
	if len(r.kinds) > maxKinds {
		t.Errorf("%d kinds kept, want at most %d", len(r.kinds), maxKinds)
	}
}
