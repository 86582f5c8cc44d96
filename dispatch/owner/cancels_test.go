package owner

import (
	"fmt"
	"testing"
	"time"
)

// pass moves the time in steps of a tick, with messages of the given entries, and returns the new time and the answers.
func pass(o *Table, now time.Time, d time.Duration, entries ...string) (time.Time, []Answer) {
	var answers []Answer
	for end := now.Add(d); now.Before(end); {
		now = now.Add(limits.MaxTickGap)
		for _, e := range entries {
			o.Contact(now, e)
		}
		answers = append(answers, o.Tick(now)...)
	}
	return now, answers
}

// Guards against a cancelled job that an entry is granted because its request arrives seconds after the cancel (review/8).
func TestCancelledJobIsNotGranted(t *testing.T) {
	o, now := newTable()
	o.Request(now, "a", Request{"job", 1})
	if c, answers := o.Cancel(now, "a", "job"); c != (CancelAnswer{Owner: "a", Recorded: true}) || len(answers) != 0 {
		t.Fatalf("answer %+v, %+v", c, answers)
	}
	o.Release("a", "job")
	now, _ = pass(o, now, 4*time.Second)
	if a, ok := o.Request(now, "b", Request{"job", 2}); !ok || a != (Answer{Entry: "b", Request: Request{"job", 2}, Cancelled: true}) {
		t.Errorf("answer %+v, %t", a, ok)
	}
	if a, ok := o.Register(now, "b", Request{"job", 3}); !ok || !a.Cancelled {
		t.Errorf("answer %+v, %t to an entry that owns the job elsewhere", a, ok)
	}
	if o.Len() != 0 {
		t.Errorf("%d jobs recorded", o.Len())
	}
}

// Guards against a grant to an entry that waits when the owner of a cancelled job releases it, and against one that is never answered.
func TestCancelEndsWait(t *testing.T) {
	o, now := newTable()
	o.Request(now, "a", Request{"job", 1})
	o.Request(now, "b", Request{"job", 2})
	c, answers := o.Cancel(now, "c", "job")
	if want := (Answer{Entry: "b", Request: Request{"job", 2}, Cancelled: true}); len(answers) != 1 || answers[0] != want {
		t.Errorf("answers %+v, want %+v", answers, want)
	}
	if c != (CancelAnswer{Owner: "a", Recorded: true, MayHave: true}) {
		t.Errorf("answer %+v", c)
	}
	if a, ok := o.Release("a", "job"); ok || o.Len() != 0 {
		t.Errorf("answer %+v to the release, %d jobs recorded", a, o.Len())
	}
}

// Guards against a job that counts as unknown although its owner may come back: it was cut off and lost its record (review/9), or the
// agent has restarted and grants nothing yet.
func TestCancelSaysThatOwnerMayExist(t *testing.T) {
	o, now := newTable()
	if c, _ := o.Cancel(now, "b", "other"); c != (CancelAnswer{Recorded: true}) {
		t.Errorf("answer %+v for a job that no entry has", c)
	}
	o.Request(now, "a", Request{"job", 1})
	now, _ = pass(o, now, 2*limits.LostAfter)
	if c, _ := o.Cancel(now, "b", "job"); c != (CancelAnswer{Recorded: true, MayHave: true}) {
		t.Errorf("answer %+v for a job whose owner was lost", c)
	}
	if a, ok := o.Request(now, "a", Request{"job", 2}); !ok || !a.Cancelled {
		t.Errorf("answer %+v, %t to the owner that comes back", a, ok)
	}
	o = New(start, limits)
	if c, _ := o.Cancel(start, "b", "job"); c != (CancelAnswer{Recorded: true, MayHave: true}) {
		t.Errorf("answer %+v within the restore window", c)
	}
}

// Guards against cancels that are kept for ever, and against one that is recorded without space for it and said to be.
func TestCancelsAreBounded(t *testing.T) {
	o, now := newTable()
	for i := range maxCancels {
		if c, _ := o.Cancel(now, "a", fmt.Sprint(i)); !c.Recorded {
			t.Fatalf("cancel %d is not recorded", i)
		}
	}
	if c, _ := o.Cancel(now, "a", "job"); c != (CancelAnswer{MayHave: true}) || o.Cancelled("job") {
		t.Errorf("answer %+v beyond the bound", c)
	}
	if c, _ := o.Cancel(now, "a", "1"); !c.Recorded {
		t.Errorf("answer %+v to a repeated cancel", c)
	}
	now, _ = pass(o, now, cancelRetention+time.Second)
	if o.Cancels() != 0 {
		t.Errorf("%d cancels after their time", o.Cancels())
	}
	if c, _ := o.Cancel(now, "a", "job"); !c.Recorded {
		t.Errorf("answer %+v when there is space again", c)
	}
}

// Guards against "no entry has it" for a job whose owner was lost, when too many were lost to be kept by name.
func TestLostOwnersBeyondBoundMayHaveAnyJob(t *testing.T) {
	o, now := newTable()
	for i := range maxLostJobs + 1 {
		o.Request(now, "a", Request{fmt.Sprint(i), uint64(i)})
	}
	now, _ = pass(o, now, 2*limits.LostAfter)
	if c, _ := o.Cancel(now, "b", "other"); !c.MayHave {
		t.Errorf("answer %+v", c)
	}
	now, _ = pass(o, now, cancelRetention+time.Second)
	if c, _ := o.Cancel(now, "b", "another"); c.MayHave {
		t.Errorf("answer %+v after the time of the lost owners", c)
	}
}
