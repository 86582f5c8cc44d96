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
