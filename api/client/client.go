// Package client is a client of the Dispatcher service. It generates submission IDs and
// resends a submission under the same ID after a transport error or after a refusal that
// carries a retry delay. Resending under the same ID never runs a task twice.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// Defaults and limits of resending.
const (
	// DefaultResends is the maximum number of resends of one submission if Options.Resends is 0.
	DefaultResends = 8
	// DefaultTimeout is the timeout of a job whose request sets none. The entries use the same value.
	DefaultTimeout = 30 * time.Second
	// The delay after a transport error starts at initialBackoff and doubles up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// responseGrace is how long after the timeout the client still waits for a response.
	responseGrace = 2 * time.Second
)

// Options configures a Client.
type Options struct {
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP connect.HTTPClient
	// URLs are the base URLs of the entries or of their load balancer; at least one is required.
	// Each resend uses the next URL in turn.
	URLs []string
	// Resends is the maximum number of resends of one submission; 0 means DefaultResends and a
	// negative value disables resending.
	Resends int
	// Connect holds additional Connect client options, for example connect.WithGRPC().
	Connect []connect.ClientOption
}

// Client calls the Dispatcher service. It is safe for concurrent use.
type Client struct {
	entries []poplargwv1connect.DispatcherClient
	resends int
}

// New returns a client for the entries at o.URLs. It returns an error if there are none.
func New(o Options) (*Client, error) {
	if len(o.URLs) == 0 {
		return nil, errors.New("client: Options.URLs is empty")
	}
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	c := &Client{resends: o.Resends}
	if c.resends == 0 {
		c.resends = DefaultResends
	}
	for _, u := range o.URLs {
		c.entries = append(c.entries, poplargwv1connect.NewDispatcherClient(o.HTTP, u, o.Connect...))
	}
	return c, nil
}

// NewID returns a new submission ID: a UUIDv7 with the current time, in its 16-byte form. It
// returns an error if the random source fails.
func NewID() ([]byte, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("generate submission ID: %w", err)
	}
	return id[:], nil
}

// FailureOf returns the Failure message that err carries, either as an *Error or among the
// details of a *connect.Error. It reports false if there is none.
func FailureOf(err error) (*poplargwv1.Failure, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure, e.Failure != nil
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		return nil, false
	}
	for _, d := range c.Details() {
		if m, err := d.Value(); err == nil {
			if f, ok := m.(*poplargwv1.Failure); ok {
				return f, true
			}
		}
	}
	return nil, false
}

// Error is the final error of a submission, after all resends.
type Error struct {
	// Failure is nil if the last send ended without a Failure message from the service. Its
	// effect covers the whole submission: EFFECT_NOT_RUN only if every send ended with it.
	Failure *poplargwv1.Failure
	// Sends is the number of times the submission was sent, including the first.
	Sends int
	cause error
}

// Error returns a text with the number of sends and either the result code and message of the
// failure or, if there is none, the error of the last send.
func (e *Error) Error() string {
	if e.Failure == nil {
		return fmt.Sprintf("no response to submission after %d sends: %v", e.Sends, e.cause)
	}
	return fmt.Sprintf("submission failed after %d sends: result code %d: %s", e.Sends, e.Failure.GetCode(), e.Failure.GetMessage())
}

// Unwrap returns the error of the last send.
func (e *Error) Unwrap() error { return e.cause }

// Submit runs a job and returns the results of its tasks. It modifies r: it sets the submission
// ID if there is none and, before each resend, reduces the timeout to the remaining time. The
// error is an *Error unless generating the submission ID failed.
func (c *Client) Submit(ctx context.Context, r *poplargwv1.SubmitJobRequest) (*poplargwv1.SubmitJobResponse, error) {
	if err := ensureID(&r.SubmissionId); err != nil {
		return nil, err
	}
	var msg *poplargwv1.SubmitJobResponse
	err := c.sendWithResends(ctx, &r.Timeout, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.SubmitJob(ctx, connect.NewRequest(r))
		if err == nil {
			msg = resp.Msg
		}
		return err
	})
	return msg, err
}

// Invoke runs a single task and returns its result. It modifies r and reports errors as Submit does.
func (c *Client) Invoke(ctx context.Context, r *poplargwv1.InvokeRequest) (*poplargwv1.InvokeResponse, error) {
	if err := ensureID(&r.SubmissionId); err != nil {
		return nil, err
	}
	var msg *poplargwv1.InvokeResponse
	err := c.sendWithResends(ctx, &r.Timeout, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.Invoke(ctx, connect.NewRequest(r))
		if err == nil {
			msg = resp.Msg
		}
		return err
	})
	return msg, err
}

// Cancel cancels the caller's submission with the given ID and returns how many of its queued
// tasks will not start. Tasks that have started run to their end, but their results are dropped.
func (c *Client) Cancel(ctx context.Context, caller string, id []byte) (uint32, error) {
	var n uint32
	err := c.callAnyEntry(ctx, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.CancelJob(ctx, connect.NewRequest(&poplargwv1.CancelJobRequest{Caller: caller, SubmissionId: id}))
		if err == nil {
			n = resp.Msg.GetNotStarted()
		}
		return err
	})
	return n, err
}

// Outcome returns the state and, if available, the outcome of the caller's submission with the
// given ID. It starts no task.
func (c *Client) Outcome(ctx context.Context, caller string, id []byte) (*poplargwv1.GetOutcomeResponse, error) {
	var out *poplargwv1.GetOutcomeResponse
	err := c.callAnyEntry(ctx, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.GetOutcome(ctx, connect.NewRequest(&poplargwv1.GetOutcomeRequest{Caller: caller, SubmissionId: id}))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// callAnyEntry calls f for each entry in order until a call ends without a transport error or ctx
// has ended. It returns the error of the last call.
func (c *Client) callAnyEntry(ctx context.Context, f rpcFunc) error {
	var err error
	for _, d := range c.entries {
		if err = f(ctx, d); err == nil || !isTransportError(err) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// ensureID sets *id to a new submission ID if it is empty.
func ensureID(id *[]byte) error {
	if len(*id) > 0 {
		return nil
	}
	generated, err := NewID()
	*id = generated
	return err
}

// rpcFunc makes one call to an entry.
type rpcFunc func(context.Context, poplargwv1connect.DispatcherClient) error

// sendWithResends calls send until it succeeds, fails with an error after which a resend is of no
// use, or the resends or the timeout are used up. Before each resend it sets *timeout to the
// remaining time. The error is an *Error.
func (c *Client) sendWithResends(ctx context.Context, timeout **durationpb.Duration, send rpcFunc) error {
	limit := DefaultTimeout
	if *timeout != nil {
		limit = (*timeout).AsDuration()
	}
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	// mayHaveRun is set once a failed send may have run tasks of the submission.
	mayHaveRun := false
	for n := 1; ; n++ {
		err := send(ctx, c.entries[(n-1)%len(c.entries)])
		if err == nil {
			return nil
		}
		f, hasFailure := FailureOf(err)
		wait, retryable := resendDelay(f, hasFailure, err, n)
		if !retryable || n > c.resends || time.Now().Add(wait).After(deadline) || !sleep(ctx, wait) {
			return &Error{Failure: overallFailure(f, mayHaveRun), Sends: n, cause: err}
		}
		mayHaveRun = mayHaveRun || !hasFailure || f.GetEffect() != poplargwv1.Effect_EFFECT_NOT_RUN
		*timeout = durationpb.New(time.Until(deadline))
	}
}

// resendDelay returns the delay before the resend that follows the n-th send, and whether to
// resend at all. f is the failure in err if hasFailure is set.
func resendDelay(f *poplargwv1.Failure, hasFailure bool, err error, n int) (time.Duration, bool) {
	if !hasFailure {
		return jitter(min(initialBackoff<<min(n-1, 5), maxBackoff)), isTransportError(err)
	}
	if f.GetRetryAfter() == nil || f.GetEffect() == poplargwv1.Effect_EFFECT_RUN {
		return 0, false
	}
	return jitter(f.GetRetryAfter().AsDuration()), true
}

// isTransportError reports whether err has one of the codes that a failed connection or a proxy
// causes.
func isTransportError(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeInternal, connect.CodeAborted, connect.CodeDeadlineExceeded:
		return true
	}
	return false
}

// jitter returns d lengthened by a random amount of up to a quarter, so that callers that were
// refused at the same time do not all resend at the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// overallFailure returns the failure of the whole submission, given f, the failure of its last
// send. If an earlier send may have run tasks, EFFECT_NOT_RUN becomes EFFECT_UNKNOWN in a copy of f.
func overallFailure(f *poplargwv1.Failure, mayHaveRun bool) *poplargwv1.Failure {
	if f == nil || !mayHaveRun || f.GetEffect() != poplargwv1.Effect_EFFECT_NOT_RUN {
		return f
	}
	g := proto.Clone(f).(*poplargwv1.Failure)
	g.Effect = poplargwv1.Effect_EFFECT_UNKNOWN
	return g
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
