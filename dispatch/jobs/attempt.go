package jobs

import (
	"time"

	"poplargw.example/dispatch/run"
)

// attempt is one run of a task on a backend server.
type attempt struct {
	ref       run.Ref
	job       *job
	task      *task
	server    *server
	instance  string // process of the backend server
	demand    run.Demand
	seq       uint64 // number of the frame that carried the order
	orderedAt time.Time
	startedAt time.Time // time of the order until the first progress reading gives the real start
	// stopRequested is set once the agent has been requested to stop the run.
	stopRequested bool
	// localityFactor is how many times longer the task runs on this server than near its data.
	localityFactor float64
	// percent and prevPercent are the two newest progress readings that are at least
	// minReadingInterval apart, percentAt and prevPercentAt their times.
	percent, prevPercent     int
	percentAt, prevPercentAt time.Time
	// lastReadingAt is the time of the newest progress reading.
	lastReadingAt time.Time
}

// slowdown returns the expected run time of the task on its server, divided by its estimate.
func (a *attempt) slowdown() float64 { return a.server.slowdown() * a.localityFactor }

// largestSlowdown returns the largest slowdown that the task is likely to have on its server. On one of unknown
// speed, slow progress may be due to the server and does not show that the task is longer than declared.
func (a *attempt) largestSlowdown() float64 {
	if a.server.speedKnown() {
		return a.slowdown()
	}
	return a.slowdown() * slowThreshold
}

// orderedBefore orders runs by the time of their order, and by task name if the times are equal.
func (a *attempt) orderedBefore(o *attempt) bool {
	if !a.orderedAt.Equal(o.orderedAt) {
		return a.orderedAt.Before(o.orderedAt)
	}
	return a.ref.Task < o.ref.Task
}

// orderRun starts a new run of the task on the backend server: it records the run and adds the order to
// the next batch for the agent.
func (s *Scheduler) orderRun(now time.Time, j *job, t *task, v *server) {
	step := j.Steps[t.step]
	a := &attempt{
		ref: s.newRunRef(now, t), job: j, task: t, server: v, instance: v.state.Instance, demand: s.demandOn(j, t, v), seq: v.seq + 1, orderedAt: now, startedAt: now,
		localityFactor: s.localityFactor(step, v),
	}
	t.state = taskPlaced
	t.run = a
	t.attempts++
	s.recordDecision(Decision{
		Kind: Placed, Agent: v.agent, Ref: a.ref, Attempt: t.attempts, Age: now.Sub(v.lastContact), Free: v.available().CPU,
		Expected: span(float64(j.expectedRunTime(t)) * a.slowdown()),
	})
	v.runs[a.ref] = a
	s.runOrdered(j.ID)
	v.lastOrder = now
	v.probes = s.nextProbeCount(v)
	v.unacked = append(v.unacked, a)
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	b := s.batch(v)
	b.Orders = append(b.Orders, Order{
		Ref: a.ref, Demand: a.demand, Spec: j.Spec, Checkpoint: t.checkpoint,
		Kind: j.Queue.Name, Instance: v.state.Instance, MaxPerServer: step.MaxPerServer, Label: step.Label,
	})
}

// removeRun drops a run that has certainly ended.
func (s *Scheduler) removeRun(now time.Time, a *attempt) {
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
	s.runEnded(now, a.job.ID)
}

// markWaiting returns a task to the waiting state and keeps the newest checkpoint of its last run.
func markWaiting(t *task, e run.Event) {
	t.state = taskWaiting
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
}
