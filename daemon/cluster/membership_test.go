package cluster

import (
	"context"
	"testing"
	"time"

	"poplargw.example/dispatch/table"
	"poplargw.example/store"
)

// TestStoreDownKeepsEntriesFresh guards against entries that stop starting tasks because the store
// is down.
func TestStoreDownKeepsEntriesFresh(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.store.SetFaults(store.Faults{Unavailable: true})
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for id, p := range tc.processes {
				if !p.Fresh(time.Now()) {
					t.Fatalf("%s is not fresh", id)
				}
			}
		}
	})
}

// TestIsolatedEntryIsNotFreshAndRejoins guards against an entry that, after it was cut off, starts
// tasks by an outdated table or configuration.
func TestIsolatedEntryIsNotFreshAndRejoins(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		p := tc.processes["e0"]
		tc.isolate("e0", true)
		p.gate.setClosed(true)
		time.Sleep(2 * time.Second)
		if p.Fresh(time.Now()) {
			t.Fatal("fresh 2 s after it was isolated")
		}
		tc.eventually("the others remove it", func() bool { return len(tc.processes["e1"].Table().GetMembers()) == 2 })
		tc.isolate("e0", false)
		p.gate.setClosed(false)
		tc.eventually("it joins again", func() bool { return p.Fresh(time.Now()) && len(tc.processes["e1"].Table().GetMembers()) == 3 })
	})
}

// TestMinorityWithStoreDoesNotRemoveMajority guards against two groups that both act as homes:
// entries without the store stay fresh by their majority, so the one entry that still reaches the
// store must not remove them.
func TestMinorityWithStoreDoesNotRemoveMajority(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		time.Sleep(time.Second) // Lets every entry confirm that the others know the table.
		tc.isolate("e0", true)
		tc.processes["e1"].gate.setClosed(true)
		tc.processes["e2"].gate.setClosed(true)
		time.Sleep(20 * time.Second)
		if n := len(tc.processes["e0"].Table().GetMembers()); n != 3 {
			t.Fatalf("the table has %d members", n)
		}
		if !tc.processes["e1"].Fresh(time.Now()) || !tc.processes["e0"].Fresh(time.Now()) {
			t.Fatal("an entry with a majority or the store is not fresh")
		}
	})
}

// TestCrashAndRestart guards against the survivor of two entries not taking over, and against a
// restarted entry that cannot replace its own member record.
func TestCrashAndRestart(t *testing.T) {
	withEntries(t, 2, func(tc *testCluster) {
		tc.stop("e1")
		tc.eventually("the survivor is the only member", func() bool { return len(tc.processes["e0"].Table().GetMembers()) == 1 })
		if !tc.processes["e0"].Fresh(time.Now()) {
			t.Fatal("the survivor is not fresh")
		}
		p := tc.start("e1")
		tc.eventually("the restarted entry joins", func() bool { return p.Fresh(time.Now()) })
		tc.stop("e1")
		p = tc.start("e1")
		tc.eventually("it replaces its own record", func() bool {
			m := table.Member(tc.processes["e0"].Table(), "e1")
			return p.Fresh(time.Now()) && m.GetIncarnation() == p.opts.Incarnation
		})
	})
}

// TestLeave guards against a leaving entry that stays in the table or joins again, even if the
// store fails or loses a reply meanwhile.
func TestLeave(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		p := tc.processes["e2"]
		tc.store.SetFaults(store.Faults{LoseResponses: 1})
		if err := p.SetLeaving(context.Background()); err != nil {
			t.Fatal(err)
		}
		if !table.Member(tc.processes["e2"].Table(), "e2").GetLeaving() {
			t.Fatal("not marked as leaving")
		}
		tc.store.SetFaults(store.Faults{Unavailable: true})
		time.AfterFunc(5*time.Second, func() { tc.store.SetFaults(store.Faults{LoseResponses: 1}) })
		if err := p.Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if len(tc.processes["e0"].Table().GetMembers()) != 2 || len(p.Table().GetMembers()) != 2 {
			t.Fatalf("the table has %d members", len(tc.processes["e0"].Table().GetMembers()))
		}
	})
}

// TestStoreRates guards against more store calls per entry than one read per second and one watch,
// renewed every 30 s, and against writes while nothing changes.
func TestStoreRates(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		before := tc.store.Counts()
		time.Sleep(20 * time.Second)
		after := tc.store.Counts()
		reads, watches := after.Gets-before.Gets, after.Watches-before.Watches
		t.Logf("3 entries in 20 s: %d reads, %d watches, %d writes", reads, watches, after.Writes-before.Writes)
		if reads > 3*23 || watches > 3*2 || after.Writes != before.Writes {
			t.Fatal("too many store calls")
		}
	})
}

// TestReplacedProcessDoesNotRejoin guards against two processes with the same ID that keep
// replacing each other in the table.
func TestReplacedProcessDoesNotRejoin(t *testing.T) {
	withEntries(t, 2, func(tc *testCluster) {
		old := tc.processes["e1"]
		p := tc.start("e1")
		defer old.stop()
		tc.eventually("the new process is a member", func() bool { return p.Fresh(time.Now()) })
		version := p.Versions().GetTable()
		time.Sleep(30 * time.Second)
		if old.Fresh(time.Now()) || p.Versions().GetTable() != version {
			t.Fatalf("the table went from version %d to %d", version, p.Versions().GetTable())
		}
	})
}

// TestSlowStore guards against tasks and changes that stop because the store is slow.
func TestSlowStore(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.store.SetFaults(store.Faults{Delay: 900 * time.Millisecond})
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if !tc.processes["e0"].Fresh(time.Now()) {
				t.Fatal("not fresh")
			}
		}
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		tc.stop("e2")
		tc.eventually("the stopped entry is removed", func() bool { return len(tc.processes["e0"].Table().GetMembers()) == 2 })
	})
}
