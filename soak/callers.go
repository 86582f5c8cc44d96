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
	// resendAfter is when a caller sends a job again whose connection broke.
	resendAfter = 1300 * time.Millisecond
	// patience is how long a caller waits for one answer.
	patience = 4 * time.Second
)

// callers send jobs all the time and remember what they were told.
type callers struct {
	w      *world
	client *http.Client
	wg     sync.WaitGroup

	mu        sync.Mutex
	next      int
	completed int
	refused   map[string]bool // jobs with an answer "not run"
	// unanswered are jobs with a try that got no answer or 504: it may have run.
	unanswered map[string]bool
	wrong      []string
}

func startCallers(ctx context.Context, w *world, seed uint64, n int) *callers {
	c := &callers{w: w, client: &http.Client{Transport: &http.Transport{}}, refused: map[string]bool{}, unanswered: map[string]bool{}}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)+100))
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for ctx.Err() == nil {
				c.job(r)
				time.Sleep(span(r, time.Millisecond, 60*time.Millisecond))
			}
		}()
	}
	return c
}

func (c *callers) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%016x", c.next)
}

// job sends one job, and again at another entry while its connection breaks.
func (c *callers) job(r *rand.Rand) {
	id := c.id()
	body := fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":60}]}`,
		20+r.IntN(150), 1+r.IntN(3), taskCPU)
	for range 3 {
		status, state := c.send(pick(r, c.w.entries).front, id, body, r.IntN(12) == 0)
		switch {
		case status == http.StatusOK:
			c.note(id, state)
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
		time.Sleep(resendAfter)
	}
}

func (c *callers) note(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case "completed":
		c.completed++
	case "failed":
	default:
		c.wrong = append(c.wrong, fmt.Sprintf("job %s: state %q", id, state))
	}
}

// send makes one try. Status 0 means that the connection broke or that the caller left early.
func (c *callers) send(addr, id, body string, leaves bool) (int, string) {
	limit := patience
	if leaves {
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

// get returns the status of a GET at an entry; 0 means no answer.
func (c *callers) get(addr, path string) int {
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
