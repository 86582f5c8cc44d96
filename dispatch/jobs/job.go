package jobs

import (
	"time"

	"poplargw.example/dispatch/run"
)

type taskState int

const (
	waiting taskState = iota
	placed
	done
)

type task struct {
	name     string
	step     int
	state    taskState
	run      *attempt
	attempts int
	failures int
	// sick counts the failures on backend servers that failed other jobs as well.
	sick       int
	lastRun    uint64
	stalls     int // runs that were stopped without any progress
	checkpoint string
	avoid      map[string]bool
}

type job struct {
	Job
	tasks     []*task
	left      []int // tasks of each step that are not done
	objective time.Time
	// work is the expected run time of the longest chain on a typical backend server.
	work    time.Duration
	number  uint64    // in the order of arrival
	key     time.Time // place in the queue
	queued  bool
	late    bool
	started time.Time
	// ran tells that a task has run, for certain.
	ran bool
	// reviewed is when it was last looked at whether the job, which is late, can still be served.
	reviewed time.Time
	steps    []stepState
}

// stepState is what is known of a step's tasks, which are alike.
type stepState struct {
	shape shape
	// done is the number of tasks that are done, and ran their run times in all at normal speed.
	done int
	ran  time.Duration
	// least is the run time at normal speed that progress has shown; 0 while there is none.
	least time.Duration
}

func newJob(j Job) *job {
	o := &job{Job: j, left: make([]int, len(j.Steps)), steps: make([]stepState, len(j.Steps))}
	for s, step := range j.Steps {
		o.left[s] = step.Count
		o.steps[s].shape = shapeOf(j.Queue.Service, step)
		for i := range step.Count {
			o.tasks = append(o.tasks, &task{name: run.TaskName(j.ID, 0, s, i), step: s, avoid: map[string]bool{}})
		}
	}
	o.work = o.longestChain()
	o.objective = j.Arrived.Add(objective(j, o.work))
	return o
}

// longestChain is the expected run time of the longest chain of steps.
func (j *job) longestChain() time.Duration {
	longest := time.Duration(0)
	chain := make([]time.Duration, len(j.Steps))
	for s, step := range j.Steps {
		for _, a := range step.After {
			chain[s] = max(chain[s], chain[a])
		}
		chain[s] += max(j.stepTime(s), j.steps[s].least)
		longest = max(longest, chain[s])
	}
	return longest
}

const (
	// usefulFactor is how many latency objectives an answer may take and still be of use.
	usefulFactor = 3
	// patienceFactor is the same for a job that runs and whose caller has not said how long it waits: the
	// declared run times on which an objective rests are often too low.
	patienceFactor = 4
)

// aim is the job's latency objective.
func (j *job) aim() time.Duration { return j.objective.Sub(j.Arrived) }

// useful is until when an answer is of use to its caller.
func (j *job) useful() time.Time {
	end := j.Arrived.Add(usefulFactor * j.aim())
	if !j.Deadline.IsZero() && j.Deadline.Before(end) {
		return j.Deadline
	}
	return end
}

// limit is when the job is given up: its caller has left.
func (j *job) limit() time.Time {
	if !j.Deadline.IsZero() {
		return j.Deadline
	}
	return j.Arrived.Add(patienceFactor * j.aim())
}

// revise takes in that a task of the step is longer than was declared.
func (j *job) revise(step int, work time.Duration) {
	j.steps[step].least = max(j.steps[step].least, work)
	longest := j.longestChain()
	if longest <= j.work {
		return
	}
	j.work = longest
	j.objective = j.Arrived.Add(objective(j.Job, longest))
}

// objective is the time within which the job earns its full worth.
func objective(j Job, chain time.Duration) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(chain)) + j.Queue.Latency
}

// runnable tells whether the steps before the task's step are done.
func (j *job) runnable(t *task) bool {
	for _, a := range j.Steps[t.step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

func (j *job) finished() bool {
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

// expected is the run time of one of the job's tasks on a backend server of normal speed.
func (j *job) expected(t *task) time.Duration { return j.stepTime(t.step) }

// stepTime is the run time of the step's tasks at normal speed. Declared times are often far off, so tasks
// that are done count more, and those of other steps tell by how much the job's are off.
func (j *job) stepTime(step int) time.Duration {
	if s := j.steps[step]; s.done > 0 {
		return s.ran / time.Duration(s.done)
	}
	var ran, declared time.Duration
	for i, s := range j.steps {
		if s.done > 0 {
			ran += s.ran / time.Duration(s.done)
			declared += j.Steps[i].Estimate
		}
	}
	if declared <= 0 {
		return j.Steps[step].Estimate
	}
	return time.Duration(float64(j.Steps[step].Estimate) * float64(ran) / float64(declared))
}

// mayHaveRun tells whether a task has run or may be running.
func (j *job) mayHaveRun() bool {
	for _, t := range j.tasks {
		if t.run != nil {
			return true
		}
	}
	return j.ran
}

// demand is the processor time, in thousandths of a core times seconds, that all its tasks need.
func (j *job) demand() float64 { return j.demandOf(func(*task) bool { return true }) }

// waitingDemand is the same for the tasks without a place.
func (j *job) waitingDemand() float64 {
	return j.demandOf(func(t *task) bool { return t.state == waiting })
}

func (j *job) demandOf(counts func(*task) bool) float64 {
	sum := 0.0
	for _, t := range j.tasks {
		if counts(t) {
			sum += float64(j.Steps[t.step].Demand.CPU) * j.expected(t).Seconds()
		}
	}
	return sum
}
