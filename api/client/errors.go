package client

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

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
