package jobs

import "time"

// startsNow tells whether all tasks that the new job may start have room at this moment. Then no job that
// waits could use that room: it would have it already.
func (s *Scheduler) startsNow(now time.Time, j *job) bool {
	need := make([]int, len(j.Steps))
	for _, t := range j.tasks {
		if j.runnable(t) {
			need[t.step]++
		}
	}
	first := map[int]*task{}
	for _, t := range j.tasks {
		if first[t.step] == nil {
			first[t.step] = t
		}
	}
	for step, n := range need {
		if n > 0 && s.places(now, j, first[step], n) < n {
			return false
		}
	}
	return true
}

// places is the number of tasks like t that have room now, up to most.
func (s *Scheduler) places(now time.Time, j *job, t *task, most int) int {
	n := 0
	step := j.Steps[t.step]
	for _, v := range s.fleet {
		if n >= most {
			break
		}
		if !s.eligible(now, j, t, v) {
			continue
		}
		fit := step.Demand.Times(v.room())
		if step.MaxPerServer > 0 {
			fit = min(fit, step.MaxPerServer)
		}
		n += min(fit, v.health.Limit(now)-len(v.runs))
	}
	return n
}
