package jobs

import "time"

// startsNow tells whether all tasks that the new job may start have room at this moment. Then no job that
// waits could use that room: it would have it already.
func (s *Scheduler) startsNow(now time.Time, j *job) bool {
	for i, t := range j.tasks {
		sameStep := i > 0 && j.tasks[i-1].step == t.step
		if sameStep || !j.runnable(t) {
			continue
		}
		count := j.Steps[t.step].Count
		if s.places(now, j, t, count) < count {
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
