package member

import "time"

// An entry that is removed again and again waits longer each time, so that one bad network
// path does not change the table each few seconds.
const (
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
	// stableAfter is how long a membership must last for the next removal to count as the first.
	stableAfter = time.Minute
)

type backoff struct {
	delay  time.Duration
	until  time.Time
	stable time.Time
}

func (b *backoff) removed(now time.Time) {
	b.delay = min(max(2*b.delay, firstBackoff), maxBackoff)
	b.until = now.Add(b.delay)
}

func (b *backoff) joined(now time.Time) { b.stable = now.Add(stableAfter) }

func (b *backoff) tick(now time.Time, member bool) {
	if member && !now.Before(b.stable) {
		b.delay = 0
	}
}

func (b *backoff) waits(now time.Time) bool { return now.Before(b.until) }
