// Package fence decides which task starts an agent grants. It holds the start
// records, the start tokens, the newest entry table and the limits on slots and
// connections of the announced backend servers.
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

// Options are the bounds of a Fence.
type Options struct {
	// Incarnation identifies this run of the agent process.
	Incarnation string
	// Started is the wall-clock time of the start; earlier start records are lost.
	Started time.Time
	// Domain is the failure domain of the agent.
	Domain string
	// Window bounds the lifetime of submissions and their records.
	Window submission.Window
	// TokenAge is the largest age of a start token.
	TokenAge time.Duration
	// Lease is how long an announced backend server stays known without renewal.
	Lease time.Duration
	// ResultBytes bounds the memory of kept results.
	ResultBytes int64
}

// Now is a reading of both clocks of the agent.
type Now struct {
	// Mono is the time since the start of the agent on its monotonic clock.
	Mono time.Duration
	// Wall is the time of day.
	Wall time.Time
}

// Task identifies one task of one submission.
type Task struct {
	Key   submission.Key
	Index uint32
}

// Token proves that a message was sent after a recent message of the agent.
type Token struct {
	Incarnation string
	// Issued is on the agent's monotonic clock.
	Issued time.Duration
}

// Request is what the fence needs to know of a Start.
type Request struct {
	Task Task
	// Hash is the hash of the whole submission.
	Hash []byte
	// Config and Table are the versions that the sender decided on.
	Config, Table uint64
	Token         Token
	Server        string
	Service       string
	Kind          string
	// AttachOnly asks for the existing record and never starts the task.
	AttachOnly bool
}

// Verdict is the kind of a Decision.
type Verdict int

// Verdicts.
const (
	// Refused: the task did not start; Decision.Failure says why.
	Refused Verdict = iota
	// Granted: this request is the task's one start. The record is written and the slots are taken.
	Granted
	// Running: the task was started before and has not ended.
	Running
	// Ended: the task has ended; Decision.Outcome holds its outcome.
	Ended
)

// Decision answers a Start.
type Decision struct {
	Verdict Verdict
	Failure *result.Failure
	Outcome Outcome
	// StartBefore is the latest start on the wall clock: what is left of the token's age
	// bound, counted from the decision, so that a process that freezes after it starts nothing late.
	StartBefore time.Time
	// Address is where the backend server serves, and Instance which process it is.
	Address  string
	Instance string
	// TimeLimit is the configured limit of the kind; 0 if the configuration names none.
	TimeLimit time.Duration
}

// Fence is the state of one agent incarnation.
type Fence struct {
	o        Options
	lastMono time.Duration
	draining bool

	config *apiv1.ConfigRecord
	kinds  map[kindName]kindLimits
	out    map[string]bool
	away   bool

	newest uint64
	table  *peerv1.EntryTable
	acked  map[string]bool

	servers map[string]*server
	records records
	barred  barred
}

type kindName struct{ service, kind string }

type kindLimits struct {
	slots     uint32
	timeLimit time.Duration
}

// New returns a Fence that knows no table, no configuration and no backend server.
func New(o Options) *Fence {
	return &Fence{
		o:       o,
		acked:   make(map[string]bool),
		servers: make(map[string]*server),
		records: newRecords(o.ResultBytes),
		barred:  newBarred(),
	}
}

// IssueToken returns a token for a message that is about to be sent.
func (f *Fence) IssueToken(now Now) Token {
	return Token{Incarnation: f.o.Incarnation, Issued: f.tick(now)}
}

// tick returns a strictly increasing reading of the monotonic clock, so that a
// token issued after a refusal never compares equal to the refusal.
func (f *Fence) tick(now Now) time.Duration {
	f.lastMono = max(now.Mono, f.lastMono+1)
	return f.lastMono
}

// Start decides on a Start. When it grants, the record is written and the slots
// are taken before it returns.
func (f *Fence) Start(r Request, now Now) Decision {
	f.newest = max(f.newest, r.Table)
	if rec := f.records.get(r.Task); rec != nil {
		return attach(rec, r.Hash)
	}
	fail, srv := f.check(r, now)
	if fail != nil {
		f.barred.add(r.Task, f.tick(now))
		return Decision{Verdict: Refused, Failure: fail}
	}
	k := f.kinds[kindName{r.Service, r.Kind}]
	slots := max(1, k.slots)
	srv.used += slots
	srv.running++
	f.records.put(r.Task, f.o.Window.ForgetAt(r.Task.Key), &record{hash: string(r.Hash), server: srv, slots: slots, running: true})
	return Decision{
		Verdict:     Granted,
		StartBefore: now.Wall.Add(f.o.TokenAge - f.age(r.Token, now)),
		Address:     srv.a.Address,
		Instance:    srv.a.Instance,
		TimeLimit:   k.timeLimit,
	}
}

func attach(rec *record, hash []byte) Decision {
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

// check returns the first reason to refuse a start of a task without a record.
func (f *Fence) check(r Request, now Now) (*result.Failure, *server) {
	// A record that was forgotten could hide a start, so the refusal cannot say "not run".
	if t := r.Task.Key.Time(); !t.After(f.records.forgotten) {
		return &result.Failure{Code: result.SubmissionExpired, Effect: result.Unknown,
			Message: "the start records of that time are no longer held"}, nil
	}
	if r.AttachOnly {
		return f.noRecord(r), nil
	}
	if fail := f.checkSender(r, now); fail != nil {
		return fail, nil
	}
	return f.checkServer(r, now)
}

// noRecord refuses an AttachOnly. An earlier incarnation of the agent can have
// started a task whose ID is not clearly younger than this incarnation.
func (f *Fence) noRecord(r Request) *result.Failure {
	if !r.Task.Key.Time().After(f.o.Started.Add(2 * f.o.Window.Skew)) {
		return &result.Failure{Code: result.NoRecord, Effect: result.Unknown,
			Message: "no record of the task; an earlier incarnation of the agent may have had one"}
	}
	return notRun(result.NoRecord, "no record of the task")
}

func (f *Fence) checkSender(r Request, now Now) *result.Failure {
	switch {
	case f.draining:
		return notRun(result.AgentDraining, "the agent is draining")
	case !f.Acknowledged():
		return notRun(result.NotAcknowledged, "not every member of the entry table knows this incarnation of the agent")
	case f.config == nil && r.Config > 0:
		return notRun(result.NotAcknowledged, "the agent has not fetched the configuration")
	case r.Table < f.newest:
		return notRun(result.StaleTable, fmt.Sprintf("entry table version %d is older than %d", r.Table, f.newest))
	}
	if fail := f.checkToken(r, now); fail != nil {
		return fail
	}
	if r.Task.Key.Time().Before(now.Wall.Add(-f.o.Window.Length - f.o.Window.Skew)) {
		return notRun(result.SubmissionExpired, "the submission ID is older than the submission window")
	}
	return nil
}

func (f *Fence) checkToken(r Request, now Now) *result.Failure {
	age := f.age(r.Token, now)
	switch {
	case r.Token.Incarnation != f.o.Incarnation:
		return notRun(result.StaleToken, "the token is of another incarnation of the agent")
	case age < 0 || age > f.o.TokenAge:
		return notRun(result.StaleToken, fmt.Sprintf("the token is %v old, allowed are %v", age, f.o.TokenAge))
	case f.barred.bars(r.Task, r.Token.Issued):
		// A start of this task was refused as "not run" after the token was
		// issued. Granting this older message would make that answer false.
		return notRun(result.StaleToken, "the token is older than a refusal of the same task")
	}
	return nil
}

// age returns how long ago the token was issued.
func (f *Fence) age(t Token, now Now) time.Duration { return max(now.Mono, f.lastMono) - t.Issued }

func notRun(c result.Code, message string) *result.Failure {
	return &result.Failure{Code: c, Effect: result.NotRun, Message: message}
}

// Finish ends a granted task with its outcome, frees its slots and keeps the
// outcome within the byte bound.
func (f *Fence) Finish(t Task, o Outcome) {
	if rec := f.records.get(t); rec != nil && rec.running {
		rec.release()
		f.records.keep(t, rec, o)
	}
}

// Withdraw removes the record of a granted task that certainly did not start and
// frees its slots. Messages that were sent before it no longer start the task.
func (f *Fence) Withdraw(t Task, now Now) {
	if rec := f.records.get(t); rec != nil && rec.running {
		rec.release()
		f.records.remove(t)
		f.barred.add(t, f.tick(now))
	}
}

// Drain makes the fence refuse all new starts.
func (f *Fence) Drain() { f.draining = true }

// Draining tells whether Drain was called.
func (f *Fence) Draining() bool { return f.draining }

// Sweep forgets records and refusals whose time has passed and drops backend
// servers whose lease has ended. It returns the names of the dropped servers.
func (f *Fence) Sweep(now Now) []string {
	f.records.forget(now.Wall)
	// Tokens issued before the refusal are too old by then.
	f.barred.prune(now.Mono - f.o.TokenAge)
	return f.expire(now)
}
