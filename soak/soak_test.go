package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplargw.example/platform/standin"
)

// regressions are the seeds that ever failed, each with its cause.
var regressions = []struct {
	seed  uint64
	kinds int // of faults when the seed failed
	cause string
}{
	{29, 24, "an agent that had restarted called a run not run which its former life had started and seen ending"},
	{32, 24, "the same"},
}

// backLimit is how long after the last fault every entry has to complete a job again.
const backLimit = 8 * time.Second

// binary is the program under test, which "make soak" builds.
func binary(t *testing.T) string {
	path := os.Getenv("SOAK_BINARY")
	if path == "" {
		t.Skip("SOAK_BINARY is not set; use make soak")
	}
	return path
}

func number(t *testing.T, name string, or uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return or
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against any order of faults that breaks a promise: two runs of a task at once, starts over the
// room, a refusal of what has run, starts in a failure domain that is out, a configuration that goes back,
// or a service that does not come back.
func TestSoak(t *testing.T) {
	program := binary(t)
	seed, count := number(t, "SEED", 1), number(t, "SOAK_COUNT", 1)
	for s := seed; s < seed+count; s++ {
		t.Run(fmt.Sprintf("seed-%d", s), func(t *testing.T) { soak(t, program, s, faults, number(t, "SOAK_SECONDS", 12)) })
	}
}

// Guards against the return of a fault that a soak has found.
func TestRegressions(t *testing.T) {
	program := binary(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			soak(t, program, r.seed, faults[:r.kinds], 12)
		})
	}
}

func soak(t *testing.T, program string, seed uint64, kinds []fault, seconds uint64) {
	entries, sides := int(number(t, "SOAK_ENTRIES", 2)), int(number(t, "SOAK_SIDES", 4))
	w := newWorld(t, program, entries, sides)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := startCallers(ctx, w, seed, 8)
	w.awaitService(c, "start")
	versions := w.watchVersions(ctx, c)
	r := rand.New(rand.NewPCG(seed, 7))
	done := w.torment(r, kinds, time.Duration(seconds)*time.Second)
	w.awaitService(c, "the last fault")
	w.evacuate(t, c)
	cancel()
	c.wg.Wait()
	c.client.CloseIdleConnections()
	w.check(t, c)
	for _, v := range <-versions {
		t.Error(v)
	}
	t.Logf("seed %d: %d jobs, %d completed, %d refused, faults: %s", seed, c.next, c.completed, len(c.refused), strings.Join(done, ", "))
}

// awaitService waits until every entry completes a job.
func (w *world) awaitService(c *callers, since string) {
	w.t.Helper()
	limit := time.Now().Add(backLimit)
	for _, e := range w.entries {
		for {
			status, state := c.send(e.front, c.id(), fmt.Sprintf(`{"spec":"20","bestEffort":true,"steps":[{"count":1,"cpu":%d,"memMb":1,"estimateMs":20}]}`, taskCPU), false)
			if status == http.StatusOK && state == "completed" {
				break
			}
			if time.Now().After(limit) {
				w.t.Fatalf("%s completes no job within %s of %s: status %d", e.name, backLimit, since, status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// evacuate takes a failure domain out and checks that nothing starts there after the bound of 5 s.
func (w *world) evacuate(t *testing.T, c *callers) {
	w.store.Put("op/evacuate/"+zoneA, []byte("{}"))
	time.Sleep(5 * time.Second)
	from := time.Now()
	time.Sleep(time.Second)
	for _, s := range w.sides {
		for _, v := range s.backend.Starts() {
			if s.zone == zoneA && v.Begun.After(from) {
				t.Errorf("%s run %d began on %s %s after its failure domain was taken out", v.Task, v.Run, s.name, 5*time.Second+v.Begun.Sub(from))
			}
		}
	}
	w.store.Delete("op/evacuate/" + zoneA)
}

// watchVersions checks that no entry goes back to an older version of the configuration while its
// process lives. The result is sent when ctx has ended.
func (w *world) watchVersions(ctx context.Context, c *callers) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		var faults []string
		newest, life := map[*node]int{}, map[*node]int{}
		for ctx.Err() == nil {
			for _, e := range w.entries {
				if n := e.incarnation(); n != life[e] {
					life[e], newest[e] = n, 0
				}
				before := newest[e]
				for v := 1; v <= w.version; v++ {
					if c.get(e.front, prefix(v)) != http.StatusOK || e.incarnation() != life[e] {
						continue
					}
					if v < before {
						faults = append(faults, fmt.Sprintf("%s went back from version %d to %d", e.name, before, v))
					}
					newest[e] = max(newest[e], v)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		result <- faults
	}()
	return result
}

// check looks at what the backend servers have seen.
func (w *world) check(t *testing.T, c *callers) {
	byTask := map[string][]standin.Start{}
	for _, s := range w.sides {
		if most := s.backend.Most(); most*taskCPU > room {
			t.Errorf("%s ran %d tasks at once, there is room for %d", s.name, most, room/taskCPU)
		}
		for _, v := range s.backend.Starts() {
			byTask[v.Task] = append(byTask[v.Task], v)
		}
	}
	for task, runs := range byTask {
		job, _, _ := strings.Cut(task, ".")
		if c.refused[job] && !c.tried(job) {
			t.Errorf("job %s was refused as not run, and %s ran", job, task)
		}
		sort.Slice(runs, func(a, b int) bool { return runs[a].Begun.Before(runs[b].Begun) })
		for i := 1; i < len(runs); i++ {
			if before := runs[i-1]; before.Ended.IsZero() || runs[i].Begun.Before(before.Ended) {
				t.Errorf("%s: run %d began %s before run %d ended (%s)", task, runs[i].Run, before.Ended.Sub(runs[i].Begun), before.Run, before.How)
			}
		}
	}
	for _, s := range c.wrong {
		t.Error(s)
	}
}

// tried tells whether a try of the job had no answer, so that it may have run although another try was
// refused.
func (c *callers) tried(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered[job]
}
