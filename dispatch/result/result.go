// Package result defines the numbered result codes that the system returns to callers and
// operators. docs/codes.md lists them; a test checks that both agree.
package result

import (
	"fmt"
	"time"
)

// Effect says whether any task of a submission has run.
type Effect int

// Effects. Unknown means that a task may have run. The numbers match poplargw.v1.Effect.
const (
	NotRun  Effect = 1
	Run     Effect = 2
	Unknown Effect = 3
)

// Code is a numbered result code. Codes are stable: a number is never reused.
type Code uint32

// Codes of the 1000 range refuse a request because of its content.
const (
	Malformed           Code = 1001
	TooLarge            Code = 1002
	UnknownService      Code = 1003
	UnknownKind         Code = 1004
	UnknownTeam         Code = 1005
	IDInFuture          Code = 1006
	IDReused            Code = 1007
	DeadlineExpired     Code = 1008
	CannotRun           Code = 1009
	SubmissionExpired   Code = 1010
	NotRepeatableInKind Code = 1011
)

// Codes of the 2000 range refuse a request because of load or state. It can be sent again.
const (
	Overloaded      Code = 2001
	OverQuota       Code = 2002
	DeadlineUnmet   Code = 2003
	Draining        Code = 2004
	NotReady        Code = 2005
	HomeUnreachable Code = 2006
	RangeClosed     Code = 2007
	RetriesUsed     Code = 2008
)

// Codes of the 3000 range end an accepted submission without a complete answer.
const (
	Cancelled        Code = 3001
	DeadlineExceeded Code = 3002
	TaskFailed       Code = 3003
	ServerLost       Code = 3004
	AgentLost        Code = 3005
	ResultGone       Code = 3006
	OutcomeUnknown   Code = 3007
	TimeLimit        Code = 3008
	ServerCrashes    Code = 3009
)

// Codes of the 4000 range are refusals that an agent sends to an entry. All of them mean "not run",
// except NoRecord from an agent that may have lost the record in a restart.
const (
	NoFreeSlot       Code = 4001
	NoFreeConnection Code = 4002
	UnknownServer    Code = 4003
	DomainOut        Code = 4004
	ServerOut        Code = 4005
	ServerLeaving    Code = 4006
	AgentDraining    Code = 4007
	StaleTable       Code = 4008
	StaleToken       Code = 4009
	NoRecord         Code = 4010
	NotAcknowledged  Code = 4011
	StartTooLate     Code = 4012
	OutdatedRun      Code = 4013
)

// Failure explains why a submission or a task has no result.
type Failure struct {
	Code   Code
	Effect Effect
	// RetryAfter is the time after which a retry makes sense; 0 means that a retry does not help.
	RetryAfter time.Duration
	Message    string
}

// Error implements the error interface.
func (f *Failure) Error() string {
	return fmt.Sprintf("%d: %s", f.Code, f.Message)
}
