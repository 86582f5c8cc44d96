package cluster

import (
	"context"
	"testing"
	"time"

	"poplargw.example/dispatch/table"
	"poplargw.example/store"
)

// Guards against work that stops because the store is down.
func TestStoreDownKeepsEntriesFresh(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.store.SetFaults(store.Faults{Unavailable: true})
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for id, p := range f.ps {
				if !p.Fresh(time.Now()) {
					t.Fatalf("%s is not fresh", id)
				}
			}
		}
	})
}

// Guards against an entry that starts tasks by an old table or configuration after it was cut off.
func TestEntryCutOffIsNotFreshAndRejoins(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		p := f.ps["e0"]
		f.isolate("e0", true)
		p.gate.set(true)
		time.Sleep(2 * time.Second)
		if p.Fresh(time.Now()) {
			t.Fatal("fresh 2 s after the cut")
		}
		f.eventually("the others remove it", func() bool { return len(f.ps["e1"].Table().GetMembers()) == 2 })
		f.isolate("e0", false)
		p.gate.set(false)
		f.eventually("it joins again", func() bool { return p.Fresh(time.Now()) && len(f.ps["e1"].Table().GetMembers()) == 3 })
	})
}

// Guards against two groups that both act as homes: entries without the store stay fresh by their
// majority, so the entry that still reaches the store must not remove them.
func TestMinorityWithStoreDoesNotRemoveMajority(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		time.Sleep(time.Second) // All know that all know the table.
		f.isolate("e0", true)
		f.ps["e1"].gate.set(true)
		f.ps["e2"].gate.set(true)
		time.Sleep(20 * time.Second)
		if n := len(f.ps["e0"].Table().GetMembers()); n != 3 {
			t.Fatalf("the table has %d members", n)
		}
		if !f.ps["e1"].Fresh(time.Now()) || !f.ps["e0"].Fresh(time.Now()) {
			t.Fatal("an entry with a majority or the store is not fresh")
		}
	})
}

// Guards against a survivor of two entries that cannot take over, and against a restarted
// entry that cannot replace its own record.
func TestDeathAndRestart(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.stop("e1")
		f.eventually("the survivor is alone", func() bool { return len(f.ps["e0"].Table().GetMembers()) == 1 })
		if !f.ps["e0"].Fresh(time.Now()) {
			t.Fatal("the survivor is not fresh")
		}
		p := f.start("e1")
		f.eventually("the restarted entry joins", func() bool { return p.Fresh(time.Now()) })
		f.stop("e1")
		p = f.start("e1")
		f.eventually("it replaces its own record", func() bool {
			m := table.Member(f.ps["e0"].Table(), "e1")
			return p.Fresh(time.Now()) && m.GetIncarnation() == p.o.Incarnation
		})
	})
}

// Guards against a leaving entry that stays in the table or joins again, also when the store
// fails or loses a reply meanwhile.
func TestLeave(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		p := f.ps["e2"]
		f.store.SetFaults(store.Faults{LoseReplies: 1})
		if err := p.SetLeaving(context.Background()); err != nil {
			t.Fatal(err)
		}
		if !table.Member(f.ps["e2"].Table(), "e2").GetLeaving() {
			t.Fatal("not marked as leaving")
		}
		f.store.SetFaults(store.Faults{Unavailable: true})
		time.AfterFunc(5*time.Second, func() { f.store.SetFaults(store.Faults{LoseReplies: 1}) })
		if err := p.Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if len(f.ps["e0"].Table().GetMembers()) != 2 || len(p.Table().GetMembers()) != 2 {
			t.Fatalf("the table has %d members", len(f.ps["e0"].Table().GetMembers()))
		}
	})
}

// Guards against store calls beyond one watch and one read a second for each entry.
func TestStoreRates(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		before := f.store.Counts()
		time.Sleep(20 * time.Second)
		after := f.store.Counts()
		reads, watches := after.Gets-before.Gets, after.Watches-before.Watches
		t.Logf("3 entries in 20 s: %d reads, %d watches, %d writes", reads, watches, after.Writes-before.Writes)
		if reads > 3*23 || watches > 3*2 || after.Writes != before.Writes {
			t.Fatal("too many calls")
		}
	})
}

// Guards against two processes with one ID that take the place in the table from each other for ever.
func TestReplacedProcessDoesNotComeBack(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		old := f.ps["e1"]
		p := f.start("e1")
		defer old.end()
		f.eventually("the new process is a member", func() bool { return p.Fresh(time.Now()) })
		version := p.Versions().GetTable()
		time.Sleep(30 * time.Second)
		if old.Fresh(time.Now()) || p.Versions().GetTable() != version {
			t.Fatalf("the table went from version %d to %d", version, p.Versions().GetTable())
		}
	})
}

// Guards against work and changes that stop because the store is slow.
func TestSlowStore(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.store.SetFaults(store.Faults{Delay: 900 * time.Millisecond})
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if !f.ps["e0"].Fresh(time.Now()) {
				t.Fatal("not fresh")
			}
		}
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		f.stop("e2")
		f.eventually("the dead entry is removed", func() bool { return len(f.ps["e0"].Table().GetMembers()) == 2 })
	})
}
