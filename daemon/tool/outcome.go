package tool

import (
	"context"
	"io"
	"strings"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func outcomeCommand() *cli.Command {
	return &cli.Command{
		Name: "outcome", Usage: "show what is known of a submission", ArgsUsage: "ID",
		Flags: callerFlags(), OnUsageError: usageError, Action: action(showOutcome),
	}
}

func showOutcome(ctx context.Context, c *cli.Command) error {
	id, err := submissionID(c)
	if err != nil {
		return err
	}
	resp, err := dispatcher(c).GetOutcome(ctx, connect.NewRequest(&poplargwv1.GetOutcomeRequest{
		Caller: c.String("caller"), SubmissionId: id,
	}))
	if err != nil {
		return jobFailed(err)
	}
	err = show(c, resp.Msg, func(w io.Writer) {
		row(w, strings.ToLower(strings.TrimPrefix(resp.Msg.GetState().String(), "STATE_")))
		if resp.Msg.GetAnswer() != nil {
			printResults(w, resp.Msg.GetAnswer())
		}
	})
	if err == nil && resp.Msg.GetFailure() != nil {
		return failed(resp.Msg.GetFailure())
	}
	return err
}
