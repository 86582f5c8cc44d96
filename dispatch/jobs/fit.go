package jobs

import (
	"sort"
	"time"
)

const (
	// safetyFactor is the margin on the expected run time with which a task must meet its objective
	// for cost to ignore the speed of the server: declared run times are off by about 40%.
	safetyFactor = 1.4
	// utilizationWeight is the added cost of a full backend server compared with an empty one, as a
	// fraction of the run time.
	utilizationWeight = 0.15
)

// eligible reports whether the task may be placed on the backend server now.
func (s *Scheduler) eligible(now time.Time, j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	if !s.bulkheadAllows(j, v) || !s.hasCapacity(now, j, t, v) || t.avoided[v.state.Instance] {
		return false
	}
	if step.MaxPerServer > 0 && s.runsOfStep(j, t.step, v) >= step.MaxPerServer {
		return false
	}
	return s.leavesReserve(now, j, t, v) && s.suitable(now, j, t, v) && !s.keptForOthers(j, t, v)
}

// suitable reports whether the task is better placed on the backend server, once that has capacity, than waiting for
// another one.
func (s *Scheduler) suitable(now time.Time, j *job, t *task, v *server) bool {
	return s.fastEnough(now, j, t, v) && !s.waitsNearData(now, j, t, v)
}

// hasCapacity reports whether the backend server accepts tasks like t and has free capacity for one.
func (s *Scheduler) hasCapacity(now time.Time, j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	switch {
	case !v.acceptsTasks(s.outOfService), v.state.Service != j.Queue.Service, now.Before(v.pausedUntil):
		return false
	case !s.demandOn(j, t, v).Fits(v.available()), !v.state.HasLabel(step.Label), len(v.runs) >= v.health.Limit(now):
		return false
	}
	return true
}

// fastEnough reports whether the task is expected to end on the backend server while its result is
// still useful. A server that is too slow gets a single probe task from time to time, which shows
// whether it still is. A server far from the task's data on which the job would be late is used only if
// the job is late in any case.
func (s *Scheduler) fastEnough(now time.Time, j *job, t *task, v *server) bool {
	slow := v.slowdown()
	locality := s.localityFactor(j.Steps[t.step], v)
	slowdowns := s.slowdowns[j.Queue.Service]
	if slow*locality < slowThreshold*slowdowns.median {
		return j.late || s.meetsObjective(now, j, t, v, 1) || !s.meetsObjectiveAt(now, j, t, slowdowns.lowerQuartile, 1)
	}
	switch {
	case s.meetsObjective(now, j, t, v, 1):
		return true
	case s.tooSlow(v):
		return len(v.runs) == 0 && now.Sub(v.lastOrder) > probeInterval<<min(v.probes, maxProbeDoublings)
	}
	return j.late && !s.expectedEnd(now, j, t, slow*locality).After(j.usefulUntil())
}

// expectedEnd returns when the task is expected to end if it starts now at the given slowdown.
func (s *Scheduler) expectedEnd(now time.Time, j *job, t *task, slowdown float64) time.Time {
	return now.Add(span(float64(j.expectedRunTime(t)) * slowdown))
}

// meetsObjective reports whether the task is expected to meet the objective of its job on the backend
// server if it takes factor times its expected run time there.
func (s *Scheduler) meetsObjective(now time.Time, j *job, t *task, v *server, factor float64) bool {
	return s.meetsObjectiveAt(now, j, t, v.slowdown()*s.localityFactor(j.Steps[t.step], v), factor)
}

// meetsObjectiveAt is meetsObjective for a server with the given slowdown.
func (s *Scheduler) meetsObjectiveAt(now time.Time, j *job, t *task, slowdown, factor float64) bool {
	return !s.expectedEnd(now, j, t, slowdown*factor).After(j.objectiveTime)
}

const (
	// slowThreshold is how many times slower than the median of its service a backend server must be
	// to count as slow. Healthy servers of one fleet differ by up to 2.5 from each other and by 1.8
	// from their median. The comparison is not with declared run times: these may all be too low, and
	// the whole fleet would count as slow.
	slowThreshold = 2.2
	// probeInterval is the time between two probe tasks on a slow backend server. It doubles with each
	// probe while the server stays slow, up to maxProbeDoublings times, because most jobs with such a
	// task are late, and each entry sends its own probes.
	probeInterval     = 300 * time.Millisecond
	maxProbeDoublings = 3
)

// serviceSlowdowns summarizes the slowdowns of the backend servers of one service that accept tasks.
type serviceSlowdowns struct {
	// median is the median slowdown; a quarter of the servers are at least as fast as lowerQuartile.
	median, lowerQuartile float64
}

// updateSlowdowns recomputes the slowdowns of each service.
func (s *Scheduler) updateSlowdowns() {
	slowdowns := map[string][]float64{}
	for _, v := range s.fleet {
		if v.acceptsTasks(s.outOfService) {
			slowdowns[v.state.Service] = append(slowdowns[v.state.Service], v.slowdown())
		}
	}
	clear(s.slowdowns)
	for service, list := range slowdowns {
		sort.Float64s(list)
		s.slowdowns[service] = serviceSlowdowns{median: list[len(list)/2], lowerQuartile: list[len(list)/4]}
	}
}

// nextProbeCount returns the number of consecutive orders, including the next one, to a backend server
// while it is too slow.
func (s *Scheduler) nextProbeCount(v *server) int {
	if !s.tooSlow(v) {
		return 0
	}
	return v.probes + 1
}

// tooSlow reports whether the slowdown of the backend server is at least slowThreshold times the median
// of its service.
func (s *Scheduler) tooSlow(v *server) bool {
	return v.slowdown() >= slowThreshold*s.slowdowns[v.state.Service].median
}

// runsOfStep returns how many tasks of the job's step run on the backend server.
func (s *Scheduler) runsOfStep(j *job, step int, v *server) int {
	n := 0
	for _, a := range v.runs {
		if a.job == j && a.task.step == step {
			n++
		}
	}
	return n
}

// cost returns the cost, in seconds, of placing the task on the backend server: the expected run time
// plus a fraction of it that grows with the utilization of the server. Servers on which the task meets
// its objective with a margin differ only by utilization, so that the fast ones stay free for tasks
// that need them. Interference is added as a fraction of the run time; see interferenceCost.
func (s *Scheduler) cost(now time.Time, j *job, t *task, v *server) float64 {
	slow := v.slowdown() * s.localityFactor(j.Steps[t.step], v)
	weight := utilizationWeight
	if s.meetsObjective(now, j, t, v, safetyFactor) {
		slow = 0
		weight = 1
	}
	seconds := j.expectedRunTime(t).Seconds()
	return seconds*slow + seconds*weight*v.utilization() + seconds*s.interferenceCost(now, j, t, v)
}

// localityFactor returns how many times longer a task of the step runs on the backend server than near
// its data.
func (s *Scheduler) localityFactor(step Step, v *server) float64 {
	if step.Affinity == "" || v.state.HasLabel(step.Affinity) {
		return 1
	}
	return max(1, s.limits.RemoteDataFactor)
}

// utilization returns the fraction of the backend server's CPU capacity that is in use.
func (v *server) utilization() float64 {
	if v.state.Capacity.CPU <= 0 {
		return 1
	}
	return 1 - float64(v.available().CPU)/float64(v.state.Capacity.CPU)
}
