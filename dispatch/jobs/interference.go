package jobs

import (
	"maps"
	"slices"
	"time"

	"poplargw.example/dispatch/interference"
	"poplargw.example/dispatch/run"
)

// The entry learns which kinds of request slow each other down from its own runs and what agents report to have run
// beside them, and prefers servers where a task neither is slowed down nor slows down others. The learning is in package
// interference. It is on for services with jobs of two or more queues.

// maxInterferenceCost bounds the cost of interference, as a fraction of the run time. It is the difference in cost between
// an empty and a full server.
const maxInterferenceCost = 1

// observeInterference records the end of a successful run. The runs of a step are observed together when the last one has
// ended, because they are compared with each other.
func (s *Scheduler) observeInterference(now time.Time, a *attempt, beside []run.KindUsage) {
	step := a.job.Steps[a.task.step]
	state := &a.job.steps[a.task.step]
	if len(beside) > 0 && step.Estimate >= minMeasuredEstimate && a.server.state.Instance == a.instance {
		ratio := float64(now.Sub(a.startedAt)) / (float64(step.Estimate) * a.localityFactor)
		state.besideRuns = append(state.besideRuns, interference.Run{Server: a.instance, Ratio: ratio, Beside: beside})
	}
	if a.job.unfinished[a.task.step] > 0 || len(state.besideRuns) == 0 {
		return
	}
	if m := s.interferenceOf(a.job.Queue.Service); m != nil {
		m.Observe(now, a.job.Queue.Name, state.besideRuns)
		s.recordInterference(a.job.Queue.Service, m)
	}
	state.besideRuns = nil
}

// interferenceOf returns the model of a service, or nil if it has had jobs of one queue only.
func (s *Scheduler) interferenceOf(service string) *interference.Model {
	m := s.interference[service]
	if m == nil && len(s.bulkheads.service(service).kinds) > 1 {
		m = interference.New()
		s.interference[service] = m
	}
	return m
}

// expireInterference forgets the estimates of kinds that have no runs any more.
func (s *Scheduler) expireInterference(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(s.interference)) {
		m := s.interference[service]
		m.Expire(now)
		s.recordInterference(service, m)
	}
}

// recordInterference records the pairs that the model has found or forgotten as decisions.
func (s *Scheduler) recordInterference(service string, m *interference.Model) {
	for _, p := range m.TakeChanges() {
		kind := InterferenceForgotten
		if p.Found {
			kind = InterferenceFound
		}
		s.recordDecision(Decision{Kind: kind, Service: service, Pair: p})
	}
}

// interferenceCost returns the cost of the interference between the task and the runs on the backend server, as a
// fraction of its run time. It is 0 on all servers while no pair with the task's kind is found, and for late jobs. On a
// server where the task does not meet its objective with the margin of cost it is the maximum, so that it never makes
// such a server preferable to one where the task does.
func (s *Scheduler) interferenceCost(now time.Time, j *job, t *task, v *server) float64 {
	m := s.interference[j.Queue.Service]
	if m == nil || !m.Active() || j.late || !m.Concerns(j.Queue.Name) {
		return 0
	}
	if !s.meetsObjective(now, j, t, v, safetyFactor) {
		return maxInterferenceCost
	}
	return min(maxInterferenceCost, m.Harm(j.Queue.Name, v.usageByKind()))
}

// usageByKind returns the usage of the backend server by kind of request: what the agent has reported, and the orders
// that its report does not account for.
func (v *server) usageByKind() []run.KindUsage {
	if len(v.unacked) == 0 || v.state.Capacity.CPU <= 0 {
		return v.usage
	}
	usage := slices.Clone(v.usage)
	for _, a := range v.unacked {
		permille := int(1000 * a.demand.CPU / v.state.Capacity.CPU)
		i := slices.IndexFunc(usage, func(u run.KindUsage) bool { return u.Kind == a.job.Queue.Name })
		if i < 0 {
			usage = append(usage, run.KindUsage{Kind: a.job.Queue.Name, Permille: permille})
			continue
		}
		usage[i].Permille += permille
	}
	return usage
}

// ServiceInterference is the estimate for a pair of kinds of a service.
type ServiceInterference struct {
	Service string
	interference.Pair
}

// Interference returns the estimates of all pairs of kinds, found or not, ordered by service.
func (s *Scheduler) Interference() []ServiceInterference {
	var list []ServiceInterference
	for _, service := range slices.Sorted(maps.Keys(s.interference)) {
		for _, p := range s.interference[service].Pairs() {
			list = append(list, ServiceInterference{service, p})
		}
	}
	return list
}
