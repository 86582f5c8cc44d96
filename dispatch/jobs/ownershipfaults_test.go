package jobs

import (
	"testing"
	"time"
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
