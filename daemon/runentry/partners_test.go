package runentry

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

// Closing an old link must not disable a newer link to the same agent: an agent can be removed and added
// again before the goroutine of its first link notices.
func TestClosingOldLinkKeepsNewLink(t *testing.T) {
	e, first := newTestEntry(t)
	old := first.conn
	e.mu.Lock()
	e.removePartner(first)
	e.mu.Unlock()
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	second := &agent{id: first.id, listed: true}
	e.agents[first.id] = second
	e.openLink(second, link.New(local))
	t.Cleanup(second.conn.Close)
	e.scheduler.Report(boottime.Now(), first.id, jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000}},
	})
	e.handleLinkLost(first, old, errors.New("closed"))
	if e.scheduler.Servers() != 1 {
		t.Error("agent is unusable after its previous link was closed")
	}
	if e.openLink(first, old) {
		t.Error("openLink accepted a connection to a removed agent")
	}
	e.handleLinkLost(second, second.conn, errors.New("closed"))
	if e.scheduler.Servers() != 0 {
		t.Error("agent is still usable without a link")
	}
}

// An entry must not open links to every agent of a large fleet, and must keep its partners when the store
// returns an empty list.
func TestPartnersAreBoundedAndRetained(t *testing.T) {
	e, _ := newTestEntry(t)
	var list []Agent
	for i := range 200 {
		list = append(list, Agent{ID: fmt.Sprint("a", i), Address: "127.0.0.1:1", Domain: fmt.Sprint("d", i%4)})
	}
	e.SetAgents(list)
	partners := len(e.agents)
	if partners < 3 || partners > 60 {
		t.Errorf("%d of %d agents are partners, want 3 to 60", partners, len(list))
	}
	e.SetAgents(nil)
	if len(e.agents) != partners {
		t.Errorf("%d of %d partners remain after the list became empty", len(e.agents), partners)
	}
}
