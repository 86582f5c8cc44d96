package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"poplargw.example/api/client"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/sample"
)

const (
	// jobTimeout is the timeout that callers set for every job.
	jobTimeout = 20 * time.Second
	// maxResends is more than a job can need within its timeout, so that the timeout ends it and not
	// the number of resends.
	maxResends = 1000
	// maxIdleConnections is above the number of jobs in flight, so that all connections are reused.
	maxIdleConnections = 100
)

// outcome is the final result of a job as its caller sees it.
type outcome struct {
	complete bool
	// failure is the failure that the system reported; it is nil if the job is complete or has no outcome.
	failure  *poplargwv1.Failure
	response time.Duration
	// wrong is set if an answer belongs to another request.
	wrong bool
	// lastErr is the last error of the client; nil if the job is complete.
	lastErr error
}

// refused reports whether the job was never accepted. Codes from 3000 on are those of accepted jobs.
func (o outcome) refused() bool {
	return o.failure != nil && o.failure.GetCode() < 3000 && o.failure.GetEffect() == poplargwv1.Effect_EFFECT_NOT_RUN
}

// replay submits the jobs of a trace at the times that the trace gives.
type replay struct {
	service string
	clients []*client.Client
}

// newClients returns one client for each entry. A client sends a job to its own entry first and to
// the other entries when it sends the job again.
func newClients(addresses []string) ([]*client.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConnections
	var clients []*client.Client
	for i := range addresses {
		var urls []string
		for k := range addresses {
			urls = append(urls, "http://"+addresses[(i+k)%len(addresses)])
		}
		c, err := client.New(client.Options{HTTP: &http.Client{Transport: transport}, URLs: urls, Resends: maxResends})
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// run submits every job at its time, to the entries in turn, waits for all outcomes and returns them
// in the order of the jobs.
func (r *replay) run(ctx context.Context, jobs []job) []outcome {
	outcomes := make([]outcome, len(jobs))
	start := time.Now()
	var wg sync.WaitGroup
	for i, j := range jobs {
		time.Sleep(time.Until(start.Add(j.at())))
		wg.Go(func() { outcomes[i] = r.submit(ctx, j, i) })
	}
	wg.Wait()
	return outcomes
}

// submit submits one job to an entry and waits for its outcome. The client sends it again, with the
// same submission ID, after a broken connection and after a refusal that says when to retry.
func (r *replay) submit(ctx context.Context, j job, entry int) outcome {
	req := r.request(j)
	start := time.Now()
	resp, err := r.clients[entry%len(r.clients)].Submit(ctx, req)
	o := outcome{response: time.Since(start), lastErr: err}
	if err == nil {
		o.complete, o.wrong = true, wrongAnswer(req, resp)
		return o
	}
	o.failure, _ = client.FailureOf(err)
	return o
}

// request returns the request for a job, with a new submission ID.
func (r *replay) request(j job) *poplargwv1.SubmitJobRequest {
	id := uuid.Must(uuid.NewV7())
	req := &poplargwv1.SubmitJobRequest{
		Caller: j.Caller, SubmissionId: id[:], Service: r.service, Team: j.Team,
		Timeout: durationpb.New(jobTimeout), Repeatable: true,
	}
	for _, ms := range j.RunMS {
		payload, _ := json.Marshal(sample.Work{MS: ms})
		req.Tasks = append(req.Tasks, &poplargwv1.Task{
			Kind: j.Kind, Payload: payload, DeclaredDuration: durationpb.New(time.Duration(ms) * time.Millisecond),
		})
	}
	return req
}

// wrongAnswer reports whether any result does not answer its own task.
func wrongAnswer(req *poplargwv1.SubmitJobRequest, resp *poplargwv1.SubmitJobResponse) bool {
	if len(resp.GetResults()) != len(req.GetTasks()) {
		return true
	}
	for i, result := range resp.GetResults() {
		if sample.CheckAnswer(req.GetCaller(), req.GetSubmissionId(), uint32(i), req.GetTasks()[i].GetPayload(), result.GetPayload()) != nil {
			return true
		}
	}
	return false
}

// sleep waits for d and returns true, or false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
