// Package tool holds the commands of the operators' tool poplargw, one in each file.
package tool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// Exit codes of all commands.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that the command failed and that nothing is in doubt.
	ExitFailed = 1
	// ExitUsage means that arguments, flags or files are wrong; nothing was sent.
	ExitUsage = 2
	// ExitConflict means that another change won; this one has no effect.
	ExitConflict = 3
	// ExitUnknown means that the outcome could not be found out, or that a change is stored
	// but not confirmed by a majority.
	ExitUnknown = 4
	// ExitUnreachable means that no answer arrived and that nothing was changed.
	ExitUnreachable = 5
)

const (
	defaultEntry   = "127.0.0.1:7103"
	defaultCallers = "127.0.0.1:7101"
	defaultTimeout = 30 * time.Second
	dialLimit      = 3 * time.Second
	tableOutput    = "table"
	jsonOutput     = "json"
)

// Commands returns the commands of the tool.
func Commands() []*cli.Command {
	return []*cli.Command{
		configCommand(), planCommand(), applyCommand(), domainCommand(), serverCommand(), statusCommand(),
		submitCommand(), outcomeCommand(), cancelCommand(), burnCommand(), timelineCommand(), certCommand(),
	}
}

// failure is an error with the exit code of the tool. It implements cli.ExitCoder.
type failure struct {
	error
	code int
	// shown is set if the output of the command says what failed already.
	shown bool
}

// ExitCode implements cli.ExitCoder.
func (f failure) ExitCode() int { return f.code }

// Unwrap returns the cause.
func (f failure) Unwrap() error { return f.error }

func fail(code int, err error) error { return failure{error: err, code: code} }

func failShown(code int, err error) error { return failure{error: err, code: code, shown: true} }

// callFailed gives the error of a call that changes nothing its exit code.
func callFailed(err error) error {
	if unanswered(err) {
		return fail(ExitUnreachable, fmt.Errorf("the entry does not answer: %w", cause(err)))
	}
	return fail(ExitFailed, err)
}

// unanswered tells whether a call ended without an answer of the server.
func unanswered(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
		var ce *connect.Error
		return !errors.As(err, &ce) || !connect.IsWireError(err)
	}
	return false
}

func commonFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "operator `ADDRESS` of an entry; of several, separated by commas, one that answers is used", Value: []string{defaultEntry}},
		outputFlag(),
		&cli.DurationFlag{Name: "timeout", Usage: "`TIME` limit of the whole command", Value: defaultTimeout},
	}, more...)
}

func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "caller-address", Usage: "caller `ADDRESS` of an entry", Value: defaultCallers},
		&cli.StringFlag{Name: "caller", Usage: "`NAME` of the caller", Value: "operator"},
		outputFlag(),
		&cli.DurationFlag{Name: "timeout", Usage: "`TIME` limit of the whole command", Value: defaultTimeout},
	}, more...)
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "`FORMAT` of the output: table or json", Value: tableOutput, Validator: checkOutput}
}

func checkOutput(s string) error {
	if s != tableOutput && s != jsonOutput {
		return errors.New("allowed: table, json")
	}
	return nil
}

// client ignores proxy settings of the environment, which must not redirect a change silently.
var client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext}}

func dispatcher(c *cli.Command) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(client, "http://"+c.String("caller-address"))
}

// action bounds a command by its time limit.
func action(f func(context.Context, *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		err := checkAddresses(c)
		if err == nil {
			err = f(ctx, c)
		}
		if err != nil {
			showFailure(c, err)
		}
		return err
	}
}

// checkAddresses finds addresses without a port before anything is sent.
func checkAddresses(c *cli.Command) error {
	for flag, list := range map[string][]string{"entry": c.StringSlice("entry"), "caller-address": {c.String("caller-address")}} {
		for _, a := range list {
			if _, _, err := net.SplitHostPort(a); err != nil && a != "" {
				return fail(ExitUsage, fmt.Errorf("--%s: %w; allowed: ADDRESS:PORT", flag, err))
			}
		}
	}
	return nil
}

// Group is the action of a command that only holds others: its arguments name no command.
func Group(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return fail(ExitUsage, fmt.Errorf("%s has no command %q; see %s --help", c.FullName(), name, c.FullName()))
	}
	return fail(ExitUsage, fmt.Errorf("%s needs a command; see %s --help", c.FullName(), c.FullName()))
}

// neverSent tells whether a call failed before its connection was made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// OnUsageError gives wrong flags the exit code of usage errors.
func OnUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fail(ExitUsage, err)
}

// oneArgument returns the only argument of a command.
func oneArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fail(ExitUsage, errors.New("exactly one argument is required: "+name))
	}
	return c.Args().First(), nil
}
