package runagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// Start is an order to the backend server to start a run.
type Start struct {
	Ref        run.Ref
	Spec       string
	Checkpoint string
	// ExpiryMS is the latest time at which the run may start, in milliseconds on the backend server's
	// clock.
	ExpiryMS int64
	// Instance is the incarnation of the backend server that the order is for.
	Instance string
}

// PollRequest asks the backend server for the state of its runs and renews its lease.
type PollRequest struct {
	// LeaseMS is the new end of the lease, in milliseconds on the backend server's clock; 0 does not renew
	// the lease.
	LeaseMS int64
	// LastEnd is the number of the newest ended run that the agent knows. The backend server may forget
	// the ends up to it.
	LastEnd int64
	// Wait is how long the backend server may delay its response until a run ends.
	Wait time.Duration
}

// Backend is the backend server on the agent's VM. Calls return when their context ends.
type Backend interface {
	// Start starts a run and returns the time of the start, in milliseconds on the backend server's clock.
	// After a *Refused error or ErrNotSent the call has not started the run and never will; after any
	// other error the run may start until the order expires.
	Start(ctx context.Context, s Start) (int64, error)
	// Stop asks for the end of a run. A later poll shows whether the run has ended.
	Stop(ctx context.Context, ref run.Ref) error
	// Poll returns the runs in progress and those that have ended, and renews the lease.
	Poll(ctx context.Context, r PollRequest) (runtable.Snapshot, error)
}

// ErrNotSent is returned by a call that could not open a connection and therefore had no effect.
var ErrNotSent = errors.New("no connection to the backend server")

// Refused is the error with which a backend server refuses to start a run.
type Refused struct {
	Code result.Code
	// Reason is the reason given by the backend server.
	Reason string
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("start refused with code %d: %s", r.Code, r.Reason)
}
