package prove

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/signals"
	"poplargw.example/lab/testbed"
)

const (
	// stallLimit is how long a request may be silent, beyond the run time of a task, before the processes are
	// examined.
	stallLimit = 3 * time.Second
	// stallInterval is the least time between two reports, so that the requests of one stall cause one report: the
	// stalls that were seen lasted 10 to 16 s.
	stallInterval = 20 * time.Second
	// stallSample is the time over which run and wait times are compared. The processes print their stacks meanwhile.
	stallSample = time.Second
	// maxGrouped bounds the text of stacks of one process that is grouped: with a thousand requests in progress,
	// grouping all of them took more than ten seconds with the race detector.
	maxGrouped = 512 << 10
)

// stallWatch reports the state of all processes of a system when a request is silent for too long.
type stallWatch struct {
	s *system

	mu       sync.Mutex
	closed   bool
	reported time.Time
	reports  []string
}

func newStallWatch(s *system) *stallWatch { return &stallWatch{s: s} }

// watch reports a stall unless the returned function is called within the limit.
func (w *stallWatch) watch(what string, limit time.Duration) func() {
	timer := time.AfterFunc(limit, func() { w.report(what, limit) })
	return func() { timer.Stop() }
}

// close ends the reports. It waits for one in progress, because a test cannot log after its end.
func (w *stallWatch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// report logs the state of all processes, unless another report was logged within stallInterval.
func (w *stallWatch) report(what string, silent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.reported.IsZero() && time.Since(w.reported) < stallInterval {
		return
	}
	w.reported = time.Now()
	text := fmt.Sprintf("stall: %s was silent for %v at %s\n%s", what, silent, w.reported.Format(time.RFC3339Nano), w.s.examine())
	w.reports = append(w.reports, text)
	w.s.t.Log(text)
}

// all returns the reports so far.
func (w *stallWatch) all() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reports)
}

// examined is a running process before the sample.
type examined struct {
	*process
	before  testbed.Evidence
	logSize int64
}

// examine describes the test itself, which runs the forwarders, and the running processes of the system: run and
// wait times, sockets and stacks.
func (s *system) examine() string {
	self := testbed.ReadEvidence("self")
	list := s.requestStacks()
	stacks := signals.Stacks()
	time.Sleep(stallSample)
	load, _ := os.ReadFile("/proc/loadavg")
	var b strings.Builder
	fmt.Fprintf(&b, "load %s--- test program: %s\n%s", load, describeTimes(self, testbed.ReadEvidence("self")), groupStacks(stacks))
	for _, p := range list {
		fmt.Fprintf(&b, "--- %s: %s\n%s%s", p.Name, describeTimes(p.before, p.Evidence()), p.Sockets(), p.newStacks())
	}
	return b.String()
}

// requestStacks makes all running processes print their stacks, and returns the processes.
func (s *system) requestStacks() []examined {
	var list []examined
	for _, group := range [][]*process{{s.store}, s.entries, s.agents, s.servers} {
		for _, p := range group {
			if !p.Running() {
				continue
			}
			size := int64(0)
			if info, err := os.Stat(p.Log); err == nil {
				size = info.Size()
			}
			list = append(list, examined{p, p.Evidence(), size})
			// An error means that the process has just exited.
			_ = p.Signal(syscall.SIGUSR1)
		}
	}
	return list
}

// describeTimes compares the evidence about a process before and after the sample.
func describeTimes(before, after testbed.Evidence) string {
	return fmt.Sprintf("state %s, ran %v and waited %v for a processor within %v (%v and %v since the start)", after.State,
		(after.Ran - before.Ran).Round(time.Millisecond), (after.Waited - before.Waited).Round(time.Millisecond), stallSample,
		after.Ran.Round(time.Millisecond), after.Waited.Round(time.Millisecond))
}

// newStacks returns the stacks that the process has printed since the request.
func (p examined) newStacks() string {
	data, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error() + "\n"
	}
	text := string(data[min(int64(len(data)), p.logSize):])
	for line := range strings.Lines(text) {
		var record struct {
			Fields struct {
				Event  int
				Stacks string
			}
		}
		if json.Unmarshal([]byte(line), &record) == nil && record.Fields.Event == int(event.StacksRequested) {
			return groupStacks(record.Fields.Stacks)
		}
	}
	if strings.Contains(text, "goroutine ") {
		return groupStacks(text)
	}
	return fmt.Sprintf("%s has printed no stacks within %v\n", p.Name, stallSample)
}

var (
	goroutineHead = regexp.MustCompile(`^goroutine \d+ (?:gp=\S+ m=\S+ (?:mp=\S+ )?)?\[([^\]]*)\]:`)
	stackNumbers  = regexp.MustCompile(`\((?:0x|\{0x)[^)]*\)$|\(\{0x[^)]*\)|\(\.\.\.\)| \+0x[0-9a-f]+|0x[0-9a-f]+\??| in goroutine \d+`)
	stackFile     = regexp.MustCompile(`^\t\S*/([^/]+/[^/]+:\d+).*`)
)

// groupStacks returns the stacks without addresses, one line for each function, with equal ones counted.
func groupStacks(text string) string {
	if len(text) > maxGrouped {
		return fmt.Sprintf("only the first %d of %d bytes of stacks:\n", maxGrouped, len(text)) + groupStacks(text[:maxGrouped])
	}
	counts := map[string]int{}
	for stack := range strings.SplitSeq(text, "\n\n") {
		if key := compactStack(stack); key != "" {
			counts[key]++
		}
	}
	var parts []string
	for key, n := range counts {
		parts = append(parts, fmt.Sprintf("%4d × %s\n", n, key))
	}
	slices.Sort(parts)
	slices.Reverse(parts)
	return strings.Join(parts, "")
}

// compactStack returns the state of a goroutine and its calls with their files, or "" for other text.
func compactStack(stack string) string {
	lines := strings.Split(strings.TrimSpace(stack), "\n")
	head := goroutineHead.FindStringSubmatch(lines[0])
	if head == nil {
		return ""
	}
	parts := []string{"[" + head[1] + "]"}
	for _, line := range lines[1:] {
		if file := stackFile.FindStringSubmatch(line); file != nil {
			parts[len(parts)-1] += " " + file[1]
			continue
		}
		parts = append(parts, stackNumbers.ReplaceAllString(line, ""))
	}
	return strings.Join(parts, "\n       ")
}

// Guards against a stall of the proofs without evidence: when requests are silent, one report names the process that
// does not run and has the stacks of the others.
func TestStallIsReported(t *testing.T) {
	s := newSystem(t, layout{entries: 1, agents: 2, slots: 4})
	s.entries[0].freeze()
	var outcomes []<-chan attempt
	for range 3 {
		outcomes = append(outcomes, newJob("quick", 1, 10, loadTimeout).sendAsync(s, 0))
	}
	time.Sleep(4 * time.Second)
	s.eventually(readyTimeout, "a stall is reported", func() bool { return len(s.stalls.all()) > 0 })
	s.entries[0].unfreeze()
	for _, c := range outcomes {
		<-c
	}
	reports := s.stalls.all()
	if len(reports) != 1 {
		t.Fatalf("%d reports of one stall", len(reports))
	}
	for _, want := range []string{`--- entry-1: state T, ran 0s`, `entry-1 has printed no stacks`,
		`--- agent-1: state [RS]`, `--- agent-2: state [RS]`, `--- server-2: state [RS]`, `--- store: state [RS]`} {
		if !regexp.MustCompile(want).MatchString(reports[0]) {
			t.Errorf("the report lacks %q", want)
		}
	}
	if n := strings.Count(reports[0], "has printed no stacks"); n != 1 {
		t.Errorf("%d processes have printed no stacks, want the stopped one only", n)
	}
}
