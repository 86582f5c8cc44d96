package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"poplargw.example/platform/standin"
)

// crashServer crashes a random backend server one to three times. It is down for 50 ms to 2.5 s each time and
// returns under its ID as a new incarnation.
func (d *deployment) crashServer(r *rand.Rand) {
	a := pick(r, d.agents)
	for range 1 + r.IntN(3) {
		downtime := randomDuration(r, 50*time.Millisecond, 2500*time.Millisecond)
		a.backend.Crash(downtime)
		time.Sleep(downtime + randomDuration(r, 0, 600*time.Millisecond))
	}
}

// submitCrashingJobs submits three to eight jobs with tasks that crash their backend servers, and returns when
// all have been answered or given up.
func (d *deployment) submitCrashingJobs(r *rand.Rand) {
	for _, a := range d.agents {
		a.backend.SetDowntime(randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond))
	}
	var wg sync.WaitGroup
	for range 3 + r.IntN(6) {
		jobRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.callers.submitCrashingJob(jobRand)
		}()
		time.Sleep(randomDuration(r, 0, 150*time.Millisecond))
	}
	wg.Wait()
}

// changeCapacity changes the capacity that one or two backend servers announce, several times, some of them for
// longer than shrinkLimit, and restores it.
func (d *deployment) changeCapacity(r *rand.Rand) {
	a, b := pick(r, d.agents), pick(r, d.agents)
	for range 2 + r.IntN(3) {
		a.setCapacity(taskCPU * (1 + r.IntN(cpuCapacity/taskCPU)))
		b.setCapacity(taskCPU * (1 + r.IntN(cpuCapacity/taskCPU)))
		time.Sleep(randomDuration(r, 300*time.Millisecond, shrinkLimit+1500*time.Millisecond))
	}
	a.setCapacity(cpuCapacity)
	b.setCapacity(cpuCapacity)
}

// carryOutLate makes a random backend server carry out a share of the calls late for 0.5 s to 3 s. In every
// other case the backend server crashes meanwhile, so that the next incarnation carries them out.
func (d *deployment) carryOutLate(r *rand.Rand) {
	a := pick(r, d.agents)
	a.backend.SetFaults(standin.BackendFaults{LateShare: 0.1 + 0.4*r.Float64()})
	time.Sleep(randomDuration(r, 500*time.Millisecond, 3*time.Second))
	if r.IntN(2) == 0 {
		a.backend.Crash(randomDuration(r, 50*time.Millisecond, time.Second))
	}
	a.backend.SetFaults(standin.BackendFaults{})
}
