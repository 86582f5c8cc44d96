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
	// took are the normalized run times of the tasks that are done.
	took []time.Duration
}

func newJob(j Job) *job {
	o := &job{Job: j, left: make([]int, len(j.Steps))}
	chain := make([]time.Duration, len(j.Steps))
	for s, step := range j.Steps {
		o.left[s] = step.Count
		for i := range step.Count {
			o.tasks = append(o.tasks, &task{name: run.TaskName(j.ID, 0, s, i), step: s, avoid: map[string]bool{}})
		}
		for _, a := range step.After {
			chain[s] = max(chain[s], chain[a])
		}
		chain[s] += step.Estimate
		o.work = max(o.work, chain[s])
	}
	o.objective = j.Arrived.Add(objective(j, o.work))
	return o
}

const (
	// usefulFactor is how many latency objectives an answer may take and still be of use.
	usefulFactor = 3
	// patienceFactor is the same for a job that runs: the declared run times on which an objective
	// rests are often too low.
	patienceFactor = 4
)

// aim is the job's latency objective.
func (j *job) aim() time.Duration { return j.objective.Sub(j.Arrived) }

// useful is until when an answer is of use.
func (j *job) useful() time.Time { return j.Arrived.Add(usefulFactor * j.aim()) }

// limit is when the job is given up.
func (j *job) limit() time.Time { return j.Arrived.Add(patienceFactor * j.aim()) }

// revise takes in that a task is longer than was declared.
func (j *job) revise(work time.Duration) {
	if len(j.Steps) > 1 || work <= j.work {
		return
	}
	j.work = work
	j.objective = j.Arrived.Add(objective(j.Job, work))
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

// expected is the run time of one of the job's tasks on a backend server of normal speed. The tasks
// of a step are alike, and declared times are often far off, so tasks that are done count more.
func (j *job) expected(t *task) time.Duration {
	if len(j.took) == 0 {
		return j.Steps[t.step].Estimate
	}
	if len(j.Steps) > 1 {
		return j.Steps[t.step].Estimate
	}
	var sum time.Duration
	for _, d := range j.took {
		sum += d
	}
	return sum / time.Duration(len(j.took))
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

// waitingDemand is the processor time, in thousandths of a core times seconds, that the job's tasks
// without a place need.
func (j *job) waitingDemand() float64 {
	sum := 0.0
	for _, t := range j.tasks {
		if t.state == waiting {
			sum += float64(j.Steps[t.step].Demand.CPU) * j.expected(t).Seconds()
		}
	}
	return sum
}
