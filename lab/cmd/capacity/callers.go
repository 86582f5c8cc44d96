package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/sample"
	"poplargw.example/lab/testbed"
)

// callers submits jobs to the entries of a system. It keeps at most 256 idle connections per entry.
type callers struct {
	s      *system
	client *http.Client
	// failed counts jobs that ended in an error; lastErr holds the text of the latest one.
	failed  atomic.Int64
	lastErr atomic.Value
}

func newCallers(s *system) *callers {
	return &callers{s: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

func (c *callers) dispatcher(entry int) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(c.client, "http://"+c.s.net.Addr(testbed.FirstEntryHost+entry, testbed.PortCallers))
}

// newJob returns a job of equal tasks that each run for ms milliseconds.
func newJob(tasks, ms int, timeout time.Duration) *poplargwv1.SubmitJobRequest {
	id := uuid.Must(uuid.NewV7())
	payload, _ := json.Marshal(sample.Work{MS: ms})
	r := &poplargwv1.SubmitJobRequest{Caller: "caller-1", SubmissionId: id[:], Service: "moulds",
		Team: "team-0", Timeout: durationpb.New(timeout)}
	for range tasks {
		r.Tasks = append(r.Tasks, &poplargwv1.Task{Kind: "quick", Payload: payload})
	}
	return r
}

// submit sends one job, waits for its outcome and counts a failure.
func (c *callers) submit(ctx context.Context, entry int, r *poplargwv1.SubmitJobRequest) {
	if _, err := c.dispatcher(entry).SubmitJob(ctx, connect.NewRequest(r)); err != nil {
		c.failed.Add(1)
		c.lastErr.Store(err.Error())
	}
}

// printLastFailure prints the error of the latest failed job, if there is one.
func (c *callers) printLastFailure() {
	if c.failed.Load() > 0 {
		fmt.Println("last failure:", c.lastErr.Load())
	}
}

// run submits jobs of tasks that run for ms milliseconds to all entries in turn, at most concurrency of
// them at a time, and waits until all have ended. Jobs that have not ended after callTimeout count
// as failed.
func (c *callers) run(jobs, tasks, ms, concurrency int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var next atomic.Int64
	var done sync.WaitGroup
	for range concurrency {
		done.Go(func() {
			for n := next.Add(1); n <= int64(jobs); n = next.Add(1) {
				c.submit(ctx, int(n)%len(c.s.entries), newJob(tasks, ms, 30*time.Second))
			}
		})
	}
	done.Wait()
}
