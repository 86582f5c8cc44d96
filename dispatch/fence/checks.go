package fence

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/result"
)

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
