package owner

import (
	"testing"
	"time"
)

// requireGrant fails the test unless the request is granted, and says whether another owner was lost.
func requireGrant(t *testing.T, o *Table, now time.Time, entry string, ownerLost bool) {
	t.Helper()
	a, ok := o.Request(now, entry, Request{"job", 9})
	if want := (Answer{Entry: entry, Request: Request{"job", 9}, Granted: true, OwnerLost: ownerLost}); !ok || a != want {
		t.Errorf("answer %+v, %t, want %+v", a, ok, want)
	}
}

// Guards against a grant that hides the loss of the former owner from an entry that asks long after it (review/6), and against one that says so to
// the lost owner itself, which knows its runs, or for ever.
func TestGrantSaysThatOwnerWasLost(t *testing.T) {
	o, now := newTable()
	requireGrant(t, o, now, "a", false)
	now, _ = pass(o, now, 10*time.Second)
	requireGrant(t, o, now, "b", true)
	o.Release("b", "job")
	requireGrant(t, o, now, "a", false)
	o.Release("a", "job")
	requireGrant(t, o, now, "b", false) // a has come back and has no runs left
	o.Release("b", "job")

	requireGrant(t, o, now, "a", false)
	now, _ = pass(o, now, time.Second)
	requireGrant(t, o, now, "b", true)
	now, _ = pass(o, now, time.Second)
	requireGrant(t, o, now, "a", true) // b was lost too
	o.Release("a", "job")
	requireGrant(t, o, now, "c", true)
	o.Release("c", "job")
	now, _ = pass(o, now, lostRetention+time.Second)
	requireGrant(t, o, now, "c", false)
}

// Guards against a lost owner that comes back without the job and still counts as lost, and one that comes back with it and does not.
func TestLostOwnerThatComesBackSaysWhatItHas(t *testing.T) {
	for _, owned := range [][]string{nil, {"job"}} {
		o, now := newTable()
		requireGrant(t, o, now, "a", false)
		now, _ = pass(o, now, time.Second)
		requireGrant(t, o, now, "b", true)
		o.Release("b", "job")
		o.Restore(now, "a", owned)
		if got, want := o.lostOwners.hasOther("job", "b"), owned != nil; got != want {
			t.Errorf("lost owner %t of an entry that is back with %v", got, owned)
		}
	}
}
