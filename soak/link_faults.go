package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"poplargw.example/platform/standin"
)

// linkFaults is a group of faults of which one is injected after the other, with pauses from a range. Groups overlap.
type linkFaults struct {
	name     string
	from, to time.Duration // of the pauses
	kinds    []linkFault
}

// linkFault is one kind of fault of a group.
type linkFault struct {
	name string
	run  func(d *linkDeployment, r *rand.Rand)
}

// linkFaultGroups lists the faults of TestSoakLinks.
var linkFaultGroups = []linkFaults{
	{"links", 100 * time.Millisecond, 300 * time.Millisecond, []linkFault{
		{"links reset", func(d *linkDeployment, r *rand.Rand) { d.disturbLinks(r, (*proxyConn).reset) }},
		{"links reset at the entry first", func(d *linkDeployment, r *rand.Rand) {
			d.disturbLinks(r, func(c *proxyConn) { c.resetSource(randomDuration(r, 0, 400*time.Millisecond)) })
		}},
		{"links reset at the agent first", func(d *linkDeployment, r *rand.Rand) {
			d.disturbLinks(r, func(c *proxyConn) { c.resetTarget(randomDuration(r, 0, 400*time.Millisecond)) })
		}},
		{"links held", func(d *linkDeployment, r *rand.Rand) {
			d.disturbLinks(r, func(c *proxyConn) { c.hold(randomDuration(r, 10*time.Millisecond, 600*time.Millisecond)) })
		}},
		{"links silent", func(d *linkDeployment, r *rand.Rand) { d.disturbLinks(r, (*proxyConn).silence) }},
		{"links delayed", func(d *linkDeployment, r *rand.Rand) {
			p := pick(r, d.links)
			p.setDelay(randomDuration(r, time.Millisecond, 60*time.Millisecond))
			time.Sleep(randomDuration(r, 50*time.Millisecond, 300*time.Millisecond))
			p.setDelay(0)
		}},
	}},
	{"callers", 50 * time.Millisecond, 300 * time.Millisecond, []linkFault{
		{"callers reset", func(d *linkDeployment, r *rand.Rand) { d.disturbCallers(r, (*proxyConn).reset) }},
		{"callers reset after a request", func(d *linkDeployment, r *rand.Rand) {
			d.disturbCallers(r, func(c *proxyConn) { cutAfterRequest(r, c) })
		}},
		{"callers held", func(d *linkDeployment, r *rand.Rand) {
			d.disturbCallers(r, func(c *proxyConn) { c.hold(randomDuration(r, 10*time.Millisecond, time.Second)) })
		}},
		{"caller silent", func(d *linkDeployment, r *rand.Rand) {
			for _, c := range pick(r, d.callerLinks).some(r, 0.1) {
				c.silence()
			}
		}},
	}},
	// An entry that reads a request late whose caller has left finds out only when it reads on.
	{"late requests", 100 * time.Millisecond, 500 * time.Millisecond, []linkFault{
		{"requests late", (*linkDeployment).delayRequests},
		{"entry frozen until its callers are back", (*linkDeployment).freezeUntilCallersReturn},
	}},
	// Faults that occur everywhere at once.
	{"all connections", 300 * time.Millisecond, 1500 * time.Millisecond, []linkFault{
		{"all connections reset", (*linkDeployment).resetAll},
	}},
	{"many processes", 200 * time.Millisecond, 1500 * time.Millisecond, []linkFault{
		{"many processes frozen", (*linkDeployment).freezeMany},
	}},
	{"starts late everywhere", 0, 100 * time.Millisecond, []linkFault{
		{"starts late everywhere", func(d *linkDeployment, r *rand.Rand) {
			for _, a := range d.agents {
				a.backend.SetFaults(standin.BackendFaults{LateStarts: 0.4})
			}
			time.Sleep(randomDuration(r, time.Second, 3*time.Second))
			for _, a := range d.agents {
				a.backend.SetFaults(standin.BackendFaults{})
			}
		}},
	}},
	{"freezes", 100 * time.Millisecond, 800 * time.Millisecond, []linkFault{
		{"entry frozen", func(d *linkDeployment, r *rand.Rand) { freezeNode(r, pick(r, d.entries), 3*time.Second) }},
		{"entry frozen briefly", func(d *linkDeployment, r *rand.Rand) { freezeNode(r, pick(r, d.entries), 900*time.Millisecond) }},
		{"agent frozen", func(d *linkDeployment, r *rand.Rand) { freezeNode(r, pick(r, d.agents).node, 3*time.Second) }},
		{"agent frozen briefly", func(d *linkDeployment, r *rand.Rand) { freezeNode(r, pick(r, d.agents).node, 900*time.Millisecond) }},
	}},
	{"processor", 0, 500 * time.Millisecond, []linkFault{
		{"processor quota of an entry", func(d *linkDeployment, r *rand.Rand) { limitProcessor(r, pick(r, d.entries)) }},
		{"processor quota of an agent", func(d *linkDeployment, r *rand.Rand) { limitProcessor(r, pick(r, d.agents).node) }},
	}},
	{"backend servers", 100 * time.Millisecond, 800 * time.Millisecond, []linkFault{
		{"calls late", func(d *linkDeployment, r *rand.Rand) {
			d.serverFault(r, standin.BackendFaults{LateShare: 0.1 + 0.3*r.Float64()})
		}},
		{"starts late", func(d *linkDeployment, r *rand.Rand) {
			d.serverFault(r, standin.BackendFaults{StartDelay: randomDuration(r, time.Millisecond, 150*time.Millisecond)})
		}},
		{"server connections reset", func(d *linkDeployment, r *rand.Rand) { pick(r, d.agents).backendLinks.Reset() }},
		{"server connections delayed", func(d *linkDeployment, r *rand.Rand) {
			delayLink(r, pick(r, d.agents).backendLinks, 40*time.Millisecond)
		}},
		{"server refuses with 503", func(d *linkDeployment, r *rand.Rand) {
			d.serverFault(r, standin.BackendFaults{Status: http.StatusServiceUnavailable})
		}},
	}},
}

// freezeNode stops a process for 0.2 s up to the longest time.
func freezeNode(r *rand.Rand, n *node, longest time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(r, 200*time.Millisecond, longest))
	n.signal(syscall.SIGCONT)
}

// delayRequests holds what callers send to an entry, resets their connections after a moment, and delivers what was
// held at about the time when they submit their jobs again.
func (d *linkDeployment) delayRequests(r *rand.Rand) {
	conns := pick(r, d.callerLinks).open()
	moment := randomDuration(r, 10*time.Millisecond, 200*time.Millisecond)
	for _, c := range conns {
		c.hold(time.Minute)
	}
	time.Sleep(moment)
	for _, c := range conns {
		c.resetSource(resendDelay + randomDuration(r, -50*time.Millisecond, 100*time.Millisecond))
	}
}

// freezeUntilCallersReturn stops an entry, resets the connections of its callers after a moment, and continues it at
// about the time when they submit their jobs again.
func (d *linkDeployment) freezeUntilCallersReturn(r *rand.Rand) {
	i := r.IntN(len(d.entries))
	d.entries[i].signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(r, 10*time.Millisecond, 200*time.Millisecond))
	for _, c := range d.callerLinks[i].open() {
		c.reset()
	}
	time.Sleep(resendDelay + randomDuration(r, -50*time.Millisecond, 100*time.Millisecond))
	d.entries[i].signal(syscall.SIGCONT)
}

// resetAll resets about seven in ten of all connections of most processes.
func (d *linkDeployment) resetAll(r *rand.Rand) {
	const processes, connections = 0.8, 0.7
	for _, p := range append(slices.Clone(d.links), d.callerLinks...) {
		if r.Float64() > processes {
			continue
		}
		for _, c := range p.some(r, connections) {
			c.reset()
		}
	}
	for _, a := range d.agents {
		if r.Float64() < processes {
			a.backendLinks.Reset()
		}
	}
}

// freezeMany stops about four in ten of all processes, each for 0.2 s to 2 s.
func (d *linkDeployment) freezeMany(r *rand.Rand) {
	const share = 0.4
	nodes := slices.Clone(d.entries)
	for _, a := range d.agents {
		nodes = append(nodes, a.node)
	}
	var wg sync.WaitGroup
	for _, n := range nodes {
		if r.Float64() > share {
			continue
		}
		freezeRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		wg.Go(func() { freezeNode(freezeRand, n, 2*time.Second) })
	}
	wg.Wait()
}

// limitProcessor stops a process for a part of each tenth of a second, as a processor quota does, for 0.3 s to 2 s.
func limitProcessor(r *rand.Rand, n *node) {
	const period = 100 * time.Millisecond
	stopped := randomDuration(r, period/2, period*95/100)
	for end := time.Now().Add(randomDuration(r, 300*time.Millisecond, 2*time.Second)); time.Now().Before(end); {
		n.signal(syscall.SIGSTOP)
		time.Sleep(stopped)
		n.signal(syscall.SIGCONT)
		time.Sleep(period - stopped)
	}
}

// linkDeployment is a deployment with proxies between entries and agents and in front of the entries.
type linkDeployment struct {
	*deployment
	links       []*proxy // one for each agent
	callerLinks []*proxy // one for each entry
}

// disturbLinks disturbs connections between entries and one agent or, in one case of four, all agents.
func (d *linkDeployment) disturbLinks(r *rand.Rand, disturb func(*proxyConn)) {
	disturbSome(r, d.links, disturb)
}

// disturbCallers is the same for connections between callers and entries.
func (d *linkDeployment) disturbCallers(r *rand.Rand, disturb func(*proxyConn)) {
	disturbSome(r, d.callerLinks, disturb)
}

func disturbSome(r *rand.Rand, proxies []*proxy, disturb func(*proxyConn)) {
	if r.IntN(4) > 0 {
		proxies = []*proxy{pick(r, proxies)}
	}
	share := 0.2 + 0.8*r.Float64()
	for _, p := range proxies {
		for _, c := range p.some(r, share) {
			disturb(c)
		}
	}
}

// inject injects the faults of each group one after the other for the total time, the groups beside each other. It
// returns the number of faults by kind.
func (d *linkDeployment) inject(seed uint64, groups []linkFaults, total time.Duration) map[string]int {
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(total)
	for i, g := range groups {
		r := rand.New(rand.NewPCG(seed, uint64(i)+200))
		wg.Go(func() {
			for time.Now().Before(end) {
				f := pick(r, g.kinds)
				mu.Lock()
				counts[f.name]++
				mu.Unlock()
				f.run(d, r)
				time.Sleep(randomDuration(r, g.from, g.to))
			}
		})
	}
	wg.Wait()
	return counts
}
