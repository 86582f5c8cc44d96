package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// BenchmarkTickWithOwnedJobs measures the periodic work of an entry that owns many jobs, each with one run.
func BenchmarkTickWithOwnedJobs(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newOwnerFleet(1, 64)
			e := f.entries[0]
			e.SetRegistrars(f.now, Registrars(f.agents))
			for i := range n {
				e.Submit(f.now, Job{
					ID: fmt.Sprintf("%016x", i*7919), Queue: testQueue, Arrived: f.now, Deadline: f.now.Add(time.Hour),
					Steps: []Step{{Count: 1, Demand: run.Demand{CPU: 10, MemoryMB: 1}, Estimate: time.Second}},
				})
			}
			f.take(e)
			f.deliverAll()
			if len(e.running) == 0 {
				b.Fatal("no job has started")
			}
			b.Run("ownership", func(b *testing.B) {
				for b.Loop() {
					e.advanceOwnerships(f.now)
				}
			})
			b.Run("tick", func(b *testing.B) {
				for b.Loop() {
					e.Tick(f.now)
				}
			})
		})
	}
}

// BenchmarkTickWithWaitingJobs measures the periodic work for jobs that wait because most registrars have been lost or have
// restarted just now, with and without the wait for lost records.
func BenchmarkTickWithWaitingJobs(b *testing.B) {
	for _, lostAfter := range []time.Duration{0, lostRecordLimits().OwnerLostAfter} {
		b.Run(fmt.Sprint(lostAfter), func(b *testing.B) {
			limits := lostRecordLimits()
			limits.OwnerLostAfter, limits.MaxWaitingTasks = lostAfter, 10_000
			f := newOwnerFleetWith(limits, 1, 64)
			e := f.entries[0]
			e.SetRegistrars(f.now, Registrars(f.agents))
			f.pass(2 * time.Second)
			f.killAgents(f.agents...)
			f.pass(20 * time.Millisecond)
			f.restartAgents(f.agents...)
			for i := range 5000 {
				e.Submit(f.now, Job{
					ID: fmt.Sprintf("%016x", i*7919), Queue: testQueue, Arrived: f.now, Deadline: f.now.Add(time.Hour),
					Steps: []Step{{Count: 1, Demand: run.Demand{CPU: 10, MemoryMB: 1}, Estimate: time.Second}},
				})
			}
			f.take(e)
			f.deliverAll()
			if len(e.ownerships) == 0 || len(e.running) > 0 {
				b.Fatalf("%d jobs, %d runs", len(e.ownerships), len(e.running))
			}
			for b.Loop() {
				e.advanceOwnerships(f.now)
			}
			b.ReportMetric(float64(len(e.ownerships)), "jobs")
		})
	}
}
