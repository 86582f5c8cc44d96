package runentry

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"poplargw.example/daemon/link"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

// Guards against the end of an old link that takes a new one out of use: an agent that was let go may be taken
// again before the goroutine of its first link has noticed.
func TestOldLinkDoesNotEndTheNewOne(t *testing.T) {
	e, first := newTestEntry(t)
	old := first.conn
	e.mu.Lock()
	e.letGo(first)
	e.mu.Unlock()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { theirs.Close() })
	second := &agent{id: first.id, listed: true}
	e.agents[first.id] = second
	e.open(second, link.New(ours))
	t.Cleanup(second.conn.Close)
	e.scheduler.Report(steady.Now(), first.id, jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Room: run.Demand{CPU: 8000}},
	})
	e.lost(first, old, errors.New("closed"))
	if e.scheduler.Servers() != 1 {
		t.Error("the agent is not in use after the end of its former link")
	}
	if e.open(first, old) {
		t.Error("a link of an agent that was let go is in use")
	}
	e.lost(second, second.conn, errors.New("closed"))
	if e.scheduler.Servers() != 0 {
		t.Error("the agent is in use without a link")
	}
}

// Guards against a link to each agent of a large fleet, and against partners that are dropped because the
// store has lost the list.
func TestEntryKeepsPartners(t *testing.T) {
	e, _ := newTestEntry(t)
	var list []Agent
	for i := range 200 {
		list = append(list, Agent{ID: fmt.Sprint("a", i), Address: "127.0.0.1:1", Domain: fmt.Sprint("d", i%4)})
	}
	e.SetAgents(list)
	partners := len(e.agents)
	if partners < 3 || partners > 60 {
		t.Errorf("%d of %d agents are partners", partners, len(list))
	}
	e.SetAgents(nil)
	if len(e.agents) != partners {
		t.Errorf("%d partners are left of %d when the list is gone", len(e.agents), partners)
	}
}
