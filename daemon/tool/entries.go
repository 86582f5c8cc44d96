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
	// readLimit bounds one call that changes nothing, so that a silent entry leaves time for the next one.
	readLimit = 5 * time.Second
	// askLimit bounds one Apply call. It is above the time that an entry takes at most.
	askLimit = 25 * time.Second
)

// entries are the entries that the operator named. Calls go to one of them, and to the next one
// after a call without an answer.
type entries struct {
	addresses []string
	at        int
}

func entriesOf(c *cli.Command) *entries { return &entries{addresses: c.StringSlice("entry")} }

func operatorClient(address string) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(client, "http://"+address)
}

// read calls the entries one after the other until one answers.
func read[Q, R any](ctx context.Context, e *entries, call func(poplargwv1connect.OperatorClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error)) (*R, error) {
	var errs []error
	for range e.addresses {
		address := e.addresses[e.at]
		limited, cancel := context.WithTimeout(ctx, readLimit)
		resp, err := call(operatorClient(address), limited, connect.NewRequest(new(Q)))
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		if !unanswered(err) {
			return nil, fail(ExitFailed, answered(address, err))
		}
		errs = append(errs, noAnswer(address, err))
		e.at = (e.at + 1) % len(e.addresses)
	}
	return nil, fail(ExitUnreachable, errors.Join(errs...))
}

func noAnswer(address string, err error) error {
	return fmt.Errorf("entry %s does not answer: %w", address, cause(err))
}

// answered describes an error that the other side sent.
func answered(address string, err error) error {
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return fmt.Errorf("%s is not the operators' address of an entry: %w", address, cause(err))
	}
	return fmt.Errorf("entry %s: %w", address, err)
}

// cause returns the error below the one of the RPC library, whose code adds nothing to it.
func cause(err error) error {
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Unwrap() != nil {
		return ce.Unwrap()
	}
	return err
}

// current reads the configuration in force.
func (e *entries) current(ctx context.Context) (*poplargwv1.ConfigRecord, error) {
	resp, err := read(ctx, e, poplargwv1connect.OperatorClient.GetConfig)
	return resp.GetRecord(), err
}

func (e *entries) status(ctx context.Context) (*poplargwv1.GetStatusResponse, error) {
	return read(ctx, e, poplargwv1connect.OperatorClient.GetStatus)
}

// apply asks one entry once. After a call without an answer the next call goes to the next entry.
func (e *entries) apply(ctx context.Context, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	address := e.addresses[e.at]
	resp, err := operatorClient(address).Apply(ctx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	if unanswered(err) {
		e.at = (e.at + 1) % len(e.addresses)
		return nil, noAnswer(address, err)
	}
	return nil, fail(ExitFailed, answered(address, err))
}
