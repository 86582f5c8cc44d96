package jobs

import (
	"sort"
	"time"
)

const (
	// safety is how much longer than expected a task may take on a backend server that counts as one on
	// which it meets its objective: declared run times are off by about two fifths.
	safety = 1.4
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
	paces := s.paces[j.Queue.Service]
	if slow*distance < slowPace*paces.usual {
		return j.late || s.endsInTime(now, j, t, v, 1) || !s.endsInTimeAt(now, j, t, paces.fast, 1)
	}
	switch {
	case s.endsInTime(now, j, t, v, 1):
		return true
	case s.tooSlow(v):
		return len(v.runs) == 0 && now.Sub(v.lastOrder) > probeEvery<<min(v.probes, maxProbeDoublings)
	}
	return j.late && !s.end(now, j, t, slow*distance).After(j.useful())
}

// end is when the task is expected to end if it starts now at the given pace.
func (s *Scheduler) end(now time.Time, j *job, t *task, pace float64) time.Time {
	return now.Add(time.Duration(float64(j.expected(t)) * pace))
}

// endsInTime tells whether the task is expected to meet the objective on the backend server even if it takes
// the given factor longer.
func (s *Scheduler) endsInTime(now time.Time, j *job, t *task, v *server, factor float64) bool {
	return s.endsInTimeAt(now, j, t, v.slowness()*s.distance(j.Steps[t.step], v), factor)
}

func (s *Scheduler) endsInTimeAt(now time.Time, j *job, t *task, pace, factor float64) bool {
	return !s.end(now, j, t, pace*factor).After(j.objective)
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

// servicePaces are paces of the backend servers of one service that take work.
type servicePaces struct {
	// usual is the median, fast the pace that a quarter of them has at least.
	usual, fast float64
}

// learnPaces computes the paces of each service.
func (s *Scheduler) learnPaces() {
	paces := map[string][]float64{}
	for _, v := range s.fleet {
		if v.takes(s.out) {
			paces[v.state.Service] = append(paces[v.state.Service], v.slowness())
		}
	}
	clear(s.paces)
	for service, list := range paces {
		sort.Float64s(list)
		s.paces[service] = servicePaces{usual: list[len(list)/2], fast: list[len(list)/4]}
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
	return v.slowness() >= slowPace*s.paces[v.state.Service].usual
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

// cost is the expected run time in seconds, and a share of it for a crowded backend server. All backend servers
// on which the task meets its objective with a margin count alike, so that the fast ones stay free for tasks
// that need them.
func (s *Scheduler) cost(now time.Time, j *job, t *task, v *server) float64 {
	slow := v.slowness() * s.distance(j.Steps[t.step], v)
	weight := crowding
	if s.endsInTime(now, j, t, v, safety) {
		slow = 0
		weight = 1
	}
	seconds := j.expected(t).Seconds()
	return seconds*slow + seconds*weight*v.use()
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
