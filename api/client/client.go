// Package client helps callers to use the Dispatcher service. It makes submission IDs and
// sends a submission again, with the same ID, after a broken connection or a refusal that
// names a time to come back. Sending the same ID again never runs a task twice.
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

// Defaults and bounds.
const (
	// DefaultResends is how often one submission is sent again.
	DefaultResends = 8
	// DefaultTimeout is the time for a job whose request names none, as at the entries.
	DefaultTimeout = 30 * time.Second
	firstPause     = 50 * time.Millisecond
	maxPause       = time.Second
	// answerMargin is how long after the timeout an answer may still arrive.
	answerMargin = 2 * time.Second
)

// Options configure a Client.
type Options struct {
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP connect.HTTPClient
	// URLs are base URLs of entries or of their load balancer, at least one. A resend uses the next one.
	URLs []string
	// Resends is how often one submission is sent again; 0 means DefaultResends, a negative value never.
	Resends int
	// Connect holds further options, for example connect.WithGRPC().
	Connect []connect.ClientOption
}

// Client calls the Dispatcher service. It is safe for concurrent use.
type Client struct {
	entries []poplargwv1connect.DispatcherClient
	resends int
}

// New returns a client, or an error when there is no URL.
func New(o Options) (*Client, error) {
	if len(o.URLs) == 0 {
		return nil, errors.New("client needs the URL of an entry")
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

// NewID returns a submission ID: a UUIDv7 with the current time.
func NewID() ([]byte, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("make submission ID: %w", err)
	}
	return id[:], nil
}

// FailureOf returns the Failure message among the details of an error of the service.
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

// Error is the final error of a submission.
type Error struct {
	// Failure is nil when the last send broke without an answer. Its effect is that of
	// the whole submission: "not run" only if every send ended so.
	Failure *poplargwv1.Failure
	// Sends is how often the submission was sent.
	Sends int
	cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Failure == nil {
		return fmt.Sprintf("submission got no answer in %d sends: %v", e.Sends, e.cause)
	}
	return fmt.Sprintf("submission failed after %d sends: %d %s", e.Sends, e.Failure.GetCode(), e.Failure.GetMessage())
}

// Unwrap returns the error of the last send.
func (e *Error) Unwrap() error { return e.cause }

// Submit runs a job. It sets the submission ID when the request has none, and changes the
// timeout in the request to what remains of it with each resend. The error is an *Error.
func (c *Client) Submit(ctx context.Context, r *poplargwv1.SubmitJobRequest) (*poplargwv1.SubmitJobResponse, error) {
	if err := setID(&r.SubmissionId); err != nil {
		return nil, err
	}
	var answer *poplargwv1.SubmitJobResponse
	err := c.repeat(ctx, &r.Timeout, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.SubmitJob(ctx, connect.NewRequest(r))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	return answer, err
}

// Invoke runs a single task, like Submit.
func (c *Client) Invoke(ctx context.Context, r *poplargwv1.InvokeRequest) (*poplargwv1.InvokeResponse, error) {
	if err := setID(&r.SubmissionId); err != nil {
		return nil, err
	}
	var answer *poplargwv1.InvokeResponse
	err := c.repeat(ctx, &r.Timeout, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.Invoke(ctx, connect.NewRequest(r))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	return answer, err
}

// Cancel cancels a submission and returns how many of its tasks will not start.
func (c *Client) Cancel(ctx context.Context, caller string, id []byte) (uint32, error) {
	var n uint32
	err := c.any(ctx, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.CancelJob(ctx, connect.NewRequest(&poplargwv1.CancelJobRequest{Caller: caller, SubmissionId: id}))
		if err == nil {
			n = resp.Msg.GetNotStarted()
		}
		return err
	})
	return n, err
}

// Outcome returns what is known of a submission.
func (c *Client) Outcome(ctx context.Context, caller string, id []byte) (*poplargwv1.GetOutcomeResponse, error) {
	var out *poplargwv1.GetOutcomeResponse
	err := c.any(ctx, func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := d.GetOutcome(ctx, connect.NewRequest(&poplargwv1.GetOutcomeRequest{Caller: caller, SubmissionId: id}))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// any makes a call at the first entry that answers.
func (c *Client) any(ctx context.Context, f call) error {
	var err error
	for _, d := range c.entries {
		if err = f(ctx, d); err == nil || !broken(err) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func setID(id *[]byte) error {
	if len(*id) > 0 {
		return nil
	}
	fresh, err := NewID()
	*id = fresh
	return err
}

// call makes one send.
type call func(context.Context, poplargwv1connect.DispatcherClient) error

func (c *Client) repeat(ctx context.Context, timeout **durationpb.Duration, send call) error {
	limit := DefaultTimeout
	if *timeout != nil {
		limit = (*timeout).AsDuration()
	}
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerMargin))
	defer cancel()
	// doubt is set once a send may have run the submission without saying so.
	doubt := false
	for n := 1; ; n++ {
		err := send(ctx, c.entries[(n-1)%len(c.entries)])
		if err == nil {
			return nil
		}
		f, known := FailureOf(err)
		wait, again := pauseAfter(f, known, err, n)
		if !again || n > c.resends || time.Now().Add(wait).After(deadline) || !sleep(ctx, wait) {
			return &Error{Failure: settled(f, doubt), Sends: n, cause: err}
		}
		doubt = doubt || !known || f.GetEffect() != poplargwv1.Effect_EFFECT_NOT_RUN
		*timeout = durationpb.New(time.Until(deadline))
	}
}

// pauseAfter tells whether and after which time a failed send is repeated.
func pauseAfter(f *poplargwv1.Failure, known bool, err error, n int) (time.Duration, bool) {
	if !known {
		return jitter(min(firstPause<<min(n-1, 5), maxPause)), broken(err)
	}
	if f.GetRetryAfter() == nil || f.GetEffect() == poplargwv1.Effect_EFFECT_RUN {
		return 0, false
	}
	return jitter(f.GetRetryAfter().AsDuration()), true
}

// broken tells whether an error without a Failure came from the connection or a proxy.
func broken(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeInternal, connect.CodeAborted, connect.CodeDeadlineExceeded:
		return true
	}
	return false
}

// jitter lengthens a pause by up to a quarter, so that callers that were refused together
// do not come back together.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// settled returns the failure of the whole submission: after a send that may have run it,
// a refusal of a later send cannot say "not run".
func settled(f *poplargwv1.Failure, doubt bool) *poplargwv1.Failure {
	if f == nil || !doubt || f.GetEffect() != poplargwv1.Effect_EFFECT_NOT_RUN {
		return f
	}
	g := proto.Clone(f).(*poplargwv1.Failure)
	g.Effect = poplargwv1.Effect_EFFECT_UNKNOWN
	return g
}

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
