// Package uptime counts the time during which a process ran. While its VM is suspended, or the process is not scheduled,
// another process on the VM may have stood still too, and messages may have arrived that are not read yet: such time is no
// evidence of silence. The package takes the time as a parameter and is not safe for concurrent use.
package uptime

import "time"

// Clock counts the time during which a process ran. Create one with New.
type Clock struct {
	maxGap   time.Duration
	lastTick time.Time
	uptime   time.Duration // at lastTick
}

// New returns the clock of a process that starts at now and then calls Tick several times within maxGap. A longer time
// between two calls is a pause, of which nothing counts.
func New(now time.Time, maxGap time.Duration) Clock { return Clock{maxGap: maxGap, lastTick: now} }

// Tick records that the process runs, and returns the length of the pause that has ended, or 0. Calls may be out of order
// by moments.
func (c *Clock) Tick(now time.Time) (pause time.Duration) {
	gap := now.Sub(c.lastTick)
	if gap <= 0 {
		return 0
	}
	c.uptime = c.At(now)
	c.lastTick = now
	if gap > c.maxGap {
		return gap
	}
	return 0
}

// At returns the uptime at now: the time since New without pauses. A pause of at most the longest gap counts, because it cannot be
// told from regular calls.
func (c *Clock) At(now time.Time) time.Duration {
	gap := now.Sub(c.lastTick)
	if gap <= 0 || gap > c.maxGap {
		return c.uptime
	}
	return c.uptime + gap
}

// Since returns the uptime since the given one. The beginning of a pause counts until the pause is longer than the longest gap, so that an
// uptime read then may lie ahead; the result is 0 until it is reached.
func (c *Clock) Since(from time.Duration, now time.Time) time.Duration { return max(0, c.At(now)-from) }
