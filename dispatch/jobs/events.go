package jobs

import (
	"slices"
	"sort"
	"time"

	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// maxSuspended bounds the suspended backend servers that are remembered without a link to their agents.
const maxSuspended = 1024

// maxFailures bounds the failures of a task that are put down to failing backend servers.
const maxFailures = 6

// AgentUp records a new link to an agent. The runs there are claimed.
func (s *Scheduler) AgentUp(now time.Time, agent string) {
	v := s.servers[agent]
	if v == nil {
		v = &server{agent: agent, runs: map[run.Ref]*attempt{}, lag: 1}
		s.servers[agent] = v
		s.fleet = append(s.fleet, v)
		sort.Slice(s.fleet, func(i, j int) bool { return s.fleet[i].agent < s.fleet[j].agent })
	}
	v.live = true
	v.reported = false
	v.heard = now
	v.seq = 0
	v.unacked = nil
	v.batch = Batch{}
	b := s.batch(v)
	for _, a := range v.inOrder() {
		b.Claims = append(b.Claims, Claim{Ref: a.ref, Demand: a.demand, Age: now.Sub(a.ordered)})
		if a.stopped {
			b.Stops = append(b.Stops, a.ref)
		}
	}
}

// AgentDown records the end of the link to an agent. Its runs stay where they are until they are
// claimed or have certainly ended.
func (s *Scheduler) AgentDown(agent string) {
	if v := s.servers[agent]; v != nil {
		v.live = false
	}
}

// Heard records a message of the agent.
func (s *Scheduler) Heard(now time.Time, agent string) {
	if v := s.servers[agent]; v != nil && v.live {
		v.heard = now
	}
}

// Report records the state of an agent's backend server.
func (s *Scheduler) Report(now time.Time, agent string, r Report) {
	v := s.servers[agent]
	if v == nil || !v.live {
		return
	}
	if v.health == nil || v.state.Instance != r.Server.Instance {
		s.newLife(v, r.Server)
	}
	v.state = r.Server
	v.free = r.Free
	v.entries = r.Entries
	v.reported = true
	v.ack(r.Ack)
	if s.paces[v.state.Service].usual == 0 {
		s.learnPaces()
	}
	s.dispatchTo(now, v)
}

// newLife starts the record of a backend server anew: another life may be of another kind.
func (s *Scheduler) newLife(v *server, state run.Server) {
	group := s.groups[state.Service]
	if group == nil {
		group = &health.Group{}
		s.groups[state.Service] = group
	}
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	v.health = s.recall(group, state.Instance)
	v.cell = s.speeds.Kind(state.Service).Cell(state.Instance)
	v.lag = 1
}

// recall returns the health of a backend server, with a suspension from before its agent was released.
func (s *Scheduler) recall(group *health.Group, instance string) *health.Server {
	former := s.suspended[instance]
	if former == nil {
		return group.Add()
	}
	delete(s.suspended, instance)
	group.Restore(former)
	return former
}

// Event records what has happened to a run. Events of runs that are not known are ignored: they were
// settled before.
func (s *Scheduler) Event(now time.Time, agent string, e run.Event) {
	v := s.servers[agent]
	if v == nil {
		return
	}
	a := v.runs[e.Ref]
	if a == nil || e.Kind == run.Running {
		return
	}
	s.forget(a)
	s.settle(now, a, e)
	s.dispatchJob(now, a.job)
}

// settle takes in the certain end of a run.
func (s *Scheduler) settle(now time.Time, a *attempt, e run.Event) {
	if e.Kind != run.NotRun {
		a.job.ran = true
	}
	if s.jobs[a.job.ID] != a.job || a.task.state != placed {
		return
	}
	switch e.Kind {
	case run.Done:
		s.taskDone(now, a)
	case run.Failed:
		s.taskFailed(now, a, e)
	case run.NotRun:
		s.refused(now, a, e)
	default:
		s.again(now, a, e)
	}
}

// refusalPause is how long an agent that refused an order for another reason than its room gets no
// more: it says within a beat what has changed.
const refusalPause = 60 * time.Millisecond

const (
	// unansweredLimit is the number of orders in a row without an answer after which a backend server
	// gets none for unansweredPause. Single lost answers say nothing of it: when they were counted as
	// failures, servers that lost three answers in ten were suspended while they were idle.
	unansweredLimit = 4
	unansweredPause = 300 * time.Millisecond
)

// renumberBy is added to a run's number when the backend server has seen a higher one: another entry
// gave it, by a clock that is ahead. Numbers are milliseconds; clocks that jump differ by up to 6 s.
const renumberBy = 10_000

// refused takes in an order that has not run.
func (s *Scheduler) refused(now time.Time, a *attempt, e run.Event) {
	switch e.Reason {
	case result.NoFreeSlot, result.AgentLost:
	case result.StartTooLate:
		a.server.unanswered++
		if a.server.unanswered >= unansweredLimit {
			a.server.unanswered = 0
			a.server.pausedUntil = now.Add(unansweredPause)
		}
	case result.NotReady:
		// The backend server said that it is not healthy.
		s.serverFailed(now, a)
		a.task.avoid[a.server.state.Instance] = true
	case result.OutdatedRun:
		a.task.lastRun += renumberBy
	default:
		a.server.pausedUntil = now.Add(refusalPause)
	}
	s.again(now, a, e)
}

func (s *Scheduler) taskDone(now time.Time, a *attempt) {
	j, t := a.job, a.task
	t.state = done
	j.left[t.step]--
	took := now.Sub(a.begun)
	a.server.health.Success()
	a.server.unanswered = 0
	s.learn(now, a, took)
	work := time.Duration(float64(took) / a.pace())
	j.steps[t.step].done++
	j.steps[t.step].ran += work
	j.revise(t.step, work)
	if j.finished() {
		s.finish(j, Outcome{})
		return
	}
	if j.left[t.step] == 0 {
		s.enqueue(now, j)
	}
}

// learn notes the speed that a run showed.
func (s *Scheduler) learn(now time.Time, a *attempt, took time.Duration) {
	declared := a.job.Steps[a.task.step].Estimate
	if declared <= 0 || a.server.cell == nil {
		return
	}
	a.server.cell.Observe(now, time.Duration(float64(took)/a.distance/float64(declared)*float64(unit)))
	a.server.lag = max(1, a.server.lag*lagDecay)
}

func (s *Scheduler) taskFailed(now time.Time, a *attempt, e run.Event) {
	t := a.task
	s.serverFailed(now, a)
	if a.server.health.Suspended() {
		t.sick++
	} else {
		t.failures++
	}
	t.avoid[a.server.state.Instance] = true
	if t.failures >= max(1, a.job.Queue.Attempts) || t.failures+t.sick >= maxFailures {
		s.finish(a.job, Outcome{Code: result.TaskFailed})
		return
	}
	s.again(now, a, e)
}

// serverFailed counts a failure against the backend server.
func (s *Scheduler) serverFailed(now time.Time, a *attempt) {
	before := a.server.health.Suspended()
	a.server.health.Failure(now)
	if !before && a.server.health.Suspended() {
		s.note(Note{Kind: Suspended, Agent: a.server.agent, Ref: a.ref})
	}
}

func (s *Scheduler) again(now time.Time, a *attempt, e run.Event) {
	s.note(Note{Kind: Returned, Agent: a.server.agent, Ref: a.ref, Attempt: a.task.attempts, End: e.Kind, Reason: e.Reason})
	requeue(a.task, e)
	s.widen(a.job, a.task)
	s.enqueue(now, a.job)
}

// widen lets a task return to the backend servers that it avoids when it avoids all of them.
func (s *Scheduler) widen(j *job, t *task) {
	for _, v := range s.fleet {
		if v.takes(s.out) && v.state.Service == j.Queue.Service && !t.avoid[v.state.Instance] {
			return
		}
	}
	clear(t.avoid)
}

// Tick does what time alone demands: it suspects silent agents, settles the runs of lost ones, moves
// stragglers, and gives up jobs that cannot end in time.
func (s *Scheduler) Tick(now time.Time) {
	s.settleLost(now)
	s.moveStragglers(now)
	s.learnPaces()
	s.review(now)
	s.dispatch(now)
}

func (s *Scheduler) settleLost(now time.Time) {
	for _, v := range slices.Clone(s.fleet) {
		if v.live || now.Sub(v.heard) <= s.limits.Lost {
			continue
		}
		s.note(Note{Kind: Lost, Agent: v.agent, Age: now.Sub(v.heard)})
		for _, a := range v.inOrder() {
			s.forget(a)
			s.settle(now, a, run.Event{Ref: a.ref, Kind: run.Stopped, Reason: result.AgentLost})
		}
		s.remove(v)
	}
}

// Release forgets an agent that has no runs of this entry. It tells whether it did.
func (s *Scheduler) Release(agent string) bool {
	v := s.servers[agent]
	if v == nil || len(v.runs) > 0 {
		return v == nil
	}
	s.remove(v)
	return true
}

func (s *Scheduler) remove(v *server) {
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	if v.health != nil && v.health.Suspended() && len(s.suspended) < maxSuspended {
		s.suspended[v.state.Instance] = v.health
	}
	delete(s.servers, v.agent)
	delete(s.dirty, v.agent)
	s.fleet = slices.DeleteFunc(s.fleet, func(o *server) bool { return o == v })
}

// Silent returns the agents whose links have been silent for too long. The caller ends the links.
func (s *Scheduler) Silent(now time.Time) []string {
	var silent []string
	for _, v := range s.fleet {
		if v.live && now.Sub(v.heard) > s.limits.Suspect {
			silent = append(silent, v.agent)
		}
	}
	return silent
}
