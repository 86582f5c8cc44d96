package tool

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// submissionID parses the ID argument of a command.
func submissionID(c *cli.Command) ([]byte, error) {
	arg, err := oneArgument(c, "ID")
	if err != nil {
		return nil, err
	}
	return parseID(arg)
}

func parseID(s string) ([]byte, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("submission ID %q: %w", s, err))
	}
	return id[:], nil
}

// jobDocument is the JSON form of the outcome of a submission. Answer and Failure are null unless
// the state has one.
type jobDocument struct {
	SubmissionID string          `json:"submission_id"`
	State        string          `json:"state"`
	Answer       json.RawMessage `json:"answer"`
	Failure      json.RawMessage `json:"failure"`
	// Message is the text of the error, or empty.
	Message string `json:"message"`
}

// showJob writes the outcome of a submission and returns err with its exit code, marked as shown.
func showJob(c *cli.Command, id []byte, o *poplargwv1.GetOutcomeResponse, err error) error {
	b, encodeErr := messageJSON(o)
	if encodeErr != nil {
		return withExitCode(ExitFailed, errors.Join(encodeErr, err))
	}
	doc := jobDocument{SubmissionID: uuid.UUID(id).String()}
	if err := json.Unmarshal(b, &doc); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("encode output: %w", err))
	}
	if err != nil {
		doc.Message = err.Error()
	}
	showErr := showDocument(c, doc, func(w io.Writer) {
		printRow(w, "submission "+doc.SubmissionID+" "+strings.ToLower(strings.TrimPrefix(doc.State, "STATE_")))
		if o.GetAnswer() != nil {
			printResults(w, o.GetAnswer())
		}
	})
	if f := (exitError{}); errors.As(err, &f) {
		return shownError(f.code, err)
	}
	return showErr
}

// failureDetail returns the Failure in the details of an error of the dispatcher, or nil.
func failureDetail(err error) *poplargwv1.Failure {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		if v, err := d.Value(); err == nil {
			if f, ok := v.(*poplargwv1.Failure); ok {
				return f
			}
		}
	}
	return nil
}

// jobError converts the error of a dispatcher call to an error with an exit code.
func jobError(err error) error {
	f := failureDetail(err)
	if f == nil {
		return callError(err)
	}
	return failureError(f)
}

// failureError converts a Failure to an error. Its exit code is ExitUnknown if a task may have run.
func failureError(f *poplargwv1.Failure) error {
	code := ExitFailed
	if f.GetEffect() == poplargwv1.Effect_EFFECT_UNKNOWN {
		code = ExitUnknown
	}
	text := fmt.Sprintf("code %d, %s: %s", f.GetCode(), effectName(f.GetEffect()), f.GetMessage())
	if r := f.GetRetryAfter(); r != nil {
		text += fmt.Sprintf("; retry after %v", r.AsDuration())
	}
	return withExitCode(code, errors.New(text))
}

// effectName describes an effect, which tells whether a task has run, in words.
func effectName(e poplargwv1.Effect) string {
	switch e {
	case poplargwv1.Effect_EFFECT_NOT_RUN:
		return "not run"
	case poplargwv1.Effect_EFFECT_RUN:
		return "run"
	}
	return "may have run"
}
