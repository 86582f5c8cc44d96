package jobs

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// largestJob returns a job at all limits.
func largestJob(now time.Time) Job {
	j := Job{
		ID: strings.Repeat("f", MaxNameBytes), Queue: testQueue, Spec: strings.Repeat("x", MaxSpecBytes),
		Arrived: now, Deadline: now.Add(MaxDeadline),
	}
	for i := range MaxSteps {
		s := Step{
			Count: MaxTasks / MaxSteps, Demand: run.Demand{CPU: run.MaxAmount, MemoryMB: run.MaxAmount, GPU: run.MaxAmount},
			Estimate: MaxEstimate, MaxPerServer: math.MaxInt32, Label: strings.Repeat("l", MaxNameBytes), Affinity: strings.Repeat("a", MaxNameBytes),
		}
		for a := range i {
			s.After = append(s.After, a)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// Guards against a job beyond a limit that is accepted, and against one at all limits that is refused. The
// scheduler allocates each task of a job that it accepts; negative demand frees capacity that does not exist.
func TestJobsBeyondLimitsAreRejected(t *testing.T) {
	if f := Check(largestJob(time.Unix(1000, 0))); f != nil {
		t.Fatalf("job at all limits: %v", f)
	}
	for name, c := range map[string]struct {
		change func(*Job)
		want   result.Code
	}{
		"no step":               {func(j *Job) { j.Steps = nil }, result.Malformed},
		"too many steps":        {func(j *Job) { j.Steps = append(j.Steps, Step{Count: 1}) }, result.TooLarge},
		"too many tasks":        {func(j *Job) { j.Steps[3].Count++ }, result.TooLarge},
		"sum of tasks overflow": {func(j *Job) { j.Steps[3].Count, j.Steps[4].Count = math.MaxInt, math.MaxInt }, result.TooLarge},
		"no task":               {func(j *Job) { j.Steps[3].Count = 0 }, result.Malformed},
		"negative count":        {func(j *Job) { j.Steps[3].Count = -5 }, result.Malformed},
		"long specification":    {func(j *Job) { j.Spec += "x" }, result.TooLarge},
		"long ID":               {func(j *Job) { j.ID += "f" }, result.Malformed},
		"long label":            {func(j *Job) { j.Steps[3].Label += "l" }, result.Malformed},
		"long affinity":         {func(j *Job) { j.Steps[3].Affinity += "a" }, result.Malformed},
		"negative CPU":          {func(j *Job) { j.Steps[3].Demand.CPU = -1 }, result.Malformed},
		"negative memory":       {func(j *Job) { j.Steps[3].Demand.MemoryMB = -1 }, result.Malformed},
		"negative GPU":          {func(j *Job) { j.Steps[3].Demand.GPU = -1 }, result.Malformed},
		"too much CPU":          {func(j *Job) { j.Steps[3].Demand.CPU++ }, result.Malformed},
		"too much memory":       {func(j *Job) { j.Steps[3].Demand.MemoryMB = math.MaxInt64 }, result.Malformed},
		"too much GPU":          {func(j *Job) { j.Steps[3].Demand.GPU++ }, result.Malformed},
		"negative estimate":     {func(j *Job) { j.Steps[3].Estimate = -1 }, result.Malformed},
		"long estimate":         {func(j *Job) { j.Steps[3].Estimate++ }, result.Malformed},
		"negative bound":        {func(j *Job) { j.Steps[3].MaxPerServer = -1 }, result.Malformed},
		"large bound":           {func(j *Job) { j.Steps[3].MaxPerServer++ }, result.Malformed},
		"late deadline":         {func(j *Job) { j.Deadline = j.Deadline.Add(1) }, result.Malformed},
		"after itself":          {func(j *Job) { j.Steps[3].After = []int{3} }, result.Malformed},
		"after negative":        {func(j *Job) { j.Steps[3].After = []int{-1} }, result.Malformed},
		"after repeated":        {func(j *Job) { j.Steps[3].After = []int{0, 0, 0, 0} }, result.Malformed},
	} {
		h := newHarness(t, 1, run.MaxAmount)
		j := largestJob(h.now)
		c.change(&j)
		o, ok := h.Submit(h.now, j)
		if ok || o.Code != c.want || o.Effect != result.NotRun || o.RetryAfter != 0 || o.Job != j.ID {
			t.Errorf("%s: accepted %v, code %d, effect %s, retry after %s, want code %d", name, ok, o.Code, o.Effect, o.RetryAfter, c.want)
		}
	}
}

// Guards against a job that brings a backend server over its capacity: the negative demand of an earlier one was
// added to what is free.
func TestNegativeDemandFreesNoCapacity(t *testing.T) {
	h := newHarness(t, 1, 8000)
	for i, d := range []run.Demand{{CPU: -100_000}, {CPU: 1000}} {
		j := Job{ID: fmt.Sprint(i), Queue: testQueue, Arrived: h.now, Steps: []Step{{Count: 40, Demand: d, Estimate: 500 * time.Millisecond}}}
		h.Submit(h.now, j)
		h.take()
	}
	var used int64
	for _, o := range h.orders["a0"] {
		used += o.Demand.CPU
	}
	if n := len(h.orders["a0"]); n > 8 || used > 8000 {
		t.Errorf("%d orders for %d millicores at a backend server of 8000", n, used)
	}
}
