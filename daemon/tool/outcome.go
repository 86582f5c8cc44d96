package tool

import (
	"context"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func outcomeCommand() *cli.Command {
	return &cli.Command{
		Name: "outcome", Usage: "show the outcome of a submission", ArgsUsage: "ID",
		Description: "The caller must be the one that submitted the job; submissions are known for about two minutes.",
		Flags:       callerFlags(), OnUsageError: OnUsageError, Action: action(showOutcome),
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
		return jobError(err)
	}
	if f := resp.Msg.GetFailure(); f != nil {
		err = failureError(f)
	}
	return showJob(c, id, resp.Msg, err)
}
