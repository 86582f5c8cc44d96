package jobs

import (
	"slices"
	"sort"
	"time"

	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// maxSuspended bounds how many suspended backend servers are remembered after their agents were
// removed.
const maxSuspended = 1024

// maxFailures is the number of failures of a task after which its job fails even if most of them count
// against suspended backend servers.
const maxFailures = 6

// AgentConnected records a new link to an agent, claims the runs that were ordered there, and repeats the
// stops that were requested.
func (s *Scheduler) AgentConnected(now time.Time, agent string) {
	v := s.servers[agent]
	if v == nil {
		v = &server{agent: agent, runs: map[run.Ref]*attempt{}, lagFactor: 1}
		s.servers[agent] = v
		s.fleet = append(s.fleet, v)
		sort.Slice(s.fleet, func(i, j int) bool { return s.fleet[i].agent < s.fleet[j].agent })
	}
	s.recordConnection(now)
	s.recordLinkEnd(now, v)
	s.linkChanges++
	v.linked = true
	v.reported = false
	v.startedAt = time.Time{}
	v.lastContact = now
	v.seq = 0
	v.unacked = nil
	v.batch = Batch{}
	b := s.batch(v)
	for _, a := range v.runsInOrder() {
		b.Claims = append(b.Claims, Claim{Ref: a.ref, Demand: a.demand, Age: now.Sub(a.orderedAt)})
		if a.stopRequested {
			b.Stops = append(b.Stops, a.ref)
		}
	}
	s.restoreOwnerships(agent, b)
}

// AgentDisconnected records the end of the link to an agent. Its runs keep their places until they are
// claimed over a new link or have certainly ended.
func (s *Scheduler) AgentDisconnected(now time.Time, agent string) {
	if v := s.servers[agent]; v != nil {
		s.linkChanges++
		s.recordLinkEnd(now, v)
		v.linked, v.unlinkedAt = false, now
	}
}

// RecordMessage records that a message of the agent has arrived.
func (s *Scheduler) RecordMessage(now time.Time, agent string) {
	if v := s.servers[agent]; v != nil && v.linked {
		v.lastContact = now
	}
}

// Report records the state of an agent's backend server and places waiting tasks on it.
func (s *Scheduler) Report(now time.Time, agent string, r Report) {
	v := s.servers[agent]
	if v == nil || !v.linked {
		return
	}
	if v.health == nil || v.state.Instance != r.Server.Instance {
		s.newInstance(v, r.Server)
	}
	v.state = r.Server
	v.largest = v.largest.Max(r.Server.Capacity)
	v.free = r.Free
	v.entries = r.Entries
	v.othersSlowdown = r.OthersSlowdown
	v.reportsCrashes = r.ReportsCrashes
	if !v.reported || v.recordsOwners != r.RecordsOwners {
		s.linkChanges++
	}
	v.recordsOwners = r.RecordsOwners
	s.recordStart(now, v, r.Uptime)
	if s.bulkheads.recordOthers(now, r.Server.Service, r.OthersConfined) {
		s.updateBulkheads(now)
	}
	v.reported = true
	v.acknowledge(r.Ack)
	if s.slowdowns[v.state.Service].median == 0 {
		s.updateSlowdowns()
	}
	s.dispatchTo(now, v)
}

// newInstance resets the health and speed of a backend server whose instance is new: it may provide
// another service.
func (s *Scheduler) newInstance(v *server, state run.Server) {
	group := s.groups[state.Service]
	if group == nil {
		group = &health.Group{}
		s.groups[state.Service] = group
	}
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	v.health = s.restoreHealth(group, state.Instance)
	v.speedEstimate = s.speeds.Kind(state.Service).ForServer(state.Instance)
	v.lagFactor = 1
	v.largest = run.Demand{}
}

// restoreHealth returns the health of a backend server. A suspension from before its agent was removed
// is kept.
func (s *Scheduler) restoreHealth(group *health.Group, instance string) *health.Server {
	former := s.suspended[instance]
	if former == nil {
		return group.Add()
	}
	delete(s.suspended, instance)
	group.Restore(former)
	return former
}

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
	case result.NoFreeSlot, result.AgentLost:
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
	if s.exhausted(a.job) {
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

// Tick does the periodic work: it ends the runs of lost agents, moves stragglers, rejects or ends jobs
// that cannot finish in time, and places waiting tasks.
func (s *Scheduler) Tick(now time.Time) {
	s.endLostRuns(now)
	s.advanceOwnerships(now)
	s.updateBulkheads(now)
	s.moveStragglers(now)
	s.updateSlowdowns()
	s.review(now)
	s.dispatch(now)
}

// endLostRuns removes the agents that have been without a link for longer than Limits.LostAfter, and treats
// their runs as stopped.
func (s *Scheduler) endLostRuns(now time.Time) {
	for _, v := range slices.Clone(s.fleet) {
		if v.linked || now.Sub(v.lastContact) <= s.limits.LostAfter {
			continue
		}
		s.recordDecision(Decision{Kind: Lost, Agent: v.agent, Age: now.Sub(v.lastContact)})
		for _, a := range v.runsInOrder() {
			s.removeRun(now, a)
			s.handleRunEnd(now, a, run.Event{Ref: a.ref, Kind: run.Stopped, Reason: result.AgentLost})
		}
		s.remove(v)
	}
}

// Release removes an agent that has no runs of this entry. It reports whether the agent is no longer
// known.
func (s *Scheduler) Release(agent string) bool {
	v := s.servers[agent]
	if v == nil || len(v.runs) > 0 {
		return v == nil
	}
	s.remove(v)
	return true
}

// remove deletes an agent and remembers its backend server if that is suspended.
func (s *Scheduler) remove(v *server) {
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	if v.health != nil && v.health.Suspended() && len(s.suspended) < maxSuspended {
		s.suspended[v.state.Instance] = v.health
	}
	s.linkChanges++
	delete(s.servers, v.agent)
	delete(s.dirty, v.agent)
	s.fleet = slices.DeleteFunc(s.fleet, func(o *server) bool { return o == v })
}

// Silent returns the agents with a link from which nothing was received for longer than
// Limits.SilenceLimit. The caller closes the links.
func (s *Scheduler) Silent(now time.Time) []string {
	var silent []string
	for _, v := range s.fleet {
		if v.linked && now.Sub(v.lastContact) > s.limits.SilenceLimit {
			silent = append(silent, v.agent)
		}
	}
	return silent
}
