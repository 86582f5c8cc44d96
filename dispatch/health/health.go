// Package health suspends backend servers that fail their tasks or answer implausibly
// fast, and returns them slowly. It does no I/O and is not safe for concurrent use.
package health

import (
	"math"
	"time"
)

// Unlimited is the Limit of a healthy server.
const Unlimited = math.MaxInt

const (
	// decay is the weight of the past in the score of a server: the score of a server
	// that fails the share p of its tasks tends to 32 p.
	decay = 1 - 1.0/32
	// suspendScore is reached by three failures within about six tasks, or by a
	// failing share of 9% in the long run.
	suspendScore = 2.8
	// suspectScore is reached by one failure and left after four successes. A suspect
	// gets few tasks at once, so that few are lost before it can be suspended.
	suspectScore = 0.9
	suspectLimit = 2
	// othersWeight raises the thresholds by the mean score of the other servers: a
	// failing kind or job fails everywhere and says nothing about one server.
	othersWeight = 2
	// maxSuspendedShare is the reciprocal of the share of a group that may be suspended.
	maxSuspendedShare = 3
	// firstBackoff doubles with each failed probe up to maxBackoff.
	firstBackoff = 2 * time.Second
	maxBackoff   = 60 * time.Second
	// goodBehaviour is the time without suspension after which the back-off starts anew.
	goodBehaviour = 2 * time.Minute
	// probes is the number of successes, one task at a time, that end the probation.
	probes = 3
	// fullLimit is the limit from which a returning server counts as healthy.
	fullLimit = 16
	// fastFactor: an answer is implausible when it takes less than this part of the
	// typical run time. Servers in one fleet differ in speed by less.
	fastFactor = 10
	// fastMinimum is the typical run time below which answers are never implausible.
	fastMinimum = 5 * time.Millisecond
	// fastServers is the number of servers that a typical run time must come from.
	fastServers = 3
)

// Implausible tells whether an answer after d came too fast, given the typical run
// time over a number of servers.
func Implausible(d, typical time.Duration, servers int) bool {
	return servers >= fastServers && typical >= fastMinimum && d < typical/fastFactor
}

// Group is the set of servers of one service. The zero value is ready for use.
type Group struct {
	servers   int
	suspended int
	score     float64 // sum over the servers
}

type state int

const (
	healthy state = iota
	suspended
	probing
	returning
)

// Server is the health of one backend server.
type Server struct {
	group     *Group
	state     state
	score     float64
	until     time.Time // end of the suspension
	backoff   time.Duration
	successes int
	limit     int
}

// Add returns a new healthy server.
func (g *Group) Add() *Server {
	v := &Server{group: g}
	g.Restore(v)
	return v
}

// Remove takes a server out of the group. It keeps its state for Restore.
func (g *Group) Remove(v *Server) {
	g.servers--
	g.score -= v.score
	if v.Suspended() {
		g.suspended--
	}
}

// Restore puts a removed server back. If that would suspend more than a third of the
// group, the server returns slowly instead.
func (g *Group) Restore(v *Server) {
	g.servers++
	g.score += v.score
	if !v.Suspended() {
		return
	}
	if (g.suspended+1)*maxSuspendedShare > g.servers {
		v.state, v.limit = returning, suspectLimit
		return
	}
	g.suspended++
}

// Suspended tells whether the server is suspended or on probation.
func (v *Server) Suspended() bool { return v.state == suspended || v.state == probing }

// Limit returns the largest number of tasks that may run there at once.
func (v *Server) Limit(now time.Time) int {
	if v.state == suspended && !now.Before(v.until) {
		v.state, v.successes = probing, 0
	}
	switch v.state {
	case suspended:
		return 0
	case probing:
		return 1
	}
	limit := Unlimited
	if v.state == returning {
		limit = v.limit
	}
	allowance := othersWeight * v.others()
	switch {
	case v.score >= suspendScore+allowance:
		limit = min(limit, 1) // the group has no room for another suspension
	case v.score >= suspectScore+allowance:
		limit = min(limit, suspectLimit)
	}
	return limit
}

// others is the mean score of the other servers of the group.
func (v *Server) others() float64 {
	if v.group.servers <= 1 {
		return 0
	}
	return max(0, v.group.score-v.score) / float64(v.group.servers-1)
}

func (v *Server) setScore(x float64) {
	v.group.score += x - v.score
	v.score = x
}

// Success records a plausible answer.
func (v *Server) Success() {
	v.setScore(v.score * decay)
	switch v.state {
	case probing:
		v.successes++
		if v.successes >= probes {
			v.group.suspended--
			v.startReturn()
		}
	case returning:
		v.limit++
		if v.limit >= fullLimit {
			v.state = healthy
		}
	}
}

// Failure records a failed task or an implausibly fast answer.
func (v *Server) Failure(now time.Time) {
	v.setScore(v.score*decay + 1)
	switch v.state {
	case probing:
		v.suspend(now)
	case healthy, returning:
		room := (v.group.suspended+1)*maxSuspendedShare <= v.group.servers
		if room && v.score >= suspendScore+othersWeight*v.others() {
			v.group.suspended++
			v.suspend(now)
		}
	}
}

func (v *Server) suspend(now time.Time) {
	if v.backoff == 0 || now.Sub(v.until) > goodBehaviour {
		v.backoff = firstBackoff
	} else {
		v.backoff = min(2*v.backoff, maxBackoff)
	}
	v.state, v.until = suspended, now.Add(v.backoff)
}

func (v *Server) startReturn() {
	v.setScore(0)
	v.state, v.limit = returning, suspectLimit
}

// WarmUp limits a server that comes back from out of service: it starts with two tasks
// at once and gains one with each success. A suspended server stays suspended.
func (v *Server) WarmUp() {
	if !v.Suspended() {
		v.state, v.limit = returning, suspectLimit
	}
}

// Restarted tells that the server process is new. A suspension ends in probation.
func (v *Server) Restarted() {
	if v.state == suspended {
		v.state, v.successes = probing, 0
	}
}
