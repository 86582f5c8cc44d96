package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/run"
)

// formerLease is how long the runs of a dead entry may go on after the death of the agent that kept them.
const formerLease = 458 * time.Millisecond

// lostRecordLimits are those of testLimits with the times for lost records, as the platform adds them up.
func lostRecordLimits() Limits {
	limits := testLimits
	limits.OwnerLostAfter = 949 * time.Millisecond
	limits.FormerRunsEnd = 468 * time.Millisecond
	return limits
}

// Guards against two runs of a task when the owner of a job and both registrars are killed together and the registrars
// restart: they grant the job after their restore window, and the agent of the run keeps it for longer.
func TestJobWaitsWhenRegistrarsRestartWithOwner(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	f.submit(second, "j")
	f.pass(60 * time.Millisecond)
	f.restartAgents(order[0], order[1])
	if wait := 60*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1100*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against the same when the registrars stay away: others, which know nothing of the owner, grant the job.
func TestJobWaitsWhenRegistrarsAreLostWithOwner(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	f.submit(second, "j")
	if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1000*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against the same at an entry that has started just now, which never had links to the lost registrars.
func TestNewEntryWaitsWhenRegistrarsAreLostWithOwner(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	first := f.entries[0]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	second := f.addEntry()
	for _, agent := range order[2:] {
		f.connect(second, agent)
	}
	f.submit(second, "j")
	if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1000*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against two runs of a task when everything but the backend servers is killed: the lease that a former agent
// process renewed is longer than the restore window. Also guards against a wait for longer than such leases last.
func TestJobWaitsForFormerLeasesAfterStartOfEverything(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	f.submit(f.entries[0], "j")
	f.deliverAll()
	f.killAgents(f.agents...)
	f.killEntry(f.entries[0])
	f.killEntry(f.entries[1])
	f.pass(40 * time.Millisecond)
	e := f.addEntry()
	f.restartAgents(f.agents...)
	f.submit(e, "j")
	if wait := 40*time.Millisecond + f.passUntilRuns(e, 2*time.Second); wait < formerLease || wait > 600*time.Millisecond {
		t.Errorf("tasks ordered %s after the kill of all processes, runs may go on for %s", wait, formerLease)
	}
}

// Guards against two runs of a task when the registrars and the owner are killed once more soon after the start of
// everything: the other agents have started just now, but their processes keep runs of the dead owner.
func TestJobWaitsAfterSecondKillOfRegistrars(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.killAgents(f.agents...)
	f.pass(20 * time.Millisecond)
	f.restartAgents(f.agents...)
	f.submit(first, "j")
	f.pass(600 * time.Millisecond)
	if f.runs(first) != 2 {
		t.Fatalf("%d runs at the first entry", f.runs(first))
	}
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	f.restartAgents(order[0], order[1])
	f.submit(second, "j")
	if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against a new entry that takes the leases of former processes for over because it has no link yet to the agents that
// run on: one of them keeps the run of the dead owner.
func TestNewEntryWaitsForLinksToAgentsThatRunOn(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	first := f.entries[0]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[:7]...)
	f.killEntry(first)
	f.restartAgents(order[:7]...)
	f.pass(520 * time.Millisecond)
	second := f.addEntry()
	for _, agent := range order[:7] {
		f.connect(second, agent)
	}
	f.submit(second, "j")
	f.pass(100 * time.Millisecond)
	f.connect(second, order[7])
	if wait := 620*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against two runs of a task when both registrars of a job are lost and its owner is not: another entry asks the
// next registrars before the owner has registered there.
func TestOwnerRegistersBeforeOthersWhenBothRegistrarsAreLost(t *testing.T) {
	for _, restart := range []bool{false, true} {
		f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
		first, second := f.entries[0], f.entries[1]
		order := rankFor("j", f.agents)
		f.submit(first, "j")
		f.deliverAll()
		f.killAgents(order[0], order[1])
		f.submit(second, "j")
		f.deliverAll()
		if restart {
			f.pass(60 * time.Millisecond)
			f.restartAgents(order[0], order[1])
		}
		f.pass(2 * time.Second)
		if f.runs(second) != 0 {
			t.Errorf("registrars restart: %t: the second entry ordered tasks while the first one owns the job", restart)
		}
	}
}

// Guards against two runs of a task when the registrars of a job are lost one after the other and its owner is not: another
// entry has asked the next registrar after the loss of the first one, before the owner has.
func TestOwnerRegistersWhenRegistrarsAreLostInTurn(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 4)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[3])
	f.killAgents(order[0])
	f.submit(second, "j")
	f.deliverFrame(second, order[2])
	f.deliverAnswer(second, order[2])
	f.killAgents(order[1]) // its answer is lost
	f.pass(3 * time.Second)
	if f.runs(second) != 0 {
		t.Error("the second entry ordered tasks while the first one owns the job")
	}
}

// Guards against an entry that takes the place of an owner at a registrar that has restarted: the owner's next registrars are
// lost with it, and the restarted one seems to know of no owner.
func TestOwnerRegistersAtRestartedRegistrarBeforeOthers(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.killAgents(order[0])
	f.submit(first, "j")
	f.pass(60 * time.Millisecond)
	f.submit(second, "j")
	f.restartAgents(order[0])
	second.Tick(f.now)
	f.take(second)
	for len(second.frames[order[0]]) > 0 {
		f.deliverFrame(second, order[0])
	}
	f.pass(1100 * time.Millisecond)
	f.killAgents(order[1], order[2])
	f.killEntry(first)
	if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against jobs that wait longer than the restore window because one registrar has restarted or is lost.
func TestSingleRegistrarDoesNotDelayJobsFurther(t *testing.T) {
	for _, restart := range []bool{false, true} {
		f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
		order := rankFor("j", f.agents)
		f.killAgents(order[0])
		longest := 40 * time.Millisecond
		if restart {
			f.restartAgents(order[0])
			longest += ownerLimits.RestoreWindow
		}
		f.submit(f.entries[0], "j")
		if wait := f.passUntilRuns(f.entries[0], 2*time.Second); wait > longest {
			t.Errorf("registrar restarts: %t: the job waited %s", restart, wait)
		}
	}
}

// Guards against jobs that wait because agents have been added, which had no records to lose.
func TestAddedRegistrarsDoNotDelayJobsFurther(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	e := f.entries[0]
	order := rankFor("j", f.agents)
	e.SetRegistrars(f.now, order[2:])
	f.killAgents(order[0], order[1])
	f.pass(2 * time.Second)
	f.restartAgents(order[0], order[1])
	f.pass(20 * time.Millisecond)
	e.SetRegistrars(f.now, f.agents)
	f.submit(e, "j")
	if wait := f.passUntilRuns(e, 2*time.Second); wait > ownerLimits.RestoreWindow+20*time.Millisecond {
		t.Errorf("the job waited %s", wait)
	}
}

// Guards against jobs that wait because agents were taken away that record no owners: when ten of 75 agents were, three in
// ten jobs waited for 949 ms while most of the capacity was free.
func TestLossOfOtherAgentsDoesNotDelayJobs(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 40)
	e := f.entries[0]
	ranked := rankFor(registrarKey, f.agents)
	f.listOnlyRegistrars(e)
	f.pass(2 * time.Second)
	f.killAgents(ranked[MaxRegistrars+registrarsPerJob:][:20]...)
	if longest, _, waiting := f.waits(t, e, 500); waiting > 0 {
		t.Errorf("%d of 500 jobs waited, up to %s", waiting, longest)
	}
}

// Guards against two runs of a task when an entry whose list lacks two agents had asked the next ones in rank, and is lost
// together with them: the other entries count these among those that may have lost records.
func TestLossOfNextRegistrarsCounts(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 40)
	e := f.entries[0]
	ranked := rankFor(registrarKey, f.agents)
	f.listOnlyRegistrars(e)
	f.pass(2 * time.Second)
	f.killAgents(ranked[MaxRegistrars : MaxRegistrars+registrarsPerJob]...)
	longest, _, waiting := f.waits(t, e, 500)
	if waiting == 0 || longest < runsEndAfter {
		t.Errorf("%d of 500 jobs waited, up to %s; runs may go on for %s", waiting, longest, runsEndAfter)
	}
}

// Guards against a job that waits for ever because a frozen agent accepts links and answers nothing.
func TestFrozenRegistrarsDoNotDelayJobsForEver(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	e := f.entries[0]
	order := rankFor("j", f.agents)
	f.killAgents(order[0], order[1])
	f.submit(e, "j")
	for passed := time.Duration(0); passed < time.Second; passed += testLimits.SilenceLimit {
		for _, agent := range order[:2] {
			e.AgentConnected(f.now, agent)
			f.take(e)
		}
		f.pass(testLimits.SilenceLimit)
		for _, agent := range order[:2] {
			f.cut(e, agent)
		}
	}
	f.pass(40 * time.Millisecond)
	if f.runs(e) != 2 {
		t.Errorf("%d runs", f.runs(e))
	}
}

// waits returns how long each of many jobs waits that are submitted to an entry at once, and the number of jobs that wait.
func (f *ownerFleet) waits(t *testing.T, e *ownerEntry, jobs int) (longest, mean time.Duration, waiting int) {
	submitted := f.now
	queue := testQueue
	queue.Latency = time.Minute // no job is given up while it waits
	for i := range jobs {
		_, ok := e.Submit(f.now, Job{
			ID: fmt.Sprintf("%016x", i*7919), Queue: queue, Arrived: f.now, Deadline: f.now.Add(time.Hour),
			Steps: []Step{{Count: 1, Demand: run.Demand{CPU: 10, MemoryMB: 1}, Estimate: time.Second}},
		})
		if !ok {
			t.Fatal("a job is rejected")
		}
	}
	f.take(e)
	f.deliverAll()
	begun := map[string]bool{}
	sum := time.Duration(0)
	for step := 0; len(begun) < jobs; step++ {
		if step == 200 {
			t.Fatalf("%d of %d jobs have begun", len(begun), jobs)
		}
		for id, j := range e.jobs {
			if !j.mayOrder || begun[id] {
				continue
			}
			begun[id] = true
			wait := f.now.Sub(submitted)
			longest, sum = max(longest, wait), sum+wait
			if wait > 0 {
				waiting++
			}
		}
		f.pass(20 * time.Millisecond)
	}
	return longest, sum / time.Duration(jobs), waiting
}

// Reports how long jobs wait for their ownership after faults of many processes, with and without the wait for lost
// records, and guards against waits that are longer than the times from which they follow.
func TestWaitsAfterFaults(t *testing.T) {
	const jobs = 1000
	for _, c := range []struct {
		name   string
		limit  time.Duration
		faults func(f *ownerFleet) *ownerEntry
	}{
		{"restart of one registrar", 400 * time.Millisecond, func(f *ownerFleet) *ownerEntry {
			f.killAgents(Registrars(f.agents)[0])
			f.pass(60 * time.Millisecond)
			f.restartAgents(Registrars(f.agents)[0])
			return f.entries[1]
		}},
		{"loss of a third of the agents and an entry", time.Second, func(f *ownerFleet) *ownerEntry {
			for i, agent := range rankFor("registrars", f.agents) { // three of the eight registrars
				if i%3 == 0 {
					f.killAgents(agent)
				}
			}
			f.killEntry(f.entries[0])
			return f.entries[1]
		}},
		{"start of everything", 600 * time.Millisecond, func(f *ownerFleet) *ownerEntry {
			f.killAgents(f.agents...)
			f.killEntry(f.entries[0])
			f.killEntry(f.entries[1])
			f.pass(60 * time.Millisecond)
			e := f.addEntry()
			e.SetRegistrars(f.now, Registrars(f.agents))
			f.restartAgents(f.agents...)
			return e
		}},
	} {
		for _, limits := range []Limits{lostRecordLimits(), {SilenceLimit: testLimits.SilenceLimit, LostAfter: testLimits.LostAfter, MaxWaitingTasks: 1000}} {
			limits.MaxWaitingTasks = 10 * jobs
			f := newOwnerFleetWith(limits, 2, 24)
			for _, e := range f.entries {
				e.SetRegistrars(f.now, Registrars(f.agents))
			}
			f.pass(2 * time.Second)
			longest, mean, waiting := f.waits(t, c.faults(f), jobs)
			t.Logf("%s, wait for lost records %t: %d of %d jobs wait, longest %s, mean %s", c.name, limits.OwnerLostAfter > 0, waiting, jobs, longest, mean)
			if longest > c.limit {
				t.Errorf("%s: a job waited %s", c.name, longest)
			}
		}
	}
}

// Guards against runs of one task in two entries for every pair of registrars that is lost with the owner, whatever the
// order in which they come back.
func TestEveryPairOfLostRegistrars(t *testing.T) {
	for i := range 8 {
		for k := i + 1; k < 8; k++ {
			f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
			first, second := f.entries[0], f.entries[1]
			order := rankFor("j", f.agents)
			f.submit(first, "j")
			f.deliverAll()
			f.killAgents(order[i], order[k])
			f.killEntry(first)
			f.submit(second, "j")
			f.pass(100 * time.Millisecond)
			f.restartAgents(order[k])
			f.pass(100 * time.Millisecond)
			f.restartAgents(order[i])
			if wait := 200*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter {
				t.Errorf("registrars %d and %d lost: the second entry ordered tasks %s after the owner's death", i, k, wait)
			}
		}
	}
}

// Guards against two runs of a task when an owner had no link to the first registrar for a while, which then has granted the
// job to an entry that waits for the owner, and the registrars of the owner are lost with it.
func TestEntryThatWaitsForOwnerAlsoWaitsWhenItsRegistrarsAreLost(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.cut(first, order[0])
	f.pass(2 * time.Second)
	f.submit(first, "j")
	f.deliverAll()
	f.submit(second, "j")
	f.deliverAll()
	f.connect(first, order[0])
	f.pass(time.Second)
	if f.runs(second) != 0 {
		t.Fatalf("%d runs at the second entry while the first one owns the job", f.runs(second))
	}
	f.killAgents(order[1], order[2])
	f.killEntry(first)
	f.requireRunsAfterReturn(t, second, order[1], order[2])
}

// Guards against a job that waits for long because the link to a registrar that had another owner was reset, although that
// owner has released the job meanwhile.
func TestReleasedJobBeginsAfterResetOfRegistrar(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.submit(second, "j")
	f.deliverAll()
	first.Abandon("j")
	f.endRun(first, run.Stopped)
	f.endRun(first, run.Stopped)
	for _, agent := range order[:2] {
		for len(first.frames[agent]) > 0 {
			f.deliverFrame(first, agent)
		}
		f.cut(second, agent) // the grant is lost
	}
	f.pass(60 * time.Millisecond)
	f.connect(second, order[0])
	f.connect(second, order[1])
	if wait := f.passUntilRuns(second, 2*time.Second); wait > 40*time.Millisecond {
		t.Errorf("the job waited %s after the links were open", wait)
	}
}

// Guards against the same when the registrars have restarted before the end of their links is noticed: the start of their
// processes is earlier than the loss of the links.
func TestLateEndOfLinkDoesNotHideRestartOfRegistrar(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.cut(first, order[0])
	f.pass(2 * time.Second)
	f.submit(first, "j")
	f.deliverAll()
	f.submit(second, "j")
	f.deliverAll()
	f.connect(first, order[0])
	f.pass(time.Second)
	f.killEntry(first)
	for _, agent := range order[1:3] {
		f.tables[agent] = owner.New(f.now, ownerLimits)
		f.started[agent] = f.now
	}
	f.pass(60 * time.Millisecond)
	f.cut(second, order[1])
	f.cut(second, order[2])
	f.connect(second, order[1])
	f.connect(second, order[2])
	if wait := 60*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1100*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against the same at an entry that has waited for the waiting entry: it asked the first registrar before the owner
// did, and has never learned of that owner.
func TestEntryBehindWaitingEntryWaitsForOwner(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 3, 8)
	first, second, third := f.entries[0], f.entries[1], f.entries[2]
	order := rankFor("j", f.agents)
	f.cut(first, order[0])
	f.pass(2 * time.Second)
	for _, e := range f.entries {
		f.submit(e, "j")
		f.deliverAll()
	}
	f.connect(first, order[0])
	f.pass(time.Second)
	f.killAgents(order[1], order[2])
	f.killEntry(first)
	second.Abandon("j")
	f.take(second)
	f.requireRunsAfterReturn(t, third, order[1], order[2])
}

// requireRunsAfterReturn fails the test if the entry orders tasks of a lost owner while agents are away, which may be suspended with a run, or
// does not once they have run for the time in which such a run ends.
func (f *ownerFleet) requireRunsAfterReturn(t *testing.T, e *ownerEntry, agents ...string) {
	t.Helper()
	if wait := f.passUntilRuns(e, 2*time.Second); wait < 2*time.Second {
		t.Errorf("%s ordered tasks %s after the owner's death, while agents are away", e.name, wait)
	}
	f.restartAgents(agents...)
	if wait := f.passUntilRuns(e, 2*time.Second); wait < runsEndAfter || wait > 1000*time.Millisecond {
		t.Errorf("%s ordered tasks %s after the agents were back, runs may go on for %s", e.name, wait, runsEndAfter)
	}
}
