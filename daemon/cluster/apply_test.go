package cluster

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/store"
)

// TestApplyReachesAllEntries guards against an accepted change that is not in force on some entry.
func TestApplyReachesAllEntries(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		tc.eventually("all entries have version 1", func() bool { return tc.allHaveVersion(1) })
		tc.mustBe(tc.processes["e1"].apply(1, "c2", "b"), stateAccepted, 2)
	})
}

func (tc *testCluster) allHaveVersion(version uint64) bool {
	for _, p := range tc.processes {
		if p.Config().GetVersion() != version {
			return false
		}
	}
	return true
}

// TestApplyAfterLostResponse guards against a change that is applied twice, or reported as a conflict
// with itself, because the store's response was lost after the write took effect.
func TestApplyAfterLostResponse(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.store.SetFaults(store.Faults{LoseResponses: 1})
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		if r := tc.storedConfig(); r.GetVersion() != 1 || r.GetChangeId() != "c1" {
			t.Fatalf("the store holds version %d of change %s", r.GetVersion(), r.GetChangeId())
		}
		tc.mustBe(tc.processes["e1"].apply(0, "c1", "a"), stateAccepted, 1)
	})
}

// TestRetryResolvesUnknownOutcome guards against a wrong "rejected" for a change that may have been
// written, and against an unknown outcome that a retry cannot resolve.
func TestRetryResolvesUnknownOutcome(t *testing.T) {
	withEntries(t, 1, func(tc *testCluster) {
		p := tc.processes["e0"]
		// The store becomes unavailable after the write and before the read that follows it.
		p.gate.closeAfterWrite = true
		tc.mustBe(p.apply(0, "c1", "a"), stateUnknown, 1)
		tc.mustBe(p.apply(0, "c1", "a"), stateUnknown, 1)
		p.gate.setClosed(false)
		tc.mustBe(p.apply(0, "c1", "a"), stateAccepted, 1)
	})
}

// TestApplyWithoutStoreIsRejected guards against "unknown" for a change that cannot have been
// written.
func TestApplyWithoutStoreIsRejected(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.store.SetFaults(store.Faults{Unavailable: true})
		if r := tc.processes["e0"].apply(0, "c1", "a"); r.GetState() != stateRejected {
			t.Fatalf("got %v", r)
		}
	})
}

// TestConcurrentApplyHasOneWinner guards against two concurrent changes that are both reported as
// accepted.
func TestConcurrentApplyHasOneWinner(t *testing.T) {
	for range 20 {
		withEntries(t, 2, func(tc *testCluster) {
			answers := make(chan *poplargwv1.ApplyResponse, 2)
			go func() { answers <- tc.processes["e0"].apply(0, "c0", "a") }()
			go func() { answers <- tc.processes["e1"].apply(0, "c1", "b") }()
			a, b := <-answers, <-answers
			if a.GetState() == stateConflict {
				a, b = b, a
			}
			tc.mustBe(a, stateAccepted, 1)
			tc.mustBe(b, stateConflict, 1)
			if got, want := b.GetConflict().GetChangeId(), tc.storedConfig().GetChangeId(); got != want {
				t.Fatalf("the conflict names change %q, the store holds %q", got, want)
			}
		})
	}
}

// TestApplyFollowedByNextChangeBeforeReply guards against a conflict that is reported for a change
// that took effect, because the next change became known before the store's reply.
func TestApplyFollowedByNextChangeBeforeReply(t *testing.T) {
	withEntries(t, 2, func(tc *testCluster) {
		tc.processes["e0"].gate.afterWrite = func() {
			tc.mustBe(tc.processes["e1"].apply(1, "c2", "b"), stateAccepted, 2)
			if tc.processes["e0"].Config().GetVersion() != 2 {
				t.Fatal("e0 does not know the next change")
			}
		}
		// No entry learns of the first change from a watch.
		tc.store.SetFaults(store.Faults{WatchDelay: time.Minute})
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
	})
}

// TestLateWriteIsNotAppliedTwice guards against a change that is applied twice, or applied over a
// later one, because a write takes effect long after its caller gave up.
func TestLateWriteIsNotAppliedTwice(t *testing.T) {
	withEntries(t, 2, func(tc *testCluster) {
		tc.store.SetFaults(store.Faults{LateWrites: 1, LateBy: 4 * time.Second})
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		tc.mustBe(tc.processes["e1"].apply(1, "c2", "b"), stateAccepted, 2)
		time.Sleep(10 * time.Second)
		if !tc.allHaveVersion(2) || tc.storedConfig().GetChangeId() != "c2" {
			t.Fatalf("the store holds change %s", tc.storedConfig().GetChangeId())
		}
	})
}

// TestOlderStoreValueIsWrittenBack guards against a configuration or an entry table that reverts
// when the store comes back with older values or empty.
func TestOlderStoreValueIsWrittenBack(t *testing.T) {
	for _, empty := range []bool{false, true} {
		withEntries(t, 2, func(tc *testCluster) {
			tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
			old := tc.store.Snapshot()
			if empty {
				old = store.Snapshot{}
			}
			p := tc.start("e2")
			tc.eventually("e2 is a member", func() bool { return p.Fresh(time.Now()) })
			tc.mustBe(tc.processes["e0"].apply(1, "c2", "b"), stateAccepted, 2)
			tc.store.SetFaults(store.Faults{Unavailable: true})
			time.Sleep(5 * time.Second)
			tc.store.Restore(old)
			tc.store.SetFaults(store.Faults{})
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if !tc.allHaveVersion(2) || len(p.Table().GetMembers()) != 3 || !p.Fresh(time.Now()) {
					t.Fatal("an entry reverted to an older record or is not fresh")
				}
			}
			if tc.storedConfig().GetChangeId() != "c2" {
				t.Fatal("the newer configuration was not written back")
			}
		})
	}
}

// TestApplyAsksMajorityAfterRestore guards against a second change with the version of an accepted
// one. It would come from an entry that did not know the accepted change when the store was
// restored to an older value.
func TestApplyAsksMajorityAfterRestore(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		tc.eventually("all entries have version 1", func() bool { return tc.allHaveVersion(1) })
		old := tc.store.Snapshot()
		tc.isolate("e2", true)
		tc.processes["e2"].gate.setClosed(true)
		tc.mustBe(tc.processes["e0"].apply(1, "c2", "b"), stateAccepted, 2)
		tc.store.Restore(old)
		tc.isolate("e2", false)
		tc.processes["e2"].gate.setClosed(false)
		if r := tc.processes["e2"].apply(1, "c3", "c"); r.GetState() != stateConflict || r.GetConflict().GetChangeId() != "c2" {
			t.Fatalf("got %v, want a conflict with c2", r)
		}
	})
}

// TestApplyInMinorityIsNotAccepted guards against "accepted" when only a minority knows the change.
func TestApplyInMinorityIsNotAccepted(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.isolate("e0", true)
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateStored, 1)
	})
}

// TestWatchFaults guards against a configuration that reverts, and against a busy loop, when watch
// answers are late, repeated or out of order.
func TestWatchFaults(t *testing.T) {
	withEntries(t, 2, func(tc *testCluster) {
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		tc.store.SetFaults(store.Faults{WatchDelay: 3 * time.Second, WatchDuplicates: 1000, WatchStale: 1000})
		before := tc.store.Counts()
		tc.mustBe(tc.processes["e0"].apply(1, "c2", "b"), stateAccepted, 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if tc.processes["e0"].Config().GetVersion() != 2 {
				t.Fatal("the configuration reverted")
			}
		}
		if n := tc.store.Counts().Watches - before.Watches; n > 20 {
			t.Fatalf("%d watches in 10 s", n)
		}
	})
}

// TestForkKeepsAcceptedChange guards against entries that permanently use different configurations
// because a restored store accepted another change with the version of an accepted one.
func TestForkKeepsAcceptedChange(t *testing.T) {
	withEntries(t, 3, func(tc *testCluster) {
		tc.mustBe(tc.processes["e0"].apply(0, "c1", "a"), stateAccepted, 1)
		tc.eventually("all entries have version 1", func() bool { return tc.allHaveVersion(1) })
		item, err := tc.store.Get(t.Context(), configKey)
		if err != nil {
			t.Fatal(err)
		}
		other, _ := proto.Marshal(&poplargwv1.ConfigRecord{Version: 1, ChangeId: "other"})
		if _, err := tc.store.CompareAndSwap(t.Context(), configKey, other, item.Revision); err != nil {
			t.Fatal(err)
		}
		tc.eventually("the accepted change is in force again", func() bool {
			for _, p := range tc.processes {
				if p.Config().GetChangeId() != "c1" {
					t.Fatal("the accepted change was replaced")
				}
			}
			return tc.allHaveVersion(2) && tc.storedConfig().GetChangeId() == "c1"
		})
	})
}
