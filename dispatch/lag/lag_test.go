package lag

import (
	"testing"
	"time"
)

const interval = 20 * time.Millisecond

// observeDelays records the delays of a periodic task that runs late by delay each time, until d
// has passed, and returns the end time.
func observeDelays(m *Meter, from time.Time, delay, d time.Duration) time.Time {
	now := from
	for now.Sub(from) < d {
		now = now.Add(interval + delay)
		m.Observe(now, delay)
	}
	return now
}

// Guards against taking a freeze for a shortage of processor time. After a freeze the process has
// enough processor time, and rejecting callers would be needless.
func TestFreezeIsNotShortage(t *testing.T) {
	m := Meter{Window: 5}
	now := observeDelays(&m, time.Unix(1000, 0), 0, time.Second)
	now = observeDelays(&m, now, 800*time.Millisecond, time.Millisecond)
	now = observeDelays(&m, now, 0, 500*time.Millisecond)
	if m.Short() || m.Lasting() {
		t.Errorf("half a second after a freeze: short %t, lasting %t, mean %v", m.Short(), m.Lasting(), m.Mean())
	}
	observeDelays(&m, now, 2*time.Millisecond, 5*time.Second)
	if m.Short() {
		t.Error("timers that are 2 ms late count as a shortage")
	}
}

// Guards against a shortage that is not detected or continues after its end, and against
// redirecting callers at each change.
func TestShortage(t *testing.T) {
	m := Meter{Window: 5}
	now := observeDelays(&m, time.Unix(1000, 0), 0, time.Second)
	now = observeDelays(&m, now, 80*time.Millisecond, 600*time.Millisecond)
	if !m.Short() || m.Lasting() {
		t.Errorf("after 0.6 s of delays: short %t, lasting %t", m.Short(), m.Lasting())
	}
	now = observeDelays(&m, now, 80*time.Millisecond, time.Second)
	if !m.Lasting() {
		t.Error("after 1.6 s of delays the shortage does not count as lasting")
	}
	now = observeDelays(&m, now, 0, 300*time.Millisecond)
	if m.Short() || !m.Lasting() {
		t.Errorf("0.3 s after the delays: short %t, lasting %t", m.Short(), m.Lasting())
	}
	observeDelays(&m, now, 0, 1200*time.Millisecond)
	if m.Lasting() {
		t.Error("1.5 s after the delays the shortage still counts as lasting")
	}
}
