package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"poplargw.example/lab/testbed"
	"poplargw.example/platform/standin"
)

// fault is a kind of fault to inject. Its function run returns when the fault has ended.
type fault struct {
	name string
	run  func(d *deployment, r *rand.Rand)
}

// pick returns a random element of a list.
func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// randomDuration returns a random duration in [low, high).
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// anyNode returns a random entry or agent.
func (d *deployment) anyNode(r *rand.Rand) *node {
	if r.IntN(2) == 0 {
		return pick(r, d.entries)
	}
	return pick(r, d.agents).node
}

// faults lists the kinds of faults. New kinds are appended: TestRegressions draws from the first kinds only,
// as many as there were when a seed failed, so that the seed draws the same faults again.
var faults = []fault{
	{"kill", func(d *deployment, r *rand.Rand) { d.anyNode(r).signal(syscall.SIGKILL) }},
	{"kill twice", func(d *deployment, r *rand.Rand) {
		n := d.anyNode(r)
		n.signal(syscall.SIGKILL)
		time.Sleep(randomDuration(r, 100*time.Millisecond, 400*time.Millisecond))
		n.signal(syscall.SIGKILL)
	}},
	{"stop", func(d *deployment, r *rand.Rand) { d.anyNode(r).signal(syscall.SIGTERM) }},
	{"reload", func(d *deployment, r *rand.Rand) { d.anyNode(r).signal(syscall.SIGHUP) }},
	{"freeze", func(d *deployment, r *rand.Rand) {
		n := d.anyNode(r)
		n.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(r, 200*time.Millisecond, 2500*time.Millisecond))
		n.signal(syscall.SIGCONT)
	}},
	{"server crash", func(d *deployment, r *rand.Rand) {
		a := pick(r, d.agents)
		a.backendLinks.SetMode(testbed.AnySource, testbed.LinkSilent)
		a.backendLinks.Reset()
		a.backend.Restart()
		time.Sleep(randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond))
		a.backendLinks.SetMode(testbed.AnySource, testbed.LinkOpen)
		a.backendLinks.Reset()
	}},
	{"server cut off", func(d *deployment, r *rand.Rand) { disruptLink(r, pick(r, d.agents).backendLinks, testbed.LinkSilent) }},
	{"server connections silent", func(d *deployment, r *rand.Rand) { pick(r, d.agents).backendLinks.SilenceOpen(testbed.AnySource) }},
	{"server connections reset", func(d *deployment, r *rand.Rand) { pick(r, d.agents).backendLinks.Reset() }},
	{"server connections delayed", func(d *deployment, r *rand.Rand) { delayLink(r, pick(r, d.agents).backendLinks, 40*time.Millisecond) }},
	{"server stalls", func(d *deployment, r *rand.Rand) { d.serverFault(r, standin.BackendFaults{Stall: true}) }},
	{"server slow", func(d *deployment, r *rand.Rand) { d.serverFault(r, standin.BackendFaults{Slow: 6}) }},
	{"server fails", func(d *deployment, r *rand.Rand) { d.serverFault(r, standin.BackendFaults{FailAll: true}) }},
	{"server refuses with 503", func(d *deployment, r *rand.Rand) {
		d.serverFault(r, standin.BackendFaults{Status: http.StatusServiceUnavailable})
	}},
	{"server starts late", func(d *deployment, r *rand.Rand) {
		d.serverFault(r, standin.BackendFaults{StartDelay: randomDuration(r, 20*time.Millisecond, 700*time.Millisecond)})
	}},
	{"server drains", func(d *deployment, r *rand.Rand) {
		a := pick(r, d.agents)
		a.setState("draining")
		time.Sleep(randomDuration(r, 500*time.Millisecond, 1500*time.Millisecond))
		a.setState("ready")
	}},
	{"store down", func(d *deployment, r *rand.Rand) {
		d.storeFault(r, standin.StoreFaults{Status: http.StatusServiceUnavailable})
	}},
	{"store silent", func(d *deployment, r *rand.Rand) { d.storeFault(r, standin.StoreFaults{Silent: true}) }},
	{"store slow", func(d *deployment, r *rand.Rand) { d.storeFault(r, standin.StoreFaults{Delay: 300 * time.Millisecond}) }},
	{"store loses write replies", func(d *deployment, r *rand.Rand) { d.storeFault(r, standin.StoreFaults{LoseWrites: true}) }},
	{"store connections silent", func(d *deployment, r *rand.Rand) { d.storeLinks.SilenceOpen(testbed.AnySource) }},
	{"leases expire", func(d *deployment, r *rand.Rand) { d.store.ExpireLeases() }},
	{"store compacted", func(d *deployment, r *rand.Rand) { d.store.Compact() }},
	{"configuration change", func(d *deployment, r *rand.Rand) { d.publishConfig() }},
	{"links cut", func(d *deployment, r *rand.Rand) { disruptLink(r, pick(r, d.agents).entryLinks, testbed.LinkSilent) }},
	{"links held", func(d *deployment, r *rand.Rand) { disruptLink(r, pick(r, d.agents).entryLinks, testbed.LinkHold) }},
	{"links refused", func(d *deployment, r *rand.Rand) { disruptLink(r, pick(r, d.agents).entryLinks, testbed.LinkRefuse) }},
	{"open links silent", func(d *deployment, r *rand.Rand) { pick(r, d.agents).entryLinks.SilenceOpen(testbed.AnySource) }},
	{"all open links silent", func(d *deployment, _ *rand.Rand) {
		for _, a := range d.agents {
			a.entryLinks.SilenceOpen(testbed.AnySource)
		}
	}},
	{"links reset", func(d *deployment, r *rand.Rand) { pick(r, d.agents).entryLinks.Reset() }},
	{"links delayed", func(d *deployment, r *rand.Rand) { delayLink(r, pick(r, d.agents).entryLinks, 150*time.Millisecond) }},
	{"server returns under its ID", (*deployment).crashServer},
	{"crashing tasks", (*deployment).submitCrashingJobs},
	{"capacity changes", (*deployment).changeCapacity},
	{"calls carried out late", (*deployment).carryOutLate},
	{"signals in series", (*deployment).signalInSeries},
	{"connections used until the process is gone", (*deployment).useConnectionsToTheEnd},
	{"machine suspended", (*deployment).suspendMachine},
}

// disruptLink sets a mode on the connections through a forwarder for a random time of 0.1 s to 1.5 s and then
// resets them.
func disruptLink(r *rand.Rand, f *testbed.Forwarder, m testbed.LinkMode) {
	f.SetMode(testbed.AnySource, m)
	time.Sleep(randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond))
	f.SetMode(testbed.AnySource, testbed.LinkOpen)
	f.Reset()
}

// delayLink delays the data through a forwarder by 5 ms up to the longest delay, for a random time of 0.3 s to
// 1.5 s.
func delayLink(r *rand.Rand, f *testbed.Forwarder, longest time.Duration) {
	f.SetDelay(testbed.AnySource, randomDuration(r, 5*time.Millisecond, longest))
	time.Sleep(randomDuration(r, 300*time.Millisecond, 1500*time.Millisecond))
	f.SetDelay(testbed.AnySource, 0)
}

// serverFault sets faults on a random backend server for a random time of 0.2 s to 1.5 s.
func (d *deployment) serverFault(r *rand.Rand, f standin.BackendFaults) {
	a := pick(r, d.agents)
	a.backend.SetFaults(f)
	time.Sleep(randomDuration(r, 200*time.Millisecond, 1500*time.Millisecond))
	a.backend.SetFaults(standin.BackendFaults{})
}

// storeFault sets faults on the store for a random time of 0.2 s to 2 s.
func (d *deployment) storeFault(r *rand.Rand, f standin.StoreFaults) {
	d.store.SetFaults(f)
	time.Sleep(randomDuration(r, 200*time.Millisecond, 2*time.Second))
	d.store.SetFaults(standin.StoreFaults{})
}

// injectFaults starts random faults of the given kinds one after another for the total time; about a third
// of them overlap the next one. It returns the names of the faults when all have ended.
func (d *deployment) injectFaults(r *rand.Rand, kinds []fault, total time.Duration) []string {
	var done []string
	var wg sync.WaitGroup
	for end := time.Now().Add(total); time.Now().Before(end); {
		f := pick(r, kinds)
		faultRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		done = append(done, f.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.run(d, faultRand)
		}()
		if r.IntN(3) > 0 {
			wg.Wait()
		}
		time.Sleep(randomDuration(r, 50*time.Millisecond, 400*time.Millisecond))
	}
	wg.Wait()
	return done
}
