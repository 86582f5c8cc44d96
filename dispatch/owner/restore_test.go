package owner

import (
	"testing"
	"time"
)

// Guards against two entries that wait for each other: an entry that asked a restarted agent within its restore window was
// never told that another one got the job, and kept its grant at the second registrar.
func TestWaitingEntriesLearnOfOwnerAfterRestoreWindow(t *testing.T) {
	o := New(start, limits)
	now := start.Add(100 * time.Millisecond)
	for i, entry := range []string{"a", "b", "c"} {
		if a, ok := o.Request(now, entry, Request{"job", uint64(i + 1)}); ok {
			t.Fatalf("answer %+v within the restore window", a)
		}
	}
	got := map[Answer]int{}
	for range 5 {
		now = now.Add(limits.MaxTickGap)
		for _, a := range o.Tick(now) {
			got[a]++
		}
	}
	for _, want := range []Answer{{"a", Request{"job", 1}, true}, {"b", Request{"job", 2}, false}, {"c", Request{"job", 3}, false}} {
		if got[want] != 1 {
			t.Errorf("answer %+v given %d times", want, got[want])
		}
	}
}

// Guards against the same when the owner from before the restart reports after the request of another entry.
func TestWaitingEntryLearnsOfRestoredOwner(t *testing.T) {
	o := New(start, limits)
	now := start.Add(100 * time.Millisecond)
	o.Request(now, "b", Request{"job", 2})
	o.Restore(now, "a", []string{"job"})
	var answers []Answer
	for range 5 {
		now = now.Add(limits.MaxTickGap)
		o.Contact(now, "a")
		o.Contact(now, "b")
		answers = append(answers, o.Tick(now)...)
	}
	if len(answers) != 1 || answers[0] != (Answer{"b", Request{"job", 2}, false}) {
		t.Errorf("answers %+v", answers)
	}
}

// Guards against a grant that is given to the entry whose request arrives just after the restore window, although the first
// one to ask was another entry.
func TestRequestAfterRestoreWindowIsAnsweredForItsOwnEntry(t *testing.T) {
	o := New(start, limits)
	o.Request(start, "a", Request{"job", 1})
	now := start.Add(limits.RestoreWindow + time.Millisecond)
	if answer, ok := o.Request(now, "b", Request{"job", 1}); ok && answer.Entry != "b" {
		t.Errorf("answer to b is %+v", answer)
	}
	answers := o.Tick(now)
	if len(answers) != 2 || o.Owner("job") != "a" {
		t.Errorf("answers %+v, owner %q", answers, o.Owner("job"))
	}
}
