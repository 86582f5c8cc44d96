package entry

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
)

// TestResentStartAttaches guards against a second start, or a lost result, when the connection
// breaks after the agent has granted the first copy of the start.
func TestResentStartAttaches(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := tb.startAgent(newAgent("x"))
	tb.net.injectFaults("x", "Start", lostResponse, lostRequest)
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 1)), 1)
	if agent.totalStarts() != 1 {
		t.Fatalf("%d starts", agent.totalStarts())
	}
}

// TestRefusalAfterBrokenStartIsChecked guards against reporting "not run" while a delayed first
// copy of the start can still be granted. The scheduler would place the task a second time.
func TestRefusalAfterBrokenStartIsChecked(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	x := newAgent("x")
	x.refusals = []uint32{uint32(result.NoFreeSlot)}
	tb.net.lateDelay = 300 * time.Millisecond
	tb.net.injectFaults("x", "Start", lateRequest)
	tb.startAgent(x)
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 1)), 1)
	if x.totalStarts() != 1 || x.refusedStarts != 1 {
		t.Fatalf("%d starts after %d refusals", x.totalStarts(), x.refusedStarts)
	}
}

// TestEntryThatIsNotFreshStartsNothing guards against starts by an entry that may have lost contact
// with the other entries.
func TestEntryThatIsNotFreshStartsNothing(t *testing.T) {
	tb := newTestbed(t)
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := tb.startAgent(newAgent("x"))
	v := tb.clusters["a"]
	func() { defer v.lock()(); v.notFresh = true }()
	r := newRequest(oneMember, "a", 0, 1)
	wantFailure(t, <-e.receiveAsync(r), result.NotReady, result.Unknown)
	if agent.totalStarts() != 0 {
		t.Fatal("an entry that is not fresh started a task")
	}
	func() { defer v.lock()(); v.notFresh = false }()
	eventually(t, "fresh again", func() bool { return (<-e.receiveAsync(r)).f == nil })
}

// TestLostAgentEndsJob guards against a job that hangs or runs twice when its agent is lost.
func TestLostAgentEndsJob(t *testing.T) {
	tb := newTestbed(t)
	e := tb.startEntry("a", tableOf(1, "a"))
	tb.net.injectFaults("x", "Start", lostResponse)
	agent := newAgent("x")
	tb.startAgent(agent)
	tb.startAgent(newAgent("y"))
	agent.onStart = func() { tb.net.disconnect("x") }
	for {
		got := <-e.receiveAsync(newRequest(tableOf(1, "a"), "a", 0, 1))
		if agent.totalStarts() == 0 {
			continue
		}
		wantFailure(t, got, result.AgentLost, result.Unknown)
		return
	}
}

// TestDroppedResultIsNotRunAgain guards against unbounded memory for results, and against a second
// run of a job whose results were dropped.
func TestDroppedResultIsNotRunAgain(t *testing.T) {
	tb := newTestbed(t)
	tb.limits.ResultBytes = 10
	oneMember := tableOf(1, "a")
	e := tb.startEntry("a", oneMember)
	agent := tb.startAgent(newAgent("x"))
	r := newRequest(oneMember, "a", 0, 2)
	wantResults(t, <-e.receiveAsync(r), 2)
	wantResults(t, <-e.receiveAsync(newRequest(oneMember, "a", 0, 2)), 2)
	wantFailure(t, <-e.receiveAsync(r), result.ResultGone, result.Run)
	if agent.totalStarts() != 4 {
		t.Fatalf("%d starts", agent.totalStarts())
	}
}
