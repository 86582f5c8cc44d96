package runagent

import (
	"net"
	"testing"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// openSession adds a session for entry e to the agent and returns it and the entry's end of its link.
func openSession(t *testing.T, a *Agent) (*session, *link.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	s := &session{entry: "e", conn: link.New(near)}
	a.addSession(s)
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 1})
	return s, link.New(far)
}

// receive returns the agent's next frame.
func receive(t *testing.T, conn *link.Conn) *peerv1.AgentFrame {
	t.Helper()
	var f peerv1.AgentFrame
	if err := conn.Receive(&f); err != nil {
		t.Fatal(err)
	}
	return &f
}

// Guards against an entry that learns of a shrunk capacity only with a later sweep, that is told of free
// capacity while more is in use than there is, or whose order is accepted then.
func TestShrunkCapacityIsSentToEntriesAtOnce(t *testing.T) {
	a, _ := newAgentWithOrder(&fakeBackend{})
	s, conn := openSession(t, a)
	first := receive(t, conn)
	if free := first.GetFree().GetCpu(); free != 7999 {
		t.Fatalf("%d CPU free before the change", free)
	}
	a.Announce(serverWithCapacity(run.Demand{MemoryMB: 1000}), 1)
	f := receive(t, conn)
	if f.GetServer() == nil || f.GetServer().GetRoom().GetCpu() != 0 || f.GetFree().GetCpu() > 0 {
		t.Errorf("frame after the change: server %v, free %v", f.GetServer(), f.GetFree())
	}
	order := &peerv1.RunOrder{
		Ref: link.RefToProto(run.Ref{Task: "u.0.0.0", Run: 1}), Server: "i", Demand: link.DemandToProto(run.Demand{MemoryMB: 1}),
	}
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 2, TokenMs: f.GetClockMs(), Orders: []*peerv1.RunOrder{order}})
	events := receive(t, conn).GetEvents()
	if len(events) != 1 || link.EventFromProto(events[0]).Kind != run.NotRun || result.Code(events[0].GetReason()) != result.NoFreeSlot {
		t.Errorf("events %v for an order while more is in use than the capacity", events)
	}
}
