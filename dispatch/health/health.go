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
	// decay is the factor by which each task reduces the score of a server; a failure then adds 1. The score of a server that fails
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
	// firstBackoff is the duration of the first suspension. It doubles with each further one that
	// begins before backoffReset has passed, up to maxBackoff.
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

// state is the stage of a server between suspension and full use.
type state int

const (
	healthy state = iota
	suspended
	onProbation
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
	s := &Server{group: g}
	g.Restore(s)
	return s
}

// Remove takes a server out of the group. The server keeps its state for Restore.
func (g *Group) Remove(s *Server) {
	g.servers--
	g.score -= s.score
	if s.Suspended() {
		g.suspended--
	}
}

// Restore puts a removed server back. If a suspended server would raise the suspended share of the
// group above a third, it warms up instead.
func (g *Group) Restore(s *Server) {
	g.servers++
	g.score += s.score
	if !s.Suspended() {
		return
	}
	if (g.suspended+1)*suspendedDivisor > g.servers {
		s.state, s.limit = warmingUp, suspectLimit
		return
	}
	g.suspended++
}

// Suspended reports whether the server is suspended or on probation.
func (s *Server) Suspended() bool { return s.state == suspended || s.state == onProbation }

// Limit returns the largest number of tasks that may run on the server at once. A suspended server
// whose back-off has passed enters probation.
func (s *Server) Limit(now time.Time) int {
	if s.state == suspended && !now.Before(s.until) {
		s.state, s.successes = onProbation, 0
	}
	switch s.state {
	case suspended:
		return 0
	case onProbation:
		return 1
	}
	limit := Unlimited
	if s.state == warmingUp {
		limit = s.limit
	}
	allowance := othersWeight * s.othersMean()
	switch {
	case s.score >= suspendScore+allowance:
		limit = min(limit, 1) // too many of the group are suspended already
	case s.score >= suspectScore+allowance:
		limit = min(limit, suspectLimit)
	}
	return limit
}

// othersMean returns the mean score of the other servers of the group.
func (s *Server) othersMean() float64 {
	if s.group.servers <= 1 {
		return 0
	}
	return max(0, s.group.score-s.score) / float64(s.group.servers-1)
}

// setScore changes the score of the server and the sum of the group.
func (s *Server) setScore(x float64) {
	s.group.score += x - s.score
	s.score = x
}

// Success records a plausible answer.
func (s *Server) Success() {
	s.setScore(s.score * decay)
	switch s.state {
	case onProbation:
		s.successes++
		if s.successes >= probationSuccesses {
			s.group.suspended--
			s.startWarmUp()
		}
	case warmingUp:
		s.limit++
		if s.limit >= healthyLimit {
			s.state = healthy
		}
	}
}

// Failure records a failed task or an implausibly fast answer.
func (s *Server) Failure(now time.Time) {
	s.setScore(s.score*decay + 1)
	switch s.state {
	case onProbation:
		s.suspend(now)
	case healthy, warmingUp:
		canSuspend := (s.group.suspended+1)*suspendedDivisor <= s.group.servers
		if canSuspend && s.score >= suspendScore+othersWeight*s.othersMean() {
			s.group.suspended++
			s.suspend(now)
		}
	}
}

// suspend starts a suspension with the next back-off.
func (s *Server) suspend(now time.Time) {
	if s.backoff == 0 || now.Sub(s.until) > backoffReset {
		s.backoff = firstBackoff
	} else {
		s.backoff = min(2*s.backoff, maxBackoff)
	}
	s.state, s.until = suspended, now.Add(s.backoff)
}

// startWarmUp ends the probation with a score of 0 and the limit of a suspect server.
func (s *Server) startWarmUp() {
	s.setScore(0)
	s.state, s.limit = warmingUp, suspectLimit
}

// WarmUp limits a server that returns to service: it starts with two tasks at once, and the limit
// rises by one with each success. A suspended server stays suspended.
func (s *Server) WarmUp() {
	if !s.Suspended() {
		s.state, s.limit = warmingUp, suspectLimit
	}
}

// Restarted records that the server process is new. A suspension becomes a probation.
func (s *Server) Restarted() {
	if s.state == suspended {
		s.state, s.successes = onProbation, 0
	}
}
