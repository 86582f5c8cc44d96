package runtable

import "time"

// serverClock maps the agent's clock to the backend server's, from the newest response.
type serverClock struct {
	known bool
	ms    int64
	read  time.Time
}

// observe notes the clock in a response that was received at now. Older responses may arrive later.
func (c *serverClock) observe(now time.Time, ms int64) {
	if c.known && ms < c.ms {
		return
	}
	c.known = true
	c.ms = ms
	c.read = now
}

// at returns the backend server's clock in milliseconds; it errs by the time of one response.
func (c *serverClock) at(now time.Time) int64 {
	if !c.known {
		return 0
	}
	return c.ms + now.Sub(c.read).Milliseconds()
}

// slowest is the share of true time that the backend server's clock shows at least.
const slowest = 0.98

// atLeast returns a lower bound of the backend server's clock.
func (c *serverClock) atLeast(now time.Time) int64 {
	if !c.known {
		return 0
	}
	return c.ms + int64(slowest*float64(now.Sub(c.read).Milliseconds()))
}
