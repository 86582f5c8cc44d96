package jobs

import "time"

// canStartNow reports whether there is free capacity for all runnable tasks of the new job. No waiting
// job could use that capacity: its tasks would already be placed there.
func (s *Scheduler) canStartNow(now time.Time, j *job) bool {
	for i, t := range j.tasks {
		sameStep := i > 0 && j.tasks[i-1].step == t.step
		if sameStep || !j.runnable(t) {
			continue
		}
		count := j.Steps[t.step].Count
		if s.countFitting(now, j, t, count) < count {
			return false
		}
	}
	return true
}

// countFitting returns how many tasks like t fit on the backend servers now. It stops counting at
// limit.
func (s *Scheduler) countFitting(now time.Time, j *job, t *task, limit int) int {
	n := 0
	step := j.Steps[t.step]
	for _, v := range s.fleet {
		if n >= limit {
			break
		}
		if !s.eligible(now, j, t, v) {
			continue
		}
		free := v.available()
		free.CPU -= s.reservedCPU(now, j, t, v)
		fit := s.demandOn(j, t, v).Count(free)
		if step.MaxPerServer > 0 {
			fit = min(fit, step.MaxPerServer)
		}
		n += min(fit, v.health.Limit(now)-len(v.runs))
	}
	return n
}
