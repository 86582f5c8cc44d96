package tool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

const (
	// readTimeout bounds one call that changes nothing, so that an entry that does not answer leaves
	// time for the next one.
	readTimeout = 5 * time.Second
	// applyTimeout bounds one Apply call. It is above the longest time that an entry takes.
	applyTimeout = 25 * time.Second
)

// entryPool holds the addresses of the entries that the operator named. Calls go to the entry at
// index next; a call without an answer advances it.
type entryPool struct {
	addresses []string
	next      int
}

func newEntryPool(c *cli.Command) *entryPool { return &entryPool{addresses: c.StringSlice("entry")} }

func operatorClient(address string) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(client, "http://"+address)
}

// readAny calls the entries one after the other until one answers. The call must not change
// anything, because an entry that did not answer may have carried it out.
func readAny[Q, R any](ctx context.Context, e *entryPool, call func(poplargwv1connect.OperatorClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error)) (*R, error) {
	var errs []error
	for range e.addresses {
		address := e.addresses[e.next]
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		resp, err := call(operatorClient(address), limited, connect.NewRequest(new(Q)))
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		if !isUnanswered(err) {
			return nil, withExitCode(ExitFailed, answerError(address, err))
		}
		errs = append(errs, noAnswerError(address, err))
		e.next = (e.next + 1) % len(e.addresses)
	}
	return nil, withExitCode(ExitUnreachable, errors.Join(errs...))
}

func noAnswerError(address string, err error) error {
	return fmt.Errorf("entry %s does not answer: %w", address, cause(err))
}

// answerError describes an error that the server sent.
func answerError(address string, err error) error {
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return fmt.Errorf("%s is not the operators' address of an entry: %w", address, cause(err))
	}
	return fmt.Errorf("entry %s: %w", address, err)
}

// cause returns the error that a connect.Error wraps, or err itself. The code of the connect.Error
// adds nothing to the text.
func cause(err error) error {
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Unwrap() != nil {
		return ce.Unwrap()
	}
	return err
}

// currentConfig reads the configuration in force.
func (e *entryPool) currentConfig(ctx context.Context) (*poplargwv1.ConfigRecord, error) {
	resp, err := readAny(ctx, e, poplargwv1connect.OperatorClient.GetConfig)
	return resp.GetRecord(), err
}

func (e *entryPool) status(ctx context.Context) (*poplargwv1.GetStatusResponse, error) {
	return readAny(ctx, e, poplargwv1connect.OperatorClient.GetStatus)
}

// apply calls Apply once, at one entry. After a call without an answer the next call goes to the
// next entry. Only the errors of calls that were answered have an exit code.
func (e *entryPool) apply(ctx context.Context, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	address := e.addresses[e.next]
	resp, err := operatorClient(address).Apply(ctx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	if isUnanswered(err) {
		e.next = (e.next + 1) % len(e.addresses)
		return nil, noAnswerError(address, err)
	}
	return nil, withExitCode(ExitFailed, answerError(address, err))
}
