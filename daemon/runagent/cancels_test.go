package runagent

import (
	"testing"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/owner"
)

// wantCancelled waits for the next answer, which must say that the job was cancelled.
func (e *testEntry) wantCancelled(number uint64) {
	e.t.Helper()
	select {
	case a := <-e.answers:
		if a.GetNumber() != number || a.GetGranted() || !a.GetCancelled() {
			e.t.Fatalf("answer %v, want number %d, cancelled", a, number)
		}
	case <-time.After(answerLimit):
		e.t.Fatal("no answer")
	}
}

// wantCancel waits for a cancel of the job that the agent passes on.
func (e *testEntry) wantCancel() {
	e.t.Helper()
	select {
	case job := <-e.cancels:
		if job != "j" {
			e.t.Fatalf("cancel of job %s", job)
		}
	case <-time.After(answerLimit):
		e.t.Fatal("no cancel")
	}
}

// cancel cancels the job and returns the answer.
func (e *testEntry) cancel() *peerv1.CancelAnswer {
	e.t.Helper()
	e.send(&peerv1.EntryFrame{Cancels: []string{"j"}})
	select {
	case a := <-e.cancelAnswers:
		return a
	case <-time.After(answerLimit):
		e.t.Fatal("no answer to a cancel")
		return nil
	}
}

// Guards against a job that goes on to the next entry because its owner cancels it and releases it in one frame.
func TestCancelledJobIsNotHandedOn(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, next := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	next.request(7)
	next.wantAnswer(7, false)
	owner.send(&peerv1.EntryFrame{Cancels: []string{"j"}, Releases: []string{"j"}})
	next.wantCancelled(7)
	next.request(8)
	next.wantCancelled(8)
}

// Guards against an owner that goes on with a cancelled job: it is told over its link, and once more over the next one, because the first
// may have been dead.
func TestOwnerLearnsOfCancelOverNewLink(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, other := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	if a := other.cancel(); !a.GetPassedOn() || !a.GetRecorded() {
		t.Errorf("answer %v", a)
	}
	owner.wantCancel()
	owner.stop()
	owner.conn.Close()
	back := dialOwnerAgentWith(t, addr, "e1", "j")
	back.wantCancel()
}

// Guards against "no such job" for one whose owner was cut off and lost, and against a grant to that owner when it is back (review/9).
func TestLostOwnerLearnsOfCancel(t *testing.T) {
	addr := startOwnerAgent(t)
	owner, other := dialOwnerAgent(t, addr, "e1"), dialOwnerAgent(t, addr, "e2")
	owner.request(1)
	owner.wantAnswer(1, true)
	other.request(7)
	other.wantAnswer(7, false)
	owner.stop()
	owner.conn.Close()
	other.wantAnswer(7, true)
	other.send(&peerv1.EntryFrame{Releases: []string{"j"}})
	if a := other.cancel(); a.GetPassedOn() || !a.GetRecorded() || !a.GetMayHave() {
		t.Errorf("answer %v", a)
	}
	back := dialOwnerAgent(t, addr, "e1")
	back.request(2)
	back.wantCancelled(2)
}

// Guards against an answer by an agent that has just started, before the owners that it can reach have reported.
func TestCancelWithinRestoreWindowIsAnsweredAfterIt(t *testing.T) {
	began := time.Now() // at the latest when the window begins
	addr := startOwnerAgent(t)
	other := dialOwnerAgent(t, addr, "e2")
	other.send(&peerv1.EntryFrame{Cancels: []string{"j"}})
	holder := dialOwnerAgentWith(t, addr, "e1", "j")
	holder.wantCancel()
	select {
	case a := <-other.cancelAnswers:
		if passed := time.Since(began); passed < owner.RestoreWindow && !a.GetPassedOn() || !a.GetRecorded() || a.GetJob() != "j" {
			t.Errorf("answer %v after %s", a, passed)
		}
	case <-time.After(answerLimit):
		t.Fatal("no answer")
	}
}
