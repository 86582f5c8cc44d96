package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Guards against a job that waits until its deadline because all registrars of its submission have left the list: the
// entry reaches others, so it neither orders nor rejects the job.
func TestWaitingJobFollowsListOfRegistrars(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	e := f.entries[0]
	e.SetRegistrars(f.now, f.agents[:1])
	f.submit(e, "j")
	f.killAgents(f.agents[0])
	f.pass(20 * time.Millisecond)
	e.SetRegistrars(f.now, f.agents[1:])
	f.pass(2 * time.Second)
	if f.runs(e) != 2 {
		t.Errorf("%d runs, the job is held: %t", f.runs(e), e.jobs["j"] != nil)
	}
}

// Guards against two runs of a task when an entry has read a list without the registrars of a job, and the complete list
// arrives while the job waits: it was granted by agents that no other entry asks.
func TestJobOfPartialListIsNotGrantedByItsRegistrars(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	second.SetRegistrars(f.now, order[6:])
	f.submit(second, "j")
	second.SetRegistrars(f.now, f.agents)
	f.deliverAll()
	f.pass(time.Second)
	if f.runs(second) != 0 {
		t.Errorf("%d runs at the second entry while the first one owns the job", f.runs(second))
	}
}

// Guards against two runs of a task when the list of registrars changes at an entry that waits before it changes at the
// owner, which has not registered at the present ones yet. Also guards against an entry that waits for ever then.
func TestEntryWaitsForOwnerAtFormerRegistrars(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.submit(second, "j")
	f.deliverAll()
	second.SetRegistrars(f.now, order[2:])
	f.pass(time.Second)
	if f.runs(second) != 0 {
		t.Fatalf("%d runs at the second entry while the first one owns the job", f.runs(second))
	}
	first.Abandon("j")
	f.endRun(first, run.Stopped)
	f.endRun(first, run.Stopped)
	f.pass(40 * time.Millisecond)
	if f.runs(second) != 2 {
		t.Errorf("%d runs at the second entry after the first one has released the job", f.runs(second))
	}
}

// Guards against two runs of a task when the registrars that were lost with the owner leave the list at once: the entry
// does not count them among those that may have lost records.
func TestJobWaitsWhenLostRegistrarsLeaveList(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	second.SetRegistrars(f.now, order[2:])
	f.submit(second, "j")
	if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1000*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against jobs that begin without any record of their owner because a list without agents was read: keys lapse
// while the store is down, and the agents run on.
func TestEmptyListKeepsRegistrars(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	f.submit(first, "j")
	f.submit(first, "k")
	f.deliverAll()
	f.submit(second, "j")
	second.SetRegistrars(f.now, nil)
	f.submit(second, "k")
	f.pass(time.Second)
	if f.runs(second) != 0 {
		t.Errorf("%d runs at the second entry while the first one owns the jobs", f.runs(second))
	}
}

// Guards against two runs of a task when an entry that has lost its links to most agents takes their loss for their
// death: one of them runs on and keeps the run of the dead owner.
func TestEntryThatLostLinksDoesNotCountOnFormerLeases(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	for _, agent := range order[2:] {
		f.cut(second, agent)
	}
	f.pass(20 * time.Millisecond)
	f.restartAgents(order[0], order[1])
	f.submit(second, "j")
	if wait := 20*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1000*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against two runs of a task when one registrar of the owner has not been reachable from another entry for long, and
// the other one is lost with the owner.
func TestJobWaitsWhenOneRegistrarIsLostAndOneUnreachable(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 2, 8)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.cut(second, order[0])
	f.pass(2 * time.Second)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[1])
	f.killEntry(first)
	f.submit(second, "j")
	if wait := f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1000*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}

// Guards against two runs of a task when a new entry reads a list without the registrars that were killed with the owner,
// and takes these for added ones when they are back.
func TestNewEntryDoesNotTakeRestartedRegistrarsForAdded(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	first := f.entries[0]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.killAgents(order[0], order[1])
	f.killEntry(first)
	second := f.addEntry()
	second.registrarListed, second.firstListed = nil, time.Time{}
	second.SetRegistrars(f.now, order[2:])
	for _, agent := range order[2:] {
		f.connect(second, agent)
	}
	f.pass(20 * time.Millisecond)
	f.restartAgents(order[0], order[1])
	f.pass(20 * time.Millisecond)
	second.SetRegistrars(f.now, f.agents)
	f.submit(second, "j")
	if wait := 40*time.Millisecond + f.passUntilRuns(second, 2*time.Second); wait < runsEndAfter || wait > 1100*time.Millisecond {
		t.Errorf("the second entry ordered tasks %s after the owner's death, runs may go on for %s", wait, runsEndAfter)
	}
}
