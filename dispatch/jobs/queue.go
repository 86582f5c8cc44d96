package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

// HasWaiting reports whether tasks wait for capacity on the agent's backend server.
func (s *Scheduler) HasWaiting(now time.Time, agent string) bool {
	return s.WaitingDemand(now, agent).Demand.CPU > 0
}

// WaitingDemand is the total demand of the tasks that wait for capacity on one backend server. Urgency
// is the latest start of the first of their jobs, shifted as in the queue: an earlier time is more
// urgent.
type WaitingDemand struct {
	Demand  run.Demand
	Urgency time.Time
}

// maxDemandJobs bounds how many waiting jobs the demand sent to an agent covers.
const maxDemandJobs = 8

// WaitingDemand returns the demand of the tasks that could be placed on the agent's backend server,
// taken from the first maxDemandJobs jobs in the queues. Late jobs are less urgent than all others.
func (s *Scheduler) WaitingDemand(now time.Time, agent string) WaitingDemand {
	var w WaitingDemand
	v := s.servers[agent]
	if v == nil || !v.reported {
		return w
	}
	covered := 0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, j := range list {
			if covered == maxDemandJobs {
				return w
			}
			demand := s.wantedDemand(now, j, v)
			if demand.CPU <= 0 {
				continue
			}
			covered++
			w.Demand = w.Demand.Add(demand)
			if covered > 1 {
				continue
			}
			w.Urgency = j.queueKey
			if j.late {
				w.Urgency = j.queueKey.Add(lateUrgencyDelay)
			}
		}
	}
	return w
}

// wantedDemand returns the demand of the job's waiting tasks that would be placed on the backend server
// if it had free capacity.
func (s *Scheduler) wantedDemand(now time.Time, j *job, v *server) run.Demand {
	var sum run.Demand
	if !j.mayOrder || j.Queue.Service != v.state.Service {
		return sum
	}
	for _, t := range j.tasks {
		step := j.Steps[t.step]
		if t.state != taskWaiting || !j.runnable(t) || !v.state.HasLabel(step.Label) || !step.Demand.Fits(v.state.Capacity) {
			continue
		}
		// A task that must run alone takes an idle backend server and reserves none: a part of one is no use to it.
		if !t.avoided[v.state.Instance] && !s.mustRunAlone(j, t) && s.bulkheadAllows(j, v) && s.suitable(now, j, t, v) && !s.keptForOthers(j, t, v) {
			sum = sum.Add(step.Demand)
		}
	}
	return sum
}

// lateUrgencyDelay orders late jobs behind the jobs of other entries that can still meet their
// objective, including those that have not started.
const lateUrgencyDelay = 4 * startedBonus

// enqueue inserts a job with waiting tasks into the queue. Jobs that have started come first, so that
// none waits long for its last task.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	if j.queued {
		return
	}
	j.queued = true
	j.queueKey = s.queueKeyOf(j)
	j.late = s.isLate(now, j)
	list := s.queueOf(j)
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].queueKey.After(j.queueKey) })
	*list = append(*list, nil)
	copy((*list)[i+1:], (*list)[i:])
	(*list)[i] = j
}

// isLate reports whether the job belongs behind those that can still meet their objective. A job that
// has started is late only if its result would no longer be useful, or if it may have crashed a backend server.
func (s *Scheduler) isLate(now time.Time, j *job) bool {
	if s.hasSuspects(j) {
		return true
	}
	if !j.startedAt.IsZero() {
		return now.Add(j.criticalPath).After(j.usefulUntil())
	}
	return now.Add(j.criticalPath).After(j.objectiveTime)
}

// queueKeyOf returns the time by which the queue is ordered: the latest start of the job that meets its
// objective, shifted by its priority and by startedBonus.
func (s *Scheduler) queueKeyOf(j *job) time.Time {
	later := priorityShare * float64(j.Queue.Priority) * float64(j.latencyObjective())
	key := j.objectiveTime.Add(-j.criticalPath).Add(span(later))
	if !j.startedAt.IsZero() {
		key = key.Add(-startedBonus)
	}
	return key
}

const (
	// priorityShare is how much later than its latest start a job is ordered for each priority number,
	// as a fraction of its objective.
	priorityShare = 0.13
	// startedBonus orders a job that has started before all jobs that have not.
	startedBonus = 24 * time.Hour
)

// queueOf returns the queue that the job belongs to.
func (s *Scheduler) queueOf(j *job) *[]*job {
	if j.late {
		return &s.late
	}
	return &s.onTime
}

// dequeue removes the job from its queue.
func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	list := s.queueOf(j)
	for i, o := range *list {
		if o == j {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return
		}
	}
}
