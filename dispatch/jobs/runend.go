package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// maxFailures is the number of failures of a task after which its job fails even if most of them count
// against suspended backend servers.
const maxFailures = 6

// Event records what has happened to a run. Events of unknown runs are ignored: the end of these runs
// was already handled. So are events of an unknown kind, which do not show that the run has ended.
func (s *Scheduler) Event(now time.Time, agent string, e run.Event) {
	v := s.servers[agent]
	if v == nil {
		return
	}
	a := v.runs[e.Ref]
	if a == nil || !e.Kind.Ends() {
		return
	}
	s.removeRun(now, a)
	s.handleRunEnd(now, a, e)
	s.dispatchJob(now, a.job)
}

// handleRunEnd updates the task and its job after a run has certainly ended.
func (s *Scheduler) handleRunEnd(now time.Time, a *attempt, e run.Event) {
	if e.Kind != run.NotRun {
		a.job.hasRun = true
	}
	if s.jobs[a.job.ID] != a.job || a.task.state != taskPlaced {
		return
	}
	switch e.Kind {
	case run.Done:
		s.taskDone(now, a)
		s.observeInterference(now, a, e.Beside)
	case run.Failed:
		s.taskFailed(now, a, e)
	case run.NotRun:
		s.handleRefusal(now, a, e)
	default:
		s.retryTask(now, a, e)
	}
}

// refusalPause is how long an agent gets no orders after it refused one for a reason that handleRefusal
// has no rule for, such as a stale token: it reports within a heartbeat what has changed.
const refusalPause = 60 * time.Millisecond

const (
	// unansweredLimit is the number of consecutive unanswered orders after which a backend server gets
	// none for unansweredPause. Single lost answers do not count as failures: when they did, servers
	// that lost 30% of their answers were suspended while they were idle.
	unansweredLimit = 4
	unansweredPause = 300 * time.Millisecond
)

// runNumberSkip is added to a task's run number when the backend server has seen a higher one, given by
// another entry whose clock is ahead. Run numbers are in milliseconds; clocks that jump differ by up to
// 6 s.
const runNumberSkip = 10_000

// handleRefusal processes an order that did not run, and returns its task to the queue.
func (s *Scheduler) handleRefusal(now time.Time, a *attempt, e run.Event) {
	switch e.Reason {
	case result.NoFreeSlot:
	case result.StartTooLate:
		a.server.unanswered++
		if a.server.unanswered >= unansweredLimit {
			a.server.unanswered = 0
			a.server.pausedUntil = now.Add(unansweredPause)
		}
	case result.NotReady:
		// The backend server reported itself as not healthy.
		s.recordServerFailure(now, a)
		a.task.avoided[a.server.state.Instance] = true
	case result.OutdatedRun:
		a.task.lastRun += runNumberSkip
	default:
		a.server.pausedUntil = now.Add(refusalPause)
	}
	s.retryTask(now, a, e)
}

// taskDone records a successful run: the server's health and speed, the run time of the step, and the
// progress of the job.
func (s *Scheduler) taskDone(now time.Time, a *attempt) {
	j, t := a.job, a.task
	t.state = taskDone
	j.unfinished[t.step]--
	took := now.Sub(a.startedAt)
	a.server.health.Success()
	a.server.unanswered = 0
	s.observeSpeeds(now, a, took)
	work := span(float64(took) / a.slowdown())
	j.steps[t.step].doneTasks++
	j.steps[t.step].runTime += work
	j.raiseEstimate(t.step, work)
	if j.finished() {
		s.bulkheads.service(j.Queue.Service).kind(j.Queue.Name).completed++
		s.finish(j, Outcome{})
		return
	}
	if j.unfinished[t.step] == 0 {
		s.enqueue(now, j)
	}
}

// taskFailed records a failed run. The task is retried on another server until its attempts are used
// up; failures on suspended servers count only against maxFailures.
func (s *Scheduler) taskFailed(now time.Time, a *attempt, e run.Event) {
	t := a.task
	s.recordServerFailure(now, a)
	if a.server.health.Suspended() {
		t.suspendedFailures++
	} else {
		t.failures++
	}
	t.avoided[a.server.state.Instance] = true
	if t.failures >= max(1, a.job.Queue.Attempts) || t.failures+t.suspendedFailures >= maxFailures {
		s.finish(a.job, Outcome{Code: result.TaskFailed})
		return
	}
	s.retryTask(now, a, e)
}

// recordServerFailure counts a failure against the backend server of the run and notes a resulting
// suspension.
func (s *Scheduler) recordServerFailure(now time.Time, a *attempt) {
	before := a.server.health.Suspended()
	a.server.health.Failure(now)
	if !before && a.server.health.Suspended() {
		s.recordDecision(Decision{Kind: Suspended, Agent: a.server.agent, Ref: a.ref})
	}
}

// retryTask returns the task of a run that ended without success to the queue.
func (s *Scheduler) retryTask(now time.Time, a *attempt, e run.Event) {
	s.countUnreportedCrash(now, a, e.Reason)
	s.recordDecision(Decision{Kind: Returned, Agent: a.server.agent, Ref: a.ref, Attempt: a.task.attempts, End: e.Kind, Reason: e.Reason})
	markWaiting(a.task, e)
	if s.givenUp(a.job) {
		s.finish(a.job, Outcome{Code: result.ServerCrashes})
		return
	}
	s.resetAvoidedServers(a.job, a.task)
	s.dequeue(a.job)
	s.enqueue(now, a.job)
}

// resetAvoidedServers clears the list of servers that a task avoids if no other server is left for it.
func (s *Scheduler) resetAvoidedServers(j *job, t *task) {
	for _, v := range s.fleet {
		if v.acceptsTasks(s.outOfService) && v.state.Service == j.Queue.Service && !t.avoided[v.state.Instance] {
			return
		}
	}
	clear(t.avoided)
}
