package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// linkTaskCPU is the CPU demand of a task in TestSoakLinks: 16 fit on a backend server.
	linkTaskCPU = 500
	// refusedDelay is the longest pause of a caller after a refusal.
	refusedDelay = 150 * time.Millisecond
	// maxTraced bounds the jobs of which the trace of a failed task is printed.
	maxTraced = 8
)

// TestSoakLinks resets, silences and holds the connections between entries and agents and between callers and
// entries every few hundred milliseconds, while entries and agents are frozen and calls are carried out late. It
// guards against two runs of a task at the same time, runs of refused jobs and starts over the capacity. A failure
// prints what the processes logged of the task. SOAK_LINK_FAULTS names the groups of faults to inject.
func TestSoakLinks(t *testing.T) {
	binaryPath := requireBinary(t)
	groups := linkFaultGroups
	if only := os.Getenv("SOAK_LINK_FAULTS"); only != "" {
		groups = slices.DeleteFunc(slices.Clone(groups), func(g linkFaults) bool { return !slices.Contains(strings.Split(only, ","), g.name) })
	}
	seed, count := envUint(t, "SEED", 1), envUint(t, "SOAK_COUNT", 1)
	for s := seed; s < seed+count; s++ {
		t.Run(fmt.Sprintf("seed-%d", s), func(t *testing.T) {
			runLinks(t, binaryPath, s, groups, time.Duration(envUint(t, "SOAK_SECONDS", 12))*time.Second)
		})
	}
}

// runLinks runs TestSoakLinks with one seed.
func runLinks(t *testing.T, binaryPath string, seed uint64, groups []linkFaults, total time.Duration) {
	traced := build{name: "current", binary: binaryPath, flags: []string{"--trace-runs"}}
	d := newLinkDeployment(t, traced)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := &batchCallers{callers: startCallers(ctx, d.deployment, seed, load{}), attempts: map[string][]attempt{}}
	d.awaitService(c.callers, "start")
	c.start(ctx, seed)
	counts := d.inject(seed, groups, total)
	cancel()
	c.wg.Wait()
	// The lines of the last runs reach the logs within this time.
	time.Sleep(300 * time.Millisecond)
	d.checkLinkRuns(t, c)
	d.traceConflicts()
	t.Logf("seed %d: %s, attempts %d, faults: %v", seed, d.summary(c.callers), c.total, counts)
}

// newLinkDeployment starts a deployment of three entries and four agents with proxies.
func newLinkDeployment(t *testing.T, b build) *linkDeployment {
	d := &linkDeployment{}
	d.deployment = prepareDeployment(t, b, b, 4)
	for _, a := range d.agents {
		p := d.startProxy(a.linkAddr)
		d.links = append(d.links, p)
		d.linkAddrs[a.linkAddr] = p.addr()
	}
	d.launchAll(3)
	for _, e := range d.entries {
		d.callerLinks = append(d.callerLinks, e.callerLink)
	}
	return d
}

// attempt is one submission of a job.
type attempt struct {
	entry      string
	start, end time.Time
	status     int // as sendWithin returns it
}

// batchCallers submits jobs of many short tasks.
type batchCallers struct {
	*callers
	attemptMu sync.Mutex // guards the fields below
	attempts  map[string][]attempt
	total     int
}

// batchCallerCount uses about two thirds of the capacity of four backend servers.
const batchCallerCount = 16

// start starts callers that submit jobs until ctx ends. Each has its own connections.
func (c *batchCallers) start(ctx context.Context, seed uint64) {
	for i := range batchCallerCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)+300))
		client := newClient()
		c.wg.Go(func() {
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c.submitBatch(ctx, client, r)
				time.Sleep(randomDuration(r, time.Millisecond, 200*time.Millisecond))
			}
		})
	}
}

// submitBatch submits a job of many tasks until it is answered, at most five times. After a refusal it submits the job
// again within refusedDelay, after no answer as awaitReturn does, in three cases of four to another entry. One caller in
// eight leaves early.
func (c *batchCallers) submitBatch(ctx context.Context, client *http.Client, r *rand.Rand) {
	id := c.newID()
	ms := 20 + r.IntN(180)
	body := fmt.Sprintf(`{"spec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}]}`,
		demandSpec(ms, linkTaskCPU), 8+r.IntN(25), linkTaskCPU, ms)
	var e *node
	for range 5 {
		limit := callTimeout
		if r.IntN(8) == 0 {
			limit = randomDuration(r, 5*time.Millisecond, 300*time.Millisecond)
		}
		if e == nil || r.IntN(4) > 0 {
			e = pick(r, slices.DeleteFunc(slices.Clone(c.d.entries), func(n *node) bool { return n == e }))
		}
		a := attempt{entry: e.name, start: time.Now()}
		status, state := c.sendWithin(client, e, id, body, limit)
		a.end, a.status = time.Now(), status
		c.attemptMu.Lock()
		c.attempts[id] = append(c.attempts[id], a)
		c.total++
		c.attemptMu.Unlock()
		answered := c.record(id, status, state)
		if status == http.StatusOK || ctx.Err() != nil {
			return
		}
		if answered {
			time.Sleep(randomDuration(r, 0, refusedDelay))
			continue
		}
		c.awaitReturn(client, r, status)
	}
}

// checkLinkRuns checks the starts that the backend servers recorded and prints the trace of the first failures.
func (d *linkDeployment) checkLinkRuns(t *testing.T, c *batchCallers) {
	byTask := map[string][]taskRun{}
	for _, a := range d.agents {
		starts := a.backend.Starts()
		for _, v := range starts {
			byTask[v.Task] = append(byTask[v.Task], taskRun{v, a})
		}
		checkCapacity(t, c.callers, a, starts)
	}
	failed := map[string]string{} // a task by its job
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b taskRun) int { return a.Started.Compare(b.Started) })
		if !d.checkLinkTask(t, c, task, runs) {
			failed[jobOf(task)] = task
		}
	}
	for i, job := range slices.Sorted(maps.Keys(failed)) {
		if i == maxTraced {
			t.Logf("%d further jobs with failures are not traced", len(failed)-maxTraced)
			break
		}
		lines := d.trace(t, failed[job])
		t.Logf("trace of task %s:\n%s%s%s", failed[job], c.describeAttempts(job), c.lateAdmissions(job, lines), describeLines(lines))
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}

// checkLinkTask checks the runs of one task, which are in order of their starts, and reports whether they are in order.
func (d *linkDeployment) checkLinkTask(t *testing.T, c *batchCallers, task string, runs []taskRun) bool {
	job := jobOf(task)
	ok := true
	if c.onlyRefused(job) {
		ok = false
		t.Errorf("job %s was refused as not run each time, but its task %s ran", job, task)
	}
	overlaps := func(before, run taskRun) bool { return before.Ended.IsZero() || run.Started.Before(before.Ended) }
	for i := 1; i < len(runs); i++ {
		ok = ok && !overlaps(runs[i-1], runs[i])
	}
	checkOverlap(t, c.callers, task, runs)
	return ok
}

// onlyRefused reports whether each submission of the job was refused as not run.
func (c *batchCallers) onlyRefused(job string) bool {
	c.attemptMu.Lock()
	defer c.attemptMu.Unlock()
	refused := func(a attempt) bool {
		return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
	}
	return len(c.attempts[job]) > 0 && !slices.ContainsFunc(c.attempts[job], func(a attempt) bool { return !refused(a) })
}

// describeAttempts describes the submissions of a job.
func (c *batchCallers) describeAttempts(job string) string {
	var b strings.Builder
	c.attemptMu.Lock()
	defer c.attemptMu.Unlock()
	for _, a := range c.attempts[job] {
		fmt.Fprintf(&b, "%s to %s  caller of %s, status %d\n", a.start.Format(timeLayout), a.end.Format(timeLayout), a.entry, a.status)
	}
	return b.String()
}

// tracedLine is a line of a log.
type tracedLine struct {
	at    time.Time
	node  string
	event int
	text  string
}

// trace returns the lines of all logs that name the task or its job, in order of their times, and the pauses in the
// time that they cover.
func (d *linkDeployment) trace(t *testing.T, task string) []tracedLine {
	nodes := slices.Clone(d.entries)
	for _, a := range d.agents {
		nodes = append(nodes, a.node)
	}
	var lines []tracedLine
	for _, n := range nodes {
		lines = append(lines, linesOf(t, n, task)...)
	}
	slices.SortStableFunc(lines, func(a, b tracedLine) int { return a.at.Compare(b.at) })
	named := func(l tracedLine) bool { return l.event != eventPaused }
	first := slices.IndexFunc(lines, named)
	if first < 0 {
		return nil
	}
	from := lines[first].at.Add(-resendDelay)
	return slices.DeleteFunc(lines, func(l tracedLine) bool { return l.at.Before(from) })
}

// describeLines prints lines with their times and the names of the processes.
func describeLines(lines []tracedLine) string {
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%s %s %s\n", l.at.Format(timeLayout), l.node, l.text)
	}
	return b.String()
}

// lateAdmissions describes the admissions of a job by an entry to which no attempt was in progress.
func (c *batchCallers) lateAdmissions(job string, lines []tracedLine) string {
	var b strings.Builder
	c.attemptMu.Lock()
	defer c.attemptMu.Unlock()
	for _, l := range lines {
		inProgress := func(a attempt) bool { return a.entry == l.node && !l.at.Before(a.start) && !l.at.After(a.end) }
		if l.event == eventAdmitted && !slices.ContainsFunc(c.attempts[job], inProgress) {
			fmt.Fprintf(&b, "%s %s admitted the job after its caller had left\n", l.at.Format(timeLayout), l.node)
		}
	}
	return b.String()
}

// Numbers of events that a trace refers to; see docs/events.md.
const (
	eventPaused   = 659
	eventAdmitted = 677
)

// linesOf returns the lines of the log of a process that name the task, or its job without a task, and those that
// report a pause of the process.
func linesOf(t *testing.T, n *node, task string) []tracedLine {
	f, err := os.Open(filepath.Clean(n.log.Name()))
	if err != nil {
		t.Error(err)
		return nil
	}
	defer f.Close()
	var lines []tracedLine
	for s := bufio.NewScanner(f); s.Scan(); {
		text := s.Text()
		paused := strings.Contains(text, fmt.Sprintf(`"event":%d,`, eventPaused))
		if !paused && !strings.Contains(text, `"`+task+`"`) && !strings.Contains(text, `"job":"`+jobOf(task)+`"`) {
			continue
		}
		var fields struct {
			Time   time.Time `json:"timestamp"`
			Fields struct {
				Event int `json:"event"`
			} `json:"fields"`
		}
		if err := json.Unmarshal([]byte(text), &fields); err != nil {
			t.Errorf("%s: %v in %s", n.name, err, text)
		}
		lines = append(lines, tracedLine{fields.Time.Local(), n.name, fields.Fields.Event, text})
	}
	return lines
}
