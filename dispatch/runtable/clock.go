package runtable

import "time"

// serverClock estimates the backend server's clock from its newest response.
type serverClock struct {
	known  bool
	ms     int64
	readAt time.Time
}

// observe records the clock of a response that was received at now. Responses may arrive out of
// order; an older one is ignored.
func (c *serverClock) observe(now time.Time, ms int64) {
	if c.known && ms < c.ms {
		return
	}
	c.known = true
	c.ms = ms
	c.readAt = now
}

// at returns the estimated clock of the backend server in milliseconds, or 0 before the first
// response. The error is up to the travel time of one response.
func (c *serverClock) at(now time.Time) int64 {
	if !c.known {
		return 0
	}
	return c.ms + now.Sub(c.readAt).Milliseconds()
}

// minClockRate is the lowest rate of the backend server's clock relative to true time.
const minClockRate = 0.98

// lowerBound returns the smallest value in milliseconds that the backend server's clock can have.
func (c *serverClock) lowerBound(now time.Time) int64 {
	if !c.known {
		return 0
	}
	return c.ms + int64(minClockRate*float64(now.Sub(c.readAt).Milliseconds()))
}

// earliest returns the smallest value in milliseconds that the backend server's clock can have had, or
// can have, at the given time. A slow clock shows less later, and has shown more before.
func (c *serverClock) earliest(at time.Time) int64 {
	if at.Before(c.readAt) {
		return c.ms - c.readAt.Sub(at).Milliseconds()
	}
	return c.lowerBound(at)
}
