package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Times and lengths of the generated traces, in milliseconds.
const (
	traceMS   = 20_000
	warmupMS  = 4_000
	burstAtMS = 9_000
	// burstWorkMS is the work of a burst, as the time that the whole fleet needs for it.
	burstWorkMS    = 3_000
	burstLengthMS  = 200
	outMS          = 7_000
	backMS         = 13_000
	cancelAtMS     = 12_000
	cancelWindowMS = 1_000
)

// Scenarios returns the names of the scenarios that Generate accepts.
func Scenarios() []string { return []string{"steady70", "steady95", "burst", "domain"} }

// Deployments returns the names of the deployments that Generate accepts.
func Deployments() []string { return []string{"aqmola", "umucyo"} }

// loads holds the steady offered load of each scenario, without its burst, as a share of the
// capacity of the working servers.
var loads = map[string]float64{"steady70": 0.70, "steady95": 0.95, "burst": 0.50, "domain": 0.80}

// speeds holds the speed of each backend server. The one of speed 0.3 is a straggler, and
// failingServer fails every task.
var speeds = [...]float64{1.5, 1.0, 0.7, 1.2, 1.6, 0.9, 0.3, 1.1, 1.4, 0.8, 1.0}

// failingServer is the position of the backend server that fails every task.
const failingServer = 9

// Generate makes a trace of a deployment and scenario. The same seed gives the same trace. An
// unknown deployment or scenario is an error.
func Generate(deployment, scenario string, seed uint64) (*Trace, error) {
	load, ok := loads[scenario]
	if !ok {
		return nil, fmt.Errorf("scenario %q does not exist", scenario)
	}
	t := &Trace{}
	switch deployment {
	case "aqmola":
		t.Header = aqmola()
	case "umucyo":
		t.Header = umucyo()
	default:
		return nil, fmt.Errorf("deployment %q does not exist", deployment)
	}
	t.Name, t.WarmupMS = deployment+"-"+scenario, warmupMS
	for i, speed := range speeds {
		t.Servers = append(t.Servers, Server{Domain: t.Domains[i/4], Slots: 8, Speed: speed, Fails: i == failingServer})
	}
	g := generator{t: t, rng: rand.New(rand.NewPCG(seed, 7))}
	g.addSteadyLoad(load)
	switch scenario {
	case "burst":
		g.addBurst()
	case "domain":
		t.OutDomain, t.OutMS, t.BackMS = t.Domains[0], outMS, backMS
	}
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return a.AtMS - b.AtMS })
	g.cancelJobs()
	return t, nil
}

// aqmola returns the header of the deployment aqmola, without servers.
func aqmola() Header {
	return Header{Service: "moulds", Region: "astana", OneWayUS: 1500, ClientUS: 3000,
		Domains: []string{"astana-left", "astana-right", "astana-campus"},
		Kinds: []Kind{{Name: "wall-thickness", Priority: 5, Urgent: true},
			{Name: "freeze-time", Priority: 3}, {Name: "release-angle", Priority: 4}}}
}

// umucyo returns the header of the deployment umucyo, without servers.
func umucyo() Header {
	return Header{Service: "quotes", Region: "kigali", OneWayUS: 1000, ClientUS: 3000,
		Domains: []string{"kigali-nya", "kigali-gas", "kigali-kic"},
		Kinds: []Kind{{Name: "slab-condition", Priority: 5, Urgent: true},
			{Name: "estimate", Priority: 7, Urgent: true}, {Name: "crack-fill-price", Priority: 5, Urgent: true}}}
}

// generator adds random jobs to a trace.
type generator struct {
	t   *Trace
	rng *rand.Rand
}

// addSteadyLoad adds jobs at uniformly distributed times until their work is the given share of
// what the working servers can do in the length of the trace.
func (g *generator) addSteadyLoad(load float64) {
	for work := load * traceMS * g.t.capacity(); work > 0; {
		j := g.drawJob()
		j.AtMS = g.rng.IntN(traceMS)
		work -= float64(j.Work().Milliseconds())
		g.t.Jobs = append(g.t.Jobs, j)
	}
}

// addBurst adds jobs that all arrive within burstLengthMS, with work for burstWorkMS.
func (g *generator) addBurst() {
	for work := burstWorkMS * g.t.capacity(); work > 0; {
		j := g.drawJob()
		j.AtMS = burstAtMS + g.rng.IntN(burstLengthMS)
		work -= float64(j.Work().Milliseconds())
		g.t.Jobs = append(g.t.Jobs, j)
	}
}

// capacity returns the number of slots of the working servers, each weighted with its speed.
func (t *Trace) capacity() float64 {
	c := 0.0
	for _, s := range t.Servers {
		if !s.Fails {
			c += float64(s.Slots) * s.Speed
		}
	}
	return c
}

// drawJob draws a job without an arrival time. It has 1 to 10 tasks, or 20 to 39 in one of twelve
// jobs. A quarter of the jobs declare no run time, a quarter one that is far too short or too long,
// and the others the mean of their tasks.
func (g *generator) drawJob() Job {
	j := Job{Kind: g.rng.IntN(len(g.t.Kinds))}
	n := 1 + g.rng.IntN(10)
	if g.rng.IntN(12) == 0 {
		n = 20 + g.rng.IntN(20)
	}
	total := 0
	for range n {
		ms := g.drawRunMS(j.Kind)
		total += ms
		j.RunMS = append(j.RunMS, ms)
	}
	switch g.rng.IntN(4) {
	case 0: // no declared run time
	case 1: // a declared run time that is far off
		j.DeclaredMS = max(1, int(float64(total/n)*[]float64{0.1, 0.2, 5, 10}[g.rng.IntN(4)]))
	default:
		j.DeclaredMS = total / n
	}
	return j
}

// drawRunMS draws the run time of a task. Most take 50 ms to 1 s. Kind 1 of a deployment has the
// long tasks; one in sixty of them takes 2 to 4 s. Of the other kinds, one task in a hundred takes
// four times as long as drawn.
func (g *generator) drawRunMS(kind int) int {
	switch {
	case kind == 1 && g.rng.IntN(60) == 0:
		return 2000 + g.rng.IntN(2000)
	case kind == 1:
		return 300 + g.rng.IntN(700)
	}
	ms := 50 + g.rng.IntN(150*(kind+1)) // kind 0: 50 to 200 ms, kind 2: 50 to 500 ms
	if g.rng.IntN(100) == 0 {
		ms *= 4
	}
	return ms
}

// cancelJobs makes callers cancel a third of the jobs that arrive within cancelWindowMS before
// cancelAtMS, all in the 50 ms after it.
func (g *generator) cancelJobs() {
	for i := range g.t.Jobs {
		j := &g.t.Jobs[i]
		if j.AtMS < cancelAtMS && j.AtMS >= cancelAtMS-cancelWindowMS && g.rng.IntN(3) == 0 {
			j.CancelMS = cancelAtMS + g.rng.IntN(50)
		}
	}
}
