package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

const (
	// homePause is the wait before a home that did not answer is called again. A change of
	// the table ends it early.
	homePause = 200 * time.Millisecond
	// answerGrace is how long after a job's deadline its home may still answer.
	answerGrace = 500 * time.Millisecond
	// cancelLimit bounds CancelJob and GetOutcome, which have no timeout of their own.
	cancelLimit = 10 * time.Second
)

// delivery is a job that this entry received and carries to its home.
type delivery struct {
	e        *Entry
	key      submission.Key
	job      *poplargwv1.SubmitJobRequest
	deadline time.Time
	// sent is set once a home may have received the job.
	sent bool
}

// submit runs a checked job and returns its answer or failure.
func (e *Entry) submit(ctx context.Context, k submission.Key, r *poplargwv1.SubmitJobRequest) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	deadline := time.Now().Add(timeoutOf(r))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	ctx, stop := e.isolation.while(ctx)
	defer stop()
	d := &delivery{e: e, key: k, job: r, deadline: deadline}
	return d.run(ctx)
}

func (d *delivery) run(ctx context.Context) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	for {
		changed, t := d.e.changes.wait(), d.e.o.Cluster.Table()
		if m := table.Home(t, d.key); m != nil {
			if r, ok := d.try(ctx, m); ok {
				return answerOf(r)
			}
		}
		if !waitChange(ctx, changed) {
			return nil, d.gaveUp(ctx)
		}
	}
}

func answerOf(r reply) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	if r.failure != nil {
		return nil, r.failure
	}
	return answerToProto(r.results), nil
}

// waitChange waits a moment or until changed is closed. It returns false when ctx has ended.
func waitChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(homePause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// gaveUp is the failure of a job whose home did not answer in time. Its effect is unknown
// even when this entry did not reach the home: the caller may have sent the submission
// through another entry before.
func (d *delivery) gaveUp(ctx context.Context) *result.Failure {
	if isolated(ctx) {
		return notFresh()
	}
	if !d.sent {
		return &result.Failure{Code: result.HomeUnreachable, Effect: result.Unknown, RetryAfter: retrySoon,
			Message: "the home of the submission cannot be reached"}
	}
	if time.Now().Before(d.deadline) {
		return outcomeUnknown("the call ended before the home of the submission answered")
	}
	return &result.Failure{Code: result.DeadlineExceeded, Effect: result.Unknown,
		Message: "the home of the submission did not answer within the timeout"}
}

// try carries the job to one home. It returns false when another try is needed.
func (d *delivery) try(ctx context.Context, m *peerv1.EntryMember) (reply, bool) {
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

// callExecute calls Execute at another entry, and once more over a fresh connection when
// the call breaks. A repeat joins the first one.
func (e *Entry) callExecute(ctx context.Context, m *peerv1.EntryMember, job *poplargwv1.SubmitJobRequest, deadline time.Time) (reply, error) {
	ctx, cancel := e.whileMember(ctx, m)
	defer cancel()
	addr := m.GetAddress()
	var err error
	delivered := false
	for range 2 {
		sent := time.Now()
		var r reply
		if r, err = e.callOnce(ctx, addr, job, deadline); err == nil {
			return r, nil
		}
		if ctx.Err() != nil {
			return reply{}, err
		}
		delivered = delivered || !neverSent(err)
		e.metrics.wasted.Inc()
		e.peers.repair(addr, sent, err)
	}
	e.warnUnreachable(addr, err)
	if delivered && neverSent(err) {
		err = errDelivered{err}
	}
	return reply{}, err
}

// warnUnreachable logs at most once a second, since every job of a lost home fails at once.
func (e *Entry) warnUnreachable(addr string, err error) {
	now, last := time.Now().Unix(), e.warned.Load()
	if now > last && e.warned.CompareAndSwap(last, now) {
		e.o.Log.Warn(event.HomeUnreachable, event.Fields{"address": addr, "error": err.Error()})
	}
}

// errDelivered hides the dial error of a second call from neverSent, since the first one was sent.
type errDelivered struct{ cause error }

func (e errDelivered) Error() string { return e.cause.Error() }

func (e *Entry) callOnce(ctx context.Context, addr string, job *poplargwv1.SubmitJobRequest, deadline time.Time) (reply, error) {
	remaining := max(time.Until(deadline), 0)
	ctx, cancel := context.WithTimeout(ctx, remaining+answerGrace)
	defer cancel()
	resp, err := e.peers.entryAt(addr).Execute(ctx, connect.NewRequest(&peerv1.ExecuteRequest{
		Versions: e.o.Cluster.Versions(), Receiver: e.self, Job: job, Remaining: durationpb.New(remaining),
	}))
	if err != nil {
		return reply{}, err
	}
	e.o.Cluster.Observe(resp.Msg.GetVersions(), addr)
	return e.replyFromProto(resp.Msg, len(job.GetTasks())), nil
}

func (e *Entry) replyFromProto(m *peerv1.ExecuteResponse, tasks int) reply {
	switch {
	case m.GetAnswer() != nil && len(m.GetAnswer().GetResults()) != tasks:
		return reply{failure: outcomeUnknown("the home sent an answer with a wrong number of results")}
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
		e.o.Cluster.Adopt(nil, t)
	}
	return reply{}
}

// execute runs a job at this entry as its home and waits for the outcome. A job that
// another member holds is forwarded to it.
func (e *Entry) execute(ctx context.Context, k submission.Key, r *poplargwv1.SubmitJobRequest, deadline time.Time) reply {
	for {
		got := e.executeOnce(ctx, newJobMsg(e, k, r, deadline))
		if got.holder == nil {
			return got
		}
		fwd, err := e.callExecute(ctx, got.holder, r, deadline)
		switch {
		case err == nil && !fwd.notHome():
			return fwd
		case err == nil:
			_ = e.home.post(ctx, releaseMsg{key: k, holder: got.holder})
		}
		if !sleep(ctx, homePause) {
			return abandoned(ctx, "the entry that holds the submission did not answer")
		}
	}
}

func newJobMsg(e *Entry, k submission.Key, r *poplargwv1.SubmitJobRequest, deadline time.Time) executeMsg {
	return executeMsg{job: newJob(e.window, k, r, deadline)}
}

func (e *Entry) executeOnce(ctx context.Context, m executeMsg) reply {
	out := make(chan reply, 1)
	m.out = out
	if !e.home.offer(m, inboxWait) {
		return reply{failure: &result.Failure{Code: result.Overloaded, Effect: result.Unknown, RetryAfter: retrySoon,
			Message: "this entry has too many calls; an earlier call with the same ID may have run"}}
	}
	select {
	case r := <-out:
		return r
	case <-ctx.Done():
		return abandoned(ctx, "the call ended before the job")
	}
}

// atHome repeats a call about a key until its home or holder has answered. local asks
// this entry's home loop, remote another entry; both return false when another try is needed.
func (e *Entry) atHome(ctx context.Context, k submission.Key, local func() (*peerv1.EntryMember, bool), remote func(addr string) bool) *result.Failure {
	ctx, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	for {
		changed, t := e.changes.wait(), e.o.Cluster.Table()
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
			return &result.Failure{Code: result.HomeUnreachable, Effect: result.Unknown, RetryAfter: retrySoon,
				Message: "the home of the submission did not answer"}
		}
	}
}
