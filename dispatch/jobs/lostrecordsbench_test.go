package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// BenchmarkOwnershipsWithLostRecords measures the periodic work of an entry whose jobs all wait because records may be lost.
func BenchmarkOwnershipsWithLostRecords(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			limits := lostRecordLimits()
			limits.MaxWaitingTasks = 20_000
			f := newOwnerFleetWith(limits, 1, 64)
			e := f.entries[0]
			e.SetRegistrars(f.now, Registrars(f.agents))
			f.killAgents(e.registrars...)
			f.restartAgents(e.registrars...)
			for i := range n {
				e.Submit(f.now, Job{
					ID: fmt.Sprintf("%016x", i*7919), Queue: testQueue, Arrived: f.now, Deadline: f.now.Add(time.Hour),
					Steps: []Step{{Count: 1, Demand: run.Demand{CPU: 10, MemoryMB: 1}, Estimate: time.Second}},
				})
			}
			f.take(e)
			if len(e.running) > 0 || len(e.ownerships) < n/2 {
				b.Fatalf("%d runs, %d jobs wait", len(e.running), len(e.ownerships))
			}
			b.ReportAllocs()
			for b.Loop() {
				e.advanceOwnerships(f.now)
			}
		})
	}
}
