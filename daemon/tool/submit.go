package tool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

const (
	// maxResends bounds how often an unanswered submission is resent, with the same submission ID.
	maxResends = 3
	// answerMargin is more than an entry needs to answer a job that reached its timeout.
	answerMargin = 2 * time.Second
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "run a job and show its results", ArgsUsage: "[FILE]",
		Description: "FILE holds a SubmitJobRequest in protobuf JSON. Without it the flags describe a job of equal tasks.\n" +
			"A failure is printed with its code, its effect (whether a task has run), the time after which a retry\n" +
			"may succeed, and a message. Retry with the printed submission ID (--id), so that no work is done twice.",
		Flags: callerFlags(
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "team", Usage: "`NAME` of the team"},
			&cli.StringFlag{Name: "kind", Usage: "`NAME` of the kind of all tasks"},
			&cli.StringFlag{Name: "payload", Usage: "`TEXT` that is the payload of every task"},
			&cli.IntFlag{Name: "tasks", Usage: "`NUMBER` of tasks", Value: 1},
			&cli.BoolFlag{Name: "repeatable", Usage: "tasks can safely run more than once"},
			&cli.StringFlag{Name: "id", Usage: "submission `ID` (UUIDv7); default: a new one"},
		),
		OnUsageError: OnUsageError, Action: action(submit),
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	req, err := newSubmitRequest(c)
	if err != nil {
		return err
	}
	resp, sent, err := submitWithRetry(ctx, dispatcher(c), req)
	if err == nil {
		done := &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_COMPLETE, Answer: resp}
		return showJob(c, req.GetSubmissionId(), done, nil)
	}
	return showSubmitFailure(c, req.GetSubmissionId(), sent, err)
}

// showSubmitFailure shows a failed submission and returns its error. The state of a submission that was
// sent but not answered is unknown, because it may have run.
func showSubmitFailure(c *cli.Command, id []byte, sent bool, err error) error {
	o := &poplargwv1.GetOutcomeResponse{State: poplargwv1.State_STATE_FAILED, Failure: failureDetail(err)}
	var f exitError
	errors.As(jobError(err), &f)
	if f.code == ExitUnreachable && sent {
		f.code, o.State = ExitUnknown, poplargwv1.State_STATE_UNKNOWN
	}
	return showJob(c, id, o, withExitCode(f.code, f.error))
}

// submitWithRetry submits the job and resends it with the same submission ID while no answer arrives, at
// most maxResends times. sent tells whether an entry may have received the job.
func submitWithRetry(ctx context.Context, d poplargwv1connect.DispatcherClient, req *poplargwv1.SubmitJobRequest) (_ *poplargwv1.SubmitJobResponse, sent bool, _ error) {
	for i := 0; ; i++ {
		resp, err := d.SubmitJob(ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg, true, nil
		}
		sent = sent || !isDialError(err)
		if !isUnanswered(err) || failureDetail(err) != nil || i >= maxResends || ctx.Err() != nil {
			return nil, sent, err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, sent, err
		}
	}
}

// newSubmitRequest returns the job of the file or flags, with defaults for the caller, the timeout and
// the submission ID.
func newSubmitRequest(c *cli.Command) (*poplargwv1.SubmitJobRequest, error) {
	req, err := readSubmitRequest(c)
	if err != nil {
		return nil, err
	}
	if req.GetCaller() == "" {
		req.Caller = c.String("caller")
	}
	if req.GetTimeout() == nil {
		req.Timeout = durationpb.New(jobTimeout(c.Duration("timeout")))
	}
	switch {
	case c.String("id") != "":
		req.SubmissionId, err = parseID(c.String("id"))
	case len(req.GetSubmissionId()) == 0:
		var id uuid.UUID
		id, err = uuid.NewV7()
		req.SubmissionId = id[:]
	case len(req.GetSubmissionId()) != 16:
		err = withExitCode(ExitUsage, errors.New("submission_id: 16 bytes are required"))
	}
	return req, err
}

// jobTimeout returns the timeout of a job for a command with the given time limit: at most a minute, and
// enough below the limit to receive the answer to a job that reaches its timeout.
func jobTimeout(limit time.Duration) time.Duration {
	return min(limit-min(limit/4, answerMargin), time.Minute)
}

// readSubmitRequest reads the job from the file argument, or from the flags if there is none.
func readSubmitRequest(c *cli.Command) (*poplargwv1.SubmitJobRequest, error) {
	if c.Args().Len() == 0 {
		return submitRequestFromFlags(c)
	}
	name, err := oneArgument(c, "FILE")
	if err != nil {
		return nil, err
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	var req poplargwv1.SubmitJobRequest
	if err := protojson.Unmarshal(b, &req); err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s: %w", name, err))
	}
	return &req, nil
}

func submitRequestFromFlags(c *cli.Command) (*poplargwv1.SubmitJobRequest, error) {
	for _, name := range []string{"service", "kind", "team"} {
		if c.String(name) == "" {
			return nil, withExitCode(ExitUsage, fmt.Errorf("--%s or a job file is required", name))
		}
	}
	n := c.Int("tasks")
	if n < 1 || n > 400 {
		return nil, withExitCode(ExitUsage, fmt.Errorf("--tasks %d: allowed: 1 to 400", n))
	}
	req := &poplargwv1.SubmitJobRequest{Service: c.String("service"), Team: c.String("team"), Repeatable: c.Bool("repeatable")}
	for range n {
		req.Tasks = append(req.Tasks, &poplargwv1.Task{Kind: c.String("kind"), Payload: []byte(c.String("payload"))})
	}
	return req, nil
}

func printResults(w io.Writer, r *poplargwv1.SubmitJobResponse) {
	printRow(w, "TASK", "BYTES", "RESULT")
	for i, t := range r.GetResults() {
		printRow(w, i, len(t.GetPayload()), fmt.Sprintf("%.60q", t.GetPayload()))
	}
}
