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

// submissionID parses the argument ID of a command.
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
		return nil, fail(ExitUsage, fmt.Errorf("submission ID %q: %w", s, err))
	}
	return id[:], nil
}

// jobDocument is the JSON form of what is known of a submission. Answer and Failure are null
// unless the state has one.
type jobDocument struct {
	SubmissionID string          `json:"submission_id"`
	State        string          `json:"state"`
	Answer       json.RawMessage `json:"answer"`
	Failure      json.RawMessage `json:"failure"`
	// Message is the text of the error, or empty.
	Message string `json:"message"`
}

// showJob writes what is known of a submission and returns err with its exit code.
func showJob(c *cli.Command, id []byte, o *poplargwv1.GetOutcomeResponse, err error) error {
	b, encodeErr := messageJSON(o)
	if encodeErr != nil {
		return fail(ExitFailed, errors.Join(encodeErr, err))
	}
	doc := jobDocument{SubmissionID: uuid.UUID(id).String()}
	if err := json.Unmarshal(b, &doc); err != nil {
		return fail(ExitFailed, fmt.Errorf("encode output: %w", err))
	}
	if err != nil {
		doc.Message = err.Error()
	}
	showErr := showDocument(c, doc, func(w io.Writer) {
		row(w, "submission "+doc.SubmissionID+" "+strings.ToLower(strings.TrimPrefix(doc.State, "STATE_")))
		if o.GetAnswer() != nil {
			printResults(w, o.GetAnswer())
		}
	})
	if f := (failure{}); errors.As(err, &f) {
		return failShown(f.code, err)
	}
	return showErr
}

// failureOf returns the Failure that an error of the dispatcher carries, or nil.
func failureOf(err error) *poplargwv1.Failure {
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

// jobFailed gives a failure of a job its exit code.
func jobFailed(err error) error {
	f := failureOf(err)
	if f == nil {
		return callFailed(err)
	}
	return failed(f)
}

func failed(f *poplargwv1.Failure) error {
	code := ExitFailed
	if f.GetEffect() == poplargwv1.Effect_EFFECT_UNKNOWN {
		code = ExitUnknown
	}
	text := fmt.Sprintf("code %d, %s: %s", f.GetCode(), effectName(f.GetEffect()), f.GetMessage())
	if r := f.GetRetryAfter(); r != nil {
		text += fmt.Sprintf("; come back in %v", r.AsDuration())
	}
	return fail(code, errors.New(text))
}

func effectName(e poplargwv1.Effect) string {
	switch e {
	case poplargwv1.Effect_EFFECT_NOT_RUN:
		return "not run"
	case poplargwv1.Effect_EFFECT_RUN:
		return "run"
	}
	return "may have run"
}
