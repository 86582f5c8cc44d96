package jobs

import (
	"slices"
	"time"
)

// The speed of a backend server is learned from the tasks of one step that ran on different servers: they have
// the same size. Declared run times are off by about 40%, and not at random: a slow server gets mostly tasks whose
// declared run time is so short that they seem to meet their objective there. Compared with what they
// declared, servers 1.7 times slower than declared seemed three times slower, and stood idle in bursts.

// completedRun is a completed run of a task of a step.
type completedRun struct {
	server *server
	// instance is the process of the backend server that ran the task.
	instance string
	// took is the run time near the data.
	took time.Duration
}

// declaredErrorWindow is the number of steps whose declared run times are compared with the actual ones.
const declaredErrorWindow = 33

// declaredError holds, for the newest steps of one service, how many times longer than declared their tasks
// were at normal speed. It keeps the speeds of all servers from drifting together, since tasks of one step only tell
// them relative to each other.
type declaredError struct {
	ratios [declaredErrorWindow]float64
	count  int
	median float64 // 0 before the first step
}

// add records the ratio of a step.
func (d *declaredError) add(ratio float64) {
	d.ratios[d.count%declaredErrorWindow] = ratio
	d.count++
	sorted := slices.Clone(d.ratios[:min(d.count, declaredErrorWindow)])
	slices.Sort(sorted)
	d.median = sorted[(len(sorted)-1)/2]
}

// typical returns the median ratio, or 1 before enough steps have ended.
func (d *declaredError) typical() float64 {
	if d.count < declaredErrorWindow/4 {
		return 1
	}
	return d.median
}

// observeSpeeds updates the speed of the servers from a run that has just been completed. The first run of a step is
// observed together with the second one. A step with one task tells the speed only by its declared run time.
func (s *Scheduler) observeSpeeds(now time.Time, a *attempt, took time.Duration) {
	step := a.job.Steps[a.task.step]
	if step.Estimate <= 0 {
		return
	}
	state := &a.job.steps[a.task.step]
	r := completedRun{server: a.server, instance: a.server.state.Instance, took: time.Duration(float64(took) / a.localityFactor)}
	state.completed = append(state.completed, r)
	switch {
	case step.Count == 1:
		r.observe(now, step.Estimate)
	case len(state.completed) == 2:
		s.observeAgainstOthers(now, a, 0)
		s.observeAgainstOthers(now, a, 1)
	case len(state.completed) > 2:
		s.observeAgainstOthers(now, a, len(state.completed)-1)
	}
	if len(state.completed) == step.Count && step.Count > 1 {
		s.declaredErrorOf(a.job.Queue.Service).add(float64(meanWork(state.completed)) / float64(step.Estimate))
	}
}

// observeAgainstOthers compares the completed run with the given index with those of its step on other servers.
func (s *Scheduler) observeAgainstOthers(now time.Time, a *attempt, index int) {
	completed := a.job.steps[a.task.step].completed
	var others []completedRun
	for _, o := range completed {
		if o.instance != completed[index].instance {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return
	}
	work := float64(meanWork(others)) / s.declaredErrorOf(a.job.Queue.Service).typical()
	completed[index].observe(now, time.Duration(work))
}

// observe adds the run to the speed estimate of its server, unless another process of the server has replaced it.
// work is the expected run time at normal speed.
func (r completedRun) observe(now time.Time, work time.Duration) {
	if r.server.state.Instance != r.instance || r.server.speedEstimate == nil || work <= 0 {
		return
	}
	r.server.speedEstimate.Observe(now, time.Duration(float64(r.took)/float64(work)*float64(referenceRunTime)))
	r.server.lagFactor = max(1, r.server.lagFactor*lagDecay)
}

// meanWork returns the mean run time at normal speed of the runs, of which there must be one at least.
func meanWork(runs []completedRun) time.Duration {
	sum := 0.0
	for _, r := range runs {
		sum += float64(r.took) / r.server.normalSlowdown()
	}
	return time.Duration(sum / float64(len(runs)))
}

// declaredErrorOf returns the errors of the declared run times of a service.
func (s *Scheduler) declaredErrorOf(service string) *declaredError {
	d := s.declaredErrors[service]
	if d == nil {
		d = &declaredError{}
		s.declaredErrors[service] = d
	}
	return d
}
