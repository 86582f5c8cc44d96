package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

var testLimits = Limits{SilenceLimit: 200 * time.Millisecond, LostAfter: 800 * time.Millisecond, MaxWaitingTasks: 1000}

var testQueue = route.Queue{Name: "q", Service: "svc", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}

// harness drives a scheduler and records its outcomes and batches.
type harness struct {
	*Scheduler
	t        *testing.T
	now      time.Time
	outcomes map[string]Outcome
	orders   map[string][]Order // by agent; orders whose runs have not ended
	stops    map[run.Ref]int
	claims   []Claim
	seqs     map[string]uint64 // newest frame received, by agent
	crashes  map[string]int    // crashes of its backend server, by agent
}

// newHarness returns a harness with agents a0, a1 and so on, whose backend servers have the given CPU
// capacity.
func newHarness(t *testing.T, servers int, cpu int64) *harness {
	h := &harness{
		Scheduler: New(testLimits), t: t, now: time.Unix(1000, 0),
		outcomes: map[string]Outcome{}, orders: map[string][]Order{}, stops: map[run.Ref]int{}, seqs: map[string]uint64{}, crashes: map[string]int{},
	}
	for i := range servers {
		h.connect(fmt.Sprintf("a%d", i), cpu)
	}
	return h
}

// serverOf returns the state of the default backend server of an agent.
func serverOf(agent string, cpu int64) run.Server {
	return run.Server{Instance: "i-" + agent, Service: "svc", Domain: "d-" + agent, State: run.Ready, Capacity: run.Demand{CPU: cpu, MemoryMB: 1 << 20}}
}

// connect opens a link to an agent and delivers its first report.
func (h *harness) connect(agent string, cpu int64) {
	h.AgentConnected(h.now, agent)
	h.report(agent, cpu)
	h.take()
}

// report delivers a report of an agent that accounts for all orders sent so far.
func (h *harness) report(agent string, cpu int64) {
	free := run.Demand{CPU: cpu, MemoryMB: 1 << 20}
	for _, o := range h.orders[agent] {
		free = free.Sub(o.Demand)
	}
	server := serverOf(agent, cpu)
	if n := h.crashes[agent]; n > 0 {
		server.Instance = fmt.Sprintf("%s-%d", server.Instance, n)
	}
	h.Report(h.now, agent, Report{Server: server, Free: free, Ack: h.seqs[agent]})
}

// take records the outcomes and batches of the scheduler.
func (h *harness) take() {
	outcomes, batches := h.Take()
	for _, o := range outcomes {
		if _, twice := h.outcomes[o.Job]; twice {
			h.t.Errorf("job %s has two outcomes", o.Job)
		}
		h.outcomes[o.Job] = o
	}
	for _, batch := range batches {
		h.seqs[batch.Agent] = batch.Seq
		h.orders[batch.Agent] = append(h.orders[batch.Agent], batch.Orders...)
		for _, r := range batch.Stops {
			h.stops[r]++
		}
		h.claims = append(h.claims, batch.Claims...)
	}
}

// advance moves the time forward by d and runs one tick.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.Tick(h.now)
	h.take()
}

// submit submits a job with a single step to testQueue and reports whether it was admitted.
func (h *harness) submit(id string, tasks int, cpu int64, estimate time.Duration) bool {
	return h.submitTo(testQueue, id, tasks, cpu, estimate)
}

// submitTo is submit for another queue.
func (h *harness) submitTo(q route.Queue, id string, tasks int, cpu int64, estimate time.Duration) bool {
	o, ok := h.Submit(h.now, Job{
		ID: id, Queue: q, Arrived: h.now,
		Steps: []Step{{Count: tasks, Demand: run.Demand{CPU: cpu}, Estimate: estimate}},
	})
	if !ok {
		h.outcomes[id] = o
	}
	h.take()
	return ok
}

// endRun ends a run on an agent.
func (h *harness) endRun(agent string, ref run.Ref, kind run.EventKind, code result.Code) {
	kept := h.orders[agent][:0]
	for _, o := range h.orders[agent] {
		if o.Ref != ref {
			kept = append(kept, o)
		}
	}
	h.orders[agent] = kept
	h.Event(h.now, agent, run.Event{Ref: ref, Kind: kind, Reason: code})
	h.take()
}

// placed returns the number of runs that have not ended.
func (h *harness) placed() int {
	n := 0
	for _, list := range h.orders {
		n += len(list)
	}
	return n
}
