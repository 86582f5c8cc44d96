package result

import (
	"maps"
	"slices"
)

// RetryAdvice tells callers whether and when it helps to send the submission again. Its text is
// shown in documents.
type RetryAdvice string

// Kinds of retry advice.
const (
	// RetryNever means that the same request gets the same answer.
	RetryNever RetryAdvice = "no"
	// RetryLater means to repeat the request with the same submission ID, after the given time.
	RetryLater RetryAdvice = "after retry_after"
	// RetryWithNewID means to use a new submission ID, if the caller accepts that tasks may run a
	// second time.
	RetryWithNewID RetryAdvice = "with a new ID, if running twice is acceptable"
	// RetryToQuery means that GetOutcome, or a repeat with the same submission ID, may still return
	// the outcome.
	RetryToQuery RetryAdvice = "same ID, after retry_after if set"
	// RetryInternal marks a code that callers do not see; the entry that holds the submission
	// schedules the task again.
	RetryInternal RetryAdvice = "internal, rescheduled"
)

// Info describes a code.
type Info struct {
	Name string
	// Effects lists the effects that a Failure with the code can carry.
	Effects []Effect
	Retry   RetryAdvice
	// Meaning is one sentence for callers and operators.
	Meaning string
}

var (
	notRun          = []Effect{NotRun}
	hasRun          = []Effect{Run}
	unknown         = []Effect{Unknown}
	notRunOrUnknown = []Effect{NotRun, Unknown}
	anyEffect       = []Effect{NotRun, Run, Unknown}
	runOrUnknown    = []Effect{Run, Unknown}
)

var catalogue = merge(requestCodes, stateCodes, outcomeCodes, agentCodes)

var requestCodes = map[Code]Info{
	Malformed:           {"Malformed", notRun, RetryNever, "the request breaks a rule of the schema"},
	TooLarge:            {"TooLarge", notRun, RetryNever, "the request or a payload exceeds its size limit"},
	UnknownService:      {"UnknownService", notRun, RetryNever, "the configuration declares no such service"},
	UnknownKind:         {"UnknownKind", notRun, RetryNever, "the service declares no such kind"},
	UnknownTeam:         {"UnknownTeam", notRun, RetryNever, "the configuration declares no such team"},
	IDInFuture:          {"IDInFuture", notRun, RetryNever, "the time of the submission ID is ahead of the entry's clock by more than the allowed skew"},
	IDReused:            {"IDReused", notRun, RetryNever, "the submission ID was used with another request"},
	DeadlineExpired:     {"DeadlineExpired", notRun, RetryNever, "the deadline had passed when the request arrived"},
	CannotRun:           {"CannotRun", notRun, RetryNever, "no backend server can ever run a task of the job"},
	SubmissionExpired:   {"SubmissionExpired", notRunOrUnknown, RetryNever, "the submission ID is older than the submission window"},
	NotRepeatableInKind: {"NotRepeatableInKind", notRun, RetryNever, "the request says repeatable, but a kind in it is declared not repeatable"},
}

var stateCodes = map[Code]Info{
	Overloaded:      {"Overloaded", notRunOrUnknown, RetryLater, "a queue is full"},
	OverQuota:       {"OverQuota", notRun, RetryLater, "the team has used its share and no share is free to borrow"},
	DeadlineUnmet:   {"DeadlineUnmet", notRun, RetryLater, "the job cannot complete within its deadline at the current load"},
	Draining:        {"Draining", anyEffect, RetryLater, "this entry is shutting down; send the request to another entry"},
	NotReady:        {"NotReady", anyEffect, RetryLater, "this entry is not ready to start tasks"},
	HomeUnreachable: {"HomeUnreachable", unknown, RetryToQuery, "the entry that holds the submission cannot be reached"},
	RangeClosed:     {"RangeClosed", unknown, RetryToQuery, "the home of the submission is still claiming its key range"},
	RetriesUsed:     {"RetriesUsed", anyEffect, RetryLater, "a task was refused by agents more often than the retry budget allows"},
}

var outcomeCodes = map[Code]Info{
	Cancelled:        {"Cancelled", anyEffect, RetryNever, "the submission was cancelled"},
	DeadlineExceeded: {"DeadlineExceeded", anyEffect, RetryWithNewID, "the deadline passed before the job was complete"},
	TaskFailed:       {"TaskFailed", hasRun, RetryWithNewID, "a backend server answered a task with an error"},
	ServerLost:       {"ServerLost", runOrUnknown, RetryWithNewID, "the connection to a backend server ended while it ran a task"},
	AgentLost:        {"AgentLost", runOrUnknown, RetryWithNewID, "the agent of a task that had started was lost"},
	ResultGone:       {"ResultGone", hasRun, RetryWithNewID, "a task has run and its result is no longer held"},
	OutcomeUnknown:   {"OutcomeUnknown", unknown, RetryToQuery, "no process can tell whether the submission ran"},
	TimeLimit:        {"TimeLimit", hasRun, RetryWithNewID, "a task ran longer than the time limit of its kind"},
	ServerCrashes:    {"ServerCrashes", hasRun, RetryNever, "backend servers crashed while they ran a task of the job, which is not started again"},
}

var agentCodes = map[Code]Info{
	NoFreeSlot:       {"NoFreeSlot", notRun, RetryInternal, "the backend server has no free slot"},
	NoFreeConnection: {"NoFreeConnection", notRun, RetryInternal, "the backend server has no free connection"},
	UnknownServer:    {"UnknownServer", notRun, RetryInternal, "the agent knows no such backend server, or it does not run the kind"},
	DomainOut:        {"DomainOut", notRun, RetryInternal, "the failure domain is out of service"},
	ServerOut:        {"ServerOut", notRun, RetryInternal, "the backend server is out of service"},
	ServerLeaving:    {"ServerLeaving", notRun, RetryInternal, "the backend server is shutting down"},
	AgentDraining:    {"AgentDraining", notRun, RetryInternal, "the agent is stopping gracefully"},
	StaleTable:       {"StaleTable", notRun, RetryInternal, "the start was decided on an older entry table than the agent knows"},
	StaleToken:       {"StaleToken", notRun, RetryInternal, "the start token is too old or of another incarnation"},
	NoRecord:         {"NoRecord", notRunOrUnknown, RetryInternal, "the agent has no start record of the task"},
	NotAcknowledged:  {"NotAcknowledged", notRun, RetryInternal, "not every entry has acknowledged a report of this agent yet"},
	StartTooLate:     {"StartTooLate", notRun, RetryInternal, "the backend server received the task after its latest start time"},
	OutdatedRun:      {"OutdatedRun", notRun, RetryInternal, "a run of the task with a higher number has ended at the backend server"},
}

// Lookup returns the description of a code.
func Lookup(c Code) (Info, bool) {
	i, ok := catalogue[c]
	return i, ok
}

// Codes returns all codes in ascending order.
func Codes() []Code { return slices.Sorted(maps.Keys(catalogue)) }

// String returns the effect as documents and the operator tool show it.
func (e Effect) String() string {
	switch e {
	case NotRun:
		return "not run"
	case Run:
		return "run"
	}
	return "unknown"
}

// merge returns the union of the maps.
func merge(parts ...map[Code]Info) map[Code]Info {
	all := make(map[Code]Info)
	for _, p := range parts {
		maps.Copy(all, p)
	}
	return all
}
