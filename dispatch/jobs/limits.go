package jobs

import (
	"fmt"
	"math"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Limits of a job, which all interfaces share. Check compares a job with them before anything is allocated for
// its tasks.
const (
	// MaxTasks bounds the tasks of all steps together. It is the size that the system is designed for; see
	// docs/design.md.
	MaxTasks = 400
	// MaxSteps bounds the steps. Each waiting task is compared with the steps that its own depends on in every
	// pass over the queue.
	MaxSteps = 100
	// MaxSpecBytes bounds the specification. Each order carries it, and a frame has the orders of a whole job.
	MaxSpecBytes = 4000
	// MaxNameBytes bounds a job ID and a label, in bytes.
	MaxNameBytes = 256
	// MaxEstimate bounds the declared run time of a task. The longest chain of MaxSteps such steps is below
	// maxSpan.
	MaxEstimate = 24 * time.Hour
	// MaxDeadline bounds the time from the arrival of a job to its deadline.
	MaxDeadline = 24 * time.Hour
)

// Check returns why the job can never be accepted, or nil if it is within the limits. The effect of the failure
// is result.NotRun.
func Check(j Job) *result.Failure {
	switch {
	case len(j.ID) > MaxNameBytes:
		return rejected(result.Malformed, "the job ID has %d bytes, the limit is %d", len(j.ID), MaxNameBytes)
	case len(j.Spec) > MaxSpecBytes:
		return rejected(result.TooLarge, "the specification has %d bytes, the limit is %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0:
		return rejected(result.Malformed, "a job must have at least 1 step")
	case len(j.Steps) > MaxSteps:
		return rejected(result.TooLarge, "a job may have at most %d steps, this one has %d", MaxSteps, len(j.Steps))
	case j.Deadline.Sub(j.Arrived) > MaxDeadline:
		return rejected(result.Malformed, "the deadline is more than %v ahead", MaxDeadline)
	}
	tasks := 0
	for i, s := range j.Steps {
		if f := checkStep(i, s); f != nil {
			return f
		}
		// Count is at most MaxTasks here, so the sum cannot overflow.
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return rejected(result.TooLarge, "a job may have at most %d tasks, this one has %d", MaxTasks, tasks)
	}
	return nil
}

// checkStep is Check for the step with the given index.
func checkStep(index int, s Step) *result.Failure {
	switch {
	case s.Count <= 0:
		return rejected(result.Malformed, "step %d has %d tasks", index, s.Count)
	case s.Count > MaxTasks:
		return rejected(result.TooLarge, "step %d has %d tasks, the limit is %d", index, s.Count, MaxTasks)
	case !s.Demand.Valid():
		return rejected(result.Malformed, "step %d: each amount of the demand must be from 0 to %d", index, run.MaxAmount)
	case s.Estimate < 0 || s.Estimate > MaxEstimate:
		return rejected(result.Malformed, "step %d: the estimate must be from 0 to %v", index, MaxEstimate)
	case s.MaxPerServer < 0 || s.MaxPerServer > math.MaxInt32:
		return rejected(result.Malformed, "step %d: the bound per server must be from 0 to %d", index, math.MaxInt32)
	case len(s.Label) > MaxNameBytes || len(s.Affinity) > MaxNameBytes:
		return rejected(result.Malformed, "step %d: labels may have at most %d bytes", index, MaxNameBytes)
	}
	return checkAfter(index, s.After)
}

// checkAfter checks the steps that a step depends on. There may not be more of them than earlier steps, because
// each waiting task is compared with all of them.
func checkAfter(index int, after []int) *result.Failure {
	if len(after) > index {
		return rejected(result.Malformed, "step %d depends on %d steps, there are only %d before it", index, len(after), index)
	}
	for _, a := range after {
		if a < 0 || a >= index {
			return rejected(result.Malformed, "step %d depends on step %d, which is not before it", index, a)
		}
	}
	return nil
}

// rejectionOf returns the outcome of a job that Check has rejected with the code.
func rejectionOf(id string, code result.Code) Outcome {
	return Outcome{Job: id, Code: code, Effect: result.NotRun}
}

// rejected returns the failure of a job that is not run because of its content.
func rejected(code result.Code, format string, args ...any) *result.Failure {
	return &result.Failure{Code: code, Effect: result.NotRun, Message: fmt.Sprintf(format, args...)}
}
