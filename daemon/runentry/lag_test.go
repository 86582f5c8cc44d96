package runentry

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// silenceLimit is how long an agent may be silent in a test entry before its link is closed.
const silenceLimit = 200 * time.Millisecond

// newTestEntry returns an entry with a link to one agent whose backend server is idle.
func newTestEntry(t *testing.T) (*Entry, *agent) {
	t.Helper()
	e := New(Options{
		ID: "e", Limits: jobs.Limits{SilenceLimit: silenceLimit, LostAfter: 4 * silenceLimit, MaxWaitingTasks: 100},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	a := &agent{id: "a", listed: true}
	e.agents["a"] = a
	e.openLink(a, link.New(local))
	t.Cleanup(a.conn.Close)
	e.scheduler.Report(boottime.Now(), "a", jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000, MemoryMB: 1000}},
		Free:   run.Demand{CPU: 8000, MemoryMB: 1000},
	})
	return e, a
}

// simulateDelayedResponses records the given number of responses that each took delay longer than the
// agent's minimum round-trip time.
func simulateDelayedResponses(e *Entry, a *agent, delay time.Duration, times int) {
	for i := range times {
		now := boottime.Now()
		a.minRTT = time.Millisecond
		a.probeSent, a.probeSeq = now.Add(-time.Millisecond-delay), uint64(i)
		e.observeResponse(a, now, uint64(i))
	}
}

func isClosed(a *agent) bool {
	select {
	case <-a.conn.Done():
		return true
	default:
		return false
	}
}

// An entry that reads late must not mistake live links for silent ones. Slowed down four times, an entry
// with a fifth of a core spent all its time on reopening links and served a quarter of its callers.
func TestSlowEntryKeepsLinks(t *testing.T) {
	e, a := newTestEntry(t)
	simulateDelayedResponses(e, a, 100*time.Millisecond, 200)
	e.closeSilentLinks(boottime.Now().Add(silenceLimit + 100*time.Millisecond))
	if isClosed(a) {
		t.Error("link closed 0.3 s after its last frame although the entry reads 0.1 s late")
	}
	simulateDelayedResponses(e, a, 0, 200)
	e.closeSilentLinks(boottime.Now().Add(silenceLimit + 100*time.Millisecond))
	if !isClosed(a) {
		t.Error("silent link not closed although the entry reads without delay")
	}
}

// An entry short of CPU time must reject jobs that it cannot finish, with a retry delay, and accept jobs
// again after the shortage.
func TestCPUShortageRejectsNewJobs(t *testing.T) {
	e, a := newTestEntry(t)
	j := jobs.Job{ID: "1", Queue: route.Queue{Service: "svc", Attempts: 1, Stretch: 1.6}, Steps: []jobs.Step{
		{Count: 1, Demand: run.Demand{CPU: 100}, Estimate: 100 * time.Millisecond},
	}, Arrived: boottime.Now()}
	simulateDelayedResponses(e, a, 100*time.Millisecond, 200)
	o := e.Submit(t.Context(), j)
	if o.Code != result.Overloaded || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("outcome %+v, want Overloaded, NotRun and a retry delay", o)
	}
	simulateDelayedResponses(e, a, 0, 200)
	if _, ok := e.admit(j, make(chan jobs.Outcome, 1)); !ok {
		t.Error("job rejected after the end of the shortage")
	}
}

// A single slow agent must not be mistaken for a CPU shortage of the entry: responses of all agents count
// together, each relative to the minimum of its own agent.
func TestOneSlowAgentIsNotCPUShortage(t *testing.T) {
	e, a := newTestEntry(t)
	b := &agent{id: "b"}
	for range 100 {
		simulateDelayedResponses(e, b, 300*time.Millisecond, 1)
		simulateDelayedResponses(e, a, 0, 20)
	}
	if e.cpuShort() {
		t.Error("slow responses from one agent, 1 in 21 overall, count as a CPU shortage")
	}
}
