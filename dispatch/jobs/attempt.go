package jobs

import (
	"time"

	"poplargw.example/dispatch/run"
)

// attempt is one run of a task.
type attempt struct {
	ref     run.Ref
	job     *job
	task    *task
	server  *server
	demand  run.Demand
	seq     uint64 // frame that carried the order
	ordered time.Time
	begun   time.Time // as far as is known; the order at first
	stopped bool
	// distance is how many times longer the task runs there than near its data.
	distance float64
	// The two newest progress readings that differ in time by at least progressGap.
	percent, before     int
	percentAt, beforeAt time.Time
	readAt              time.Time
}

// pace is the expected run time of the task where it runs, relative to its estimate.
func (a *attempt) pace() float64 { return a.server.slowness() * a.distance }

// earlier orders runs by time and, for those of one moment, by name.
func (a *attempt) earlier(o *attempt) bool {
	if !a.ordered.Equal(o.ordered) {
		return a.ordered.Before(o.ordered)
	}
	return a.ref.Task < o.ref.Task
}

func (s *Scheduler) order(now time.Time, j *job, t *task, v *server) {
	step := j.Steps[t.step]
	a := &attempt{
		ref: s.newRun(now, t), job: j, task: t, server: v, demand: step.Demand, seq: v.seq + 1, ordered: now, begun: now,
		distance: s.distance(step, v),
	}
	t.state = placed
	t.run = a
	t.attempts++
	s.note(Note{
		Kind: Placed, Agent: v.agent, Ref: a.ref, Attempt: t.attempts, Age: now.Sub(v.heard), Free: v.room().CPU,
		Expected: time.Duration(float64(j.expected(t)) * a.pace()),
	})
	v.runs[a.ref] = a
	v.lastOrder = now
	v.probes = s.probesAfter(v)
	v.unacked = append(v.unacked, a)
	if j.started.IsZero() {
		j.started = now
	}
	b := s.batch(v)
	b.Orders = append(b.Orders, Order{
		Ref: a.ref, Demand: a.demand, Spec: j.Spec, Checkpoint: t.checkpoint,
		Instance: v.state.Instance, MaxPerServer: step.MaxPerServer, Label: step.Label,
	})
}

// forget removes a run that has certainly ended.
func (s *Scheduler) forget(a *attempt) {
	delete(a.server.runs, a.ref)
	kept := a.server.unacked[:0]
	for _, o := range a.server.unacked {
		if o != a {
			kept = append(kept, o)
		}
	}
	clear(a.server.unacked[len(kept):])
	a.server.unacked = kept
	if a.task.run == a {
		a.task.run = nil
	}
}

func requeue(t *task, e run.Event) {
	t.state = waiting
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
}
