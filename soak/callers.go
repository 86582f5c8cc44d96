package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// resendDelay is how long a caller waits after an attempt that ended with neither status 200 nor a refusal,
	// before it submits the job again.
	resendDelay = 1300 * time.Millisecond
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 4 * time.Second
)

// callers submits jobs continuously and records the answers.
type callers struct {
	d      *deployment
	client *http.Client
	wg     sync.WaitGroup

	mu        sync.Mutex
	next      int
	completed int
	refused   map[string]bool // jobs that were refused as not run
	// unanswered holds the jobs with an attempt that ended with neither status 200 nor a refusal, for example
	// without an answer or with status 504, so that they may have run.
	unanswered map[string]bool
	violations []string // messages about unexpected job states
}

// startCallers starts n callers that submit jobs until ctx ends. The seed determines their jobs and pauses.
func startCallers(ctx context.Context, d *deployment, seed uint64, n int) *callers {
	c := &callers{d: d, client: &http.Client{Transport: &http.Transport{}}, refused: map[string]bool{}, unanswered: map[string]bool{}}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)+100))
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for ctx.Err() == nil {
				c.submitJob(r)
				time.Sleep(randomDuration(r, time.Millisecond, 60*time.Millisecond))
			}
		}()
	}
	return c
}

// newID returns a new job ID.
func (c *callers) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%016x", c.next)
}

// submitJob submits one job to a random entry, at most three times until it is answered or refused, and
// records the outcome.
func (c *callers) submitJob(r *rand.Rand) {
	id := c.newID()
	body := fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":60}]}`,
		20+r.IntN(150), 1+r.IntN(3), taskCPU)
	for range 3 {
		status, state := c.send(pick(r, c.d.entries).frontAddr, id, body, r.IntN(12) == 0)
		switch {
		case status == http.StatusOK:
			c.recordState(id, state)
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			c.mu.Lock()
			c.refused[id] = true
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		c.unanswered[id] = true
		c.mu.Unlock()
		time.Sleep(resendDelay)
	}
}

// recordState records the final state of an answered job.
func (c *callers) recordState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case "completed":
		c.completed++
	case "failed":
	default:
		c.violations = append(c.violations, fmt.Sprintf("job %s: state %q", id, state))
	}
}

// send submits a job once and returns the HTTP status and the state of the job in the answer. Status 0
// means that the connection broke or timed out. With abandon, the caller gives up after 50 ms.
func (c *callers) send(addr, id, body string, abandon bool) (int, string) {
	limit := callTimeout
	if abandon {
		limit = 50 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/jobs/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", "1500")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if resp.StatusCode == http.StatusOK && json.Unmarshal(data, &answer) != nil {
		return http.StatusOK, string(data)
	}
	return resp.StatusCode, answer.State
}

// getStatus returns the HTTP status of a GET request to an entry, 0 if there is no answer within a second.
func (c *callers) getStatus(addr, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
