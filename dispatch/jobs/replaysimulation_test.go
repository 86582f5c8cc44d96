package jobs

import (
	"cmp"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/partner"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// oneWay is the default time that a message takes between an entry and an agent.
const oneWay = 2 * time.Millisecond

// baseTaskCPU is the CPU demand of every task in baseConfig, in millicores.
const baseTaskCPU = 3100

// defaultOfferHold is how long an agent reserves offered capacity for one entry.
const defaultOfferHold = 12 * time.Millisecond

// simulation is one replay: entries, machines and the messages between them in simulated time.
type simulation struct {
	simConfig
	t           *testing.T
	rng         *rand.Rand
	now         time.Time
	queue       simQueue
	lastID      int // last number given to an event or job
	machines    []*machine
	entries     []*Scheduler
	longestTask map[string]time.Duration // run time of the longest task of each job
	taskWork    map[string]time.Duration // run time of each task
	arrived     map[string]time.Time
	kindOfJob   map[string]requestKind
	// affinityOfJob is the rack that holds the data of each job, or empty.
	affinityOfJob map[string]string
	// Only jobs that arrive from measureFrom to measureUntil count; a zero measureUntil means no end.
	measureFrom   time.Time
	measureUntil  time.Time
	tally         tally
	orderCount    int
	refusedCount  int // orders refused for lack of capacity
	byKind        map[string]*tally
	demandSent    map[linkKey]bool // whether the demand that the entry sent last was not empty
	failedEntries map[int]bool     // entries without power; agents only notice that they are silent
	// heartbeatInterval is the time between two reports of a machine without other messages.
	heartbeatInterval time.Duration
	// weights are the entries' shares of the callers; nil means equal shares.
	weights  []float64
	byID     map[string]*machine
	crashing *crashFault // nil if no task crashes its backend server
	// partners are the partner sets of entries that do not have links to all machines; see
	// largefleet_test.go.
	partners []*partner.Set
	frames   []int // by entry, in both directions
	// firstOrder is when the first order of each entry has arrived, if not nil.
	firstOrder map[int]time.Time
	// reportsUsage is set if the agents report the usage by kind; effects is by what fraction a run of the first kind takes
	// longer beside a server full of the second.
	reportsUsage bool
	effects      map[[2]string]float64
	orderTrace   hash.Hash64 // of the times, tasks and agents of all orders, if not nil
	// widths holds the number of tasks of each job with varied.widthSigma, ended the jobs that count in tally.
	widths map[string]int
	ended  []endedJob
}

// simConfig describes the jobs and backend servers of a replay.
type simConfig struct {
	kinds   []requestKind
	latency time.Duration // fixed part of the objective
	// oneWay is the time that a message takes, offerHold how long an agent reserves capacity for an
	// entry.
	oneWay, offerHold time.Duration
	// cpuCapacities are the CPU capacities of the backend servers, in millicores, services their
	// services. Both are assigned to the machines in turn.
	cpuCapacities []int64
	services      []string
	taskCPU       int64 // CPU demand of every task, in millicores
	machines      int   // number of backend servers; 0 means 11
	// load adds data in racks and long tails; its zero value adds nothing.
	load   hardLoad
	varied variation
}

// baseConfig is the configuration of both sites: three kinds, one service, backend servers with 32 and
// 48 cores.
var baseConfig = simConfig{kinds: requestKinds, latency: 60 * time.Millisecond, cpuCapacities: []int64{32000, 32000, 48000}, services: []string{"svc"}, taskCPU: baseTaskCPU, oneWay: oneWay, offerHold: defaultOfferHold}

// newSimulation returns a simulation with baseConfig.
func newSimulation(t *testing.T, seed uint64, entries int, slowdowns []float64) *simulation {
	return newSimulationOf(t, seed, entries, slowdowns, baseConfig)
}

// newSimulationOf returns a simulation of eleven machines in one failure domain, with links between all
// entries and machines. The slowdowns are assigned to the machines in turn.
func newSimulationOf(t *testing.T, seed uint64, entries int, slowdowns []float64, config simConfig) *simulation {
	sim := &simulation{
		simConfig: config,
		t:         t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), longestTask: map[string]time.Duration{},
		taskWork: map[string]time.Duration{}, arrived: map[string]time.Time{}, kindOfJob: map[string]requestKind{}, affinityOfJob: map[string]string{}, byKind: map[string]*tally{},
		demandSent: map[linkKey]bool{}, failedEntries: map[int]bool{}, heartbeatInterval: 50 * time.Millisecond, byID: map[string]*machine{},
		frames: make([]int, entries), widths: map[string]int{},
	}
	sim.addMachines(cmp.Or(config.machines, 11), 1, slowdowns, entries)
	for i := range entries {
		sim.entries = append(sim.entries, New(config.load.limits()))
		for _, m := range sim.machines {
			sim.link(i, m)
		}
	}
	sim.start()
	return sim
}

// addMachines adds n machines, and assigns capacities, services, slowdowns and failure domains to them
// in turn.
func (sim *simulation) addMachines(n, domains int, slowdowns []float64, entries int) {
	for range n {
		i := len(sim.machines)
		m := &machine{
			id: fmt.Sprintf("m%02d", i), cpuCapacity: sim.cpuCapacities[i%len(sim.cpuCapacities)], service: sim.services[i%len(sim.services)], slowdown: slowdowns[i%len(slowdowns)], runs: map[run.Ref]*simRun{},
			ackedSeqs: make([]uint64, entries), offers: runtable.NewOffers(sim.offerHold), speeds: runtable.NewSpeeds(), domain: domainName(i % domains), labels: sim.load.labelsOf(i),
		}
		sim.machines = append(sim.machines, m)
		sim.byID[m.id] = m
	}
}

// domainName returns the name of a failure domain.
func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// link opens a link between an entry and a machine.
func (sim *simulation) link(i int, m *machine) {
	s := sim.entries[i]
	m.linkedEntries = append(m.linkedEntries, i)
	slices.Sort(m.linkedEntries)
	s.AgentConnected(sim.now, m.id)
	s.Report(sim.now, m.id, Report{Server: m.server(), Free: m.freeFor(i, sim.now), Entries: len(m.linkedEntries)})
	s.Take()
}

// start schedules the periodic work of the entries and machines.
func (sim *simulation) start() {
	for i := range sim.entries {
		sim.tick(i)
	}
	for _, m := range sim.machines {
		sim.heartbeat(m)
		sim.retryOffers(m)
	}
}

// tick does the periodic work of an entry.
func (sim *simulation) tick(i int) {
	if sim.failedEntries[i] {
		return
	}
	sim.entries[i].Tick(sim.now)
	sim.stepPartners(i)
	sim.flush(i)
	sim.after(20*time.Millisecond, func() { sim.tick(i) })
}

// retryOffers periodically offers free capacity again that the entries did not use.
func (sim *simulation) retryOffers(m *machine) {
	sim.sendEvents(m, map[int][]run.Event{})
	sim.after(5*time.Millisecond, func() { sim.retryOffers(m) })
}

// heartbeat periodically sends the machine's state and the progress of the runs to all linked entries.
func (sim *simulation) heartbeat(m *machine) {
	if !m.dead {
		for _, i := range m.linkedEntries {
			if !sim.failedEntries[i] {
				sim.sendDemand(m, i)
			}
			sim.sendReport(m, i, nil)
		}
	}
	sim.after(sim.heartbeatInterval, func() { sim.heartbeat(m) })
}
