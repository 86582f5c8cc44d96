// Package lag decides from delays when a process is short of processor time: from those of a duty that
// should run at a fixed interval, or of answers that wait to be read. It does no I/O, time is a
// parameter, and it is not safe for concurrent use.
package lag

import "time"

const (
	// shortAt and enoughAt are the mean delays from which a process counts as short of processor time,
	// and below which it does not any more. The shortest objectives are 150 ms, and a job needs several
	// turns of the processor.
	shortAt  = 50 * time.Millisecond
	enoughAt = 15 * time.Millisecond
	// most is the longest delay that counts, so that a few long ones do not outweigh many short ones.
	most = 100 * time.Millisecond
	// longFor is the time after which a shortage lasts: callers are better served elsewhere.
	longFor = time.Second
)

// Meter is the mean of the newest delays of one kind. The zero value counts one of them.
type Meter struct {
	// Over is the number of delays that the mean is over, for the most part. One long delay, after a
	// freeze for example, should be forgotten within a fraction of a second.
	Over    int
	mean    time.Duration
	short   bool
	lasting bool
	since   time.Time // of the last change of short
}

// Observe records a delay.
func (m *Meter) Observe(now time.Time, late time.Duration) {
	if m.since.IsZero() {
		m.since = now
	}
	m.mean += (min(late, most) - m.mean) / time.Duration(max(1, m.Over))
	if !m.short && m.mean >= shortAt || m.short && m.mean < enoughAt {
		m.short = !m.short
		m.since = now
	}
	if now.Sub(m.since) >= longFor {
		m.lasting = m.short
	}
}

// Mean returns the mean of the newest delays.
func (m *Meter) Mean() time.Duration { return m.mean }

// Short tells whether the process is short of processor time.
func (m *Meter) Short() bool { return m.short }

// Lasting tells whether the shortage has lasted for so long that callers should be sent elsewhere. It
// ends as late as it begins, so that callers are not sent to and fro.
func (m *Meter) Lasting() bool { return m.lasting }
