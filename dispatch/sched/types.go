// Package sched is the scheduler of a home entry. It is a state machine without
// I/O: every method takes the current time and returns the actions that the
// caller has to carry out. It is not safe for concurrent use.
package sched

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Job is an accepted submission.
type Job struct {
	Key        submission.Key
	Hash       [32]byte
	Service    string
	Team       string
	Tasks      []Task
	Deadline   time.Time
	Repeatable bool
}

// Task is one unit of work of a job.
type Task struct {
	Kind    string
	Payload []byte
	// Declared is the caller's estimate of the run time; 0 means unknown.
	Declared time.Duration
	// Prior is set after a recovery when an agent already holds a start record
	// of the task. The task is then only attached to, never started.
	Prior *Placement
}

// Placement names a backend server and its agent.
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

// Action is StartTask or FinishJob.
type Action interface{ action() }

// StartTask asks for a Start call to an agent. The outcome comes back through StartReply.
type StartTask struct {
	Ref        StartRef
	To         Placement
	Service    string
	Kind       string
	Payload    []byte
	Hash       [32]byte
	TimeLimit  time.Duration
	AttachOnly bool
}

// FinishJob reports the outcome of a job, exactly once for each submitted job.
type FinishJob struct {
	Key     submission.Key
	Outcome Outcome
}

func (StartTask) action() {}
func (FinishJob) action() {}

// Outcome is a whole answer or a failure. Failure is nil for a complete job, and
// Results then holds one payload for each task in the job's order.
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

// AgentReport is the state of an agent. Reports of one incarnation with a lower
// sequence than the newest are ignored.
type AgentReport struct {
	Agent       string
	Incarnation string
	Sequence    uint64
	Domain      string
	Region      string
	Draining    bool
	Servers     []Server
}

// StartReply is the outcome of a StartTask. Exactly one of the cases holds:
// Result is set with Failure nil, or Failure is set.
//
// A Failure with effect NotRun is placed again within the retry budget; a
// Failure with another effect ends the job.
type StartReply struct {
	Result  []byte
	Failure *result.Failure
	RunTime time.Duration
	// FreeSlots and Sequence update the view of the backend server when HasSlots is set.
	HasSlots  bool
	FreeSlots int
	Sequence  uint64
}
