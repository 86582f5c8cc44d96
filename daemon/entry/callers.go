package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// maxRequestBytes is the largest request body: the payloads of a job and 256 KiB for the rest
// of the message.
const maxRequestBytes = maxJobBytes + 256<<10

// drainLookupTimeout bounds the lookup of a submission at its home before a draining entry
// refuses the submission.
const drainLookupTimeout = time.Second

// callerService implements the Dispatcher service.
type callerService struct{ e *Entry }

func newCallerHandler(e *Entry) http.Handler {
	mux := http.NewServeMux()
	// Compression is off, so that no body can expand beyond the limit that limitBody has
	// checked.
	mux.Handle(poplargwv1connect.NewDispatcherHandler(callerService{e},
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompression("gzip", nil, nil)))
	return limitBody(mux)
}

// limitBody refuses bodies of more than maxRequestBytes, and jobs of too many tasks, with the
// result code TooLarge. The read limit of the RPC library would refuse large bodies without a
// result code, and would decode two million empty tasks before checkJob can count them.
func limitBody(next http.Handler) http.Handler {
	errs := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
		switch {
		case err != nil:
			_ = errs.Write(w, r, connect.NewError(connect.CodeInvalidArgument, errors.New("request body cannot be read")))
		case len(body) > maxRequestBytes:
			_ = errs.Write(w, r, connectError(notRun(result.TooLarge, "the request has more than %d bytes", maxRequestBytes)))
		case hasTooManyTasks(r, body):
			_ = errs.Write(w, r, connectError(notRun(result.TooLarge, "a job may have at most %d tasks", maxTasks)))
		default:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		}
	})
}

// SubmitJob implements the Dispatcher service.
func (c callerService) SubmitJob(ctx context.Context, r *connect.Request[poplargwv1.SubmitJobRequest]) (*connect.Response[poplargwv1.SubmitJobResponse], error) {
	answer, f := c.e.receive(ctx, r.Msg)
	if f != nil {
		return nil, connectError(f)
	}
	return connect.NewResponse(answer), nil
}

// Invoke implements the Dispatcher service. It submits a job of one task.
func (c callerService) Invoke(ctx context.Context, r *connect.Request[poplargwv1.InvokeRequest]) (*connect.Response[poplargwv1.InvokeResponse], error) {
	m := r.Msg
	job := &poplargwv1.SubmitJobRequest{
		Caller: m.GetCaller(), SubmissionId: m.GetSubmissionId(), Service: m.GetService(), Team: m.GetTeam(),
		Timeout: m.GetTimeout(), Repeatable: m.GetRepeatable(),
	}
	if m.GetTask() != nil {
		job.Tasks = []*poplargwv1.Task{m.GetTask()}
	}
	answer, f := c.e.receive(ctx, job)
	if f != nil {
		return nil, connectError(f)
	}
	return connect.NewResponse(&poplargwv1.InvokeResponse{Result: answer.GetResults()[0]}), nil
}

// receive checks a job, carries it to its home and records its outcome in the metrics.
func (e *Entry) receive(ctx context.Context, r *poplargwv1.SubmitJobRequest) (*poplargwv1.SubmitJobResponse, *result.Failure) {
	e.openCalls.Add(1)
	defer e.openCalls.Add(-1)
	begun := time.Now()
	k, f := e.accept(r, begun)
	var answer *poplargwv1.SubmitJobResponse
	if f == nil && e.draining.Load() {
		f = e.refuseDraining(ctx, k)
	}
	if f == nil {
		answer, f = e.submit(ctx, k, r)
	}
	took := time.Since(begun)
	e.metrics.submissionEnded(f, took)
	e.objectives.add(time.Now(), r, e.opts.Cluster.Config().GetConfig(), f, took)
	return answer, f
}

// accept checks whether this entry can accept the job and returns its key. A failure
// concerns only this call: an earlier call with the same ID may have run at another entry.
func (e *Entry) accept(r *poplargwv1.SubmitJobRequest, now time.Time) (submission.Key, *result.Failure) {
	k, f := checkJob(r)
	if f == nil {
		f = checkAge(e.window, k, now)
	}
	switch {
	case f != nil:
		return k, f
	case !e.opts.Cluster.Synced():
		return k, &result.Failure{Code: result.NotReady, Effect: result.Unknown, RetryAfter: shortRetryAfter,
			Message: "this entry does not know the entry table yet"}
	}
	return k, nil
}

// refuseDraining returns the failure of a new submission while this entry is draining. It
// returns nil for the resend of a submission that its home knows, since the effect "not run"
// would be false for it.
func (e *Entry) refuseDraining(ctx context.Context, k submission.Key) *result.Failure {
	ctx, cancel := context.WithTimeout(ctx, drainLookupTimeout)
	defer cancel()
	f := notRunRetry(result.Draining, shortRetryAfter, "this entry is shutting down; send the request to another entry")
	out, failed := e.lookup(ctx, k)
	switch {
	case failed != nil || out.GetFailure() != nil && out.GetState() == poplargwv1.State_STATE_UNKNOWN:
		f.Effect = result.Unknown
	case out.GetState() != poplargwv1.State_STATE_UNKNOWN:
		return nil
	}
	return f
}

// CancelJob implements the Dispatcher service.
func (c callerService) CancelJob(ctx context.Context, r *connect.Request[poplargwv1.CancelJobRequest]) (*connect.Response[poplargwv1.CancelJobResponse], error) {
	c.e.openCalls.Add(1)
	defer c.e.openCalls.Add(-1)
	k, err := submission.NewKey(r.Msg.GetCaller(), r.Msg.GetSubmissionId())
	if err != nil {
		return nil, connectError(notRun(result.Malformed, "%v", err))
	}
	n, f := c.e.cancel(ctx, k)
	if f != nil {
		return nil, connectError(f)
	}
	return connect.NewResponse(&poplargwv1.CancelJobResponse{NotStarted: n}), nil
}

// cancel cancels a submission at its home and returns the number of tasks that had not been
// started.
func (e *Entry) cancel(ctx context.Context, k submission.Key) (n uint32, f *result.Failure) {
	f = e.callHome(ctx, k, func() (*peerv1.EntryMember, bool) {
		r, ok := ask(ctx, e.home, func(out chan<- cancelReply) message { return cancelMsg{key: k, out: out} })
		n = uint32(r.notStarted)
		return r.holder, ok && !r.notHome
	}, func(addr string) bool {
		resp, err := e.peers.entryAt(addr).CancelJob(ctx, connect.NewRequest(&peerv1.CancelJobRequest{
			Versions: e.opts.Cluster.Versions(), Key: keyToProto(k),
		}))
		if err != nil {
			return false
		}
		n = resp.Msg.GetNotStarted()
		return e.peerWasHome(resp.Msg.GetNotHome())
	})
	return n, f
}

// peerWasHome reports whether a peer answered as the home of a key. If it did not, this
// entry adopts the entry table in the peer's answer.
func (e *Entry) peerWasHome(n *peerv1.NotHome) bool {
	if n.GetTable() != nil {
		e.opts.Cluster.Adopt(nil, n.GetTable())
	}
	return n == nil
}

func keyToProto(k submission.Key) *peerv1.Key {
	return &peerv1.Key{Caller: k.Caller, SubmissionId: k.ID[:]}
}

// ask sends the message that m returns to the home loop and waits for the answer. It returns
// false when ctx ends first.
func ask[T any](ctx context.Context, h *home, m func(chan<- T) message) (answer T, ok bool) {
	out := make(chan T, 1)
	if h.post(ctx, m(out)) != nil {
		return answer, false
	}
	select {
	case answer = <-out:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// GetOutcome implements the Dispatcher service.
func (c callerService) GetOutcome(ctx context.Context, r *connect.Request[poplargwv1.GetOutcomeRequest]) (*connect.Response[poplargwv1.GetOutcomeResponse], error) {
	c.e.openCalls.Add(1)
	defer c.e.openCalls.Add(-1)
	k, err := submission.NewKey(r.Msg.GetCaller(), r.Msg.GetSubmissionId())
	if err != nil {
		return nil, connectError(notRun(result.Malformed, "%v", err))
	}
	out, f := c.e.lookup(ctx, k)
	if f != nil {
		return nil, connectError(f)
	}
	return connect.NewResponse(out), nil
}

// lookup asks the home of a submission what it knows about it.
func (e *Entry) lookup(ctx context.Context, k submission.Key) (out *poplargwv1.GetOutcomeResponse, f *result.Failure) {
	f = e.callHome(ctx, k, func() (*peerv1.EntryMember, bool) {
		r, ok := ask(ctx, e.home, func(out chan<- lookupReply) message { return lookupMsg{key: k, out: out} })
		out = r.outcome
		return r.holder, ok && !r.notHome
	}, func(addr string) bool {
		resp, err := e.peers.entryAt(addr).Lookup(ctx, connect.NewRequest(&peerv1.LookupRequest{
			Versions: e.opts.Cluster.Versions(), Key: keyToProto(k),
		}))
		if err != nil {
			return false
		}
		out = resp.Msg.GetOutcome()
		return e.peerWasHome(resp.Msg.GetNotHome())
	})
	return out, f
}
