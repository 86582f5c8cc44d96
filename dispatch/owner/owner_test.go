package owner

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	limits = Limits{LostAfter: 800 * time.Millisecond, RestoreWindow: 350 * time.Millisecond, MaxTickGap: 100 * time.Millisecond}
)

// newTable returns a table past its RestoreWindow, and the present time.
func newTable() (*Table, time.Time) {
	t := New(start, limits)
	now := start
	for range 5 {
		now = now.Add(limits.MaxTickGap)
		t.Tick(now)
	}
	return t, now
}

// requireAnswer fails the test unless the answer is the expected one.
func requireAnswer(t *testing.T, got Answer, ok bool, entry string, number uint64, granted bool) {
	t.Helper()
	if want := (Answer{Entry: entry, Request: Request{"job", number}, Granted: granted}); !ok || got != want {
		t.Fatalf("answer %+v, %t, want %+v", got, ok, want)
	}
}

// Guards against two owners of one job: a caller has submitted it to a second entry while the first one has it.
func TestJobHasOneOwnerUntilRelease(t *testing.T) {
	o, now := newTable()
	a, ok := o.Request(now, "a", Request{"job", 1})
	requireAnswer(t, a, ok, "a", 1, true)
	a, ok = o.Request(now, "b", Request{"job", 2})
	requireAnswer(t, a, ok, "b", 2, false)
	a, ok = o.Release("a", "job")
	requireAnswer(t, a, ok, "b", 2, true)
	if _, ok := o.Release("b", "job"); ok || o.Len() != 0 {
		t.Errorf("%d jobs recorded after the last release", o.Len())
	}
}

// Guards against a job that no entry can run because its owner died, and against an owner that counts as lost although
// it sends messages.
func TestJobOfSilentOwnerIsGranted(t *testing.T) {
	o, now := newTable()
	o.Request(now, "a", Request{"job", 1})
	for range 20 {
		now = now.Add(limits.MaxTickGap)
		o.Contact(now, "a")
		o.Request(now, "b", Request{"job", 2})
		if grants := o.Tick(now); len(grants) > 0 {
			t.Fatalf("granted while the owner sends messages: %+v", grants)
		}
	}
	contact := now
	for {
		now = now.Add(limits.MaxTickGap)
		o.Contact(now, "b")
		grants := o.Tick(now)
		if len(grants) == 0 {
			continue
		}
		if !grants[0].OwnerLost {
			t.Error("the grant does not say that the owner was lost")
		}
		grants[0].OwnerLost = false
		requireAnswer(t, grants[0], true, "b", 2, true)
		if silent := now.Sub(contact); silent <= limits.LostAfter || silent > limits.LostAfter+limits.MaxTickGap {
			t.Errorf("granted after %s of silence", silent)
		}
		return
	}
}

// Guards against an agent that takes its own pause for the silence of entries, whose messages wait unread.
func TestPauseOfAgentDoesNotEndOwnership(t *testing.T) {
	o, now := newTable()
	o.Request(now, "a", Request{"job", 1})
	o.Request(now, "b", Request{"job", 2})
	now = now.Add(3 * time.Second)
	if grants := o.Tick(now); len(grants) > 0 {
		t.Errorf("granted after a pause: %+v", grants)
	}
}

// Guards against grants by a restarted agent before the owners from before its restart have reported, and against a
// request that is never granted after that.
func TestRestartedAgentLearnsOwnersBeforeItGrants(t *testing.T) {
	o := New(start, limits)
	now := start.Add(100 * time.Millisecond)
	if a, ok := o.Request(now, "b", Request{"job", 1}); ok {
		t.Fatalf("answer %+v within the restore window", a)
	}
	o.Request(now, "b", Request{"other", 2})
	if grants, conflicts := o.Restore(now, "a", []string{"job"}); len(grants)+len(conflicts) > 0 {
		t.Fatalf("grants %+v, conflicts %v", grants, conflicts)
	}
	grants := o.Tick(now)
	for now.Before(start.Add(limits.RestoreWindow)) {
		if len(grants) > 0 {
			t.Fatalf("granted within the restore window: %+v", grants)
		}
		now = now.Add(50 * time.Millisecond)
		grants = o.Tick(now)
	}
	slices.SortFunc(grants, func(a, b Answer) int { return cmp.Compare(a.Number, b.Number) })
	if want := []Answer{{Entry: "b", Request: Request{"job", 1}, Granted: false}, {Entry: "b", Request: Request{"other", 2}, Granted: true}}; !slices.Equal(grants, want) {
		t.Errorf("answers %+v, want %+v", grants, want)
	}
	if o.Owner("job") != "a" {
		t.Errorf("owner %q", o.Owner("job"))
	}
}

// Guards against a job that stays with an entry whose release was lost with its link, and against a silent change of
// the owner when two entries claim one job.
func TestRestoreReplacesOwnedJobs(t *testing.T) {
	o, now := newTable()
	o.Request(now, "a", Request{"job", 1})
	o.Request(now, "a", Request{"kept", 2})
	o.Request(now, "b", Request{"job", 3})
	grants, conflicts := o.Restore(now, "a", []string{"kept"})
	if len(grants) != 1 || grants[0] != (Answer{Entry: "b", Request: Request{"job", 3}, Granted: true}) || len(conflicts) > 0 {
		t.Fatalf("grants %+v, conflicts %v", grants, conflicts)
	}
	if _, conflicts := o.Restore(now, "a", []string{"job", "kept"}); len(conflicts) != 1 || conflicts[0] != "job" || o.Owner("job") != "b" {
		t.Errorf("conflicts %v, owner %q", conflicts, o.Owner("job"))
	}
	if a, ok := o.Release("b", "job"); !ok || a.Entry != "a" || o.Owner("job") != "a" {
		t.Errorf("answer %+v, owner %q after the release by the entry on record", a, o.Owner("job"))
	}
}

// modelEntry is an entry as TestTableModel sees it.
type modelEntry struct {
	name    string
	number  uint64
	granted bool
	contact time.Time
}

// Guards against two entries that were both granted a job, under any order of requests, releases, lost and new links,
// silence and pauses of the agent. An entry that is silent for LostAfter of the agent's running time has given the job up.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, now := newTable()
		entries := make([]*modelEntry, 3)
		for i := range entries {
			entries[i] = &modelEntry{name: fmt.Sprint(i), contact: now}
		}
		number := uint64(0)
		apply := func(a Answer) {
			for _, e := range entries {
				if e.name == a.Entry && e.number == a.Number && a.Granted {
					e.granted = true
				}
			}
		}
		someEntry := func() *modelEntry { return rapid.SampledFrom(entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				e := someEntry()
				number++
				e.number, e.contact = number, now
				if a, ok := o.Request(now, e.name, Request{"job", number}); ok {
					apply(a)
				}
			},
			"release": func(*rapid.T) {
				e := someEntry()
				e.granted, e.number, e.contact = false, 0, now
				o.Contact(now, e.name)
				if a, ok := o.Release(e.name, "job"); ok {
					apply(a)
				}
			},
			"reconnect": func(*rapid.T) {
				e := someEntry()
				var owned []string
				if e.granted {
					owned = []string{"job"}
				}
				e.number, e.contact = 0, now
				grants, conflicts := o.Restore(now, e.name, owned)
				for _, a := range grants {
					apply(a)
				}
				if len(conflicts) > 0 {
					t.Fatalf("%s owns the job, and so does %s", e.name, o.Owner("job"))
				}
			},
			"message": func(*rapid.T) {
				e := someEntry()
				e.contact = now
				o.Contact(now, e.name)
			},
			"time": func(*rapid.T) {
				step := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
				now = now.Add(step)
				grants := o.Tick(now)
				for _, e := range entries {
					if now.Sub(e.contact) > limits.LostAfter {
						e.granted, e.number = false, 0
					}
				}
				for _, a := range grants {
					apply(a)
				}
			},
			"": func(*rapid.T) {
				owners := 0
				for _, e := range entries {
					if e.granted {
						owners++
					}
				}
				if owners > 1 {
					t.Fatalf("%d owners", owners)
				}
			},
		})
	})
}

// Guards against a grant to an entry that waits while the job has an owner by the records of other agents: the owner asked
// here last, or opened its link last, and was behind the entries that wait.
func TestOwnerGoesBeforeEntriesThatWait(t *testing.T) {
	for name, register := range map[string]func(o *Table, now time.Time){
		"request": func(o *Table, now time.Time) { o.Register(now, "owner", Request{"job", 7}) },
		"link":    func(o *Table, now time.Time) { o.Restore(now, "owner", []string{"job"}) },
	} {
		t.Run(name, func(t *testing.T) {
			o, now := newTable()
			o.Request(now, "second", Request{"job", 1})
			o.Request(now, "third", Request{"job", 2})
			register(o, now)
			if grant, ok := o.Release("second", "job"); !ok || grant.Entry != "owner" || o.Owner("job") != "owner" {
				t.Errorf("grant %+v (%v), owner %q", grant, ok, o.Owner("job"))
			}
			if grant, ok := o.Release("owner", "job"); !ok || grant.Entry != "third" {
				t.Errorf("grant %+v (%v) after the owner's release", grant, ok)
			}
		})
	}
}
