// Package lag detects from delays that a process is short of processor time. The delays are those
// of a periodic task, or of answers that wait to be read. It does no I/O, takes the time as a
// parameter, and is not safe for concurrent use.
package lag

import "time"

const (
	// shortThreshold is the mean delay from which a process counts as short of processor time, and
	// recoveredThreshold the one below which it no longer does. The shortest objectives are 150 ms,
	// and a job needs the processor several times.
	shortThreshold     = 50 * time.Millisecond
	recoveredThreshold = 15 * time.Millisecond
	// maxDelay caps each delay, so that a few long ones do not outweigh many short ones.
	maxDelay = 100 * time.Millisecond
	// lastingAfter is how long a shortage must last before callers are better served elsewhere.
	lastingAfter = time.Second
)

// Meter computes a moving mean of the delays of one kind. The zero value uses only the newest
// delay.
type Meter struct {
	// Window is the approximate number of recent delays in the mean. It should be small enough that
	// one long delay, for example after a freeze, is forgotten within a fraction of a second.
	Window  int
	mean    time.Duration
	short   bool
	lasting bool
	since   time.Time // time of the last change of short
}

// Observe records a delay.
func (m *Meter) Observe(now time.Time, delay time.Duration) {
	if m.since.IsZero() {
		m.since = now
	}
	m.mean += (min(delay, maxDelay) - m.mean) / time.Duration(max(1, m.Window))
	if !m.short && m.mean >= shortThreshold || m.short && m.mean < recoveredThreshold {
		m.short = !m.short
		m.since = now
	}
	if now.Sub(m.since) >= lastingAfter {
		m.lasting = m.short
	}
}

// Mean returns the moving mean of the delays.
func (m *Meter) Mean() time.Duration { return m.mean }

// Short reports whether the process is short of processor time.
func (m *Meter) Short() bool { return m.short }

// Lasting reports whether the shortage has lasted long enough to send callers elsewhere. It ends
// with the same delay as it begins, so that callers do not alternate between entries.
func (m *Meter) Lasting() bool { return m.lasting }
