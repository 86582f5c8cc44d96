package lag

import (
	"testing"
	"time"
)

const interval = 20 * time.Millisecond

// run observes a duty that runs each interval with the delay for the given time, and returns the end of it.
func run(m *Meter, from time.Time, delay, d time.Duration) time.Time {
	now := from
	for now.Sub(from) < d {
		now = now.Add(interval + delay)
		m.Observe(now, delay)
	}
	return now
}

// Guards against a freeze that is taken for a shortage of processor time: after it the process has all
// that it needs, and callers that are rejected then are rejected for nothing.
func TestFreezeIsNoShortage(t *testing.T) {
	m := Meter{Over: 5}
	now := run(&m, time.Unix(1000, 0), 0, time.Second)
	now = run(&m, now, 800*time.Millisecond, time.Millisecond)
	now = run(&m, now, 0, 500*time.Millisecond)
	if m.Short() || m.Lasting() {
		t.Errorf("half a second after a freeze: short %t, lasting %t, mean %v", m.Short(), m.Lasting(), m.Mean())
	}
	run(&m, now, 2*time.Millisecond, 5*time.Second)
	if m.Short() {
		t.Error("timers that are 2 ms late count as a shortage")
	}
}

// Guards against a shortage that is not seen, or goes on after its end, and against callers who are sent
// to and fro at each change.
func TestShortage(t *testing.T) {
	m := Meter{Over: 5}
	now := run(&m, time.Unix(1000, 0), 0, time.Second)
	now = run(&m, now, 80*time.Millisecond, 600*time.Millisecond)
	if !m.Short() || m.Lasting() {
		t.Errorf("after 0.6 s of delays: short %t, lasting %t", m.Short(), m.Lasting())
	}
	now = run(&m, now, 80*time.Millisecond, time.Second)
	if !m.Lasting() {
		t.Error("after 1.6 s of delays the shortage does not last")
	}
	now = run(&m, now, 0, 300*time.Millisecond)
	if m.Short() || !m.Lasting() {
		t.Errorf("0.3 s after the delays: short %t, lasting %t", m.Short(), m.Lasting())
	}
	run(&m, now, 0, 1200*time.Millisecond)
	if m.Lasting() {
		t.Error("1.5 s after the delays the shortage lasts")
	}
}
