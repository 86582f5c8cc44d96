package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// regressions lists every seed that has ever failed, with the cause of the failure.
var regressions = []struct {
	seed       uint64
	faultKinds int // length of the list faults when the seed failed
	cause      string
}{
	{29, 24, "a restarted agent reported a run as not run although its previous process had started it and seen it end"},
	{32, 24, "same cause as seed 29"},
	{4, 37, "nothing bounded how many backend servers a task could crash"},
	{5, 37, "orders of a former incarnation, carried out late by the next one, brought it over its capacity"},
}

// recoveryLimit is the time after the last fault within which every entry has to complete a job again.
const recoveryLimit = 8 * time.Second

// requireBinary returns the path of the program under test, which "make soak" builds and passes in
// SOAK_BINARY. It skips the test if the variable is not set.
func requireBinary(t *testing.T) string {
	path := os.Getenv("SOAK_BINARY")
	if path == "" {
		t.Skip("SOAK_BINARY is not set; use make soak")
	}
	return path
}

// envUint returns the unsigned integer in an environment variable, or the fallback if it is not set.
func envUint(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestSoak injects random faults, one run per seed, and guards against broken guarantees: two runs of a
// task at the same time, more tasks on a backend server than its capacity allows, a job refused as not run
// that has run, a task that crashes server after server, a job that fails by crashes of other jobs' tasks, starts
// in a failure domain that was taken out, a process that returns to an older configuration, and entries that
// complete no job within recoveryLimit after the last fault.
func TestSoak(t *testing.T) {
	binaryPath := requireBinary(t)
	seed, count := envUint(t, "SEED", 1), envUint(t, "SOAK_COUNT", 1)
	for s := seed; s < seed+count; s++ {
		t.Run(fmt.Sprintf("seed-%d", s), func(t *testing.T) { runSoak(t, binaryPath, s, faults, loadOfSeed(s), envUint(t, "SOAK_SECONDS", 12)) })
	}
}

// crashKinds is the index in the list faults of the first kind that belongs to crashes, capacity and signals. The
// kinds from there on, and those in besideCrashes, are drawn by TestSoakCrashes.
const crashKinds = 31

// besideCrashes names the kinds of faults that hide the end of a run or delay orders, so that they matter most
// beside crashes.
var besideCrashes = []string{"kill", "stop", "freeze", "server cut off", "server connections silent", "server starts late", "links cut", "leases expire"}

// TestSoakCrashes is TestSoak with the faults that have to do with crashing tasks, returning backend servers,
// changing capacity and series of signals, which TestSoak draws rarely. SOAK_FAULTS selects other kinds by their
// names, with commas between them.
func TestSoakCrashes(t *testing.T) {
	binaryPath := requireBinary(t)
	kinds := append(slices.Clone(faults[crashKinds:]), faultsNamed(besideCrashes)...)
	if only := os.Getenv("SOAK_FAULTS"); only != "" {
		kinds = faultsNamed(strings.Split(only, ","))
	}
	seed, count := envUint(t, "SEED", 1), envUint(t, "SOAK_COUNT", 1)
	for s := seed; s < seed+count; s++ {
		t.Run(fmt.Sprintf("seed-%d", s), func(t *testing.T) { runSoak(t, binaryPath, s, kinds, loadOfSeed(s), envUint(t, "SOAK_SECONDS", 12)) })
	}
}

// faultsNamed returns the kinds of faults with the given names, in the order of the list faults.
func faultsNamed(names []string) []fault {
	var kinds []fault
	for _, f := range faults {
		if slices.Contains(names, f.name) {
			kinds = append(kinds, f)
		}
	}
	return kinds
}

// TestRegressions repeats the seeds that have failed and guards against the return of the causes.
func TestRegressions(t *testing.T) {
	binaryPath := requireBinary(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			runSoak(t, binaryPath, r.seed, faults[:r.faultKinds], ordinaryLoad, 12)
		})
	}
}

// runSoak injects faults of the given kinds into a new deployment under load for a number of seconds, waits
// until it has recovered, and checks the guarantees. The seed determines the faults and the load.
func runSoak(t *testing.T, binaryPath string, seed uint64, kinds []fault, l load, seconds uint64) {
	entries, agents := int(envUint(t, "SOAK_ENTRIES", 2)), int(envUint(t, "SOAK_SIDES", 4))
	current := build{name: "current", binary: binaryPath}
	d := newDeployment(t, current, current, entries, agents)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := startCallers(ctx, d, seed, l)
	d.awaitService(c, "start")
	versions := d.watchVersions(ctx, c)
	r := rand.New(rand.NewPCG(seed, 7))
	stopResets := d.startCallerResets(ctx, seed)
	done := d.injectFaults(r, kinds, time.Duration(seconds)*time.Second)
	stopResets()
	d.awaitService(c, "the last fault")
	d.checkEvacuation(t, c)
	cancel()
	c.wg.Wait()
	c.client.CloseIdleConnections()
	d.checkRuns(t, c)
	for _, v := range <-versions {
		t.Error(v)
	}
	d.traceConflicts()
	t.Logf("seed %d: %s, faults: %s", seed, d.summary(c), strings.Join(done, ", "))
}

// awaitService waits until every entry completes a job, and ends the test if one does not within
// recoveryLimit. The text since names the event from which the time counts.
func (d *deployment) awaitService(c *callers, since string) {
	d.t.Helper()
	deadline := time.Now().Add(recoveryLimit)
	for _, e := range d.entries {
		for {
			status, state := c.send(c.client, e, c.newID(), fmt.Sprintf(`{"spec":"20","bestEffort":true,"steps":[{"count":1,"cpu":%d,"memMb":1,"estimateMs":20}]}`, taskCPU), false)
			if status == http.StatusOK && state == "completed" {
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("%s completed no job within %s of %s: last status %d", e.name, recoveryLimit, since, status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// checkEvacuation takes a failure domain out for 6 s and checks that no task starts there more than 5 s
// after the change. Then it puts the domain back in.
func (d *deployment) checkEvacuation(t *testing.T, c *callers) {
	d.store.Put("op/evacuate/"+zoneA, []byte("{}"))
	time.Sleep(5 * time.Second)
	from := time.Now()
	time.Sleep(time.Second)
	for _, a := range d.agents {
		for _, v := range a.backend.Starts() {
			// The bound does not hold for starts that arrived before it and were carried out late.
			late := v.Late && v.Received.Before(from)
			if a.zone == zoneA && v.Started.After(from) && !late {
				t.Errorf("task %s, run %d, began on %s %s after its failure domain was taken out", v.Task, v.Run, a.name, 5*time.Second+v.Started.Sub(from))
			}
		}
	}
	d.store.Delete("op/evacuate/" + zoneA)
}

// watchVersions polls the entries until ctx ends and checks that no entry returns to an older version of
// the configuration as long as its process runs. It then sends a message for each violation on the returned
// channel. An entry applies a version if the route of that version answers 200.
func (d *deployment) watchVersions(ctx context.Context, c *callers) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		var reversions []string
		newest, incarnations := map[*node]int{}, map[*node]int{}
		for ctx.Err() == nil {
			for _, e := range d.entries {
				if n := e.incarnation(); n != incarnations[e] {
					incarnations[e], newest[e] = n, 0
				}
				before := newest[e]
				for v := 1; v <= d.newestVersion(); v++ {
					if c.getStatus(e.frontAddr, routePrefix(v)) != http.StatusOK || e.incarnation() != incarnations[e] {
						continue
					}
					if v < before {
						reversions = append(reversions, fmt.Sprintf("%s returned from configuration version %d to %d", e.name, before, v))
					}
					newest[e] = max(newest[e], v)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		result <- reversions
	}()
	return result
}
