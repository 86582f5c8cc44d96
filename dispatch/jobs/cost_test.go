package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Sizes of a large deployment in overload: each backend server is full, and jobs wait.
const (
	costServers = 58
	costJobs    = 10
	costTasks   = 4
)

// overloaded returns a scheduler whose backend servers are full and on which jobs wait.
func overloaded(tb testing.TB) (*Scheduler, time.Time) {
	tb.Helper()
	s, now := New(testLimits), time.Unix(1000, 0)
	for i := range costServers {
		agent := fmt.Sprintf("a%02d", i)
		s.AgentUp(now, agent)
		s.Report(now, agent, Report{Server: serverOf(agent, 10_000), Free: run.Demand{CPU: 10_000, MemoryMB: 1 << 20}, Entries: 9})
	}
	waits := 0
	for n := 0; waits < costJobs; n++ {
		s.Submit(now, Job{ID: fmt.Sprintf("%016x", n), Queue: testQueue, Arrived: now, Steps: []Step{
			{Count: costTasks, Demand: run.Demand{CPU: 3000, MemoryMB: 64}, Estimate: 2 * time.Second},
		}})
		waits = len(s.onTime)
		if n > 10*costJobs {
			tb.Fatalf("only %d jobs wait", waits)
		}
	}
	s.Take()
	return s, now
}

// reportAll delivers a report of each backend server, which is as full as before.
func reportAll(s *Scheduler, now time.Time) {
	for _, v := range s.fleet {
		s.Report(now, v.agent, Report{Server: v.state, Free: run.Demand{CPU: 1000}, Ack: v.seq, Entries: 9})
	}
	s.Take()
}

func BenchmarkReportsInOverload(b *testing.B) {
	s, now := overloaded(b)
	for b.Loop() {
		reportAll(s, now)
	}
}

func BenchmarkTickInOverload(b *testing.B) {
	s, now := overloaded(b)
	for b.Loop() {
		s.Tick(now)
		s.Take()
	}
}

func BenchmarkWantInOverload(b *testing.B) {
	s, now := overloaded(b)
	for b.Loop() {
		s.Want(now, s.fleet[0].agent)
	}
}

// Guards against work for each report that grows with the fleet: with jobs waiting, a report of a full
// backend server once looked at all 58 of them for every waiting task, which took an entry with a fifth
// of a core more time than it has.
func TestReportLooksAtItsOwnServerOnly(t *testing.T) {
	s, now := overloaded(t)
	v := s.fleet[0]
	for _, o := range s.fleet[1:] {
		// Room that no pass has seen yet would be used by a look at the whole fleet.
		o.free = run.Demand{CPU: 10_000, MemoryMB: 1 << 20}
		o.unacked = nil
	}
	s.Report(now, v.agent, Report{Server: v.state, Free: run.Demand{CPU: 3000, MemoryMB: 64}, Ack: v.seq, Entries: 9})
	_, batches := s.Take()
	if len(batches) != 1 || batches[0].Agent != v.agent || len(batches[0].Orders) != 1 {
		t.Fatalf("a report of %s with room for one task led to %d batches", v.agent, len(batches))
	}
	s.Tick(now)
	if _, batches = s.Take(); len(batches) < 2 {
		t.Errorf("the next tick gave orders to %d agents, the others have room as well", len(batches))
	}
}
