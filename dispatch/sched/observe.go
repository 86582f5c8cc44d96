package sched

import (
	"time"

	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/result"
)

// observeReply updates the refusal counters and the health and run times of a server from
// the reply to a start.
func (s *Scheduler) observeReply(now time.Time, a *attempt, r StartReply) {
	refused := r.Failure != nil && r.Failure.Effect == result.NotRun
	if refused {
		s.counters.startRefusals[r.Failure.Code]++
		if r.Failure.Code != result.NotReady { // not a wasted message: this entry refuses the start itself
			s.counters.wasted++
		}
	}
	v := a.server
	switch {
	case v == nil || v.removed:
	case refused:
		s.blockAfterRefusal(now, v, r.Failure.Code)
	case r.Failure != nil:
		if indicatesServerFault(r.Failure.Code) && a.job.attributeFailure(v) {
			v.health.Failure(now)
		}
	default:
		s.observeResult(now, a, r.RunTime)
	}
}

// observeResult records that a task has succeeded after the run time d. An implausibly
// short run time counts as a failure of the server.
func (s *Scheduler) observeResult(now time.Time, a *attempt, d time.Duration) {
	v := a.server
	if typical, servers := a.kind.runTimes.Typical(); d > 0 && health.Implausible(d, typical, servers) {
		v.health.Failure(now)
	} else {
		v.health.Success()
	}
	if est := v.estimates[a.kind.name]; est != nil {
		est.Observe(now, d)
	}
}

// indicatesServerFault reports whether a failure with this code may be the fault of the
// backend server.
func indicatesServerFault(c result.Code) bool {
	return c == result.TaskFailed || c == result.ServerLost || c == result.TimeLimit
}

// attributeFailure records that a task of the job failed on a server and reports whether
// the failure counts against the server. A job whose tasks fail on several servers is
// itself the likely cause.
func (j *job) attributeFailure(v *server) bool {
	if j.firstFailedServer == nil {
		j.firstFailedServer = v
	}
	if j.firstFailedServer != v {
		j.failedElsewhere = true
	}
	return !j.failedElsewhere
}
