package jobs

import (
	"time"

	"poplargw.example/dispatch/interference"
	"poplargw.example/dispatch/run"
)

// taskState is the state of a task in the scheduler.
type taskState int

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
)

// task is one task of a job.
type task struct {
	name  string
	step  int
	state taskState
	// run is the current run; nil if there is none.
	run *attempt
	// attempts counts the runs of the task in this entry, failures those that failed on servers which
	// are not suspended.
	attempts int
	failures int
	// suspendedFailures counts the failures on backend servers that were suspended because they failed
	// other jobs as well.
	suspendedFailures int
	lastRun           uint64 // number of the newest run
	stalls            int    // runs that were stopped without any progress
	checkpoint        string
	// avoided holds the instances of backend servers on which the task is not placed again.
	avoided map[string]bool
}

// job is a submitted job with its scheduling state.
type job struct {
	Job
	tasks         []*task
	unfinished    []int     // number of tasks of each step that are not done
	objectiveTime time.Time // arrival plus the latency objective
	// criticalPath is the expected run time of the longest chain of steps at normal speed.
	criticalPath time.Duration
	// arrivalNumber orders the jobs by arrival.
	arrivalNumber uint64
	// queueKey is the position in the queue; see queueKeyOf.
	queueKey time.Time
	// queued and late tell whether the job is in a queue, and that it is in the queue of late jobs.
	queued bool
	late   bool
	// startedAt is when the first task was ordered; zero before.
	startedAt time.Time
	// hasRun is set when a run ends that was not refused: it has started, or may have.
	hasRun bool
	// mayOrder is set while the entry owns the job and no run of a former submission is left; begun is set from the first
	// such time on: all runs of the job belong to this submission.
	mayOrder, begun bool
	// reviewedAt is when review last estimated whether the late job can still be served.
	reviewedAt time.Time
	steps      []stepState
}

// stepState is what is known of the tasks of a step, which all have the same size.
type stepState struct {
	shape shape
	// doneTasks is the number of completed tasks, runTime the sum of their run times at normal speed.
	doneTasks int
	runTime   time.Duration
	// completed are the completed runs.
	completed []completedRun
	// waitsNear is whether its tasks wait for servers near their data, as of nearCheckedAt.
	waitsNear     bool
	nearCheckedAt time.Time
	// minRunTime is the largest run time at normal speed that the progress or end of a task has shown;
	// 0 if there is none yet.
	minRunTime time.Duration
	// besideRuns are the completed runs of which the usage beside them is known; see observeInterference.
	besideRuns []interference.Run
}

// newJob returns the scheduling state of a new job.
func newJob(j Job) *job {
	o := &job{Job: j, unfinished: make([]int, len(j.Steps)), steps: make([]stepState, len(j.Steps))}
	for s, step := range j.Steps {
		o.unfinished[s] = step.Count
		o.steps[s].shape = shapeOf(j.Queue.Service, step)
		for i := range step.Count {
			o.tasks = append(o.tasks, &task{name: run.TaskName(j.ID, 0, s, i), step: s, avoided: map[string]bool{}})
		}
	}
	o.criticalPath = o.criticalPathTime()
	o.objectiveTime = j.Arrived.Add(objectiveFor(j, o.criticalPath))
	return o
}

// criticalPathTime returns the expected run time of the longest chain of steps.
func (j *job) criticalPathTime() time.Duration {
	longest := time.Duration(0)
	chain := make([]time.Duration, len(j.Steps))
	for s, step := range j.Steps {
		for _, a := range step.After {
			chain[s] = max(chain[s], chain[a])
		}
		chain[s] = min(maxSpan, chain[s]+max(j.stepRunTime(s), j.steps[s].minRunTime))
		longest = max(longest, chain[s])
	}
	return longest
}

const (
	// usefulFactor is how many latency objectives after the arrival of a job its result is still
	// useful.
	usefulFactor = 3
	// giveUpFactor is how many latency objectives after its arrival a job without a deadline is given
	// up. It is larger than usefulFactor because the declared run times on which an objective rests
	// are often too low.
	giveUpFactor = 4
)

// latencyObjective returns the latency objective of the job as a duration.
func (j *job) latencyObjective() time.Duration { return j.objectiveTime.Sub(j.Arrived) }

// usefulUntil returns the time until which a result is useful to the caller.
func (j *job) usefulUntil() time.Time {
	end := j.Arrived.Add(usefulFactor * j.latencyObjective())
	if !j.Deadline.IsZero() && j.Deadline.Before(end) {
		return j.Deadline
	}
	return end
}

// giveUpTime returns when the job is given up because its caller no longer waits.
func (j *job) giveUpTime() time.Time {
	if !j.Deadline.IsZero() {
		return j.Deadline
	}
	return j.Arrived.Add(giveUpFactor * j.latencyObjective())
}

// raiseEstimate records that a task of the step takes the time work at normal speed, and extends the
// critical path and the objective of the job if that is longer than expected.
func (j *job) raiseEstimate(step int, work time.Duration) {
	j.steps[step].minRunTime = max(j.steps[step].minRunTime, work)
	longest := j.criticalPathTime()
	if longest <= j.criticalPath {
		return
	}
	j.criticalPath = longest
	j.objectiveTime = j.Arrived.Add(objectiveFor(j.Job, longest))
}

// objectiveFor returns the latency objective of a job with the given critical path.
func objectiveFor(j Job, chain time.Duration) time.Duration {
	return span(j.Queue.Stretch*float64(chain) + float64(j.Queue.Latency))
}

// runnable reports whether the steps that the task's step depends on are done.
func (j *job) runnable(t *task) bool {
	for _, a := range j.Steps[t.step].After {
		if j.unfinished[a] > 0 {
			return false
		}
	}
	return true
}

// finished reports whether all tasks are done.
func (j *job) finished() bool {
	for _, n := range j.unfinished {
		if n > 0 {
			return false
		}
	}
	return true
}

// expectedRunTime returns the expected run time of the task on a backend server of normal speed.
func (j *job) expectedRunTime(t *task) time.Duration { return j.stepRunTime(t.step) }

// stepRunTime returns the expected run time of the step's tasks at normal speed. Declared run times are
// often far off, so the average of the step's completed tasks is used instead if there are any.
// Otherwise the declared run time is scaled by the error that the completed tasks of other steps show.
func (j *job) stepRunTime(step int) time.Duration {
	if s := j.steps[step]; s.doneTasks > 0 {
		return s.runTime / time.Duration(s.doneTasks)
	}
	var ran, declared time.Duration
	for i, s := range j.steps {
		if s.doneTasks > 0 {
			ran += s.runTime / time.Duration(s.doneTasks)
			declared += j.Steps[i].Estimate
		}
	}
	if declared <= 0 {
		return j.Steps[step].Estimate
	}
	return span(float64(j.Steps[step].Estimate) * float64(ran) / float64(declared))
}

// mayHaveRun reports whether a task has run or may be running.
func (j *job) mayHaveRun() bool {
	for _, t := range j.tasks {
		if t.run != nil {
			return true
		}
	}
	return j.hasRun
}

// cpuTime returns the CPU time that all tasks of the job need, in millicore-seconds.
func (j *job) cpuTime() float64 { return j.cpuTimeOf(func(*task) bool { return true }) }

// waitingCPUTime returns the CPU time that the waiting tasks need, in millicore-seconds.
func (j *job) waitingCPUTime() float64 {
	return j.cpuTimeOf(func(t *task) bool { return t.state == taskWaiting })
}

// cpuTimeOf returns the CPU time of the tasks that the filter accepts, in millicore-seconds.
func (j *job) cpuTimeOf(counts func(*task) bool) float64 {
	sum := 0.0
	for _, t := range j.tasks {
		if counts(t) {
			sum += float64(j.Steps[t.step].Demand.CPU) * j.expectedRunTime(t).Seconds()
		}
	}
	return sum
}
