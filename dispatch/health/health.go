// Package health suspends backend servers that fail their tasks or answer implausibly fast, and
// gradually returns them to service. It does no I/O and is not safe for concurrent use.
package health

import (
	"math"
	"time"
)

// Unlimited is the limit of a healthy server.
const Unlimited = math.MaxInt

const (
	// decay is the weight of the past in the score of a server. The score of a server that fails
	// the share p of its tasks tends to 32 p.
	decay = 1 - 1.0/32
	// suspendScore is the score that suspends a server. Three failures within about six tasks reach
	// it, and so does a failure share of 9% in the long run.
	suspendScore = 2.8
	// suspectScore is the score from which a server counts as suspect: one failure reaches it, and
	// four successes reduce the score below it. A suspect server gets few tasks at once, so that
	// few are lost before it can be suspended.
	suspectScore = 0.9
	suspectLimit = 2
	// othersWeight times the mean score of the other servers is added to the thresholds, because a
	// faulty kind or job fails on all servers and is no evidence against one.
	othersWeight = 2
	// suspendedDivisor is the reciprocal of the share of a group that may be suspended.
	suspendedDivisor = 3
	// firstBackoff is the duration of a suspension. It doubles with each failed probe up to
	// maxBackoff.
	firstBackoff = 2 * time.Second
	maxBackoff   = 60 * time.Second
	// backoffReset is the time since the end of a suspension after which the next one starts again
	// with firstBackoff.
	backoffReset = 2 * time.Minute
	// probationSuccesses is the number of successes, with one task at a time, that end the
	// probation.
	probationSuccesses = 3
	// healthyLimit is the limit from which a server that is warming up counts as healthy.
	healthyLimit = 16
	// fastFactor is the factor by which an answer must be faster than the typical run time to be
	// implausible. The speeds of the servers of one fleet differ by less.
	fastFactor = 10
	// minTypical is the typical run time below which no answer counts as implausible.
	minTypical = 5 * time.Millisecond
	// minServers is the number of servers from which a typical run time must have been computed.
	minServers = 3
)

// Implausible reports whether an answer after d came too fast, given the typical run time over a
// number of servers.
func Implausible(d, typical time.Duration, servers int) bool {
	return servers >= minServers && typical >= minTypical && d < typical/fastFactor
}

// Group is the set of servers of one service. The zero value is ready to use.
type Group struct {
	servers   int
	suspended int
	score     float64 // sum of the scores of the servers
}

type state int

const (
	healthy state = iota
	suspended
	probing
	warmingUp
)

// Server is the health state of one backend server.
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

// Remove takes a server out of the group. The server keeps its state for Restore.
func (g *Group) Remove(v *Server) {
	g.servers--
	g.score -= v.score
	if v.Suspended() {
		g.suspended--
	}
}

// Restore puts a removed server back. If a suspended server would raise the suspended share of the
// group above a third, it warms up instead.
func (g *Group) Restore(v *Server) {
	g.servers++
	g.score += v.score
	if !v.Suspended() {
		return
	}
	if (g.suspended+1)*suspendedDivisor > g.servers {
		v.state, v.limit = warmingUp, suspectLimit
		return
	}
	g.suspended++
}

// Suspended reports whether the server is suspended or on probation.
func (v *Server) Suspended() bool { return v.state == suspended || v.state == probing }

// Limit returns the largest number of tasks that may run on the server at once. A suspended server
// whose back-off has passed enters probation.
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
	if v.state == warmingUp {
		limit = v.limit
	}
	allowance := othersWeight * v.othersMean()
	switch {
	case v.score >= suspendScore+allowance:
		limit = min(limit, 1) // too many of the group are suspended already
	case v.score >= suspectScore+allowance:
		limit = min(limit, suspectLimit)
	}
	return limit
}

// othersMean returns the mean score of the other servers of the group.
func (v *Server) othersMean() float64 {
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
		if v.successes >= probationSuccesses {
			v.group.suspended--
			v.startWarmUp()
		}
	case warmingUp:
		v.limit++
		if v.limit >= healthyLimit {
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
	case healthy, warmingUp:
		canSuspend := (v.group.suspended+1)*suspendedDivisor <= v.group.servers
		if canSuspend && v.score >= suspendScore+othersWeight*v.othersMean() {
			v.group.suspended++
			v.suspend(now)
		}
	}
}

func (v *Server) suspend(now time.Time) {
	if v.backoff == 0 || now.Sub(v.until) > backoffReset {
		v.backoff = firstBackoff
	} else {
		v.backoff = min(2*v.backoff, maxBackoff)
	}
	v.state, v.until = suspended, now.Add(v.backoff)
}

func (v *Server) startWarmUp() {
	v.setScore(0)
	v.state, v.limit = warmingUp, suspectLimit
}

// WarmUp limits a server that was out of service and returns: it starts with two tasks at once and
// gains one with each success. A suspended server stays suspended.
func (v *Server) WarmUp() {
	if !v.Suspended() {
		v.state, v.limit = warmingUp, suspectLimit
	}
}

// Restarted records that the server process is new. A suspension becomes a probation.
func (v *Server) Restarted() {
	if v.state == suspended {
		v.state, v.successes = probing, 0
	}
}
