package sched

import (
	"time"

	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/result"
)

// learn takes run time and health of a server from the outcome of a task.
func (s *Scheduler) learn(now time.Time, a *attempt, r StartReply) {
	refused := r.Failure != nil && r.Failure.Effect == result.NotRun
	if refused {
		s.counters.refusals[r.Failure.Code]++
		if r.Failure.Code != result.NotReady { // which this entry says itself
			s.counters.wasted++
		}
	}
	v := a.server
	switch {
	case v == nil || v.gone:
	case refused:
		s.block(now, v, r.Failure.Code)
	case r.Failure != nil:
		if blames(r.Failure.Code) && a.job.blame(v) {
			v.health.Failure(now)
		}
	default:
		s.answered(now, a, r.RunTime)
	}
}

// answered records a result.
func (s *Scheduler) answered(now time.Time, a *attempt, d time.Duration) {
	v := a.server
	if typical, servers := a.kind.times.Typical(); d > 0 && health.Implausible(d, typical, servers) {
		v.health.Failure(now)
	} else {
		v.health.Success()
	}
	if c := v.cells[a.kind.name]; c != nil {
		c.Observe(now, d)
	}
}

// blames tells whether a failure speaks against the backend server.
func blames(c result.Code) bool {
	return c == result.TaskFailed || c == result.ServerLost || c == result.TimeLimit
}

// blame tells whether a failure of the job's task at a server speaks against the
// server. A job whose tasks fail at several servers is itself the likely cause.
func (j *job) blame(v *server) bool {
	if j.failedAt == nil {
		j.failedAt = v
	}
	if j.failedAt != v {
		j.failedWidely = true
	}
	return !j.failedWidely
}
