package runagent

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/runtable"
)

// Guards against frames that say that runs are listed before the backend server has listed them since all orders of the former
// process have expired, against entries that learn of that only with the next heartbeat, and against an agent that does not pass on
// what an entry has told it.
func TestAgentSaysWhenRunsAreListed(t *testing.T) {
	a := New(Options{Backend: &fakeBackend{}, Limits: pollerLimits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	near, far := net.Pipe()
	if err := far.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	entry := link.New(far)
	t.Cleanup(func() { near.Close(); entry.Close() })
	s := &session{entry: "e", conn: link.New(near)}
	a.addSession(s)
	snapshot := func(clockMS int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.deliver(a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{Incarnation: 1, ClockMS: clockMS}))
	}
	next := func() *peerv1.AgentFrame {
		t.Helper()
		var f peerv1.AgentFrame
		if err := entry.Receive(&f); err != nil {
			t.Fatal(err)
		}
		return &f
	}
	snapshot(1)
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 1, ListedAgents: []*peerv1.ListedAgent{{Id: "b", Incarnation: "2"}}})
	f := next()
	if listed := f.GetListedAgents(); f.GetRunsListed() || len(listed) != 1 || listed[0].GetId() != "b" {
		t.Errorf("before the orders of the former process have expired: runs listed %t, listed agents %v", f.GetRunsListed(), listed)
	}
	snapshot(pollerLimits.OrderExpiry.Milliseconds() + 2)
	a.sweep(t.Context())
	if f = next(); !f.GetRunsListed() {
		t.Error("the next frame does not say that runs are listed")
	}
}

// Guards against entries that learn nothing of agents to which only others have links, against a list in each frame although it
// has not changed, and against lists for entries that do not wait.
func TestListedAgentsArePassedOn(t *testing.T) {
	named := func(ids ...string) []*peerv1.ListedAgent {
		var list []*peerv1.ListedAgent
		for _, id := range ids {
			list = append(list, &peerv1.ListedAgent{Id: id, Incarnation: "1"})
		}
		return list
	}
	first, second, third := &session{entry: "first"}, &session{entry: "second"}, &session{entry: "third"}
	a := &Agent{sessions: map[string]*session{"first": first, "second": second, "third": third}}
	first.recordListed(named("a", "b"))
	second.recordListed(named("c", "b"))
	union := a.listedFor(first)
	if len(union) != 3 || union[0].GetId() != "a" || union[2].GetId() != "c" {
		t.Errorf("the first entry learns of %v", union)
	}
	if list := a.listedFor(first); list != nil {
		t.Errorf("sent again: %v", list)
	}
	if list := a.listedFor(third); list != nil {
		t.Errorf("an entry that sends no list learns of %v", list)
	}
	second.recordListed(named("c", "d"))
	if union = a.listedFor(first); len(union) != 4 {
		t.Errorf("after a change the first entry learns of %v", union)
	}
	second.recordListed(nil)
	first.recordListed(nil)
	first.recordListed(named("a"))
	if union = a.listedFor(first); len(union) != 1 {
		t.Errorf("after the others have ended the first entry learns of %v", union)
	}
}
