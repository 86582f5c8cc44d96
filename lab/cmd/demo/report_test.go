package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// Guards against a report that counts a refused job as failed, or that passes over a job without an
// outcome or a wrong answer.
func TestReportCountsOutcomes(t *testing.T) {
	j := job{Kind: "k", RunMS: []int{50, 100}}
	refused := &poplargwv1.Failure{Code: 2001, Effect: poplargwv1.Effect_EFFECT_NOT_RUN}
	unknown := &poplargwv1.Failure{Code: 3005, Effect: poplargwv1.Effect_EFFECT_UNKNOWN}
	outcomes := []outcome{{complete: true, response: 200 * time.Millisecond}, {failure: refused}, {failure: unknown}}
	var out bytes.Buffer
	if err := report(&out, []job{j, j, j}, outcomes, 1); err != nil {
		t.Error(err)
	}
	if !strings.HasSuffix(out.String(), "demo: 2 jobs accepted, 1 complete, 1 failed\n") || !strings.Contains(out.String(), "2.00") {
		t.Errorf("unexpected report:\n%s", out.String())
	}
	if err := report(&out, []job{j}, []outcome{{lastErr: errors.New("refused")}}, 1); err == nil {
		t.Error("report returned no error for a job without an outcome")
	}
	if err := report(&out, []job{j}, []outcome{{complete: true, response: 1, wrong: true}}, 1); err == nil {
		t.Error("report returned no error for a wrong answer")
	}
}

// Guards against a trace file of the demonstration that cannot be read or has lost jobs.
func TestCommittedTrace(t *testing.T) {
	jobs, err := readTrace("../../../deploy/demo/trace.jsonl")
	if err != nil || len(jobs) != 200 {
		t.Errorf("read %d jobs, error %v; want 200 jobs", len(jobs), err)
	}
}
