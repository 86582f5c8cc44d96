// Package jobs is an entry's scheduler for jobs whose tasks run under leases: it admits jobs, orders
// those that wait, places tasks by room and learned speed, and starts a task again only when its last
// run has certainly ended. It does no I/O, time is a parameter, and it is not safe for concurrent use.
package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// Step is a set of equal tasks.
type Step struct {
	Count    int
	Demand   run.Demand
	Estimate time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label must be carried by the backend server; empty means any.
	Label string
	// Affinity names the rack near the data; elsewhere the tasks take longer.
	Affinity string
	// MaxPerServer bounds the tasks of the step on one backend server; 0 means no bound.
	MaxPerServer int
}

// Job is a submission of one caller who waits for its end.
type Job struct {
	ID    string
	Queue route.Queue
	// Spec is passed to the backend servers unread.
	Spec    string
	Steps   []Step
	Arrived time.Time
	// Deadline is until when the caller waits; zero if it is not known.
	Deadline time.Time
}

// Outcome is how a job has ended. Code 0 means completed.
type Outcome struct {
	Job     string
	Code    result.Code
	Effect  result.Effect
	Started time.Time
	// Aim is the job's latency objective; 0 if it was not taken in.
	Aim time.Duration
	// RetryAfter is when a rejected job would find room.
	RetryAfter time.Duration
	// Free and Room are the processor room that a rejection rests on, in thousandths of a core.
	Free, Room int64
}

// NoteKind is a decision or a change of belief that logs should show.
type NoteKind int

// Kinds of notes.
const (
	// Placed: a task was given to an agent.
	Placed NoteKind = iota + 1
	// Moved: a run is stopped because a fresh start elsewhere ends sooner.
	Moved
	// Returned: a run ended without success and its task waits again.
	Returned
	// Lost: an agent was silent for so long that its runs have certainly ended.
	Lost
	// Suspended: a backend server gets no tasks because it failed too many.
	Suspended
)

// Note describes a decision with what it rested on.
type Note struct {
	Kind  NoteKind
	Agent string
	Ref   run.Ref
	// Attempt numbers the runs of the task in this entry, from 1.
	Attempt int
	End     run.Kind
	Reason  result.Code
	// Expected is the expected run time, Rest what the run still needed where it was.
	Expected, Rest time.Duration
	// Age is how long ago the agent's state was heard of.
	Age  time.Duration
	Free int64
}

// Order asks an agent to start a run.
type Order struct {
	Ref          run.Ref
	Demand       run.Demand
	Spec         string
	Checkpoint   string
	Instance     string
	MaxPerServer int
	Label        string
}

// Claim asks an agent what has become of a run.
type Claim struct {
	Ref    run.Ref
	Demand run.Demand
	// Age is how long ago the run was ordered.
	Age time.Duration
}

// Batch is what an entry has to tell one agent, in the frame with the given number.
type Batch struct {
	Agent  string
	Seq    uint64
	Orders []Order
	Stops  []run.Ref
	Claims []Claim
}

// Report is what an agent says of its backend server, as of the frame Ack from this entry.
type Report struct {
	Server run.Server
	Free   run.Demand
	Ack    uint64
	// Entries is the number of entries that share the backend server; 0 if it is not known.
	Entries int
}

// Limits are the bounds of the scheduler.
type Limits struct {
	// Suspect is how long an agent may be silent before it gets no more orders.
	Suspect time.Duration
	// Lost is how long after the newest message of a silent agent its runs have certainly ended.
	Lost time.Duration
	// MaxWaiting bounds the tasks that wait for a place.
	MaxWaiting int
	// FarFactor is how many times longer a task runs away from its data; below 1 counts as 1.
	FarFactor float64
	// RunOffset is added to the time in milliseconds that numbers runs, so that the numbers of
	// several entries rise together: a backend server refuses a number below one that ended there.
	RunOffset int64
}

// Stats counts what the scheduler holds.
type Stats struct {
	Jobs, Unstarted, WaitingTasks, Runs, Servers int
}
