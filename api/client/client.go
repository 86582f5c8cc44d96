// Package client is a client of the Dispatcher service. It generates submission IDs and
// resends a submission under the same ID after a transport error or after a refusal that
// carries a retry delay. Resending under the same ID never runs a task twice.
package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

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

// Submit runs a job and returns the results of its tasks. It modifies r: it sets the submission
// ID if there is none and, before each resend, reduces the timeout to the remaining time. The
// error is an *Error unless generating the submission ID failed.
func (c *Client) Submit(ctx context.Context, r *poplargwv1.SubmitJobRequest) (*poplargwv1.SubmitJobResponse, error) {
	if err := ensureID(&r.SubmissionId); err != nil {
		return nil, err
	}
	var msg *poplargwv1.SubmitJobResponse
	err := c.sendWithResends(ctx, &r.Timeout, callOf(poplargwv1connect.DispatcherClient.SubmitJob, r, &msg))
	return msg, err
}

// Invoke runs a single task and returns its result. It modifies r and reports errors as Submit does.
func (c *Client) Invoke(ctx context.Context, r *poplargwv1.InvokeRequest) (*poplargwv1.InvokeResponse, error) {
	if err := ensureID(&r.SubmissionId); err != nil {
		return nil, err
	}
	var msg *poplargwv1.InvokeResponse
	err := c.sendWithResends(ctx, &r.Timeout, callOf(poplargwv1connect.DispatcherClient.Invoke, r, &msg))
	return msg, err
}

// Cancel cancels the caller's submission with the given ID and returns how many of its queued
// tasks will not start. Tasks that have started run to their end, but their results are dropped.
func (c *Client) Cancel(ctx context.Context, caller string, id []byte) (uint32, error) {
	var msg *poplargwv1.CancelJobResponse
	r := &poplargwv1.CancelJobRequest{Caller: caller, SubmissionId: id}
	err := c.callAnyEntry(ctx, callOf(poplargwv1connect.DispatcherClient.CancelJob, r, &msg))
	return msg.GetNotStarted(), err
}

// Outcome returns the state and, if available, the outcome of the caller's submission with the
// given ID. It starts no task.
func (c *Client) Outcome(ctx context.Context, caller string, id []byte) (*poplargwv1.GetOutcomeResponse, error) {
	var msg *poplargwv1.GetOutcomeResponse
	r := &poplargwv1.GetOutcomeRequest{Caller: caller, SubmissionId: id}
	err := c.callAnyEntry(ctx, callOf(poplargwv1connect.DispatcherClient.GetOutcome, r, &msg))
	return msg, err
}

// callOf returns a function that calls an RPC with the request and, if it succeeds, stores the response in *out.
func callOf[Req, Resp any](
	rpc func(poplargwv1connect.DispatcherClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error), r *Req, out **Resp,
) rpcFunc {
	return func(ctx context.Context, d poplargwv1connect.DispatcherClient) error {
		resp, err := rpc(d, ctx, connect.NewRequest(r))
		if err == nil {
			*out = resp.Msg
		}
		return err
	}
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
