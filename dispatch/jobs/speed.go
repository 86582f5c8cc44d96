package jobs

import (
	"slices"
	"time"
)

// The speed of a backend server is learned from the tasks of one step that ran on different servers, because
// they have the same size. Declared run times are off by about 40%, and not at random: a slow server gets mostly
// tasks whose declared run time is so short that they seem to meet their objective there. Measured by declared
// run times, servers with a slowdown of 1.7 seemed to have one of 3, and stood idle in bursts.

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
// were at normal speed. It keeps the speeds of all servers from drifting together: tasks of one step tell them
// only relative to each other.
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

// observeSpeeds updates the speed of the servers from a run that has just been completed. The first run of a
// step is observed together with the second one. A single task is compared with its declared run time.
func (s *Scheduler) observeSpeeds(now time.Time, a *attempt, took time.Duration) {
	step := a.job.Steps[a.task.step]
	if step.Estimate < minMeasuredEstimate {
		return
	}
	state := &a.job.steps[a.task.step]
	r := completedRun{server: a.server, instance: a.server.state.Instance, took: span(float64(took) / a.localityFactor)}
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
		declared, ratio := s.declaredErrorOf(a.job.Queue.Service), meanWork(state.completed)/float64(step.Estimate)
		s.recordTail(a.job.Queue.Service, ratio/declared.typical())
		declared.add(ratio)
	}
}

const (
	// ownWeight is the weight of a run among the runs that it is compared with, once the speed of its server
	// is known. Without it, two servers that share all jobs would each follow the other one's last estimate,
	// and both would swing between two values.
	ownWeight = 0.25
	// minUnknownOthers is the number of runs on other servers of unknown speed with which a run is compared if
	// there is none on a server of known speed: the mean of fewer says less than the declared run time.
	minUnknownOthers = 3
)

// observeAgainstOthers compares the completed run with the given index with those of its step on other
// servers, and with what its step declares if these are too few.
func (s *Scheduler) observeAgainstOthers(now time.Time, a *attempt, index int) {
	completed := a.job.steps[a.task.step].completed
	r := completed[index]
	reference := workOnOthers(completed, r.instance)
	if reference.weight == 0 {
		r.observe(now, a.job.Steps[a.task.step].Estimate)
		return
	}
	if r.server.speedKnown() {
		reference.add(r.work(), ownWeight)
	}
	r.observe(now, span(reference.value()/s.declaredErrorOf(a.job.Queue.Service).typical()))
}

// workOnOthers returns the mean work of the runs on servers other than the given instance whose speed is known.
// If there are none, it returns that of those of unknown speed, or an empty mean if these are too few.
func workOnOthers(runs []completedRun, instance string) mean {
	var known, unknown mean
	for _, r := range runs {
		switch {
		case r.instance == instance:
		case r.server.speedKnown():
			known.add(r.work(), 1)
		default:
			unknown.add(r.work(), 1)
		}
	}
	if known.weight == 0 && unknown.weight >= minUnknownOthers {
		return unknown
	}
	return known
}

// mean is a weighted mean; it is empty while weight is 0.
type mean struct{ sum, weight float64 }

func (m *mean) add(x, weight float64) {
	m.sum += x * weight
	m.weight += weight
}

// value returns the mean, which must not be empty.
func (m *mean) value() float64 { return m.sum / m.weight }

// observe adds the run to the speed estimate of its server, unless another process of the server has replaced
// the one that ran it. work is the expected run time at normal speed.
func (r completedRun) observe(now time.Time, work time.Duration) {
	if r.server.state.Instance != r.instance || r.server.speedEstimate == nil || work <= 0 {
		return
	}
	slowdown := min(MaxSlowdown, max(1/MaxSlowdown, float64(r.took)/float64(work)))
	r.server.speedEstimate.Observe(now, time.Duration(slowdown*float64(referenceRunTime)))
	r.server.lagFactor = max(1, r.server.lagFactor*lagDecay)
}

const (
	// minMeasuredEstimate is the least declared run time with which runs are compared. Tasks that declare less say
	// nothing about their length: one of a nanosecond would make its backend server the slowest of all.
	minMeasuredEstimate = time.Millisecond
	// MaxSlowdown bounds a measured slowdown, and its inverse, so that the estimates stay within the range of a
	// duration.
	MaxSlowdown = 1000.0
)

// work returns the run time at normal speed, in nanoseconds.
func (r completedRun) work() float64 { return float64(r.took) / r.server.normalSlowdown() }

// meanWork returns the mean work of the runs, of which there must be one at least.
func meanWork(runs []completedRun) float64 {
	var m mean
	for _, r := range runs {
		m.add(r.work(), 1)
	}
	return m.value()
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
