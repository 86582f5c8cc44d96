package jobs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/partner"
)

// The replays of this file start all processes of a large fleet at once, as after a loss of power, with agents that record
// the owners of jobs. Backend servers are added to a fleet during a day, so that there are more agents than entries keep links
// to, and some of them end when their VMs are removed.

// ownerRecords are the records of owners of a machine's agent, and the answers that its next frames carry.
type ownerRecords struct {
	*owner.Table
	startedAt time.Time
	answers   map[int][]owner.Answer // by entry
	// listedAt is when the backend server has listed its runs; zero if the agent never says so. told holds the agents that
	// entries have told this one of, by entry.
	listedAt time.Time
	told     map[int][]ListedAgent
}

// addListed adds to a report for an entry what the agent knows of agents whose runs are listed.
func (r *ownerRecords) addListed(now time.Time, report *Report) {
	report.RecordsOwners, report.Uptime, report.Incarnation = true, max(time.Millisecond, now.Sub(r.startedAt)), "1"
	report.RunsListed = !r.listedAt.IsZero() && !now.Before(r.listedAt)
	seen := map[string]bool{}
	for _, list := range r.told {
		for _, a := range list {
			if !seen[a.ID] {
				seen[a.ID] = true
				report.ListedAgents = append(report.ListedAgents, a)
			}
		}
	}
}

// handle processes what a batch of an entry says about the ownership of jobs.
func (r *ownerRecords) handle(now time.Time, i int, b Batch) {
	r.Contact(now, ownerOf(i))
	if b.Seq == 1 {
		grants, _ := r.Restore(now, ownerOf(i), b.Owned)
		r.queue(grants...)
	}
	for _, job := range b.Releases {
		if a, ok := r.Release(ownerOf(i), job); ok {
			r.queue(a)
		}
	}
	for _, in := range b.Requests {
		request := r.Request
		if b.Seq > 1 && slices.Contains(b.Owned, in.Job) {
			request = r.Register
		}
		if a, ok := request(now, ownerOf(i), in); ok {
			r.queue(a)
		}
	}
}

func (r *ownerRecords) queue(answers ...owner.Answer) {
	for _, a := range answers {
		var i int
		fmt.Sscan(a.Entry, &i)
		r.answers[i] = append(r.answers[i], a)
	}
}

// take returns the answers for an entry.
func (r *ownerRecords) take(i int) []owner.Answer {
	list := r.answers[i]
	delete(r.answers, i)
	return list
}

// powerLossConfig is the configuration of a fleet that starts after a loss of power.
type powerLossConfig struct {
	entries, machines, domains int
	cpuCapacity                int64
	kinds                      []requestKind
	taskCPU                    int64
	slowdowns                  []float64
	// jobsPerSecond is the rate of arrivals once the entries have started.
	jobsPerSecond float64
	// starting is the time within which all processes start.
	starting time.Duration
	// ending agents end endAfter after the first process has started.
	ending int
	// listsRuns is set if agents say that their backend servers have listed their runs.
	listsRuns bool
	// endingRegistrars of them are registrars.
	endingRegistrars int
	endAfter         time.Duration
}

// seventyFiveAgents is a fleet of 75 agents and 40 more that were added during a day.
var seventyFiveAgents = powerLossConfig{
	entries: 14, machines: 115, domains: 4, cpuCapacity: 37_000, taskCPU: 3500, slowdowns: []float64{1.25, 1, 0.8}, jobsPerSecond: 742,
	kinds: []requestKind{
		{"urgent", 181, 8, 51 * time.Millisecond, 0}, {"long", 33, 4, 760 * time.Millisecond, 2}, {"small", 528, 2, 170 * time.Millisecond, 1},
	},
	starting: 240 * time.Millisecond, ending: 10, endAfter: 330 * time.Millisecond,
}

// powerLoss is a replay of the start of all processes.
type powerLoss struct {
	*simulation
	config     powerLossConfig
	poweredOn  time.Time
	registrars []string
	ended      map[string]bool           // agents that have ended
	upSince    []time.Time               // when each entry started
	dials      map[linkKey]time.Duration // delay of the next attempt to open a link
	// delays draws the times of processes and links, so that the same jobs arrive whatever the entries do.
	delays *rand.Rand
	// rejectedWhileIdle counts the jobs that a tick has ended although startable named them, if checksRejections is set.
	checksRejections  bool
	rejectedWhileIdle int
}

// newPowerLoss returns a replay in which no process has started yet.
func newPowerLoss(t *testing.T, seed uint64, config powerLossConfig) *powerLoss {
	limits := lostRecordLimits()
	limits.MaxWaitingTasks = 20_000
	sim := &simulation{
		simConfig: simConfig{kinds: config.kinds, latency: 60 * time.Millisecond, cpuCapacities: []int64{config.cpuCapacity}, services: []string{"svc"}, taskCPU: config.taskCPU, oneWay: oneWay, offerHold: defaultOfferHold},
		t:         t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), longestTask: map[string]time.Duration{},
		taskWork: map[string]time.Duration{}, arrived: map[string]time.Time{}, kindOfJob: map[string]requestKind{}, byKind: map[string]*tally{},
		affinityOfJob: map[string]string{}, widths: map[string]int{},
		demandSent: map[linkKey]bool{}, failedEntries: map[int]bool{}, heartbeatInterval: 100 * time.Millisecond, byID: map[string]*machine{},
		frames: make([]int, config.entries), firstOrder: map[int]time.Time{},
	}
	p := &powerLoss{simulation: sim, config: config, poweredOn: sim.now, ended: map[string]bool{}, upSince: make([]time.Time, config.entries), dials: map[linkKey]time.Duration{}, delays: rand.New(rand.NewPCG(seed, 2))}
	sim.addMachines(config.machines, config.domains, config.slowdowns, config.entries)
	fleet, ids := make([]partner.Agent, 0, config.machines), make([]string, 0, config.machines)
	for _, m := range sim.machines {
		fleet, ids = append(fleet, partner.Agent{ID: m.id, Domain: m.domain}), append(ids, m.id)
	}
	p.registrars = Registrars(ids)
	for _, m := range sim.machines {
		m.dead = true
		sim.after(p.randomStart(), func() { p.startMachine(m) })
	}
	for i := range config.entries {
		s := New(limits)
		sim.entries = append(sim.entries, s)
		set := partner.New(fmt.Sprintf("front-%d", i), domainName(i%config.domains))
		sim.partners = append(sim.partners, set)
		sim.after(p.randomStart(), func() {
			p.upSince[i] = sim.now
			s.SetRegistrars(sim.now, p.registrars)
			set.SetFleet(fleet, p.registrars...)
			s.SetKnownAgents(ids)
			p.tickEntry(i)
			s.SetExpectedAgents(sim.now, set.Len())
		})
	}
	sim.after(config.endAfter, p.endMachines)
	return p
}

// randomStart returns the time from power-on to the start of a process.
func (p *powerLoss) randomStart() time.Duration {
	return time.Duration(p.delays.Int64N(int64(p.config.starting)))
}

// startMachine starts the agent of a machine.
func (p *powerLoss) startMachine(m *machine) {
	m.dead = false
	m.owners = &ownerRecords{Table: owner.New(p.now, ownerLimits), startedAt: p.now, answers: map[int][]owner.Answer{}, told: map[int][]ListedAgent{}}
	if p.config.listsRuns {
		m.owners.listedAt = p.now.Add(listDelay + time.Duration(p.delays.Int64N(int64(60*time.Millisecond))))
	}
	p.heartbeat(m)
	p.retryOffers(m)
	p.sweep(m)
}

// sendAnswers sends the answers of a machine's record of owners to their entries.
func (sim *simulation) sendAnswers(m *machine) {
	for _, i := range m.linkedEntries {
		if len(m.owners.answers[i]) > 0 {
			sim.sendReport(m, i, nil)
		}
	}
}

// sweep does the periodic work of a machine's record of owners.
func (p *powerLoss) sweep(m *machine) {
	m.owners.queue(m.owners.Tick(p.now)...)
	p.sendAnswers(m)
	p.after(20*time.Millisecond, func() { p.sweep(m) })
}

// endMachines ends the agents of machines that are removed. The entries notice it at once.
func (p *powerLoss) endMachines() {
	ending := slices.Clone(p.registrars[:p.config.endingRegistrars])
	for _, m := range p.machines {
		if len(ending) < p.config.ending && !slices.Contains(p.registrars, m.id) {
			ending = append(ending, m.id)
		}
	}
	for _, id := range ending {
		p.ended[id] = true
		p.powerOff(p.byID[id])
	}
}

// tickEntry does the periodic work of an entry.
func (p *powerLoss) tickEntry(i int) {
	s := p.entries[i]
	var startable []string
	if p.checksRejections {
		startable = p.startable(i)
	}
	s.Tick(p.now)
	for _, id := range startable {
		if held, _ := s.Has(id); !held {
			p.rejectedWhileIdle++
		}
	}
	var load partner.Load
	load.Waiting, load.Runs = s.Tasks()
	load.Free, load.Capacity = s.Capacity()
	load.JobRefused = s.TakeJobRefused()
	c := p.partners[i].Step(p.now, load, partnerView{s})
	s.SetOpening(p.partners[i].Opening())
	s.SetPartial(!p.partners[i].Complete())
	for _, id := range c.Close {
		p.closeLink(i, p.byID[id])
	}
	for _, id := range c.Open {
		p.dials[linkKey{id, i}] = 30 * time.Millisecond
		p.dial(i, p.byID[id])
	}
	p.flush(i)
	p.after(20*time.Millisecond, func() { p.tickEntry(i) })
}

// dial opens a link, or tries again later if the agent has not started. The first report follows after the entry and the
// agent, which have little processor time, have handled the hello.
func (p *powerLoss) dial(i int, m *machine) {
	p.after(2*p.oneWay, func() {
		if p.ended[m.id] || slices.Contains(m.linkedEntries, i) {
			return
		}
		if m.dead {
			delay := p.dials[linkKey{m.id, i}]
			p.dials[linkKey{m.id, i}] = min(2*delay, 60*time.Millisecond)
			p.after(delay/2+time.Duration(p.delays.Int64N(int64(delay))), func() { p.dial(i, m) })
			return
		}
		m.linkedEntries = append(m.linkedEntries, i)
		slices.Sort(m.linkedEntries)
		p.entries[i].AgentConnected(p.now, m.id)
		p.flush(i)
		p.after(time.Duration(p.delays.Int64N(int64(20*time.Millisecond))), func() {
			if slices.Contains(m.linkedEntries, i) {
				p.sendReport(m, i, nil)
			}
		})
	})
}

// scheduleJobs schedules arrivals of jobs for the duration d, from the start of the last process on.
func (p *powerLoss) scheduleJobs(d time.Duration) {
	total := 0.0
	for _, k := range p.kinds {
		total += k.share
	}
	for at := time.Duration(0); at < d; at += time.Duration(p.rng.ExpFloat64() / p.config.jobsPerSecond * float64(time.Second)) {
		p.after(p.config.starting+at, func() { p.submitRandomJob(total) })
	}
}

// firstOrders returns the time from power-on to the first order of each entry that has ordered a task.
func (p *powerLoss) firstOrders() []time.Duration {
	var list []time.Duration
	for _, at := range p.firstOrder {
		list = append(list, at.Sub(p.poweredOn))
	}
	slices.Sort(list)
	return list
}

// maxBeginDelay covers a tick of the entry, a round trip and the pause between two attempts to open a link.
const maxBeginDelay = 80 * time.Millisecond

// Guards against entries that wait for 949 instead of 468 ms after the start of everything because they lose links to agents that
// have started with them: the agents of VMs that are removed. The evidence of the current build may make jobs begin earlier, and
// never later.
func TestJobsBeginAfterPowerLossWhileAgentsEnd(t *testing.T) {
	skipWithRaceDetector(t)
	for seed := uint64(1); seed <= 4; seed++ {
		for _, listsRuns := range []bool{false, true} {
			config := seventyFiveAgents
			config.listsRuns = listsRuns
			config.endingRegistrars = int(seed) / 3 // one of the ten with seeds 3 and 4
			p := newPowerLoss(t, seed, config)
			p.scheduleJobs(800 * time.Millisecond)
			limit := p.config.starting + lostRecordLimits().FormerRunsEnd + maxBeginDelay
			p.run(limit + 300*time.Millisecond)
			first := p.firstOrders()
			if len(first) != p.config.entries {
				t.Fatalf("seed %d: %d entries have ordered tasks", seed, len(first))
			}
			t.Logf("seed %d, agents list runs %t: first orders %s to %s after power-on", seed, listsRuns, first[0], first[len(first)-1])
			if last := first[len(first)-1]; last > limit {
				t.Errorf("seed %d, agents list runs %t: an entry ordered its first task %s after power-on, the last agent started by %s", seed, listsRuns, last, p.config.starting)
			}
		}
	}
}

// fleetAfterStart returns a fleet in which all agents and entries have been killed and have started again, and the first
// entry that has started since. Of the 24 agents, the first eight by their scores are registrars.
func fleetAfterStart() (*ownerFleet, *ownerEntry) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 24)
	f.pass(2 * time.Second)
	f.killAgents(f.agents...)
	f.killEntry(f.entries[0])
	f.pass(60 * time.Millisecond)
	e := f.addEntry()
	f.listOnlyRegistrars(e)
	f.restartAgents(f.agents...)
	return f, e
}

// listOnlyRegistrars replaces the first list of an entry, which holds all agents, by the registrars.
func (f *ownerFleet) listOnlyRegistrars(e *ownerEntry) {
	e.registrars, e.registrarListed, e.everRegistrar = nil, nil, map[string]bool{}
	e.SetRegistrars(f.now, Registrars(f.agents))
}

// otherAgent returns an agent that is no registrar, also not by a list that lacks two agents.
func (f *ownerFleet) otherAgent() string {
	return rankFor(registrarKey, f.agents)[MaxRegistrars+registrarsPerJob]
}

// Guards against jobs that wait for 949 ms after the start of everything because an agent that has started as well ends, also if
// its listener still accepts a link afterwards, and against lost agents that count as registrars although they never were.
func TestEndOfAgentDoesNotDelayJobsAfterStartOfEverything(t *testing.T) {
	for _, accepts := range []bool{false, true} {
		f, e := fleetAfterStart()
		f.pass(100 * time.Millisecond)
		f.killAgents(f.otherAgent())
		if accepts {
			e.AgentConnected(f.now, f.otherAgent())
			f.take(e)
			f.cut(e, f.otherAgent())
		}
		f.submit(e, "j")
		if wait := 100*time.Millisecond + f.passUntilRuns(e, 2*time.Second); wait > 540*time.Millisecond {
			t.Errorf("accepts a link: %t: tasks ordered %s after the start of the agents", accepts, wait)
		}
	}
}

// Guards against two runs of a task when the link is cut to an agent that runs on, after all others were killed together with the
// owner: the agent keeps a run for longer than the leases of former processes last.
func TestCutAgentThatRunsOnDelaysJobs(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 24)
	first, second := f.entries[0], f.entries[1]
	for _, e := range f.entries {
		e.SetRegistrars(f.now, Registrars(f.agents))
	}
	f.pass(time.Second)
	f.submit(first, "j")
	f.deliverAll()
	others := slices.DeleteFunc(slices.Clone(f.agents), func(agent string) bool { return agent == f.otherAgent() })
	f.killAgents(others...)
	f.cut(second, f.otherAgent())
	f.killEntry(first)
	f.pass(60 * time.Millisecond)
	f.restartAgents(others...)
	f.submit(second, "j")
	if wait := 60*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1100*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against two runs of a task when the links to an agent are cut soon after the start of everything, and all other agents and
// the owner of a job are killed then: the agent has started with all others, but has accepted tasks of that owner since.
func TestCutAgentDelaysJobsAfterSecondKill(t *testing.T) {
	for _, cutFirst := range []bool{false, true} {
		f, first := fleetAfterStart()
		second := f.addEntry()
		second.SetRegistrars(f.now, Registrars(f.agents))
		for _, agent := range f.agents {
			f.connect(second, agent)
		}
		others := slices.DeleteFunc(slices.Clone(f.agents), func(agent string) bool { return agent == f.otherAgent() })
		f.submit(first, "j")
		f.pass(600 * time.Millisecond)
		if f.runs(first) != 2 {
			t.Fatalf("%d runs at the first entry", f.runs(first))
		}
		if cutFirst {
			f.cut(second, f.otherAgent())
		}
		f.killAgents(others...)
		f.killEntry(first)
		if !cutFirst {
			f.cut(second, f.otherAgent())
		}
		f.restartAgents(others...)
		f.submit(second, "j")
		if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1100*time.Millisecond {
			t.Errorf("cut before the kill: %t: the second entry ordered tasks %s after the owner's death, runs may go on for %s", cutFirst, wait, runsEndAfter)
		}
	}
}

// Guards against two runs of a task when one registrar is lost together with the owner soon after the start of everything: the
// loss of a single one does not end the wait for the leases of former processes, but the other one has the owner's record. Also
// guards against the same when that one has restarted before the entry had a link to it.
func TestOneLostRegistrarAfterStartOfEverythingLeavesRecord(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f, first := fleetAfterStart()
		second := f.addEntry()
		second.everRegistrar = map[string]bool{}
		second.SetRegistrars(f.now, Registrars(f.agents))
		order := rankFor("j", Registrars(f.agents))
		for _, agent := range f.agents {
			if !restarted || agent != order[1] {
				f.connect(second, agent)
			}
		}
		f.submit(first, "j")
		f.pass(480 * time.Millisecond)
		if f.runs(first) != 2 {
			t.Fatalf("%d runs at the first entry", f.runs(first))
		}
		f.killAgents(order[0])
		f.killEntry(first)
		if restarted {
			f.killAgents(order[1])
			f.restartAgents(order[1])
		}
		f.submit(second, "j")
		if !restarted {
			// The grant says that the owner was lost, so the agent that is away may be suspended with a run.
			f.requireRunsAfterReturn(t, second, order[0])
			continue
		}
		if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1100*time.Millisecond {
			t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
		}
	}
}
