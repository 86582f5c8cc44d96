// Package fence decides which task starts an agent grants. It holds the start
// records, the recent refusals, the newest entry table, the configuration, and
// the slots and connections of the announced backend servers.
//
// It grants each task at most one start, unless the start is withdrawn. A start that
// it refused as "not run" is not granted later to a delayed copy of the message.
//
// The package does no I/O and starts no goroutine. A Fence is not safe for
// concurrent use: the agent calls it under one lock, so that each decision and
// the record that it writes are one step.
package fence

import (
	"fmt"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Options are the fixed parameters of a Fence.
type Options struct {
	// Incarnation identifies this process of the agent.
	Incarnation string
	// Started is the wall-clock time at which the process started. The Fence holds no start
	// records from before.
	Started time.Time
	// Domain is the name of the agent's failure domain.
	Domain string
	// Window bounds the age of submissions and of their start records.
	Window submission.Window
	// TokenAge is the largest age at which a start token is accepted.
	TokenAge time.Duration
	// Lease is how long an announcement of a backend server is valid without renewal.
	Lease time.Duration
	// ResultBytes is the largest approximate memory of kept outcomes, in bytes.
	ResultBytes int64
}

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

// Fence decides on the starts of one incarnation of an agent.
type Fence struct {
	opts Options
	// lastMono is the newest reading that nextMono returned.
	lastMono time.Duration
	draining bool

	config *apiv1.ConfigRecord
	// kinds, serversOut and domainOut are taken from config.
	kinds      map[kindKey]kindLimits
	serversOut map[string]bool
	domainOut  bool

	// newestTable is the newest version of the entry table that any message carried; table may be older.
	newestTable uint64
	table       *peerv1.EntryTable
	// acknowledged says of each incarnation in the table whether it has answered a report.
	acknowledged map[string]bool

	servers  map[string]*server
	records  records
	refusals refusalLog
}

type kindKey struct{ service, kind string }

type kindLimits struct {
	slots     uint32
	timeLimit time.Duration
}

// New returns a Fence that knows no table, no configuration and no backend server.
func New(o Options) *Fence {
	return &Fence{
		opts:         o,
		acknowledged: make(map[string]bool),
		servers:      make(map[string]*server),
		records:      newRecords(o.ResultBytes),
		refusals:     newRefusalLog(),
	}
}

// IssueToken returns a token for a message that is about to be sent.
func (f *Fence) IssueToken(now Clocks) Token {
	return Token{Incarnation: f.opts.Incarnation, Issued: f.nextMono(now)}
}

// nextMono returns a reading of the monotonic clock that is later than all before it,
// so that a token issued after a refusal has a later time than the refusal.
func (f *Fence) nextMono(now Clocks) time.Duration {
	f.lastMono = max(now.Mono, f.lastMono+1)
	return f.lastMono
}

// Start decides on a Start. If the verdict is Granted, it has written the start
// record and taken the slots when it returns.
func (f *Fence) Start(r Request, now Clocks) Decision {
	f.newestTable = max(f.newestTable, r.Table)
	if rec := f.records.get(r.Task); rec != nil {
		return decideFromRecord(rec, r.Hash)
	}
	fail, srv := f.check(r, now)
	if fail != nil {
		f.refusals.add(r.Task, f.nextMono(now))
		return Decision{Verdict: Refused, Failure: fail}
	}
	k := f.kinds[kindKey{r.Service, r.Kind}]
	slots := max(1, k.slots)
	srv.usedSlots += slots
	srv.running++
	f.records.put(r.Task, f.opts.Window.ForgetAt(r.Task.Key), &record{hash: string(r.Hash), server: srv, slots: slots, running: true})
	return Decision{
		Verdict:     Granted,
		StartBefore: now.Wall.Add(f.opts.TokenAge - f.age(r.Token, now)),
		Address:     srv.announcement.Address,
		Instance:    srv.announcement.Instance,
		TimeLimit:   k.timeLimit,
	}
}

// decideFromRecord answers a Start of a task that has a start record.
func decideFromRecord(rec *record, hash []byte) Decision {
	switch {
	case rec.hash != string(hash):
		return Decision{Verdict: Refused, Failure: notRun(result.IDReused, "the submission ID was used with another request")}
	case rec.running:
		return Decision{Verdict: Running}
	case rec.outcome == nil:
		return Decision{Verdict: Ended, Outcome: Outcome{Failure: &result.Failure{
			Code: result.ResultGone, Effect: result.Run, Message: "the task has ended and its result is no longer held"}}}
	}
	return Decision{Verdict: Ended, Outcome: *rec.outcome}
}

// check returns the first reason to refuse a start of a task without a record, or the
// backend server on which the task may start.
func (f *Fence) check(r Request, now Clocks) (*result.Failure, *server) {
	// The task may have had a record that was forgotten, so the refusal cannot say "not run".
	if t := r.Task.Key.Time(); !t.After(f.records.forgottenUpTo) {
		return &result.Failure{Code: result.SubmissionExpired, Effect: result.Unknown,
			Message: "start records as old as this submission ID are no longer held"}, nil
	}
	if r.AttachOnly {
		return f.noRecord(r), nil
	}
	if fail := f.checkSender(r, now); fail != nil {
		return fail, nil
	}
	return f.checkServer(r, now)
}

// noRecord refuses an AttachOnly request for a task without a record. Its effect is
// Unknown for an ID that is not later than the start of this incarnation by more than
// twice the clock skew: an earlier incarnation can have started the task.
func (f *Fence) noRecord(r Request) *result.Failure {
	if !r.Task.Key.Time().After(f.opts.Started.Add(2 * f.opts.Window.Skew)) {
		return &result.Failure{Code: result.NoRecord, Effect: result.Unknown,
			Message: "no record of the task; an earlier incarnation of the agent may have had one"}
	}
	return notRun(result.NoRecord, "no record of the task")
}

// checkSender returns a refusal if the agent takes no starts at present, or if the
// sender decided on an outdated entry table, token or submission.
func (f *Fence) checkSender(r Request, now Clocks) *result.Failure {
	switch {
	case f.draining:
		return notRun(result.AgentDraining, "the agent is draining")
	case !f.FullyAcknowledged():
		return notRun(result.NotAcknowledged, "the agent lacks the newest entry table, or a member has not acknowledged this incarnation of the agent")
	case f.config == nil && r.Config > 0:
		return notRun(result.NotAcknowledged, "the agent has not fetched the configuration yet")
	case r.Table < f.newestTable:
		return notRun(result.StaleTable, fmt.Sprintf("entry table version %d is older than version %d, which the agent has seen", r.Table, f.newestTable))
	}
	if fail := f.checkToken(r, now); fail != nil {
		return fail
	}
	if r.Task.Key.Time().Before(now.Wall.Add(-f.opts.Window.Length - f.opts.Window.Skew)) {
		return notRun(result.SubmissionExpired, "the submission ID is older than the submission window")
	}
	return nil
}

// checkToken returns a refusal if the token does not prove that the Start is recent.
func (f *Fence) checkToken(r Request, now Clocks) *result.Failure {
	age := f.age(r.Token, now)
	switch {
	case r.Token.Incarnation != f.opts.Incarnation:
		return notRun(result.StaleToken, "the start token was issued by another incarnation of the agent")
	case age < 0 || age > f.opts.TokenAge:
		return notRun(result.StaleToken, fmt.Sprintf("the start token is %v old; the allowed range is 0 to %v", age, f.opts.TokenAge))
	case f.refusals.refusedSince(r.Task, r.Token.Issued):
		// A start of this task was refused as "not run" after the token was issued. The sender
		// may have placed the task elsewhere since, so a grant could start it a second time.
		return notRun(result.StaleToken, "the start token is older than a refusal of the same task")
	}
	return nil
}

// age returns how long ago the token was issued; it is negative for a time of issue in the future.
func (f *Fence) age(t Token, now Clocks) time.Duration { return max(now.Mono, f.lastMono) - t.Issued }

// notRun returns a failure that says that the task has not run.
func notRun(c result.Code, message string) *result.Failure {
	return &result.Failure{Code: c, Effect: result.NotRun, Message: message}
}

// Finish notes the outcome of a granted task and frees its slots. It drops the oldest
// outcomes beyond Options.ResultBytes. It does nothing if the task is not running.
func (f *Fence) Finish(t Task, o Outcome) {
	if rec := f.records.get(t); rec != nil && rec.running {
		rec.release()
		f.records.keep(t, rec, o)
	}
}

// Withdraw removes the record of a granted task that certainly did not start and
// frees its slots. A Start with a token from before the call is then refused. It does
// nothing if the task is not running.
func (f *Fence) Withdraw(t Task, now Clocks) {
	if rec := f.records.get(t); rec != nil && rec.running {
		rec.release()
		f.records.remove(t)
		f.refusals.add(t, f.nextMono(now))
	}
}

// Drain makes the fence refuse all starts of tasks without a record.
func (f *Fence) Drain() { f.draining = true }

// Draining reports whether Drain has been called.
func (f *Fence) Draining() bool { return f.draining }

// Sweep drops records and refusals that are no longer needed and backend servers whose
// lease has ended. It returns the names of the servers without a valid lease; a server
// that still runs tasks is returned by each call.
func (f *Fence) Sweep(now Clocks) []string {
	f.records.forget(now.Wall)
	// Tokens issued before such a refusal are older than TokenAge.
	f.refusals.prune(now.Mono - f.opts.TokenAge)
	return f.expireLeases(now)
}
