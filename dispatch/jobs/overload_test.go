package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Sizes of a large deployment in overload, in which all backend servers are full and jobs wait.
const (
	overloadServers     = 58
	overloadWaitingJobs = 10
	overloadTasks       = 4
)

// newOverloaded returns a scheduler with full backend servers and waiting jobs, and the current time.
func newOverloaded(tb testing.TB) (*Scheduler, time.Time) {
	tb.Helper()
	s, now := New(testLimits), time.Unix(1000, 0)
	for i := range overloadServers {
		agent := fmt.Sprintf("a%02d", i)
		s.AgentConnected(now, agent)
		s.Report(now, agent, Report{Server: serverOf(agent, 10_000), Free: run.Demand{CPU: 10_000, MemoryMB: 1 << 20}, Entries: 9})
	}
	waiting := 0
	for n := 0; waiting < overloadWaitingJobs; n++ {
		s.Submit(now, Job{ID: fmt.Sprintf("%016x", n), Queue: testQueue, Arrived: now, Steps: []Step{
			{Count: overloadTasks, Demand: run.Demand{CPU: 3000, MemoryMB: 64}, Estimate: 2 * time.Second},
		}})
		waiting = len(s.onTime)
		if n > 10*overloadWaitingJobs {
			tb.Fatalf("only %d jobs wait", waiting)
		}
	}
	s.Take()
	return s, now
}

// reportAll delivers a report of each backend server, all of which are as full as before.
func reportAll(s *Scheduler, now time.Time) {
	for _, v := range s.fleet {
		s.Report(now, v.agent, Report{Server: v.state, Free: run.Demand{CPU: 1000}, Ack: v.seq, Entries: 9})
	}
	s.Take()
}

func BenchmarkReportsInOverload(b *testing.B) {
	s, now := newOverloaded(b)
	for b.Loop() {
		reportAll(s, now)
	}
}

func BenchmarkTickInOverload(b *testing.B) {
	s, now := newOverloaded(b)
	for b.Loop() {
		s.Tick(now)
		s.Take()
	}
}

func BenchmarkWaitingDemandInOverload(b *testing.B) {
	s, now := newOverloaded(b)
	for b.Loop() {
		s.WaitingDemand(now, s.fleet[0].agent)
	}
}

// TestReportDispatchesToItsOwnServerOnly checks that a report only places tasks on its own backend
// server. When jobs waited, each report of a full server once compared every waiting task with all 58
// servers, which took more time than an entry with a fifth of a core has.
func TestReportDispatchesToItsOwnServerOnly(t *testing.T) {
	s, now := newOverloaded(t)
	v := s.fleet[0]
	for _, o := range s.fleet[1:] {
		// A dispatch to the whole fleet would use this free capacity, which no pass has seen yet.
		o.free = run.Demand{CPU: 10_000, MemoryMB: 1 << 20}
		o.unacked = nil
	}
	s.Report(now, v.agent, Report{Server: v.state, Free: run.Demand{CPU: 3000, MemoryMB: 64}, Ack: v.seq, Entries: 9})
	_, batches := s.Take()
	if len(batches) != 1 || batches[0].Agent != v.agent || len(batches[0].Orders) != 1 {
		t.Fatalf("a report of %s with capacity for one task led to %d batches, want 1 with one order for this agent", v.agent, len(batches))
	}
	s.Tick(now)
	if _, batches = s.Take(); len(batches) < 2 {
		t.Errorf("the next tick sent orders to %d agents, want at least 2: all have free capacity", len(batches))
	}
}
