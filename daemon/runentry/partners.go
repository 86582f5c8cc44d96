package runentry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/partner"
)

// absentAgent is how long an agent that is not in the store any more is still dialled: keys also vanish
// while the store is down.
const absentAgent = 30 * time.Second

// Agent is where an agent of the fleet is found. An ID never changes its address.
type Agent struct {
	ID, Address, Domain string
}

// SetAgents replaces the list of agents. Partners that are no longer listed stay in use while they answer.
func (e *Entry) SetAgents(list []Agent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := steady.Now()
	e.fleet = make(map[string]Agent, len(list))
	fleet := make([]partner.Agent, 0, len(list))
	for _, a := range list {
		e.fleet[a.ID] = a
		fleet = append(fleet, partner.Agent{ID: a.ID, Domain: a.Domain})
	}
	for id, a := range e.agents {
		_, ok := e.fleet[id]
		if a.listed && !ok {
			a.unlisted = now
		}
		a.listed = ok
	}
	e.partners.SetFleet(fleet)
	e.stepPartners(now)
	e.scheduler.Expect(now, e.partners.Len())
	e.Log.Info(event.AgentsChanged, event.Fields{"listed": len(list), "partners": e.partners.Len()})
}

// stepPartners opens and closes links as the load demands. The caller holds the lock.
func (e *Entry) stepPartners(now time.Time) {
	e.dropAbsent(now)
	var load partner.Load
	load.Waiting, load.Runs = e.scheduler.Tasks()
	load.Free, load.Room = e.scheduler.Room()
	load.Unfit = e.scheduler.TakeUnfit()
	change := e.partners.Step(now, load, (*view)(e))
	for _, id := range change.Open {
		a := e.fleet[id]
		e.agents[id] = &agent{id: id, addr: a.Address, listed: true}
	}
	for _, id := range change.Close {
		e.letGo(e.agents[id])
	}
	e.scheduler.SetOpening(e.partners.Opening())
	e.scheduler.SetPartial(!e.partners.Whole())
	if len(change.Open) > 0 {
		select {
		case e.changed <- struct{}{}:
		default:
		}
	}
}

// letGo ends the link to an agent that has no runs of this entry. The caller holds the lock.
func (e *Entry) letGo(a *agent) {
	delete(e.agents, a.id)
	e.scheduler.AgentDown(a.id)
	e.scheduler.Release(a.id)
	if a.cancel != nil {
		a.cancel()
	}
}

// dropAbsent forgets agents without a link that have been gone from the list for long. The caller holds
// the lock.
func (e *Entry) dropAbsent(now time.Time) {
	for id, a := range e.agents {
		if !a.listed && a.conn == nil && now.Sub(a.unlisted) >= absentAgent && !e.scheduler.Busy(id) {
			e.partners.Drop(id)
			e.letGo(a)
		}
	}
}

// view is what the entry knows of its partners. Its methods need the entry's lock.
type view Entry

// Linked implements partner.View.
func (v *view) Linked(id string) bool { a := v.agents[id]; return a != nil && a.conn != nil }

// Usable implements partner.View.
func (v *view) Usable(id string) bool { return v.scheduler.Usable(id) }

// Busy implements partner.View.
func (v *view) Busy(id string) bool { return v.scheduler.Busy(id) }

// connect keeps a link to each partner.
func (e *Entry) connect(ctx context.Context, g *errgroup.Group) error {
	for {
		select {
		case <-e.changed:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		for _, a := range e.agents {
			if a.cancel != nil {
				continue
			}
			own, cancel := context.WithCancel(ctx)
			a.cancel = cancel
			g.Go(func() error { e.keep(own, a); return nil })
		}
		e.mu.Unlock()
	}
}
