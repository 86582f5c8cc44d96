package member

import "time"

// Bounds of the delay before a removed entry joins again. The delay doubles with each removal,
// so that one bad network path does not change the table every few seconds.
const (
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
	// stableAfter is how long a membership must last for the delay to start at firstBackoff again.
	stableAfter = time.Minute
)

// backoff delays the next join of an entry that was removed from the table.
type backoff struct {
	// delay is the delay after the latest removal; 0 if it was reset.
	delay time.Duration
	// until is the end of the delay.
	until time.Time
	// stableAt is when the present membership will have lasted for stableAfter.
	stableAt time.Time
}

// removed notes a removal and starts the next delay.
func (b *backoff) removed(now time.Time) {
	b.delay = min(max(2*b.delay, firstBackoff), maxBackoff)
	b.until = now.Add(b.delay)
}

// joined notes that the table holds this entry.
func (b *backoff) joined(now time.Time) { b.stableAt = now.Add(stableAfter) }

// resetIfStable resets the delay if the entry has been a member for stableAfter.
func (b *backoff) resetIfStable(now time.Time, member bool) {
	if member && !now.Before(b.stableAt) {
		b.delay = 0
	}
}

// active reports whether the entry must still wait.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }
