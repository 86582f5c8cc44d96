package entry

import (
	"context"
	"testing"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
)

// TestSuccessorResumesStartedTasks guards against a second start of a task that the removed home
// had started, and against losing the tasks that it had not started: the receiver sends the
// job to the successor, which must complete it.
func TestSuccessorResumesStartedTasks(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	_, b, twoMembers := tb.startPair(agent)
	got := b.receiveAsync(newRequest(twoMembers, "a", 0, 12))
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	tb.net.disconnect("a")
	tb.clusters["b"].Adopt(nil, tableOf(3, "b"))
	release()
	wantResults(t, <-got, 12)
	if agent.totalStarts() != 12 {
		t.Fatalf("%d starts of 12 tasks", agent.totalStarts())
	}
}

// TestUnreachableAgentLeavesOldIDsUnknown guards against running a submission again whose start
// record may be at an agent that does not answer the claim, and against delaying its answer.
func TestUnreachableAgentLeavesOldIDsUnknown(t *testing.T) {
	tb := newTestbed(t)
	tb.limits.Freshness, tb.limits.TokenAge = 300*time.Millisecond, 100*time.Millisecond
	tb.limits.ClockSkew = 500 * time.Millisecond
	unreachable := newAgent("y")
	_, b, twoMembers := tb.startPair(newAgent("x"), unreachable)
	// An agent that b knows only from a gets no tasks, so the test would guard against nothing.
	eventually(t, "y reports to b", func() bool { return b.claimState(t, "y").agentReported })
	tb.net.disconnect("y")
	tb.net.disconnect("a")
	r := newRequest(twoMembers, "a", 0, 1)
	tb.clusters["b"].Adopt(nil, tableOf(3, "b"))
	wantFailure(t, <-b.receiveAsync(r), result.OutcomeUnknown, result.Unknown)
	// Placed on y before y counts as lost, a task has an unknown outcome: the entry cannot know whether y got it.
	eventually(t, "new IDs are known and y is lost", func() bool {
		s := b.claimState(t, "y")
		return s.agentLost && time.Now().Add(-time.Millisecond).After(s.unknownUntil) // IDs hold whole milliseconds
	})
	wantResults(t, <-b.receiveAsync(newRequest(twoMembers, "a", 0, 1)), 1)
	if unreachable.totalStarts() != 0 {
		t.Fatal("the unreachable agent got a start")
	}
}

// TestSilentMemberKeepsRangeClosed guards against serving keys that have moved to an entry while
// their previous home, which has not answered the claim, may still start tasks of them.
func TestSilentMemberKeepsRangeClosed(t *testing.T) {
	tb := newTestbed(t)
	b := tb.startEntry("b", tableOf(4, "a"))
	agent := tb.startAgent(newAgent("x"))
	twoMembers := tableOf(5, "a", "b")
	tb.clusters["b"].Adopt(nil, twoMembers)
	wantFailure(t, <-b.receiveAsync(newRequest(twoMembers, "b", 0, 1)), result.RangeClosed, result.Unknown)
	if b.Ready() || agent.totalStarts() != 0 {
		t.Fatal("the entry opened its range or started a task without the answer of a member")
	}
}

// TestNewHomeForwardsToHolder guards against a second execution, or an interrupted job, when a new
// entry becomes the home of a key that another member still holds.
func TestNewHomeForwardsToHolder(t *testing.T) {
	tb := newTestbed(t)
	a := tb.startEntry("a", tableOf(1, "a"))
	agent := newAgent("x")
	release := agent.holdResults()
	tb.startAgent(agent)
	twoMembers := tableOf(2, "a", "b")
	r := newRequest(twoMembers, "b", 0, 12)
	first := a.receiveAsync(r)
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	tb.clusters["a"].Adopt(nil, twoMembers)
	b := tb.startEntry("b", twoMembers)
	eventually(t, "claim", b.home.settled.Load)
	second := b.receiveAsync(r)
	out, f := b.lookup(context.Background(), keyOf(r))
	if f != nil || out.GetState() != poplargwv1.State_STATE_PENDING {
		t.Fatalf("outcome %v, failure %v", out, f)
	}
	release()
	wantResults(t, <-first, 12)
	wantResults(t, <-second, 12)
	if agent.totalStarts() != 12 {
		t.Fatalf("%d starts of 12 tasks", agent.totalStarts())
	}
}
