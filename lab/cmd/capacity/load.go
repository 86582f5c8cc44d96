package main

import (
	"context"
	"fmt"
	"time"
)

// The load consists of jobs of tasksPerJob tasks that run for taskMS milliseconds each, with
// concurrentJobs jobs in progress.
const (
	tasksPerJob    = 100
	taskMS         = 20
	concurrentJobs = 8
)

// measureLoad runs tasks through two entries and two agents. The size is the number of tasks, so the
// slopes are the cost of one task.
func measureLoad(o options) error {
	return measureRows(o, "Load by tasks", loadRow,
		"entries CPU s", "agents CPU s", "servers CPU s", "starts sent", "starts refused", "reports", "agents' bytes", "entries' bytes", "seconds", "failed jobs")
}

// loadRow measures the cost of n tasks and adds a row to the table.
func loadRow(o options, kind string, n int, t *resultTable) error {
	s, err := newFleet(o, kind, 2, 2)
	if err != nil {
		return err
	}
	defer s.stop()
	c := newCallers(s)
	// This warm-up opens the connections and lets the scheduler estimate the run time of tasks.
	c.run(4, tasksPerJob, taskMS, 4)
	before, begin := s.loadCounters(), time.Now()
	c.run(n/tasksPerJob, tasksPerJob, taskMS, concurrentJobs)
	took := time.Since(begin).Seconds()
	after := s.loadCounters()
	for i := range after {
		after[i] -= before[i]
	}
	t.addRow(n, append(after, took, float64(c.failed.Load()))...)
	c.printLastFailure()
	return nil
}

// loadCounters returns the counters of the first columns of measureLoad, in their order.
func (s *system) loadCounters() []float64 {
	bytes := func(p *process) float64 { return s.forwarder(p).totalBytes() }
	counter := func(name string) func(*process) float64 {
		return func(p *process) float64 { return p.metric(name) }
	}
	return []float64{
		sum(s.entries, (*process).cpu), sum(s.agents, (*process).cpu), sum(s.servers, (*process).cpu),
		sum(s.entries, counter("poplargw_starts_total")), sum(s.entries, counter("poplargw_start_refusals_total")),
		sum(s.agents, counter("poplargw_agent_reports_total")), sum(s.agents, bytes), sum(s.entries, bytes),
	}
}

// heapPercent is the GOGC value of the processes whose memory is measured: a low one keeps the heap size
// at which the next garbage collection begins close to the live heap.
const heapPercent = 10

// liveHeap returns the approximate live heap in bytes of a process that runs with GOGC=heapPercent.
func (p *process) liveHeap() float64 {
	return p.metric("go_memstats_next_gc_bytes") / (1 + heapPercent/100.0)
}

// measureQueue measures two things: the memory of an entry that holds queued tasks, whose number is the
// size, and the memory of an entry and an agent after submissions of one task have ended, a quarter of
// the size.
func measureQueue(o options) error {
	env := fmt.Sprintf("GOGC=%d", heapPercent)
	queued := newResultTable("Entry by queued tasks, jobs of 400 tasks", "live heap bytes", "failed jobs")
	ended := newResultTable("Entry and agent by ended submissions of one task", "entry heap bytes", "agent heap bytes", "entry CPU s", "agent CPU s", "failed jobs")
	for _, n := range o.sizes {
		if err := queuedRow(o, n, env, queued); err != nil {
			return err
		}
		if err := endedRow(o, n/4, env, ended); err != nil {
			return err
		}
	}
	queued.print()
	ended.print()
	return nil
}

// queuedRow measures an entry that holds n queued tasks in jobs of 400.
func queuedRow(o options, n int, env string, t *resultTable) error {
	s, err := newFleet(o, o.kinds[0], 1, 1, env)
	if err != nil {
		return err
	}
	defer s.stop()
	c := newCallers(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range n / 400 {
		go c.submit(ctx, 0, newJob(400, 50_000, time.Minute))
	}
	time.Sleep(settleTime)
	t.addRow(n, s.entries[0].liveHeap(), float64(c.failed.Load()))
	c.printLastFailure()
	return nil
}

// endedRow measures an entry and an agent after n submissions of one task have ended.
func endedRow(o options, n int, env string, t *resultTable) error {
	s, err := newFleet(o, o.kinds[0], 1, 1, env)
	if err != nil {
		return err
	}
	defer s.stop()
	c, e, a := newCallers(s), s.entries[0], s.agents[0]
	c.run(100, 1, 1, 64)
	entryCPU, agentCPU := e.cpu(), a.cpu()
	c.run(n, 1, 1, 64)
	t.addRow(n, e.liveHeap(), a.liveHeap(), e.cpu()-entryCPU, a.cpu()-agentCPU, float64(c.failed.Load()))
	return nil
}
