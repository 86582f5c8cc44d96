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

// Start is an order to the backend server.
type Start struct {
	Ref        run.Ref
	Spec       string
	Checkpoint string
	// ExpiryMS is the latest start on the backend server's clock.
	ExpiryMS int64
	// Instance is the life of the backend server that is meant.
	Instance string
}

// LookRequest asks for what runs and renews the lease.
type LookRequest struct {
	// LeaseMS is the end of the lease on the backend server's clock; 0 leaves it as it is.
	LeaseMS  int64
	LastSeen int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Backend is the backend server on the agent's VM. Calls end with their context.
type Backend interface {
	// Start returns the backend server's clock in milliseconds at the start. A *Refused error says
	// that the run has not started and never will; after any other error it may start until its expiry.
	Start(ctx context.Context, s Start) (int64, error)
	Stop(ctx context.Context, ref run.Ref) error
	Look(ctx context.Context, r LookRequest) (runtable.Look, error)
}

// ErrNotSent reports a call for which no connection could be made: it has had no effect.
var ErrNotSent = errors.New("no connection to the backend server")

// Refused is the refusal of a start.
type Refused struct {
	Code result.Code
	// Reason is the backend server's own word for it.
	Reason string
}

// Error implements error.
func (r *Refused) Error() string { return fmt.Sprintf("start refused: %d %s", r.Code, r.Reason) }
