package result

import (
	"maps"
	"slices"
)

// Repeat says whether and when a caller gains from sending the submission again.
type Repeat string

// Kinds of advice.
const (
	// Never: the same request gets the same answer.
	Never Repeat = "no"
	// Later: with the same submission ID, after the given time.
	Later Repeat = "after retry_after"
	// NewID: with a new submission ID, if the caller accepts that tasks may run a second time.
	NewID Repeat = "with a new ID, if running twice is acceptable"
	// Ask: GetOutcome or the same submission ID may still find the outcome.
	Ask Repeat = "same ID, after retry_after if set"
	// Internal: callers do not see the code; the home places the task again.
	Internal Repeat = "internal, placed again"
)

// Info describes a code.
type Info struct {
	Name string
	// Effects are the effects that a Failure with the code can carry.
	Effects []Effect
	Repeat  Repeat
	// Meaning is one sentence for callers and operators.
	Meaning string
}

var (
	notRun      = []Effect{NotRun}
	ran         = []Effect{Run}
	unknown     = []Effect{Unknown}
	notRunOrUnk = []Effect{NotRun, Unknown}
	notRunOrAny = []Effect{NotRun, Run, Unknown}
	anyOrRan    = []Effect{Run, Unknown}
)

var catalogue = merge(requestCodes, stateCodes, outcomeCodes, agentCodes)

var requestCodes = map[Code]Info{
	Malformed:           {"Malformed", notRun, Never, "the request breaks a rule of the schema"},
	TooLarge:            {"TooLarge", notRun, Never, "the request or a payload exceeds its size limit"},
	UnknownService:      {"UnknownService", notRun, Never, "the configuration declares no such service"},
	UnknownKind:         {"UnknownKind", notRun, Never, "the service declares no such kind"},
	UnknownTeam:         {"UnknownTeam", notRun, Never, "the configuration declares no such team"},
	IDInFuture:          {"IDInFuture", notRun, Never, "the time of the submission ID is ahead of the entry's clock by more than the allowed skew"},
	IDReused:            {"IDReused", notRun, Never, "the submission ID was used with another request"},
	DeadlineExpired:     {"DeadlineExpired", notRun, Never, "the deadline had passed when the request arrived"},
	CannotRun:           {"CannotRun", notRun, Never, "no backend server can ever run a task of the job"},
	SubmissionExpired:   {"SubmissionExpired", notRunOrUnk, Never, "the submission ID is older than the submission window"},
	NotRepeatableInKind: {"NotRepeatableInKind", notRun, Never, "the request says repeatable, but a kind in it is declared not repeatable"},
}

var stateCodes = map[Code]Info{
	Overloaded:      {"Overloaded", notRunOrUnk, Later, "a queue is full"},
	OverQuota:       {"OverQuota", notRun, Later, "the team has used its share and no share is free to borrow"},
	DeadlineUnmet:   {"DeadlineUnmet", notRun, Later, "the job cannot end within its deadline at the present load"},
	Draining:        {"Draining", notRunOrUnk, Later, "this entry is leaving; another entry takes the request"},
	NotReady:        {"NotReady", notRunOrUnk, Later, "this entry may not start tasks yet or at present"},
	HomeUnreachable: {"HomeUnreachable", unknown, Ask, "the entry that holds the submission cannot be reached"},
	RangeClosed:     {"RangeClosed", unknown, Ask, "the submission's key range is being recovered from an entry that was lost"},
	RetriesUsed:     {"RetriesUsed", notRunOrAny, Later, "a task was refused by agents more often than the retry budget allows"},
}

var outcomeCodes = map[Code]Info{
	Cancelled:        {"Cancelled", notRunOrAny, Never, "the submission was cancelled"},
	DeadlineExceeded: {"DeadlineExceeded", notRunOrAny, NewID, "the deadline passed before the job was complete"},
	TaskFailed:       {"TaskFailed", ran, NewID, "a backend server answered a task with an error"},
	ServerLost:       {"ServerLost", anyOrRan, NewID, "the connection to a backend server ended while it ran a task"},
	AgentLost:        {"AgentLost", anyOrRan, NewID, "the agent of a task that had started was lost"},
	ResultGone:       {"ResultGone", ran, NewID, "a task has run and its result is no longer held"},
	OutcomeUnknown:   {"OutcomeUnknown", unknown, Ask, "no process can tell whether the submission ran"},
	TimeLimit:        {"TimeLimit", ran, NewID, "a task ran longer than the time limit of its kind"},
}

var agentCodes = map[Code]Info{
	NoFreeSlot:       {"NoFreeSlot", notRun, Internal, "the backend server has no free slot"},
	NoFreeConnection: {"NoFreeConnection", notRun, Internal, "the backend server has no free connection"},
	UnknownServer:    {"UnknownServer", notRun, Internal, "the agent knows no such backend server, or it does not run the kind"},
	DomainOut:        {"DomainOut", notRun, Internal, "the failure domain is out of service"},
	ServerOut:        {"ServerOut", notRun, Internal, "the backend server is out of service"},
	ServerLeaving:    {"ServerLeaving", notRun, Internal, "the backend server is leaving"},
	AgentDraining:    {"AgentDraining", notRun, Internal, "the agent is stopping gracefully"},
	StaleTable:       {"StaleTable", notRun, Internal, "the start was decided on an older entry table than the agent knows"},
	StaleToken:       {"StaleToken", notRun, Internal, "the start token is too old or of another incarnation"},
	NoRecord:         {"NoRecord", notRunOrUnk, Internal, "the agent has no start record of the task"},
	NotAcknowledged:  {"NotAcknowledged", notRun, Internal, "not every entry has acknowledged a report of this agent yet"},
	StartTooLate:     {"StartTooLate", notRun, Internal, "the backend server received the task after its latest start time"},
	OutdatedRun:      {"OutdatedRun", notRun, Internal, "a run of the task with a higher number has ended at the backend server"},
}

// Lookup returns the description of a code.
func Lookup(c Code) (Info, bool) {
	i, ok := catalogue[c]
	return i, ok
}

// Codes returns all codes in ascending order.
func Codes() []Code { return slices.Sorted(maps.Keys(catalogue)) }

// String returns the word used in documents and in the output of the tool.
func (e Effect) String() string {
	switch e {
	case NotRun:
		return "not run"
	case Run:
		return "run"
	}
	return "unknown"
}

func merge(parts ...map[Code]Info) map[Code]Info {
	all := make(map[Code]Info)
	for _, p := range parts {
		maps.Copy(all, p)
	}
	return all
}
