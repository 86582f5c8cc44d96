package prove

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"poplargw.example/api/client"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/sample"
)

// job is one submission and the outcomes of its attempts.
type job struct {
	id      uuid.UUID
	request *poplargwv1.SubmitJobRequest
	runTime time.Duration // of each task

	mu       sync.Mutex
	attempts []attempt
}

// attempt is the outcome of one SubmitJob call. Exactly one of answer, failure and connErr is set.
type attempt struct {
	entry   int
	answer  *poplargwv1.SubmitJobResponse
	failure *poplargwv1.Failure
	// connErr is an error without a Failure from the system, such as a broken connection: the caller
	// cannot tell whether the submission ran.
	connErr error
	took    time.Duration
	ended   time.Time
}

// newJob returns a job of equal tasks that each run for ms milliseconds on a backend server of speed 1.
func newJob(kind string, tasks, ms int, timeout time.Duration) *job {
	id := uuid.Must(uuid.NewV7())
	j := &job{id: id, runTime: time.Duration(ms) * time.Millisecond, request: &poplargwv1.SubmitJobRequest{
		Caller: "prove", SubmissionId: id[:], Service: "moulds", Timeout: durationpb.New(timeout)}}
	for i := range tasks {
		payload, _ := json.Marshal(sample.Work{MS: ms, Echo: fmt.Sprintf("%s/%d", id, i)})
		j.request.Tasks = append(j.request.Tasks, &poplargwv1.Task{Kind: kind, Payload: payload})
	}
	return j
}

// send submits the job to an entry once, without a retry, and records the outcome.
func (j *job) send(s *system, entry int) attempt {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	defer s.stalls.watch(fmt.Sprintf("job %s at entry-%d", j.id, entry+1), stallLimit+j.runTime)()
	res, err := s.dispatcher(entry).SubmitJob(ctx, connect.NewRequest(j.request))
	out := attempt{entry: entry, took: time.Since(begin), ended: time.Now()}
	if err == nil {
		out.answer = res.Msg
	} else if f, ok := client.FailureOf(err); ok {
		out.failure = f
	} else {
		out.connErr = err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, out)
	return out
}

// sendAsync calls send in the background and delivers the outcome on the returned channel.
func (j *job) sendAsync(s *system, entry int) <-chan attempt {
	c := make(chan attempt, 1)
	go func() { c <- j.send(s, entry) }()
	return c
}

// String describes the outcome of the attempt for test messages.
func (o attempt) String() string {
	switch {
	case o.answer != nil:
		return fmt.Sprintf("complete after %v", o.took)
	case o.failure != nil:
		return fmt.Sprintf("failure %d %v %q after %v", o.failure.GetCode(), o.failure.GetEffect(), o.failure.GetMessage(), o.took)
	}
	return fmt.Sprintf("connection error after %v: %v", o.took, o.connErr)
}

// verify checks the jobs against the starts that the backend servers recorded: no task started
// twice, no job with a start was reported as "not run", no answer was partial or belonged to another
// job, and every task of an answered job started.
func (s *system) verify(jobs ...*job) {
	s.t.Helper()
	starts := map[string]*submissionStarts{}
	for _, st := range s.starts() {
		recorded := starts[st.SubmissionID]
		if recorded == nil {
			recorded = &submissionStarts{byTask: map[uint32]int{}, first: time.Unix(0, st.UnixNS)}
			starts[st.SubmissionID] = recorded
		}
		recorded.byTask[st.TaskIndex]++
		if at := time.Unix(0, st.UnixNS); at.Before(recorded.first) {
			recorded.first = at
		}
	}
	for _, j := range jobs {
		if st := starts[hex.EncodeToString(j.id[:])]; st != nil {
			s.verifyJob(j, st)
		} else {
			s.verifyJob(j, &submissionStarts{})
		}
	}
}

// submissionStarts holds the number of recorded starts of each task of a submission, by task index,
// and the time of the first start.
type submissionStarts struct {
	byTask map[uint32]int
	first  time.Time
}

// verifyJob checks one job and all its attempts against the recorded starts.
func (s *system) verifyJob(j *job, starts *submissionStarts) {
	s.t.Helper()
	for task, n := range starts.byTask {
		if n > 1 {
			s.t.Errorf("job %s: task %d started %d times", j.id, task, n)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range j.attempts {
		if o.answer != nil {
			s.verifyAnswer(j, o.answer, starts.byTask)
		}
		// A start after the refusal belongs to a later attempt.
		if o.failure.GetEffect() == poplargwv1.Effect_EFFECT_NOT_RUN && len(starts.byTask) > 0 && starts.first.Before(o.ended) {
			s.t.Errorf("job %s: entry %d answered \"not run\" %v after the first of %d started tasks: %v",
				j.id, o.entry, o.ended.Sub(starts.first), len(starts.byTask), o)
		}
	}
	if j.neverRan() && len(starts.byTask) > 0 {
		s.t.Errorf("job %s: every attempt was answered \"not run\", but %d tasks started: %v", j.id, len(starts.byTask), j.attempts)
	}
}

// neverRan reports whether every attempt was answered with "not run".
func (j *job) neverRan() bool {
	for _, o := range j.attempts {
		if o.failure.GetEffect() != poplargwv1.Effect_EFFECT_NOT_RUN {
			return false
		}
	}
	return len(j.attempts) > 0
}

// verifyAnswer checks that the answer holds the correct result of every task and that each task
// started exactly once.
func (s *system) verifyAnswer(j *job, a *poplargwv1.SubmitJobResponse, starts map[uint32]int) {
	s.t.Helper()
	if len(a.GetResults()) != len(j.request.GetTasks()) {
		s.t.Errorf("job %s: %d results for %d tasks", j.id, len(a.GetResults()), len(j.request.GetTasks()))
		return
	}
	for i, r := range a.GetResults() {
		err := sample.CheckAnswer(j.request.GetCaller(), j.id[:], uint32(i), j.request.GetTasks()[i].GetPayload(), r.GetPayload())
		if err != nil {
			s.t.Errorf("job %s: task %d: %v", j.id, i, err)
		}
		if starts[uint32(i)] != 1 {
			s.t.Errorf("job %s: answered task %d has %d starts", j.id, i, starts[uint32(i)])
		}
	}
}
