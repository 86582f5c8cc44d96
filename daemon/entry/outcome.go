package entry

import (
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
)

// outcomeUnknown returns the failure of a submission of which no process can tell whether a
// task has started.
func outcomeUnknown(message string) *result.Failure {
	return &result.Failure{Code: result.OutcomeUnknown, Effect: result.Unknown, Message: message}
}

// failureToProto converts a failure to its wire form.
func failureToProto(f *result.Failure) *poplargwv1.Failure {
	p := &poplargwv1.Failure{Code: uint32(f.Code), Effect: poplargwv1.Effect(f.Effect), Message: f.Message}
	if f.RetryAfter > 0 {
		p.RetryAfter = durationpb.New(f.RetryAfter)
	}
	return p
}

// failureFromProto converts the failure that a peer sent. An effect other than NotRun or Run
// becomes Unknown.
func failureFromProto(p *poplargwv1.Failure) *result.Failure {
	f := &result.Failure{
		Code:       result.Code(p.GetCode()),
		Effect:     result.Effect(p.GetEffect()),
		RetryAfter: p.GetRetryAfter().AsDuration(),
		Message:    p.GetMessage(),
	}
	if f.Effect != result.NotRun && f.Effect != result.Run {
		f.Effect = result.Unknown
	}
	return f
}

// connectError returns the RPC error of a failed call, with f as an error detail.
func connectError(f *result.Failure) *connect.Error {
	err := connect.NewError(connectCode(f.Code), f)
	if d, derr := connect.NewErrorDetail(failureToProto(f)); derr == nil {
		err.AddDetail(d)
	}
	return err
}

// connectCode maps a result code to a Connect code. Codes of the 3000 range, which end a
// submission that may have run, are never mapped to CodeUnavailable, since generic clients
// resend calls with that code automatically.
func connectCode(c result.Code) connect.Code {
	switch c {
	case result.CannotRun, result.SubmissionExpired, result.ResultGone:
		return connect.CodeFailedPrecondition
	case result.DeadlineExpired, result.DeadlineExceeded, result.TimeLimit:
		return connect.CodeDeadlineExceeded
	case result.Overloaded, result.OverQuota, result.DeadlineUnmet:
		return connect.CodeResourceExhausted
	case result.Cancelled:
		return connect.CodeCanceled
	}
	switch {
	case c >= 1000 && c < 2000:
		return connect.CodeInvalidArgument
	case c >= 2000 && c < 3000:
		return connect.CodeUnavailable
	}
	return connect.CodeUnknown
}

// answerToProto converts the results of a complete job.
func answerToProto(results [][]byte) *poplargwv1.SubmitJobResponse {
	a := &poplargwv1.SubmitJobResponse{Results: make([]*poplargwv1.TaskResult, len(results))}
	for i, r := range results {
		a.Results[i] = &poplargwv1.TaskResult{Payload: r}
	}
	return a
}

// neverSent reports whether a call failed before its connection was established, so that the
// peer cannot have received it.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func totalBytes(results [][]byte) int64 {
	var n int64
	for _, r := range results {
		n += int64(len(r))
	}
	return n
}

func seconds(d time.Duration) float64 { return d.Seconds() }
