package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// patient is a queue whose jobs may wait for long.
var patient = route.Queue{Name: "patient", Service: "svc", Attempts: 2, Stretch: 8, Latency: 20 * time.Second}

// upAs adds a backend server that differs from the usual one.
func (b *bench) upAs(agent string, change func(*run.Server)) {
	s := serverOf(agent, 10_000)
	change(&s)
	b.AgentUp(b.now, agent)
	b.Report(b.now, agent, Report{Server: s, Free: s.Room, Entries: 1})
	b.take()
}

func (b *bench) submitStep(id string, q route.Queue, step Step) bool {
	o, ok := b.Submit(b.now, Job{ID: id, Queue: q, Arrived: b.now, Steps: []Step{step}})
	if !ok {
		b.outcomes[id] = o
	}
	b.take()
	return ok
}

// Guards against jobs that wait although others without a place, which wait for something else, come first:
// with 295 jobs waiting for one service, none of another service's jobs started on its idle backend servers.
func TestJobsThatWaitForSomethingElseHoldUpNobody(t *testing.T) {
	plain := Step{Count: 2, Demand: run.Demand{CPU: 3000, MemoryMB: 64}, Estimate: 100 * time.Millisecond}
	cases := map[string]struct {
		scarce func(*run.Server)
		change func(*Step, *route.Queue)
	}{
		"service":        {func(v *run.Server) { v.Service = "other" }, func(_ *Step, q *route.Queue) { q.Service = "other" }},
		"label":          {func(v *run.Server) { v.Labels = []string{"ssd"} }, func(s *Step, _ *route.Queue) { s.Label = "ssd" }},
		"memory":         {func(*run.Server) {}, func(s *Step, _ *route.Queue) { s.Demand.MemoryMB = 800_000 }},
		"GPU":            {func(v *run.Server) { v.Room.GPU = 1 }, func(s *Step, _ *route.Queue) { s.Demand.GPU = 1 }},
		"tasks a server": {func(*run.Server) {}, func(s *Step, _ *route.Queue) { s.MaxPerServer, s.Count, s.Demand.CPU = 1, 40, 100 }},
	}
	for name, c := range cases {
		b := newBench(t, 0, 0)
		for i := range 4 {
			b.upAs(fmt.Sprint("scarce", i), c.scarce)
		}
		step, queue := plain, patient
		c.change(&step, &queue)
		for i := range 60 {
			b.submitStep(fmt.Sprint("first", i), queue, step)
		}
		for i := range 4 {
			b.upAs(fmt.Sprint("idle", i), func(v *run.Server) { v.Room.MemoryMB = 1000 })
		}
		later := patient
		later.Latency = 40 * time.Second
		if !b.submitStep("second", later, plain) {
			t.Errorf("%s: rejected: %+v", name, b.outcomes["second"])
			continue
		}
		b.advance(20 * time.Millisecond)
		if _, started := b.Has("second"); !started {
			t.Errorf("%s: a job does not start although it has room", name)
		}
	}
}

// Guards against jobs that are rejected for a backlog which waits for something else while their own room is
// free.
func TestJobWithRoomIsNotRejected(t *testing.T) {
	b := newBench(t, 0, 0)
	b.upAs("scarce", func(v *run.Server) { v.Labels = []string{"ssd"} })
	scarce := Step{Count: 6, Demand: run.Demand{CPU: 3000}, Estimate: 2 * time.Second, Label: "ssd"}
	for i := range 20 {
		b.submitStep(fmt.Sprint("first", i), patient, scarce)
	}
	b.upAs("idle", func(*run.Server) {})
	last := testQueue
	last.Priority = 2000
	if !b.submitTo(last, "plain", 2, 3000, 100*time.Millisecond) {
		t.Errorf("rejected: %+v", b.outcomes["plain"])
	}
}

// reading tells the entry the progress of every run, of which all take the given time.
func (b *bench) reading(took time.Duration) {
	for agent, list := range b.orders {
		b.Heard(b.now, agent)
		for _, o := range list {
			v := b.servers[agent]
			begun := v.runs[o.Ref].ordered
			percent := int(100 * b.now.Sub(begun) / took)
			b.Progress(b.now, agent, o.Ref, min(99, percent), b.now.Sub(begun))
		}
	}
}

// Guards against healthy long runs that are stopped as stalled: a percent of a run of 30 s takes longer than
// the time without progress that counts as a stall of a short one.
func TestLongRunsAreNotStalled(t *testing.T) {
	for _, declared := range []time.Duration{30 * time.Second, 3 * time.Second} {
		b := newBench(t, 8, 10_000)
		b.submitTo(patient, "j", 4, 3000, declared)
		for range 30 * 10 {
			b.advance(80 * time.Millisecond)
			b.reading(30 * time.Second)
		}
		if len(b.stops) != 0 {
			t.Errorf("declared %v: %d healthy runs were stopped", declared, len(b.stops))
		}
	}
}

// Guards against a long run that stands still and is left where it is.
func TestLongRunThatStandsStillMoves(t *testing.T) {
	b := newBench(t, 8, 10_000)
	queue := patient
	queue.Stretch, queue.Latency = 1.6, 60*time.Millisecond
	b.submitTo(queue, "j", 1, 3000, 10*time.Second)
	for range 50 {
		b.advance(80 * time.Millisecond)
		b.reading(10 * time.Second)
	}
	still := b.now
	for len(b.stops) == 0 && b.now.Sub(still) < 3*time.Second {
		b.advance(80 * time.Millisecond)
		for agent, list := range b.orders {
			b.Heard(b.now, agent)
			for _, o := range list {
				b.Progress(b.now, agent, o.Ref, 40, b.now.Sub(still)+4*time.Second)
			}
		}
	}
	if took := b.now.Sub(still); len(b.stops) == 0 || took > time.Second {
		t.Errorf("%d stops, %v after the run stood still", len(b.stops), took)
	}
}

// Guards against "may have run" for a job whose caller still waits: what has begun is finished behind what
// is on time. A check that was sent in a burst got that answer 0.95 s before its caller left.
func TestBegunJobGoesOnWhileItsCallerWaits(t *testing.T) {
	b := newBench(t, 1, 6000)
	submit := func(id string, tasks int, patience time.Duration) {
		b.Submit(b.now, Job{ID: id, Queue: testQueue, Arrived: b.now, Deadline: b.now.Add(patience), Steps: []Step{
			{Count: tasks, Demand: run.Demand{CPU: 3000}, Estimate: 60 * time.Millisecond},
		}})
		b.take()
	}
	submit("j", 3, 1500*time.Millisecond)
	for range 140 {
		b.advance(10 * time.Millisecond)
	}
	if o, ended := b.outcomes["j"]; ended {
		t.Fatalf("outcome %+v, 100 ms before the caller leaves", o)
	}
	for range 12 {
		b.advance(10 * time.Millisecond)
	}
	if o := b.outcomes["j"]; o.Code != result.DeadlineExceeded || o.Effect != result.Run {
		t.Errorf("after the caller has left: %+v", o)
	}
}

// Guards against a job that is taken in although its caller leaves before it can end.
func TestJobThatCannotEndBeforeItsCallerLeavesIsRejected(t *testing.T) {
	b := newBench(t, 1, 6000)
	o, ok := b.Submit(b.now, Job{ID: "j", Queue: testQueue, Arrived: b.now, Deadline: b.now.Add(100 * time.Millisecond), Steps: []Step{
		{Count: 1, Demand: run.Demand{CPU: 3000}, Estimate: time.Second},
	}})
	if ok || o.Code != result.DeadlineUnmet || o.Effect != result.NotRun {
		t.Errorf("taken in: %v, %+v", ok, o)
	}
}

// Guards against jobs of several steps that are given up because their steps are far longer than declared:
// a quarter of the jobs declare run times that are off by a factor of 5 to 10.
func TestStepsDeclaredTooShortAreServed(t *testing.T) {
	b := newBench(t, 4, 10_000)
	step := Step{Count: 4, Demand: run.Demand{CPU: 3000}, Estimate: 100 * time.Millisecond}
	second := step
	second.After = []int{0}
	b.Submit(b.now, Job{ID: "j", Queue: testQueue, Arrived: b.now, Steps: []Step{step, second}})
	b.take()
	for range 30 {
		b.advance(80 * time.Millisecond)
		b.reading(time.Second)
		for agent, list := range b.orders {
			for _, o := range append([]Order(nil), list...) {
				if b.now.Sub(b.servers[agent].runs[o.Ref].ordered) >= time.Second {
					b.event(agent, o.Ref, run.Done, 0)
				}
			}
		}
	}
	if o, ended := b.outcomes["j"]; !ended || o.Code != 0 {
		t.Errorf("ended %v, outcome %+v", ended, o)
	}
}

// Guards against the next burst, made by the answers to the last one: everybody who was rejected in one
// moment was sent back in the same second. Callers who come back are given the second in which their jobs
// have room; less urgent and later ones come later.
func TestRejectedCallersComeBackWhenThereIsRoom(t *testing.T) {
	const tasks, cpu, estimate = 2, 3000, 200 * time.Millisecond
	b := newBench(t, 4, 12_000)
	work := map[time.Duration]float64{}
	advice := func(queue route.Queue, from, n int) (last time.Duration) {
		for i := from; i < from+n; i++ {
			id := fmt.Sprint(queue.Name, i)
			if b.submitTo(queue, id, tasks, cpu, estimate) {
				continue
			}
			last = b.outcomes[id].RetryAfter
			work[last] += tasks * cpu * estimate.Seconds()
		}
		return last
	}
	urgent, idle := testQueue, testQueue
	idle.Name, idle.Priority = "idle", 2
	last := advice(urgent, 0, 300)
	first := advice(idle, 300, 1)
	pace := 4 * 12_000.0
	for at, w := range work {
		if at%time.Second != 0 || at <= 0 {
			t.Errorf("advice %v is not a second to come", at)
		}
		if w > pace {
			t.Errorf("%.0f core-ms a second come back after %v, the pace is %.0f", w, at, pace)
		}
	}
	if len(work) < 2 || first < last {
		t.Errorf("%d different seconds, the last of the urgent ones %v, a less urgent one %v", len(work), last, first)
	}
}

// Guards against a date that an entry cannot keep: a caller who finds no room in all that is promised is told
// that the queue is full.
func TestCallerWithoutRoomInSightIsToldSo(t *testing.T) {
	b := newBench(t, 1, 6000)
	var o Outcome
	for i := range 2000 {
		id := fmt.Sprint("j", i)
		b.submit(id, 20, 3000, time.Second)
		o = b.outcomes[id]
	}
	if o.Code != result.Overloaded || o.Effect != result.NotRun || o.RetryAfter < promiseHorizon {
		t.Errorf("outcome %+v", o)
	}
}
