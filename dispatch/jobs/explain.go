package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

// maxExplainedSteps bounds the steps in an explanation, each of which lists all servers of the service.
const maxExplainedSteps = 8

// Explanation tells what would become of a job that arrived now.
type Explanation struct {
	// Code is the result code with which the job would be rejected, or 0.
	Code result.Code
	// Wait is how long the work that waits before the job is expected to last.
	Wait time.Duration
	// LatencyObjective is the job's latency objective.
	LatencyObjective time.Duration
	// Late is set if the job cannot meet its objective, so that it waits behind those that can.
	Late bool
	// Steps describes the first steps that could start at once.
	Steps []ExplainedStep
}

// ExplainedStep tells where the first task of a step would go.
type ExplainedStep struct {
	Step int
	// Agent is that of the chosen server; empty if the task would wait.
	Agent   string
	Servers []ExplainedServer // those of the service, ordered by agent
}

// ExplainedServer tells how a backend server was judged for the first task of a step.
type ExplainedServer struct {
	Agent string
	// Refusal says why the task may not be placed there now; empty if it may.
	Refusal string
	// Cost is that of placing the task there, in seconds; the least one is chosen. Interference is the part of it that is
	// due to runs of other kinds.
	Cost, Interference float64
	// Slowdown is how many times longer than declared a task takes there, Locality how many times longer than near its data.
	Slowdown, Locality float64
	// Expected is the expected run time. MeetsObjective and HasMargin tell whether the task would meet its objective, and
	// also if it took safetyFactor times as long.
	Expected                  time.Duration
	MeetsObjective, HasMargin bool
	FreeCPU, CPU              int64 // in millicores
}

// Explain returns what would become of the job if it arrived now, by the code that decides, and leaves the scheduler as
// it is.
func (s *Scheduler) Explain(now time.Time, in Job) Explanation {
	if f := Check(in); f != nil {
		return Explanation{Code: f.Code}
	}
	refused := s.jobRefused
	e := Explanation{Code: s.refusalCode(now, in)}
	s.jobRefused = refused
	j := newJob(in)
	j.queueKey = s.queueKeyOf(j)
	e.LatencyObjective = j.latencyObjective()
	wait, ok := s.admissible(now, j)
	e.Wait = wait
	if e.Code == 0 && !ok {
		e.Code = s.rejection(now, j, wait).Code
	}
	j.late = s.isLate(now, j)
	e.Late = j.late
	for i, t := range j.tasks {
		first := i == 0 || j.tasks[i-1].step != t.step
		if first && j.runnable(t) && len(e.Steps) < maxExplainedSteps {
			e.Steps = append(e.Steps, s.explainTask(now, j, t))
		}
	}
	return e
}

// explainTask tells where the task would go now.
func (s *Scheduler) explainTask(now time.Time, j *job, t *task) ExplainedStep {
	e := ExplainedStep{Step: t.step}
	if v := s.pickServer(now, j, t, s.fleet); v != nil {
		e.Agent = v.agent
	}
	for _, v := range s.fleet {
		if v.state.Service == j.Queue.Service && v.health != nil {
			e.Servers = append(e.Servers, s.explainServer(now, j, t, v))
		}
	}
	return e
}

func (s *Scheduler) explainServer(now time.Time, j *job, t *task, v *server) ExplainedServer {
	locality := s.localityFactor(j.Steps[t.step], v)
	return ExplainedServer{
		Agent: v.agent, Refusal: s.refusalOf(now, j, t, v), Cost: s.cost(now, j, t, v),
		Interference: j.expectedRunTime(t).Seconds() * s.interferenceCost(now, j, t, v), Slowdown: v.slowdown(), Locality: locality,
		Expected:       span(float64(j.expectedRunTime(t)) * v.slowdown() * locality),
		MeetsObjective: s.meetsObjective(now, j, t, v, 1), HasMargin: s.meetsObjective(now, j, t, v, safetyFactor),
		FreeCPU: v.available().CPU, CPU: v.state.Capacity.CPU,
	}
}

// refusalOf returns why the task may not be placed on the backend server now: the first of the conditions of eligible that
// does not hold, or "" if it is eligible.
func (s *Scheduler) refusalOf(now time.Time, j *job, t *task, v *server) string {
	step := j.Steps[t.step]
	switch {
	case s.eligible(now, j, t, v):
		return ""
	case !s.bulkheadAllows(j, v):
		return "set apart for other kinds"
	case !v.acceptsTasks(s.outOfService):
		return "accepts no tasks"
	case now.Before(v.pausedUntil):
		return "paused after a refused or unanswered order"
	case !s.demandOn(j, t, v).Fits(v.available()):
		return "no free capacity"
	case !v.state.HasLabel(step.Label):
		return "lacks the label"
	case len(v.runs) >= v.health.Limit(now):
		return "limited because tasks failed"
	case !s.leavesReserve(now, j, t, v):
		return "capacity is reserved for more urgent queues"
	case !s.fastEnough(now, j, t, v):
		return "too slow"
	case s.waitsNearData(now, j, t, v):
		return "waits for a server near its data"
	case s.keptForOthers(j, t, v):
		return "places are kept for tasks with data near it"
	}
	return "not eligible"
}
