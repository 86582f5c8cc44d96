package cluster

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/store"
)

// Guards against an accepted change that some entry does not have in force.
func TestApplyReachesAllEntries(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		f.eventually("all entries have version 1", func() bool { return f.allAt(1) })
		f.want(f.ps["e1"].ask(1, "c2", "b"), accepted, 2)
	})
}

func (f *fleet) allAt(version uint64) bool {
	for _, p := range f.ps {
		if p.Config().GetVersion() != version {
			return false
		}
	}
	return true
}

// Guards against a change that is made twice, or reported as a conflict with itself, because the
// store's reply was lost after the write took effect.
func TestApplyAfterLostReply(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.store.SetFaults(store.Faults{LoseReplies: 1})
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		if r := f.stored(); r.GetVersion() != 1 || r.GetChangeId() != "c1" {
			t.Fatalf("the store holds version %d of change %s", r.GetVersion(), r.GetChangeId())
		}
		f.want(f.ps["e1"].ask(0, "c1", "a"), accepted, 1)
	})
}

// Guards against a false "rejected" for a change that may have been written, and against an
// unknown outcome that can never be settled.
func TestUnknownOutcomeIsSettledByAskingAgain(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		p := f.ps["e0"]
		// The store fails between the write and the read back.
		p.gate.last = true
		f.want(p.ask(0, "c1", "a"), unknown, 1)
		f.want(p.ask(0, "c1", "a"), unknown, 1)
		p.gate.set(false)
		f.want(p.ask(0, "c1", "a"), accepted, 1)
	})
}

// Guards against "unknown" for a change that certainly was not written.
func TestApplyWithoutStoreIsRejected(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.store.SetFaults(store.Faults{Unavailable: true})
		if r := f.ps["e0"].ask(0, "c1", "a"); r.GetState() != refused {
			t.Fatalf("got %v", r)
		}
	})
}

// Guards against two operators who both believe that their change won.
func TestConcurrentApplyHasOneWinner(t *testing.T) {
	for range 20 {
		inFleet(t, 2, func(f *fleet) {
			answers := make(chan *poplargwv1.ApplyResponse, 2)
			go func() { answers <- f.ps["e0"].ask(0, "c0", "a") }()
			go func() { answers <- f.ps["e1"].ask(0, "c1", "b") }()
			a, b := <-answers, <-answers
			if a.GetState() == conflict {
				a, b = b, a
			}
			f.want(a, accepted, 1)
			f.want(b, conflict, 1)
			if got, want := b.GetConflict().GetChangeId(), f.stored().GetChangeId(); got != want {
				t.Fatalf("the conflict names change %q, the store holds %q", got, want)
			}
		})
	}
}

// Guards against a conflict that is reported for a change that took effect, because the next change
// became known before the reply of the store.
func TestApplyOvertakenByTheNextChange(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.ps["e0"].gate.after = func() {
			f.want(f.ps["e1"].ask(1, "c2", "b"), accepted, 2)
			if f.ps["e0"].Config().GetVersion() != 2 {
				t.Fatal("e0 does not know the next change")
			}
		}
		// No entry learns of the first change from a watch.
		f.store.SetFaults(store.Faults{WatchDelay: time.Minute})
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
	})
}

// Guards against a change that is made twice, or by mistake after another one, because a write takes
// effect long after its caller gave it up.
func TestLateWrite(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.store.SetFaults(store.Faults{LateWrites: 1, LateBy: 4 * time.Second})
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		f.want(f.ps["e1"].ask(1, "c2", "b"), accepted, 2)
		time.Sleep(10 * time.Second)
		if !f.allAt(2) || f.stored().GetChangeId() != "c2" {
			t.Fatalf("the store holds change %s", f.stored().GetChangeId())
		}
	})
}

// Guards against a configuration or an entry table that reverts when the store comes back with older
// values or with none.
func TestOlderStoreValueIsWrittenBack(t *testing.T) {
	for _, empty := range []bool{false, true} {
		inFleet(t, 2, func(f *fleet) {
			f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
			old := f.store.Snapshot()
			if empty {
				old = store.Snapshot{}
			}
			p := f.start("e2")
			f.eventually("e2 is a member", func() bool { return p.Fresh(time.Now()) })
			f.want(f.ps["e0"].ask(1, "c2", "b"), accepted, 2)
			f.store.SetFaults(store.Faults{Unavailable: true})
			time.Sleep(5 * time.Second)
			f.store.Restore(old)
			f.store.SetFaults(store.Faults{})
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if !f.allAt(2) || len(p.Table().GetMembers()) != 3 || !p.Fresh(time.Now()) {
					t.Fatal("an entry went back to an older record or stopped")
				}
			}
			if f.stored().GetChangeId() != "c2" {
				t.Fatal("the newer configuration was not written back")
			}
		})
	}
}

// Guards against a second change under the version of an accepted one, made by an entry that did
// not know the accepted one when the store came back with an older value.
func TestApplyAsksAMajorityAfterRestore(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		f.eventually("all entries have version 1", func() bool { return f.allAt(1) })
		old := f.store.Snapshot()
		f.isolate("e2", true)
		f.ps["e2"].gate.set(true)
		f.want(f.ps["e0"].ask(1, "c2", "b"), accepted, 2)
		f.store.Restore(old)
		f.isolate("e2", false)
		f.ps["e2"].gate.set(false)
		if r := f.ps["e2"].ask(1, "c3", "c"); r.GetState() != conflict || r.GetConflict().GetChangeId() != "c2" {
			t.Fatalf("got %v, want a conflict with c2", r)
		}
	})
}

// Guards against "accepted" when only a minority knows the change.
func TestApplyInMinorityIsNotAccepted(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.isolate("e0", true)
		f.want(f.ps["e0"].ask(0, "c1", "a"), stored, 1)
	})
}

// Guards against a configuration that goes back, and against a busy loop, when watch answers are
// late, repeated or out of order.
func TestWatchFaults(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		f.store.SetFaults(store.Faults{WatchDelay: 3 * time.Second, WatchDuplicates: 1000, WatchStale: 1000})
		before := f.store.Counts()
		f.want(f.ps["e0"].ask(1, "c2", "b"), accepted, 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if f.ps["e0"].Config().GetVersion() != 2 {
				t.Fatal("the configuration went back")
			}
		}
		if n := f.store.Counts().Watches - before.Watches; n > 20 {
			t.Fatalf("%d watches in 10 s", n)
		}
	})
}

// Guards against entries that work by different configurations for good because a store that went back
// took another change under the version of an accepted one.
func TestForkIsSettledForTheAcceptedChange(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.want(f.ps["e0"].ask(0, "c1", "a"), accepted, 1)
		f.eventually("all entries have version 1", func() bool { return f.allAt(1) })
		item, err := f.store.Get(t.Context(), configKey)
		if err != nil {
			t.Fatal(err)
		}
		other, _ := proto.Marshal(&poplargwv1.ConfigRecord{Version: 1, ChangeId: "other"})
		if _, err := f.store.CompareAndSwap(t.Context(), configKey, other, item.Revision); err != nil {
			t.Fatal(err)
		}
		f.eventually("the accepted change is in force again", func() bool {
			for _, p := range f.ps {
				if p.Config().GetChangeId() != "c1" {
					t.Fatal("the accepted change was replaced")
				}
			}
			return f.allAt(2) && f.stored().GetChangeId() == "c1"
		})
	})
}
