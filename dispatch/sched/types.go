// Package sched schedules the tasks of the jobs of a home entry on backend servers. It is
// a state machine without I/O: every method takes the current time and returns the
// actions that the caller has to carry out. A Scheduler is not safe for concurrent use.
package sched

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Job is a submission to be scheduled. All its tasks belong to one service.
type Job struct {
	Key submission.Key
	// Hash is the hash of the submission's content. It is the same in all sends of it.
	Hash     [32]byte
	Service  string
	Team     string
	Tasks    []Task
	Deadline time.Time
	// Repeatable means that the caller declares all tasks safe to run more than once. The
	// Scheduler does not use it.
	Repeatable bool
}

// Task is one unit of work of a job.
type Task struct {
	Kind    string
	Payload []byte
	// Declared is the caller's estimate of the run time; 0 means unknown.
	Declared time.Duration
	// Prior is set after a recovery if an agent already holds a start record of the
	// task. Such a task is only attached to and never started again.
	Prior *Placement
}

// Placement identifies a backend server and its agent.
type Placement struct {
	Agent  string
	Server string
}

// StartRef identifies one attempt to start a task.
type StartRef struct {
	Key     submission.Key
	Task    uint32
	Attempt uint32
}

// Action is either a StartTask or a FinishJob.
type Action interface{ action() }

// StartTask asks the caller to send a Start call to an agent and to pass the outcome to
// Scheduler.StartReply.
type StartTask struct {
	Ref       StartRef
	Placement Placement
	Service   string
	Kind      string
	Payload   []byte
	// Hash is Job.Hash.
	Hash [32]byte
	// TimeLimit is the declared limit on the run time; 0 if the kind has none.
	TimeLimit time.Duration
	// AttachOnly means that an agent already holds a start record of the task: the call
	// must only ask for its outcome and must not start it.
	AttachOnly bool
}

// FinishJob reports the outcome of a job. It is emitted exactly once for each submitted
// job, except for jobs that Scheduler.Drop discards.
type FinishJob struct {
	Key     submission.Key
	Outcome Outcome
}

func (StartTask) action() {}
func (FinishJob) action() {}

// Outcome is the outcome of a job. If the job is complete, Failure is nil and Results
// holds one payload per task, in the order of the tasks. Otherwise Failure is set.
type Outcome struct {
	Results [][]byte
	Failure *result.Failure
}

// Server is the state of a backend server as its agent reported it.
type Server struct {
	Name      string
	Instance  string
	Service   string
	Kinds     []string
	Slots     int
	FreeSlots int
	Leaving   bool
}

// AgentReport is the state of an agent. A report of an earlier incarnation is ignored, and
// so is one with a lower sequence than the newest report of the same incarnation.
type AgentReport struct {
	Agent       string
	Incarnation string
	Sequence    uint64
	Domain      string
	Region      string
	Draining    bool
	Servers     []Server
}

// StartReply is the outcome of a StartTask. If Failure is nil, the task has succeeded and
// Result holds its result.
//
// After a Failure with effect NotRun the task is placed again within the retry budget. A
// Failure with any other effect ends the job.
type StartReply struct {
	Result  []byte
	Failure *result.Failure
	// RunTime is how long the backend server ran the task; 0 if it is unknown.
	RunTime time.Duration
	// FreeSlots and Sequence are valid if HasSlots is set. They update the slot count of
	// the backend server.
	HasSlots  bool
	FreeSlots int
	Sequence  uint64
}
