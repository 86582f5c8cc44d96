package tool

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a submission", ArgsUsage: "ID",
		Flags: callerFlags(), OnUsageError: usageError, Action: action(cancelJob),
	}
}

func cancelJob(ctx context.Context, c *cli.Command) error {
	id, err := submissionID(c)
	if err != nil {
		return err
	}
	resp, err := dispatcher(c).CancelJob(ctx, connect.NewRequest(&poplargwv1.CancelJobRequest{
		Caller: c.String("caller"), SubmissionId: id,
	}))
	if err != nil {
		return jobFailed(err)
	}
	return show(c, resp.Msg, func(w io.Writer) {
		row(w, fmt.Sprintf("cancelled; %d tasks will not start", resp.Msg.GetNotStarted()))
	})
}
