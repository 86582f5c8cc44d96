package jobs

import (
	"slices"
	"testing"
	"time"
)

// silence makes an agent one that never says that its runs are listed, as the earlier build does.
func (f *ownerFleet) silence(agent string) {
	if f.silent == nil {
		f.silent = map[string]bool{}
	}
	f.silent[agent] = true
}

// listedByWindow is when jobs begin that wait for evidence alone: after the restore window, a tick and a round trip.
var listedByWindow = ownerLimits.RestoreWindow + 60*time.Millisecond

// Guards against jobs that wait for the leases of former processes although all agents have said that no run is left, also if an
// agent has ended since, and against jobs that begin earlier than that if an agent has not said so, because it is of the earlier build
// or has ended before.
func TestJobsBeginOnceAllRunsAreListed(t *testing.T) {
	for _, c := range []struct {
		name             string
		change           func(f *ownerFleet)
		earliest, latest time.Duration // of the first order after the start of the agents
	}{
		{"all listed", func(*ownerFleet) {}, ownerLimits.RestoreWindow, listedByWindow},
		{"earlier build", func(f *ownerFleet) { f.silence(f.otherAgent()) }, formerLease, 540 * time.Millisecond},
		{"ended afterwards", func(f *ownerFleet) { f.pass(listDelay + 40*time.Millisecond); f.killAgents(f.otherAgent()) }, ownerLimits.RestoreWindow, listedByWindow},
		{"ended before", func(f *ownerFleet) { f.killAgents(f.otherAgent()) }, formerLease, 540 * time.Millisecond},
		{"restarted twice", func(f *ownerFleet) {
			for range 2 {
				f.pass(listDelay - 20*time.Millisecond)
				f.killAgents(f.otherAgent())
				f.restartAgents(f.otherAgent())
			}
		}, 3*listDelay - 40*time.Millisecond, 540 * time.Millisecond},
	} {
		f, e := fleetAfterStart()
		f.listRuns()
		start := f.now
		c.change(f)
		f.submit(e, "j")
		f.passUntilRuns(e, 2*time.Second)
		took := f.now.Sub(start)
		if took < c.earliest || took > c.latest {
			t.Errorf("%s: tasks ordered %s after the start of the agents, want %s to %s", c.name, took, c.earliest, c.latest)
		}
	}
}

// Guards against two runs of a task when an agent finds a run of its former process after the start of everything: it has not said
// that none is left until that run has ended.
func TestJobWaitsForRunThatAgentFinds(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	f.listRuns()
	first := f.entries[0]
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(f.agents...)
	f.killEntry(first)
	killed := f.now
	e := f.addEntry()
	f.restartAgents(f.agents...)
	f.submit(e, "j")
	for f.runs(e) == 0 && f.now.Sub(killed) < 2*time.Second {
		f.pass(20 * time.Millisecond)
		if f.now.Sub(killed) > formerLease {
			clear(first.running)
		}
	}
	if wait := f.now.Sub(killed); wait < formerLease || wait > 600*time.Millisecond {
		t.Errorf("tasks ordered %s after the kill of all processes, runs may go on for %s", wait, formerLease)
	}
}

// Guards against an entry with links to a part of the agents that takes the others for listed, and against one that does not learn
// of them through the registrars from the entries that have links to them.
func TestEntryLearnsOfListedAgentsFromOthers(t *testing.T) {
	for _, told := range []bool{false, true} {
		f := newOwnerFleetWith(lostRecordLimits(), 1, 24)
		f.listRuns()
		f.pass(2 * time.Second)
		f.killAgents(f.agents...)
		f.killEntry(f.entries[0])
		registrars := Registrars(f.agents)
		var entries []*ownerEntry
		for range 2 {
			e := f.addEntry()
			e.registrars, e.registrarListed, e.everRegistrar = nil, nil, map[string]bool{}
			e.SetRegistrars(f.now, registrars)
			entries = append(entries, e)
		}
		others := slices.DeleteFunc(slices.Clone(f.agents), func(agent string) bool { return slices.Contains(registrars, agent) })
		for _, agent := range f.agents {
			f.started[agent] = f.now
		}
		for _, agent := range registrars {
			f.connect(entries[0], agent)
			f.connect(entries[1], agent)
		}
		for i, agent := range others {
			if told || i%2 == 0 {
				f.connect(entries[i%2], agent)
			}
		}
		start := f.now
		f.submit(entries[0], "j")
		f.passUntilRuns(entries[0], 2*time.Second)
		took := f.now.Sub(start)
		if told && took > listedByWindow || !told && took < formerLease {
			t.Errorf("other entry has told: %t: tasks ordered %s after the start of the agents", told, took)
		}
	}
}

// Guards against a job that begins at a second entry on the word of the agents while the entry that owns it was not affected by
// their restart: it has dialed again and has told the registrars.
func TestListedRunsDoNotEndOwnershipOfEntryThatRunsOn(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	f.listRuns()
	first, second := f.entries[0], f.entries[1]
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(f.agents...)
	f.pass(40 * time.Millisecond)
	for _, agent := range f.agents {
		f.started[agent] = f.now
		f.connect(second, agent)
	}
	f.submit(second, "j")
	f.pass(100 * time.Millisecond)
	for _, agent := range f.agents {
		f.connect(first, agent)
	}
	f.pass(2 * time.Second)
	if f.runs(second) != 0 {
		t.Error("the second entry ordered tasks while the first one owns the job")
	}
}

// Guards against an entry that counts what it was told by other entries before a registrar was lost as evidence after that.
func TestToldAgentsDoNotCountAfterLossOfRegistrar(t *testing.T) {
	f, e := fleetAfterStart()
	f.listRuns()
	f.pass(listDelay + 40*time.Millisecond)
	e.AgentDisconnected(f.now, f.otherAgent())
	e.remove(e.servers[f.otherAgent()])
	e.listedElsewhere[f.otherAgent()] = f.started[f.otherAgent()].String()
	if !e.allRunsListed(f.now) {
		t.Fatal("the word of the agent that another entry has passed on does not count")
	}
	f.killAgents(Registrars(f.agents)[0])
	if e.allRunsListed(f.now) {
		t.Error("the word counts after the loss of a registrar")
	}
}
