package client

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

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
