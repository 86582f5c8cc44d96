package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// resendDelay is how long a caller waits after an attempt that ended with neither status 200 nor a refusal,
	// before it submits the job again.
	resendDelay = 1300 * time.Millisecond
	// returnDelay is the longest pause of a caller that takes its request for undelivered because its connection broke, and
	// submits the job again at once.
	returnDelay = 15 * time.Millisecond
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 4 * time.Second
)

// Results of an attempt without an HTTP status.
const (
	statusBroken  = 0  // the connection broke or could not be opened
	statusTimeout = -1 // the caller gave up
)

// load selects the load of the callers.
type load struct {
	callers int
	// largest makes one job in four as large as jobs may be: tasks that need a whole backend server, or many
	// tasks with the longest specification.
	largest bool
}

// ordinaryLoad uses about half of the capacity of four backend servers.
var ordinaryLoad = load{callers: 8}

// loadOfSeed returns the load of a seed: every third one exceeds the capacity and includes the largest jobs.
func loadOfSeed(seed uint64) load {
	if seed%3 == 0 {
		return load{callers: 40, largest: true}
	}
	return ordinaryLoad
}

// callers submits jobs continuously and records the answers.
type callers struct {
	d      *deployment
	client *http.Client
	load   load
	wg     sync.WaitGroup

	mu        sync.Mutex
	next      int
	completed int
	refused   map[string]bool // jobs that were refused as not run
	failed    map[string]bool // jobs that were answered as failed
	crashing  map[string]bool // jobs with tasks that crash their backend servers
	// unanswered holds the jobs with an attempt that ended with neither status 200 nor a refusal, for example
	// without an answer or with status 504, so that they may have run.
	unanswered map[string]bool
	builds     map[string][]string // by job: builds of the entries to which it was submitted
	returned   int                 // attempts that followed a broken connection at once
	violations []string            // messages about unexpected job states
}

// newClient returns a client with connections of its own, which it uses until they end.
func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// startCallers starts callers that submit jobs until ctx ends. Each has its own connections. The seed determines their
// jobs and pauses.
func startCallers(ctx context.Context, d *deployment, seed uint64, l load) *callers {
	c := &callers{
		d: d, client: newClient(), load: l,
		refused: map[string]bool{}, failed: map[string]bool{}, crashing: map[string]bool{}, unanswered: map[string]bool{}, builds: map[string][]string{},
	}
	d.callers = c
	for i := range l.callers {
		r := rand.New(rand.NewPCG(seed, uint64(i)+100))
		client := newClient()
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c.submitJob(client, r)
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

// submitJob submits a random job.
func (c *callers) submitJob(client *http.Client, r *rand.Rand) {
	id := c.newID()
	body := fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":60}]}`,
		20+r.IntN(150), 1+r.IntN(3), taskCPU)
	if c.load.largest && r.IntN(4) == 0 {
		body = largestJob(r)
	}
	c.submitUntilAnswered(client, r, id, body)
}

// maxSpecLength is the longest specification that the platform allows, in bytes.
const maxSpecLength = 4000

// largestJob returns the body of a job of the largest size.
func largestJob(r *rand.Rand) string {
	count, cpu := 48, taskCPU
	if r.IntN(2) == 0 {
		count, cpu = 1+r.IntN(4), cpuCapacity
	}
	spec := demandSpec(20+r.IntN(150), cpu) + ";"
	spec += strings.Repeat("a", maxSpecLength-len(spec))
	return fmt.Sprintf(`{"spec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":60}]}`, spec, count, cpu)
}

// demandSpec returns the specification of a task with the given run time that names its CPU demand.
func demandSpec(ms, cpu int) string { return fmt.Sprintf("%d@%d", ms, cpu) }

// submitCrashingJob submits a job of one or two tasks that crash their backend servers.
func (c *callers) submitCrashingJob(r *rand.Rand) {
	id := c.newID()
	c.mu.Lock()
	c.crashing[id] = true
	c.mu.Unlock()
	client := newClient()
	defer client.CloseIdleConnections()
	c.submitUntilAnswered(client, r, id, fmt.Sprintf(`{"spec":"60x","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":60}]}`, 1+r.IntN(2), taskCPU))
}

// maxAttempts is how often a caller submits a job that is neither answered nor refused.
const maxAttempts = 4

// submitUntilAnswered submits a job to a random entry, at most maxAttempts times until it is answered or refused, and
// records the outcome.
func (c *callers) submitUntilAnswered(client *http.Client, r *rand.Rand, id, body string) {
	for range maxAttempts {
		status, state := c.send(client, pick(r, c.d.entries), id, body, r.IntN(12) == 0)
		if c.record(id, status, state) {
			return
		}
		c.awaitReturn(client, r, status)
	}
}

// awaitReturn waits before a caller submits a job again that got no answer. Two in three callers whose connection broke
// take the request for undelivered and submit the job again at once, over a new connection.
func (c *callers) awaitReturn(client *http.Client, r *rand.Rand, status int) {
	if status != statusBroken || r.IntN(3) == 0 {
		time.Sleep(resendDelay)
		return
	}
	client.CloseIdleConnections()
	c.mu.Lock()
	c.returned++
	c.mu.Unlock()
	time.Sleep(randomDuration(r, 0, returnDelay))
}

// submitOnce submits a new job once to an entry, records the outcome, and reports whether a response arrived.
func (c *callers) submitOnce(client *http.Client, e *node, body string) bool {
	id := c.newID()
	status, state := c.send(client, e, id, body, false)
	c.record(id, status, state)
	return status > 0
}

// record records the outcome of an attempt and reports whether the job was answered or refused.
func (c *callers) record(id string, status int, state string) bool {
	if status == http.StatusOK {
		c.recordState(id, state)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		c.refused[id] = true
		return true
	}
	c.unanswered[id] = true
	return false
}

// recordState records the final state of an answered job.
func (c *callers) recordState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case "completed":
		c.completed++
	case "failed":
		c.failed[id] = true
	default:
		c.violations = append(c.violations, fmt.Sprintf("job %s: state %q", id, state))
	}
}

// recordBuild records the build of the entry to which a job is submitted.
func (c *callers) recordBuild(id string, e *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.builds[id] = append(c.builds[id], e.buildAt(time.Now()))
}

// send submits a job once to an entry and returns the HTTP status, statusBroken or statusTimeout, and the state of the job in
// the answer. With abandon, the caller gives up after 50 ms.
func (c *callers) send(client *http.Client, e *node, id, body string, abandon bool) (int, string) {
	limit := callTimeout
	if abandon {
		limit = 50 * time.Millisecond
	}
	return c.sendWithin(client, e, id, body, limit)
}

// sendWithin is send for a caller that gives up after a limit.
func (c *callers) sendWithin(client *http.Client, e *node, id, body string, limit time.Duration) (int, string) {
	c.recordBuild(id, e)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callerAddr()+"/jobs/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return statusBroken, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return statusWithoutAnswer(ctx), ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return statusWithoutAnswer(ctx), ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if resp.StatusCode == http.StatusOK && json.Unmarshal(data, &answer) != nil {
		return http.StatusOK, string(data)
	}
	return resp.StatusCode, answer.State
}

// statusWithoutAnswer returns the result of an attempt that ended without an answer. The context is that of the attempt.
func statusWithoutAnswer(ctx context.Context) int {
	if ctx.Err() != nil {
		return statusTimeout
	}
	return statusBroken
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
