package fence

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Clocks is a reading of the agent's monotonic and wall clocks.
type Clocks struct {
	// Mono is the time since the agent started, on its monotonic clock.
	Mono time.Duration
	// Wall is the time on the wall clock.
	Wall time.Time
}

// Task identifies one task of one submission.
type Task struct {
	Key submission.Key
	// Index is the position of the task in its submission.
	Index uint32
}

// Token is a start token. The agent issues one with a message that it sends, and a Start
// returns it. It proves that the Start was sent after that message, which bounds its age.
type Token struct {
	Incarnation string
	// Issued is the time of issue on the agent's monotonic clock.
	Issued time.Duration
}

// Request holds the fields of a Start that the fence decides on.
type Request struct {
	Task Task
	// Hash is the hash of the whole submission; it shows whether an ID is used again with another request.
	Hash []byte
	// Config and Table are the versions of the configuration and of the entry table
	// by which the sender placed the task.
	Config, Table uint64
	Token         Token
	Server        string
	Service       string
	Kind          string
	// AttachOnly asks for the state of a task that may have been started; it never starts the task.
	AttachOnly bool
}

// Verdict is the kind of answer to a Start.
type Verdict int

// Kinds of answers to a Start.
const (
	// Refused means that this request starts nothing; Decision.Failure says why.
	Refused Verdict = iota
	// Granted means that this request is the only start of the task. The record is written and the
	// slots are taken.
	Granted
	// Running means that an earlier request started the task and it has not ended.
	Running
	// Ended means that an earlier request started the task and it has ended; Decision.Outcome holds
	// its outcome.
	Ended
)

// Decision answers a Start. StartBefore and the fields after it are set only if the verdict is
// Granted.
type Decision struct {
	Verdict Verdict
	Failure *result.Failure
	Outcome Outcome
	// StartBefore is the wall-clock time by which the backend server must have started the task:
	// the time of the decision plus what is left of TokenAge. It keeps a process that freezes
	// after the decision from starting the task late.
	StartBefore time.Time
	// Address is the network address of the backend server, and Instance identifies its process.
	Address  string
	Instance string
	// TimeLimit is the configured limit on the run time of the kind; 0 if there is none.
	TimeLimit time.Duration
}
