package runagent

import (
	"net"
	"testing"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// newDrainingAgent returns an agent whose only run has just ended, and its session with the owner of the run,
// which has not received that yet.
func newDrainingAgent(t *testing.T) (*Agent, *session) {
	a, ref := newAgentWithOrder(&fakeBackend{})
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	s := &session{entry: "e", conn: link.New(near)}
	a.addSession(s)
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 1})
	if a.drained(s.lastReceived) {
		t.Fatal("the agent counts as drained while it has a run")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Accepted(boottime.Now(), time.Millisecond, ref, 2)
	a.deliver(a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{
		Incarnation: 1, ClockMS: 1000, Ended: []runtable.EndedRun{{Number: 1, Ref: ref, Kind: run.Done}},
	}))
	return a, s
}

// TestDrainWaitsUntilEndsAreConfirmed guards against an agent that exits before the entry has received the
// end of a run: the entry then counts the run as lost, and its caller waits until the deadline.
func TestDrainWaitsUntilEndsAreConfirmed(t *testing.T) {
	a, s := newDrainingAgent(t)
	if a.drained(s.lastReceived) {
		t.Fatal("the agent drained before the entry had received the end of its run")
	}
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 2, Ack: s.eventSeq})
	if !a.drained(s.lastReceived) {
		t.Fatal("the agent did not drain although the entry had confirmed the end of its run")
	}
}

// TestDrainDoesNotWaitForSilentEntry guards against an agent that waits for the confirmation of an entry that
// has lost power until the grace period ends.
func TestDrainDoesNotWaitForSilentEntry(t *testing.T) {
	a, s := newDrainingAgent(t)
	if !a.drained(s.lastReceived.Add(entryTimeout + time.Millisecond)) {
		t.Fatal("the agent waits for an entry that is silent")
	}
}
