package runentry

import (
	"testing"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// newTestJob returns a job of one task that the server of newTestEntry can run.
func newTestJob() jobs.Job {
	return jobs.Job{ID: "1", Queue: route.Queue{Service: "svc", Attempts: 1, Stretch: 1.6}, Steps: []jobs.Step{
		{Count: 1, Demand: run.Demand{CPU: 100}, Estimate: 100 * time.Millisecond},
	}, Arrived: boottime.Now()}
}

// Guards against a caller that is answered with the outcome of a former submission: its job comes back to an entry that
// gives up the former one because of a pause, and the new submission then runs without a caller.
func TestSubmissionAfterPauseGetsItsOwnOutcome(t *testing.T) {
	e, _ := newTestEntry(t)
	former, done := make(chan jobs.Outcome, 1), make(chan jobs.Outcome, 1)
	if o, ok := e.admit(newTestJob(), former); !ok {
		t.Fatalf("job rejected: %+v", o)
	}
	e.mu.Lock()
	e.lastTick = boottime.Now().Add(-2 * e.pauseThreshold())
	e.mu.Unlock()
	if o, ok := e.admit(newTestJob(), done); !ok {
		t.Fatalf("job rejected: %+v", o)
	}
	if len(former) != 1 {
		t.Error("the former submission continues after a pause")
	}
	if len(done) != 0 {
		t.Errorf("the new submission is answered with %+v", <-done)
	}
	if held, _ := e.scheduler.Has("1"); held != (len(e.waiters["1"]) == 1) {
		t.Errorf("job held: %t, callers: %d", held, len(e.waiters["1"]))
	}
}

// Guards against jobs that begin without a record of their owner while the store lists no agents, or only some of them:
// the entries' links to the agents are still open.
func TestRegistrarsRemainWhileStoreListsNoAgents(t *testing.T) {
	e, a := newTestEntry(t)
	e.SetAgents([]Agent{{ID: a.id, Address: "127.0.0.1:1", Domain: "d"}})
	e.mu.Lock()
	e.agents[a.id].conn = a.conn // SetAgents knows nothing of the link that newTestEntry opened
	e.mu.Unlock()
	e.scheduler.Report(boottime.Now(), a.id, jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000, MemoryMB: 1000}},
		Free:   run.Demand{CPU: 8000, MemoryMB: 1000}, RecordsOwners: true,
	})
	e.SetAgents(nil)
	if o, ok := e.admit(newTestJob(), make(chan jobs.Outcome, 1)); !ok {
		t.Fatalf("job rejected: %+v", o)
	}
	if _, runs := e.scheduler.Tasks(); runs != 0 {
		t.Error("tasks were ordered before the agent has granted the job")
	}
}

// Guards against jobs that begin without a record of their owner when all links were reset while the store lists no agents:
// no agent counted as a registrar any more once the links were open again.
func TestRegistrarsRemainWhenLinksAreResetWhileStoreListsNoAgents(t *testing.T) {
	e, a := newTestEntry(t)
	e.SetAgents([]Agent{{ID: a.id, Address: "127.0.0.1:1", Domain: "d"}})
	conn := a.conn
	e.mu.Lock()
	e.agents[a.id].conn = nil
	e.mu.Unlock()
	e.SetAgents(nil)
	e.mu.Lock()
	e.agents[a.id].conn = conn
	e.mu.Unlock()
	e.scheduler.Report(boottime.Now(), a.id, jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000, MemoryMB: 1000}},
		Free:   run.Demand{CPU: 8000, MemoryMB: 1000}, RecordsOwners: true,
	})
	if o, ok := e.admit(newTestJob(), make(chan jobs.Outcome, 1)); !ok {
		t.Fatalf("job rejected: %+v", o)
	}
	if _, runs := e.scheduler.Tasks(); runs != 0 {
		t.Error("tasks were ordered before the agent has granted the job")
	}
}

// Guards against callers whose connections stay with an entry that rejects all jobs because it has a link to an agent,
// but to none that grants jobs.
func TestEntryWithoutRegistrarsIsNotReady(t *testing.T) {
	opened := time.Now()
	e, _ := newTestEntry(t)
	e.SetConfig(&route.Config{Version: 1})
	e.SetAgents([]Agent{{ID: "b", Address: "127.0.0.1:1", Domain: "d"}})
	ready, reconnect := e.Ready(), e.ShouldReconnect()
	if time.Since(opened) < 250*time.Millisecond && (!ready || reconnect) {
		t.Fatal("not ready while the link to the registrar may be about to open")
	}
	time.Sleep(400 * time.Millisecond)
	if e.Ready() || !e.ShouldReconnect() {
		t.Error("ready without a registrar")
	}
	if o, ok := e.admit(newTestJob(), make(chan jobs.Outcome, 1)); ok || o.Code != result.NotReady || o.Effect != result.NotRun {
		t.Errorf("job admitted: %t, outcome %+v", ok, o)
	}
}
