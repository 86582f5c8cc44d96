package jobs

import (
	"sort"
	"time"
)

const (
	// longTask is the run time from which a fast backend server matters more than an idle one: the
	// fixed part of the objective covers the difference for shorter ones.
	longTask = 250 * time.Millisecond
	// crowding is the cost of a full backend server against an empty one, as a share of the run time.
	crowding = 0.15
)

func (s *Scheduler) eligible(now time.Time, j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	if !s.hasRoom(now, j, t, v) || t.avoid[v.state.Instance] {
		return false
	}
	if step.MaxPerServer > 0 && s.ofStep(j, t.step, v) >= step.MaxPerServer {
		return false
	}
	return s.fastEnough(now, j, t, v)
}

// hasRoom tells whether the backend server takes tasks like t and has room for one.
func (s *Scheduler) hasRoom(now time.Time, j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	switch {
	case !v.takes(s.out), v.state.Service != j.Queue.Service, now.Before(v.pausedUntil):
		return false
	case !step.Demand.Fits(v.room()), !v.state.HasLabel(step.Label), len(v.runs) >= v.health.Limit(now):
		return false
	}
	return true
}

// fastEnough tells whether the task is expected to end there while its answer is of use. A backend
// server that is too slow gets one task now and then, which shows whether it still is. A place far from
// the data that would make the job late is taken only when it is late anyway.
func (s *Scheduler) fastEnough(now time.Time, j *job, t *task, v *server) bool {
	slow := v.slowness()
	distance := s.distance(j.Steps[t.step], v)
	usual := s.usual[j.Queue.Service]
	if slow*distance < slowPace*usual {
		return true
	}
	end := now.Add(time.Duration(float64(j.expected(t)) * slow * distance))
	switch {
	case !end.After(j.objective):
		return true
	case s.tooSlow(v):
		return len(v.runs) == 0 && now.Sub(v.lastOrder) > probeEvery<<min(v.probes, maxProbeDoublings)
	}
	return j.late && !end.After(j.useful())
}

const (
	// slowPace is how many times slower than the median of its service a backend server has to be to
	// count as slow; sound ones of one fleet differ by up to 2.5, and by 1.8 from their median. Measured
	// against declared run times, which may all be too low, the whole fleet could be slow at once.
	slowPace = 2.2
	// probeEvery is the time between two tasks that show whether a slow backend server still is. It
	// doubles while it is, because most jobs with such a task are late, and each entry sends its own.
	probeEvery        = 300 * time.Millisecond
	maxProbeDoublings = 3
)

// learnUsual computes the median pace of the backend servers of each service.
func (s *Scheduler) learnUsual() {
	paces := map[string][]float64{}
	for _, v := range s.fleet {
		if v.takes(s.out) {
			paces[v.state.Service] = append(paces[v.state.Service], v.slowness())
		}
	}
	clear(s.usual)
	for service, list := range paces {
		sort.Float64s(list)
		s.usual[service] = list[len(list)/2]
	}
}

// probesAfter is the number of orders in a row, with the next one, to a backend server that is too slow.
func (s *Scheduler) probesAfter(v *server) int {
	if !s.tooSlow(v) {
		return 0
	}
	return v.probes + 1
}

// tooSlow tells whether the backend server is far slower than is usual for its service.
func (s *Scheduler) tooSlow(v *server) bool {
	return v.slowness() >= slowPace*s.usual[v.state.Service]
}

func (s *Scheduler) ofStep(j *job, step int, v *server) int {
	n := 0
	for _, a := range v.runs {
		if a.job == j && a.task.step == step {
			n++
		}
	}
	return n
}

// cost is the expected run time in seconds, and a share of it for a crowded backend server. Short
// tasks count at the speed at which all backend servers meet the objective, so that the fast ones
// stay free for long tasks.
func (s *Scheduler) cost(j *job, t *task, v *server) float64 {
	expected := j.expected(t)
	slow := v.slowness() * s.distance(j.Steps[t.step], v)
	weight := crowding
	if expected < longTask && slow < j.Queue.Stretch {
		slow = 1
		weight = 1
	}
	seconds := expected.Seconds() * slow
	return seconds + seconds*weight*v.use()
}

// distance is how many times longer a task of the step runs on the backend server than near its data.
func (s *Scheduler) distance(step Step, v *server) float64 {
	if step.Affinity == "" || v.state.HasLabel(step.Affinity) {
		return 1
	}
	return max(1, s.limits.FarFactor)
}

// use is the share of the backend server's processor that is taken.
func (v *server) use() float64 {
	if v.state.Room.CPU <= 0 {
		return 1
	}
	return 1 - float64(v.room().CPU)/float64(v.state.Room.CPU)
}
