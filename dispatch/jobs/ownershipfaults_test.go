package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// pass moves the time in steps of a tick and delivers everything.
func (f *ownerFleet) pass(d time.Duration) {
	const tick = 20 * time.Millisecond
	for ; d > 0; d -= tick {
		f.advance(tick)
		f.deliverAll()
	}
}

// Guards against two owners of a job when one entry has no link to the first registrar: that one takes the entry for
// lost and grants the job to another, while the second registrar still records the first owner.
func TestJobBeginsOnlyWhenNoRegistrarHasAnotherOwner(t *testing.T) {
	f := newOwnerFleet(2, 4)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.cut(first, order[0])
	f.pass(testLimits.LostAfter + 100*time.Millisecond)
	f.submit(second, "j")
	f.deliverFrame(second, order[0])
	f.deliverAnswer(second, order[0])
	f.deliverAll()
	if f.runs(second) != 0 {
		t.Error("the second entry ordered tasks while the first one owns the job")
	}
}

// Guards against two owners of a job when entries have different lists of agents for a moment: a new agent comes first
// in the order of an entry that knows it, and grants at once.
func TestNewRegistrarDoesNotOverrideOwner(t *testing.T) {
	f := newOwnerFleet(2, 5)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	first.SetRegistrars(order[1:])
	f.submit(first, "j")
	f.deliverAll()
	if f.runs(first) != 2 {
		t.Fatalf("%d runs at the first entry", f.runs(first))
	}
	f.submit(second, "j")
	f.deliverFrame(second, order[0])
	f.deliverAnswer(second, order[0])
	f.deliverAll()
	if f.runs(second) != 0 {
		t.Error("the second entry ordered tasks while the first one owns the job")
	}
}

// Guards against an agent that records an entry as the owner of a job for ever: a request and the release of the same job
// in one frame, of which an agent handles the release first.
func TestReleaseCancelsRequestInSameFrame(t *testing.T) {
	f := newOwnerFleet(2, 4)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	first.Abandon("j")
	f.take(first)
	f.endRun(first, run.Stopped)
	f.cut(first, order[0])
	f.endRun(first, run.Stopped) // the last run: a third registrar is due, and the job is released
	f.deliverAll()
	f.connect(first, order[0])
	f.deliverAll()
	for _, agent := range f.agents {
		if n := f.tables[agent].Len(); n > 0 {
			t.Errorf("%d jobs recorded at %s after the release", n, agent)
		}
	}
	f.submit(second, "j")
	f.deliverAll()
	if f.runs(second) != 2 {
		t.Errorf("%d runs at the second entry", f.runs(second))
	}
}

// Guards against two owners of a job when an entry was cut off from all agents for so long that they took it for lost: it
// went on ordering as soon as a link was open again.
func TestOwnershipEndsWithoutContact(t *testing.T) {
	f := newOwnerFleet(2, 4)
	first, second := f.entries[0], f.entries[1]
	f.submit(first, "j")
	f.deliverAll()
	for _, agent := range f.agents {
		f.cut(first, agent)
	}
	f.submit(second, "j")
	f.pass(testLimits.LostAfter + 100*time.Millisecond)
	clear(first.running) // the agents stopped the runs of the lost entry
	if f.runs(second) != 2 {
		t.Fatalf("%d runs at the second entry after the first one was lost", f.runs(second))
	}
	for _, agent := range f.agents {
		f.connect(first, agent)
	}
	f.deliverAll()
	if f.runs(first) != 0 {
		t.Error("the first entry ordered tasks of a job that the second one owns")
	}
}

// Guards against a job that waits needlessly after its entry was cut off from all agents and no other entry has it.
func TestJobContinuesAfterOwnershipEndedWithoutContact(t *testing.T) {
	f := newOwnerFleet(2, 4)
	first := f.entries[0]
	f.submit(first, "j")
	f.deliverAll()
	for _, agent := range f.agents {
		f.cut(first, agent)
	}
	f.pass(testLimits.LostAfter + 100*time.Millisecond)
	clear(first.running)
	for _, agent := range f.agents {
		f.connect(first, agent)
	}
	f.deliverAll()
	if f.runs(first) != 2 {
		t.Errorf("%d runs after the links are open again", f.runs(first))
	}
}
