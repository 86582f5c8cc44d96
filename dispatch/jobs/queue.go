package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

// HasWaiting tells whether tasks wait for a place at the agent's backend server.
func (s *Scheduler) HasWaiting(now time.Time, agent string) bool {
	return s.Want(now, agent).Demand.CPU > 0
}

// Want is what the tasks that wait for a place at one backend server need in all, and the latest start of the
// most urgent.
type Want struct {
	Demand  run.Demand
	Urgency time.Time
}

// wantedJobs bounds how many waiting jobs the demand told to agents covers.
const wantedJobs = 8

// Want returns what waits for a place and could have it at the agent's backend server, from the jobs that come
// first. Late jobs count as less urgent than all others.
func (s *Scheduler) Want(now time.Time, agent string) Want {
	var w Want
	v := s.servers[agent]
	if v == nil || !v.reported {
		return w
	}
	covered := 0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, j := range list {
			if covered == wantedJobs {
				return w
			}
			demand := s.wants(now, j, v)
			if demand.CPU <= 0 {
				continue
			}
			covered++
			w.Demand = w.Demand.Plus(demand)
			if covered > 1 {
				continue
			}
			w.Urgency = j.key
			if j.late {
				w.Urgency = j.key.Add(lateUrgency)
			}
		}
	}
	return w
}

// wants is what the job's tasks without a place need that would be placed on the backend server if it had
// room.
func (s *Scheduler) wants(now time.Time, j *job, v *server) run.Demand {
	var sum run.Demand
	if j.Queue.Service != v.state.Service {
		return sum
	}
	for _, t := range j.tasks {
		step := j.Steps[t.step]
		if t.state != waiting || !j.runnable(t) || !v.state.HasLabel(step.Label) || !step.Demand.Fits(v.state.Room) {
			continue
		}
		if !t.avoid[v.state.Instance] && s.fastEnough(now, j, t, v) {
			sum = sum.Plus(step.Demand)
		}
	}
	return sum
}

// lateUrgency puts late jobs behind those of other entries that can still meet their objective, also behind
// those that have not begun.
const lateUrgency = 4 * startedBonus

// enqueue puts a job with waiting tasks into the queue. A job that has begun comes first, so that
// none waits long for its last task.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	if j.queued {
		return
	}
	j.queued = true
	j.key = s.keyOf(j)
	j.late = s.isLate(now, j)
	list := s.list(j)
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].key.After(j.key) })
	*list = append(*list, nil)
	copy((*list)[i+1:], (*list)[i:])
	(*list)[i] = j
}

// isLate tells whether the job comes behind those that can still meet their objective.
func (s *Scheduler) isLate(now time.Time, j *job) bool {
	if !j.started.IsZero() {
		return now.Add(j.work).After(j.useful())
	}
	return now.Add(j.work).After(j.objective)
}

// keyOf is the job's place in the queue: its latest start, moved by its priority.
func (s *Scheduler) keyOf(j *job) time.Time {
	later := priorityShare * float64(j.Queue.Priority) * float64(j.aim())
	key := j.objective.Add(-j.work).Add(time.Duration(later))
	if !j.started.IsZero() {
		key = key.Add(-startedBonus)
	}
	return key
}

const (
	// priorityShare is how much later than its latest start a job counts for each priority number, as a
	// part of its objective.
	priorityShare = 0.13
	// startedBonus puts a job that has begun before all jobs that have not.
	startedBonus = 24 * time.Hour
)

func (s *Scheduler) list(j *job) *[]*job {
	if j.late {
		return &s.late
	}
	return &s.onTime
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	list := s.list(j)
	for i, o := range *list {
		if o == j {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return
		}
	}
}
