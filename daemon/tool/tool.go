// Package tool implements the commands of the operators' tool poplargw. Each command has its own file.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed and that its outcome is certain.
	ExitFailed = 1
	// ExitUsage means that arguments, flags or files are invalid; nothing was sent.
	ExitUsage = 2
	// ExitConflict means that another change was made first; this one has no effect.
	ExitConflict = 3
	// ExitUnknown means that the outcome could not be determined, or that a change is stored
	// but not confirmed by a majority.
	ExitUnknown = 4
	// ExitUnreachable means that no answer arrived and that nothing was changed.
	ExitUnreachable = 5
)

const (
	defaultEntry   = "127.0.0.1:7103"
	defaultCallers = "127.0.0.1:7101"
	defaultTimeout = 30 * time.Second
	dialTimeout    = 3 * time.Second
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

// exitError is an error with the exit code of the tool. It implements cli.ExitCoder.
type exitError struct {
	error
	code int
	// shown is true if the output of the command already says what failed.
	shown bool
}

// ExitCode implements cli.ExitCoder.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error without the exit code.
func (e exitError) Unwrap() error { return e.error }

func withExitCode(code int, err error) error { return exitError{error: err, code: code} }

func shownError(code int, err error) error { return exitError{error: err, code: code, shown: true} }

// callError adds the exit code to the error of a call: ExitUnreachable if no answer arrived, and otherwise
// ExitFailed. A caller whose call may have taken effect without an answer has to replace ExitUnreachable.
func callError(err error) error {
	if isUnanswered(err) {
		return withExitCode(ExitUnreachable, fmt.Errorf("the entry does not answer: %w", cause(err)))
	}
	return withExitCode(ExitFailed, err)
}

// isUnanswered tells whether a call ended without an answer from the server.
func isUnanswered(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
		var ce *connect.Error
		return !errors.As(err, &ce) || !connect.IsWireError(err)
	}
	return false
}

// commonFlags returns the flags of commands that call the Operator service, followed by more.
func commonFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "operator `ADDRESS` of an entry; of several, separated by commas, the first that answers is used", Value: []string{defaultEntry}},
		outputFlag(),
		&cli.DurationFlag{Name: "timeout", Usage: "`TIME` limit of the whole command", Value: defaultTimeout},
	}, more...)
}

// callerFlags returns the flags of commands that call the Dispatcher service, followed by more.
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

// client ignores the proxy settings of the environment, which must not silently redirect a change.
var client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}

func dispatcher(c *cli.Command) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(client, "http://"+c.String("caller-address"))
}

// action wraps the action of a command: it sets the time limit, checks the addresses and shows the error.
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

// checkAddresses rejects addresses without a port before anything is sent.
func checkAddresses(c *cli.Command) error {
	for flag, list := range map[string][]string{"entry": c.StringSlice("entry"), "caller-address": {c.String("caller-address")}} {
		for _, a := range list {
			if _, _, err := net.SplitHostPort(a); err != nil && a != "" {
				return withExitCode(ExitUsage, fmt.Errorf("--%s: %w; allowed: ADDRESS:PORT", flag, err))
			}
		}
	}
	return nil
}

// RequireSubcommand is the action of a command that only has subcommands. It returns a usage error,
// because it runs only if the arguments name no subcommand.
func RequireSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return withExitCode(ExitUsage, fmt.Errorf("%s has no command %q; see %s --help", c.FullName(), name, c.FullName()))
	}
	return withExitCode(ExitUsage, fmt.Errorf("%s needs a command; see %s --help", c.FullName(), c.FullName()))
}

// isDialError tells whether a call failed before its connection was open, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// OnUsageError returns the error of an invalid flag with the exit code ExitUsage.
func OnUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withExitCode(ExitUsage, err)
}

// oneArgument returns the only argument of a command. Any other number of arguments is a usage error.
func oneArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", withExitCode(ExitUsage, errors.New("exactly one argument is required: "+name))
	}
	return c.Args().First(), nil
}
