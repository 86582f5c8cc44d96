package runentry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/interference"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

// Guards against places that are kept near data, or a tail of the run times that changes decisions, without a line that says
// where, how many and why.
func TestPlacementRulesAreLogged(t *testing.T) {
	var out bytes.Buffer
	log, err := event.NewBounded(&out, false)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := newTestEntry(t)
	e.Log = log
	e.logDecision(jobs.Decision{Kind: jobs.KeptNearData, Service: "svc", Label: "rack-1", Count: 2, Share: 0.61})
	e.logDecision(jobs.Decision{Kind: jobs.UnevenRunTimes, Service: "svc", Count: 3})
	log.Close()
	for _, part := range []string{`"event":684`, `"service":"svc"`, `"label":"rack-1"`, `"places":2`, `"demand":0.61`, `"event":685`, `"long_steps":3`} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the log lacks %s: %s", part, out.String())
		}
	}
}

// Guards against a log that says that a task was given up but not under which crashes, and beside which other runs.
func TestGivenUpTaskIsLoggedWithItsCrashes(t *testing.T) {
	var out bytes.Buffer
	log, err := event.NewBounded(&out, false)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := newTestEntry(t)
	e.Log = log
	e.logDecision(jobs.Decision{Kind: jobs.GivenUp, Ref: run.Ref{Task: "j.0.0.0"}, Count: 2, Share: 1.5, Crashes: []jobs.CountedCrash{
		{Agent: "a1", Instance: "i-1", Share: 0.5, Age: 10 * time.Millisecond, Others: 3, OtherJobs: 1},
	}})
	log.Close()
	for _, part := range []string{`"event":678`, `"task":"j.0.0.0"`, `"crashes":2`, `"share":1.5`,
		`"servers":[{"agent":"a1","instance":"i-1","share":0.5,"age_ms":10,"others":3,"other_jobs":1}]`} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the log lacks %s: %s", part, out.String())
		}
	}
}

// Guards against an interference that operators cannot see: it must be logged when it is found and when it is forgotten,
// and its gauges must go when there is no estimate any more.
func TestInterferenceIsLoggedAndMeasured(t *testing.T) {
	var out bytes.Buffer
	log, err := event.NewBounded(&out, false)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := newTestEntry(t)
	e.Log = log
	pair := interference.Pair{Kind: "a", Beside: "b", Effect: 1.23456, Error: 0.1, Found: true}
	e.logDecision(jobs.Decision{Kind: jobs.InterferenceFound, Service: "svc", Pair: pair})
	e.logDecision(jobs.Decision{Kind: jobs.InterferenceForgotten, Service: "svc", Pair: pair})
	log.Close()
	for _, part := range []string{`"event":686`, `"event":687`, `"service":"svc"`, `"kind":"a"`, `"beside":"b"`, `"effect":1.235`, `"error":0.1`} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the log lacks %s: %s", part, out.String())
		}
	}
	e.counters.setInterference([]jobs.ServiceInterference{{Service: "svc", Pair: pair}})
	var text bytes.Buffer
	e.counters.set.WritePrometheus(&text)
	for _, line := range []string{
		`poplargw_entry_interference_effect{service="svc",kind="a",beside="b"} 1.23456`,
		`poplargw_entry_interference_error{service="svc",kind="a",beside="b"} 0.1`, `poplargw_entry_interference_found{service="svc",kind="a",beside="b"} 1`,
	} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("the metrics lack %s", line)
		}
	}
	e.counters.setInterference(nil)
	text.Reset()
	if e.counters.set.WritePrometheus(&text); strings.Contains(text.String(), "interference") {
		t.Error("the metrics have a pair without an estimate")
	}
}
