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
	for _, want := range []Answer{{Entry: "a", Request: Request{"job", 1}, Granted: true}, {Entry: "b", Request: Request{"job", 2}, Granted: false}, {Entry: "c", Request: Request{"job", 3}, Granted: false}} {
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
	if len(answers) != 1 || answers[0] != (Answer{Entry: "b", Request: Request{"job", 2}, Granted: false}) {
		t.Errorf("answers %+v", answers)
	}
}

// Guards against a grant that is given to the entry whose request arrives just after the restore window, although the first
// one to ask was another entry.
func TestRequestAfterRestoreWindowIsAnsweredForItsOwnEntry(t *testing.T) {
	o := New(start, limits)
	o.Request(start, "a", Request{"job", 1})
	now := start
	for range 7 {
		now = now.Add(limits.RestoreWindow / 7)
		if now.Before(start.Add(limits.RestoreWindow)) {
			o.Tick(now)
		}
	}
	if answer, ok := o.Request(now, "b", Request{"job", 1}); ok && answer.Entry != "b" {
		t.Errorf("answer to b is %+v", answer)
	}
	answers := o.Tick(now)
	if len(answers) != 2 || o.Owner("job") != "a" {
		t.Errorf("answers %+v, owner %q", answers, o.Owner("job"))
	}
}

// Guards against a registrar that grants a job right after a suspension of its VM: time in which it did not run counted as
// its restore window, and the owner's link was not open yet.
func TestSuspensionDoesNotEndRestoreWindow(t *testing.T) {
	o := New(start, limits)
	o.Request(start, "b", Request{"job", 2})
	now := start.Add(3 * time.Second)
	if answers := o.Tick(now); len(answers) != 0 {
		t.Fatalf("answers %+v right after a suspension", answers)
	}
	o.Restore(now, "a", []string{"job"})
	var answers []Answer
	for range 5 {
		now = now.Add(limits.MaxTickGap)
		answers = append(answers, o.Tick(now)...)
	}
	if want := (Answer{Entry: "b", Request: Request{"job", 2}, Granted: false}); len(answers) != 1 || answers[0] != want {
		t.Errorf("answers %+v, want %+v", answers, want)
	}
}
