package runentry

import (
	"context"
	"errors"
	"testing"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// Guards against requests that are never answered because their jobs are left at the end of a graceful stop: the connection
// was cut when the process ended. Found by review/3.
func TestJobsLeftAtEndOfDrainAreAnswered(t *testing.T) {
	e, _ := newTestEntry(t)
	started := admitTestJobOfSize(t, e, "1", 8000)
	waiting := admitTestJobOfSize(t, e, "2", 8000)
	if _, running := e.scheduler.Has("2"); running {
		t.Fatal("the second job does not wait")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := e.Drain(ctx, 0); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if len(started) != 1 || len(waiting) != 1 {
		t.Fatalf("%d and %d outcomes", len(started), len(waiting))
	}
	if o := <-waiting; o.Code != result.Draining || o.Effect != result.NotRun || o.RetryAfter <= 0 {
		t.Errorf("outcome %+v of a job that has not started", o)
	}
	if o := <-started; o.Code != result.Draining || o.Effect != result.Run {
		t.Errorf("outcome %+v of a job that has started", o)
	}
}

// Guards against short jobs that are rejected by an entry which stops, although there is time for them: in a rolling restart
// 68 callers whose connections had outlasted the redirection of the load balancer were.
func TestShortJobsAreTakenWhileDraining(t *testing.T) {
	e, _ := newTestEntry(t)
	now := boottime.Now()
	e.Leave(now.Add(5 * time.Second))
	for _, c := range []struct {
		id       string
		estimate time.Duration
		taken    bool
	}{{"short", 50 * time.Millisecond, true}, {"long", 10 * time.Second, false}} {
		j := jobs.Job{ID: c.id, Queue: route.Queue{Service: "svc", Attempts: 1, Stretch: 1.6}, Steps: []jobs.Step{
			{Count: 1, Demand: run.Demand{CPU: 1000}, Estimate: c.estimate},
		}, Arrived: now}
		o, ok := e.admit(j, make(chan jobs.Outcome, 1))
		if ok != c.taken || !ok && o.Code != result.Draining {
			t.Errorf("%s job: taken %t, outcome %+v", c.id, ok, o)
		}
	}
}
