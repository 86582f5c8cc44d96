package jobs

import (
	"fmt"
	"math"
	"time"

	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// requestKind is a kind of request. share is its relative frequency, width its number of tasks and work
// their mean run time at normal speed.
type requestKind struct {
	name     string
	share    float64
	width    int
	work     time.Duration
	priority int
}

// requestKinds is the mix of requests of both simulated sites.
var requestKinds = []requestKind{
	{"check", 34.4, 8, 60 * time.Millisecond, 0},
	{"quote", 6.25, 4, 900 * time.Millisecond, 2},
	{"price", 100, 2, 200 * time.Millisecond, 1},
}

// scheduleArrivals schedules job arrivals for the duration d. The load is a fraction of the CPU
// capacity at normal speed.
func (sim *simulation) scheduleArrivals(load float64, d time.Duration) {
	perJob, total := 0.0, 0.0
	for _, k := range sim.kinds {
		perJob += k.share * float64(k.width) * k.work.Seconds() * float64(sim.taskCPU)
		total += k.share
	}
	capacity := 0.0
	for _, m := range sim.machines {
		capacity += float64(m.cpuCapacity)
	}
	rate := load * capacity / (perJob / total)
	for at := time.Duration(0); at < d; at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second)) {
		sim.after(at, func() { sim.submitRandomJob(total) })
	}
}

// pickEntry returns a random entry that has not failed.
func (sim *simulation) pickEntry() int {
	for {
		i := sim.rng.IntN(len(sim.entries))
		if sim.weights != nil {
			i = sim.pickWeightedEntry()
		}
		if !sim.failedEntries[i] {
			return i
		}
	}
}

// pickWeightedEntry returns a random entry with the probability given by its weight.
func (sim *simulation) pickWeightedEntry() int {
	sum := 0.0
	for _, x := range sim.weights {
		sum += x
	}
	pick := sim.rng.Float64() * sum
	for i, x := range sim.weights {
		if pick -= x; pick < 0 {
			return i
		}
	}
	return len(sim.weights) - 1
}

// submitRandomJob submits a job of a random kind to a random entry. total is the sum of the kinds'
// shares.
func (sim *simulation) submitRandomJob(total float64) {
	pick := sim.rng.Float64() * total
	k := sim.kinds[0]
	for _, k = range sim.kinds {
		if pick -= k.share; pick < 0 {
			break
		}
	}
	sim.lastID++
	id := fmt.Sprintf("%s%d", k.name, sim.lastID)
	base := k.work.Seconds() * math.Exp(0.4*sim.rng.NormFloat64()-0.08)
	estimate := base * math.Exp(0.4*sim.rng.NormFloat64()-0.08)
	base *= sim.load.tailFactor(sim.rng)
	affinity := sim.load.affinityOf(k.name, sim.rng)
	longest := 0.0
	width, tailFactor := sim.varied.draw(sim, k)
	sim.widths[id] = width
	for t := range width {
		work := base * tailFactor * (1 + 0.15*(2*sim.rng.Float64()-1))
		longest = max(longest, work)
		sim.taskWork[run.TaskName(id, 0, 0, t)] = time.Duration(work * float64(time.Second))
	}
	sim.longestTask[id], sim.arrived[id], sim.kindOfJob[id] = time.Duration(longest*float64(time.Second)), sim.now, sim.load.tallied(k, affinity)
	sim.affinityOfJob[id] = affinity
	sim.crashing.choose(sim, id, k)
	i := sim.pickEntry()
	o, ok := sim.entries[i].Submit(sim.now, Job{
		ID: id, Arrived: sim.now, Deadline: sim.varied.deadlineAt(sim.now),
		Queue: route.Queue{Name: k.name, Service: sim.pickService(), Attempts: 3, Stretch: 1.6, Latency: sim.latency, Priority: k.priority},
		Steps: []Step{{Count: width, Demand: run.Demand{CPU: sim.taskCPU, MemoryMB: 64}, Estimate: time.Duration(estimate * float64(time.Second)), Affinity: affinity}},
	})
	if !ok {
		o.Job = id
		sim.recordOutcome(o)
		return
	}
	sim.flush(i)
}

// pickService returns the service of the next job.
func (sim *simulation) pickService() string {
	if len(sim.services) == 1 {
		return sim.services[0]
	}
	return sim.services[sim.rng.IntN(len(sim.services))]
}
