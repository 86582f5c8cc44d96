package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/sched"
	"poplargw.example/dispatch/submission"
)

// Limits of a submission. defaultTimeout applies when the caller sets no timeout.
const (
	maxTasks        = jobs.MaxTasks
	maxPayloadBytes = 64 << 10
	maxJobBytes     = 4 << 20
	maxNameBytes    = 64
	maxTimeout      = 60 * time.Second
	defaultTimeout  = 30 * time.Second
)

// notRun returns the failure of a refused submission or start with effect NotRun and without a
// retry time. Sending the same request again does not help.
func notRun(c result.Code, format string, args ...any) *result.Failure {
	return &result.Failure{Code: c, Effect: result.NotRun, Message: fmt.Sprintf(format, args...)}
}

// notRunRetry returns the failure of a refused submission or start that can be sent again
// after the given time.
func notRunRetry(c result.Code, after time.Duration, format string, args ...any) *result.Failure {
	f := notRun(c, format, args...)
	f.RetryAfter = after
	return f
}

// checkJob checks what does not depend on the configuration and returns the key of the
// submission.
func checkJob(r *poplargwv1.SubmitJobRequest) (submission.Key, *result.Failure) {
	k, err := submission.NewKey(r.GetCaller(), r.GetSubmissionId())
	switch {
	case err != nil:
		return k, notRun(result.Malformed, "caller must have 1 to %d bytes and submission_id must be a UUIDv7 of 16 bytes", submission.MaxCaller)
	case r.GetService() == "" || len(r.GetService()) > maxNameBytes || len(r.GetTeam()) > maxNameBytes:
		return k, notRun(result.Malformed, "service must have 1 to %d bytes and team at most %d", maxNameBytes, maxNameBytes)
	case len(r.GetTasks()) == 0:
		return k, notRun(result.Malformed, "a job must have at least 1 task")
	case len(r.GetTasks()) > maxTasks:
		return k, notRun(result.TooLarge, "a job may have at most %d tasks, this one has %d", maxTasks, len(r.GetTasks()))
	}
	if f := checkTasks(r.GetTasks()); f != nil {
		return k, f
	}
	return k, checkTimeout(r)
}

func checkTasks(tasks []*poplargwv1.Task) *result.Failure {
	total := 0
	for i, t := range tasks {
		switch {
		case t.GetKind() == "" || len(t.GetKind()) > maxNameBytes:
			return notRun(result.Malformed, "task %d: kind must have 1 to %d bytes", i, maxNameBytes)
		case len(t.GetPayload()) > maxPayloadBytes:
			return notRun(result.TooLarge, "task %d: payload has %d bytes, the limit is %d", i, len(t.GetPayload()), maxPayloadBytes)
		case t.GetDeclaredDuration() != nil && !validDeclaredDuration(t.GetDeclaredDuration()):
			return notRun(result.Malformed, "task %d: declared_duration must be from 0 to %v", i, jobs.MaxEstimate)
		}
		total += len(t.GetPayload())
	}
	if total > maxJobBytes {
		return notRun(result.TooLarge, "the payloads of the job have %d bytes, the limit is %d", total, maxJobBytes)
	}
	return nil
}

// validDeclaredDuration reports whether a declared run time is within the limits that all interfaces share. Longer
// ones leave the range of a duration when they are multiplied by the speed of a backend server.
func validDeclaredDuration(d *durationpb.Duration) bool {
	return d.IsValid() && d.AsDuration() >= 0 && d.AsDuration() <= jobs.MaxEstimate
}

func checkTimeout(r *poplargwv1.SubmitJobRequest) *result.Failure {
	if r.GetTimeout() == nil {
		return nil
	}
	d := r.GetTimeout().AsDuration()
	switch {
	case !r.GetTimeout().IsValid() || d > maxTimeout:
		return notRun(result.Malformed, "timeout must be at most %v", maxTimeout)
	case d <= 0:
		return notRun(result.DeadlineExpired, "timeout must be positive")
	}
	return nil
}

// checkAge refuses IDs outside the submission window. A submission with an expired ID may
// have run before.
func checkAge(w submission.Window, k submission.Key, now time.Time) *result.Failure {
	switch w.Classify(k, now) {
	case submission.Expired:
		return &result.Failure{Code: result.SubmissionExpired, Effect: result.Unknown,
			Message: fmt.Sprintf("submission ID is older than %v", w.Length)}
	case submission.InFuture:
		return notRun(result.IDInFuture, "submission ID is more than %v in the future", w.Skew)
	}
	return nil
}

// checkRepeatable refuses a repeatable job that has a task of a kind that is declared not
// repeatable. It ignores unknown services and kinds, which the scheduler refuses.
func checkRepeatable(c *poplargwv1.Config, j *sched.Job) *result.Failure {
	if !j.Repeatable {
		return nil
	}
	s := findService(c, j.Service)
	for i := range j.Tasks {
		if k := findKind(s, j.Tasks[i].Kind); k != nil && !k.GetRepeatable() {
			return notRun(result.NotRepeatableInKind, "task %d: kind %q is declared not repeatable", i, k.GetName())
		}
	}
	return nil
}

func findService(c *poplargwv1.Config, name string) *poplargwv1.Service {
	for _, s := range c.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

func findKind(s *poplargwv1.Service, name string) *poplargwv1.Kind {
	for _, k := range s.GetKinds() {
		if k.GetName() == name {
			return k
		}
	}
	return nil
}

// timeoutOf returns the timeout of the request, or defaultTimeout if it has none.
func timeoutOf(r *poplargwv1.SubmitJobRequest) time.Duration {
	if r.GetTimeout() == nil {
		return defaultTimeout
	}
	return r.GetTimeout().AsDuration()
}

// newJob converts a checked request. The deadline is at most the end of the submission
// window, so that no task starts later: an agent forgets its start record 2 × skew after
// the window, and a start after that could run the task a second time.
func newJob(w submission.Window, k submission.Key, r *poplargwv1.SubmitJobRequest, deadline time.Time) *sched.Job {
	if end := k.Time().Add(w.Length); deadline.After(end) {
		deadline = end
	}
	j := &sched.Job{
		Key:        k,
		Hash:       requestHash(r),
		Service:    r.GetService(),
		Team:       r.GetTeam(),
		Tasks:      make([]sched.Task, len(r.GetTasks())),
		Deadline:   deadline,
		Repeatable: r.GetRepeatable(),
	}
	for i, t := range r.GetTasks() {
		j.Tasks[i] = sched.Task{Kind: t.GetKind(), Payload: t.GetPayload(), Declared: t.GetDeclaredDuration().AsDuration()}
	}
	return j
}

// requestHash returns the SHA-256 hash of the content of a submission. The timeout is left
// out, since a resend carries only the remaining time.
func requestHash(r *poplargwv1.SubmitJobRequest) [32]byte {
	h := sha256.New()
	writeField(h, []byte(r.GetCaller()))
	writeField(h, r.GetSubmissionId())
	writeField(h, []byte(r.GetService()))
	writeField(h, []byte(r.GetTeam()))
	repeatable := byte(0)
	if r.GetRepeatable() {
		repeatable = 1
	}
	writeField(h, []byte{repeatable})
	for _, t := range r.GetTasks() {
		writeField(h, []byte(t.GetKind()))
		writeField(h, t.GetPayload())
		writeField(h, binary.BigEndian.AppendUint64(nil, uint64(t.GetDeclaredDuration().AsDuration())))
	}
	return [32]byte(h.Sum(nil))
}

// writeField writes the length of b and then b. The length prefix keeps two different
// requests from having the same encoding.
func writeField(h hash.Hash, b []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	h.Write(n[:])
	h.Write(b)
}
