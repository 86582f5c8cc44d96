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
