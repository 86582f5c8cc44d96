package runentry

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

const suspect = 200 * time.Millisecond

// newTestEntry returns an entry that has links to one agent with an idle backend server.
func newTestEntry(t *testing.T) (*Entry, *agent) {
	t.Helper()
	e := New(Options{
		ID: "e", Limits: jobs.Limits{Suspect: suspect, Lost: 4 * suspect, MaxWaiting: 100},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	ours, theirs := net.Pipe()
	t.Cleanup(func() { theirs.Close() })
	a := &agent{id: "a", listed: true}
	e.agents["a"] = a
	e.open(a, link.New(ours))
	t.Cleanup(a.conn.Close)
	e.scheduler.Report(steady.Now(), "a", jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Room: run.Demand{CPU: 8000, MemoryMB: 1000}},
		Free:   run.Demand{CPU: 8000, MemoryMB: 1000},
	})
	return e, a
}

// answerLate lets the agent's answers take so much longer than the shortest.
func answerLate(e *Entry, a *agent, late time.Duration, times int) {
	for i := range times {
		now := steady.Now()
		a.shortest = time.Millisecond
		a.probed, a.probeSeq = now.Add(-time.Millisecond-late), uint64(i)
		e.observeAnswer(a, now, uint64(i))
	}
}

func closed(a *agent) bool {
	select {
	case <-a.conn.Done():
		return true
	default:
		return false
	}
}

// Guards against an entry that closes its links because it reads late itself: slowed four times, one
// with a fifth of a core spent all its time on new links, and served a quarter of its callers.
func TestLateEntryKeepsItsLinks(t *testing.T) {
	e, a := newTestEntry(t)
	answerLate(e, a, 100*time.Millisecond, 200)
	e.endSilent(steady.Now().Add(suspect + 100*time.Millisecond))
	if closed(a) {
		t.Error("a link was closed 0.3 s after the last frame by an entry that reads 0.1 s late")
	}
	answerLate(e, a, 0, 200)
	e.endSilent(steady.Now().Add(suspect + 100*time.Millisecond))
	if !closed(a) {
		t.Error("a silent link was not closed by an entry that reads in time")
	}
}

// Guards against an entry without processor time that takes in jobs which it cannot end, and against a
// rejection that does not say when to come back.
func TestLateEntryRejectsAtOnce(t *testing.T) {
	e, a := newTestEntry(t)
	j := jobs.Job{ID: "1", Queue: route.Queue{Service: "svc", Attempts: 1, Stretch: 1.6}, Steps: []jobs.Step{
		{Count: 1, Demand: run.Demand{CPU: 100}, Estimate: 100 * time.Millisecond},
	}, Arrived: steady.Now()}
	answerLate(e, a, 100*time.Millisecond, 200)
	o := e.Submit(t.Context(), j)
	if o.Code != result.Overloaded || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("the outcome is %+v", o)
	}
	answerLate(e, a, 0, 200)
	if _, ok := e.admit(j, make(chan jobs.Outcome, 1)); !ok {
		t.Error("a job was rejected after the shortage")
	}
}

// Guards against one slow agent that is taken for a shortage of the entry: the answers of all count
// together, each against the shortest of its own agent.
func TestOneSlowAgentIsNoShortage(t *testing.T) {
	e, a := newTestEntry(t)
	b := &agent{id: "b"}
	for range 100 {
		answerLate(e, b, 300*time.Millisecond, 1)
		answerLate(e, a, 0, 20)
	}
	if e.short() {
		t.Error("one slow agent of 21 counts as a shortage")
	}
}
