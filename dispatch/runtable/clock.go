package runtable

import (
	"time"

	"poplargw.example/dispatch/uptime"
)

// serverClock estimates the backend server's clock from its newest response. That clock stands while the VM, which is
// also the agent's, is suspended. Its lower bounds therefore count only time during which the agent ran.
type serverClock struct {
	known  bool
	ms     int64
	readAt time.Time
	// uptimeAtRead is for how long the agent had run at readAt.
	uptimeAtRead time.Duration
}

// observe records the clock of a response that was received at now. Responses may arrive out of
// order; an older one is ignored.
func (c *serverClock) observe(now time.Time, agentUptime *uptime.Clock, ms int64) {
	if c.known && ms < c.ms {
		return
	}
	c.known = true
	c.ms = ms
	c.readAt = now
	c.uptimeAtRead = agentUptime.At(now)
}

// at returns the estimated clock of the backend server in milliseconds, or 0 before the first
// response. The error is up to the travel time of one response. After a pause of the agent the estimate may be too low, so
// that no lease is granted for too long.
func (c *serverClock) at(now time.Time, agentUptime *uptime.Clock) int64 {
	if !c.known {
		return 0
	}
	return c.ms + agentUptime.Since(c.uptimeAtRead, now).Milliseconds()
}

// minClockRate is the lowest rate of the backend server's clock relative to true time.
const minClockRate = 0.98

// lowerBound returns the smallest value in milliseconds that the backend server's clock can have.
func (c *serverClock) lowerBound(now time.Time, agentUptime *uptime.Clock) int64 {
	if !c.known {
		return 0
	}
	return c.ms + int64(minClockRate*float64(agentUptime.Since(c.uptimeAtRead, now).Milliseconds()))
}

// earliest returns the smallest value in milliseconds that the backend server's clock can have had, or
// can have, at the given time, if the VM is not suspended between now and then. A slow clock shows less later, and has
// shown more before.
func (c *serverClock) earliest(now time.Time, agentUptime *uptime.Clock, at time.Time) int64 {
	sinceRead := agentUptime.Since(c.uptimeAtRead, now) + at.Sub(now)
	if sinceRead < 0 {
		return c.ms + sinceRead.Milliseconds()
	}
	return c.ms + int64(minClockRate*float64(sinceRead.Milliseconds()))
}
