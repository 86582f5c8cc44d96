package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

const (
	// homeRetryDelay is the wait before a home that did not answer is called again. A change of
	// the entry table ends the wait early.
	homeRetryDelay = 200 * time.Millisecond
	// answerGrace is how long after a job's deadline this entry waits for the home's answer.
	answerGrace = 500 * time.Millisecond
	// queryTimeout bounds CancelJob and GetOutcome, which have no timeout of their own.
	queryTimeout = 10 * time.Second
)

// delivery carries a job that this entry received to its home.
type delivery struct {
	e        *Entry
	key      submission.Key
	job      *poplargwv1.SubmitJobRequest
	deadline time.Time
	// sent is set once a home may have received the job.
	sent bool
}

// submit carries a checked job to its home, waits for the outcome and returns the answer or
// the failure.
func (e *Entry) submit(ctx context.Context, k submission.Key, r *poplargwv1.SubmitJobRequest) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	deadline := time.Now().Add(timeoutOf(r))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	ctx, stop := e.isolation.untilIsolated(ctx)
	defer stop()
	d := &delivery{e: e, key: k, job: r, deadline: deadline}
	return d.run(ctx)
}

// run calls the home of the job, and the new home after a change of the entry table, until one
// answers or ctx ends.
func (d *delivery) run(ctx context.Context) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	for {
		changed, t := d.e.tableChanges.nextChange(), d.e.opts.Cluster.Table()
		if m := table.Home(t, d.key); m != nil {
			if r, ok := d.tryHome(ctx, m); ok {
				return responseOf(r)
			}
		}
		if !waitChange(ctx, changed) {
			return nil, d.undeliveredFailure(ctx)
		}
	}
}

func responseOf(r reply) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	if r.failure != nil {
		return nil, r.failure
	}
	return answerToProto(r.results), nil
}

// waitChange waits until changed is closed, for at most homeRetryDelay. It returns false when
// ctx has ended.
func waitChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(homeRetryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// undeliveredFailure returns the failure of a job whose home did not answer in time. Its
// effect is unknown even when this entry did not reach the home, since the caller may have
// sent the submission through another entry before.
func (d *delivery) undeliveredFailure(ctx context.Context) *result.Failure {
	if endedByIsolation(ctx) {
		return isolatedFailure()
	}
	if !d.sent {
		return &result.Failure{Code: result.HomeUnreachable, Effect: result.Unknown, RetryAfter: shortRetryAfter,
			Message: "the home of the submission cannot be reached"}
	}
	if time.Now().Before(d.deadline) {
		return outcomeUnknown("the call ended before the home of the submission answered")
	}
	return &result.Failure{Code: result.DeadlineExceeded, Effect: result.Unknown,
		Message: "the home of the submission did not answer within the timeout"}
}

// tryHome sends the job to m as its home. It returns false when another attempt is needed.
func (d *delivery) tryHome(ctx context.Context, m *peerv1.EntryMember) (reply, bool) {
	if m.GetId() == d.e.self {
		d.sent = true
		r := d.e.execute(ctx, d.key, d.job, d.deadline)
		return r, !r.notHome()
	}
	r, err := d.e.callExecute(ctx, m, d.job, d.deadline)
	if err != nil && !neverSent(err) {
		d.sent = true
	}
	if err != nil {
		return reply{}, false
	}
	d.sent = true
	return r, !r.notHome()
}

// callExecute calls Execute at another entry, and once more over a new connection when the
// first call breaks. The second call joins the execution of the first one.
func (e *Entry) callExecute(ctx context.Context, m *peerv1.EntryMember, job *poplargwv1.SubmitJobRequest, deadline time.Time) (reply, error) {
	ctx, cancel := e.untilMemberGone(ctx, m)
	defer cancel()
	addr := m.GetAddress()
	var err error
	delivered := false
	for range 2 {
		sent := time.Now()
		var r reply
		if r, err = e.callExecuteOnce(ctx, addr, job, deadline); err == nil {
			return r, nil
		}
		if ctx.Err() != nil {
			return reply{}, err
		}
		delivered = delivered || !neverSent(err)
		e.metrics.wasted.Inc()
		e.peers.onCallError(addr, sent, err)
	}
	e.warnUnreachable(addr, err)
	if delivered && neverSent(err) {
		err = deliveredError{err}
	}
	return reply{}, err
}

// warnUnreachable logs that a home could not be called. It logs at most once a second, since
// all jobs of a lost home fail at the same time.
func (e *Entry) warnUnreachable(addr string, err error) {
	now, last := time.Now().Unix(), e.lastUnreachableLog.Load()
	if now > last && e.lastUnreachableLog.CompareAndSwap(last, now) {
		e.opts.Log.Warn(event.HomeUnreachable, event.Fields{"address": addr, "error": err.Error()})
	}
}

// deliveredError wraps the dial error of a second call whose first call may have been
// delivered. It has no Unwrap method, so that neverSent does not find the dial error.
type deliveredError struct{ cause error }

func (e deliveredError) Error() string { return e.cause.Error() }

// callExecuteOnce calls Execute once and waits for the answer until answerGrace after the
// deadline.
func (e *Entry) callExecuteOnce(ctx context.Context, addr string, job *poplargwv1.SubmitJobRequest, deadline time.Time) (reply, error) {
	remaining := max(time.Until(deadline), 0)
	ctx, cancel := context.WithTimeout(ctx, remaining+answerGrace)
	defer cancel()
	resp, err := e.peers.entryAt(addr).Execute(ctx, connect.NewRequest(&peerv1.ExecuteRequest{
		Versions: e.opts.Cluster.Versions(), Receiver: e.self, Job: job, Remaining: durationpb.New(remaining),
	}))
	if err != nil {
		return reply{}, err
	}
	e.opts.Cluster.Observe(resp.Msg.GetVersions(), addr)
	return e.replyFromProto(resp.Msg, len(job.GetTasks())), nil
}

// replyFromProto converts the response of another entry. If that entry is not the home, this
// entry adopts the entry table in the response.
func (e *Entry) replyFromProto(m *peerv1.ExecuteResponse, tasks int) reply {
	switch {
	case m.GetAnswer() != nil && len(m.GetAnswer().GetResults()) != tasks:
		return reply{failure: outcomeUnknown("the home of the submission sent a wrong number of results")}
	case m.GetAnswer() != nil:
		r := reply{results: make([][]byte, len(m.GetAnswer().GetResults()))}
		for i, t := range m.GetAnswer().GetResults() {
			r.results[i] = t.GetPayload()
		}
		return r
	case m.GetFailure() != nil:
		return reply{failure: failureFromProto(m.GetFailure())}
	}
	if t := m.GetNotHome().GetTable(); t != nil {
		e.opts.Cluster.Adopt(nil, t)
	}
	return reply{}
}

// execute runs a job at this entry as its home and waits for the outcome. It forwards a job
// that another member holds to that member.
func (e *Entry) execute(ctx context.Context, k submission.Key, r *poplargwv1.SubmitJobRequest, deadline time.Time) reply {
	for {
		got := e.executeOnce(ctx, newExecuteMsg(e, k, r, deadline))
		if got.holder == nil {
			return got
		}
		fwd, err := e.callExecute(ctx, got.holder, r, deadline)
		switch {
		case err == nil && !fwd.notHome():
			return fwd
		case err == nil:
			_ = e.home.post(ctx, notHeldMsg{key: k, holder: got.holder})
		}
		if !boottime.Sleep(ctx, homeRetryDelay) {
			return abandonedReply(ctx, "the entry that holds the submission did not answer")
		}
	}
}

func newExecuteMsg(e *Entry, k submission.Key, r *poplargwv1.SubmitJobRequest, deadline time.Time) executeMsg {
	return executeMsg{job: newJob(e.window, k, r, deadline)}
}

// executeOnce submits a job to the home loop and waits for the reply. It fails with Overloaded
// when the inbox stays full for inboxTimeout.
func (e *Entry) executeOnce(ctx context.Context, m executeMsg) reply {
	out := make(chan reply, 1)
	m.out = out
	if !e.home.offer(m, inboxTimeout) {
		return reply{failure: &result.Failure{Code: result.Overloaded, Effect: result.Unknown, RetryAfter: shortRetryAfter,
			Message: "this entry has too many calls in progress; an earlier call with the same ID may have run"}}
	}
	select {
	case r := <-out:
		return r
	case <-ctx.Done():
		return abandonedReply(ctx, "the call ended before the job was complete")
	}
}

// callHome repeats a query about a key until the key's home or holder has answered, for at
// most queryTimeout. local asks this entry's home loop and also returns the holder if another
// entry holds the key; remote asks the entry at addr. Both return false when another attempt
// is needed.
func (e *Entry) callHome(ctx context.Context, k submission.Key, local func() (*peerv1.EntryMember, bool), remote func(addr string) bool) *result.Failure {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for {
		changed, t := e.tableChanges.nextChange(), e.opts.Cluster.Table()
		if m := table.Home(t, k); m != nil {
			if m.GetId() != e.self {
				if remote(m.GetAddress()) {
					return nil
				}
			} else if holder, ok := local(); ok && (holder == nil || remote(holder.GetAddress())) {
				return nil
			}
		}
		if !waitChange(ctx, changed) {
			return &result.Failure{Code: result.HomeUnreachable, Effect: result.Unknown, RetryAfter: shortRetryAfter,
				Message: "the home of the submission did not answer"}
		}
	}
}
