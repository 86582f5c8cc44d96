package tool

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a submission", ArgsUsage: "ID",
		Description: "Queued tasks will not start; results of running tasks are dropped. Cancelling a submission that the system\n" +
			"does not know is not an error; \"poplargw outcome ID\" shows its state.",

		Flags: callerFlags(), OnUsageError: OnUsageError, Action: action(cancelJob),
	}
}

// cancelDocument is the JSON form of a cancellation.
type cancelDocument struct {
	SubmissionID string `json:"submission_id"`
	NotStarted   uint32 `json:"not_started"`
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
		return jobError(err)
	}
	doc := cancelDocument{uuid.UUID(id).String(), resp.Msg.GetNotStarted()}
	return showDocument(c, doc, func(w io.Writer) {
		printRow(w, fmt.Sprintf("cancellation of %s accepted; %d queued tasks will not start", doc.SubmissionID, doc.NotStarted))
	})
}
