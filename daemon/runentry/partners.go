package runentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/partner"
)

// absentRetention is how long the entry keeps dialing an agent that is no longer in the store, because
// keys also disappear during a store outage.
const absentRetention = 30 * time.Second

// Agent is the address and failure domain of one agent. The address of an ID never changes.
type Agent struct {
	ID, Address, Domain string
}

// SetAgents replaces the list of known agents. A partner that is no longer listed is not removed for that
// reason while its link is up or it has runs of this entry, nor before absentRetention.
func (e *Entry) SetAgents(list []Agent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	e.fleet = make(map[string]Agent, len(list))
	fleet := make([]partner.Agent, 0, len(list))
	for _, a := range list {
		e.fleet[a.ID] = a
		fleet = append(fleet, partner.Agent{ID: a.ID, Domain: a.Domain})
	}
	for id, a := range e.agents {
		_, ok := e.fleet[id]
		if a.listed && !ok {
			a.unlistedAt = now
		}
		a.listed = ok
	}
	e.registrars = e.chooseRegistrars()
	e.scheduler.SetRegistrars(now, e.registrars)
	e.scheduler.SetKnownAgents(slices.Sorted(maps.Keys(e.fleet)))
	e.partners.SetFleet(fleet, e.registrars...)
	e.updatePartners(now)
	e.scheduler.SetExpectedAgents(now, e.partners.Len())
	e.Log.Info(event.AgentsChanged, event.Fields{"listed": len(list), "partners": e.partners.Len()})
}

// chooseRegistrars returns the agents that record the owners of jobs. Present ones that still have a link remain although
// they are not listed: keys also disappear during a store outage, at other moments for each agent, and other entries
// rely on their records. The present ones also remain when no agent is left at all, because an entry without registrars
// owns each job that it admits. The caller must hold e.mu.
func (e *Entry) chooseRegistrars() []string {
	candidates := slices.Collect(maps.Keys(e.fleet))
	for _, id := range e.registrars {
		if a := e.agents[id]; a != nil && !a.listed && a.conn != nil {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return e.registrars
	}
	return jobs.Registrars(candidates)
}

// updatePartners adds and removes partners according to the load. The caller must hold e.mu.
func (e *Entry) updatePartners(now time.Time) {
	e.removeAbsent(now)
	var load partner.Load
	load.Waiting, load.Runs = e.scheduler.Tasks()
	load.Free, load.Capacity = e.scheduler.Capacity()
	load.JobRefused = e.scheduler.TakeJobRefused()
	change := e.partners.Step(now, load, (*partnerView)(e))
	for _, id := range change.Open {
		a := e.fleet[id]
		e.agents[id] = &agent{id: id, addr: a.Address, listed: true}
	}
	for _, id := range change.Close {
		e.removePartner(e.agents[id])
	}
	e.scheduler.SetOpening(e.partners.Opening())
	e.scheduler.SetPartial(!e.partners.Complete())
	if len(change.Open) > 0 {
		select {
		case e.partnersChanged <- struct{}{}:
		default:
		}
	}
}

// removePartner closes the link to an agent that has no runs of this entry and forgets the agent. The
// caller must hold e.mu.
func (e *Entry) removePartner(a *agent) {
	delete(e.agents, a.id)
	e.scheduler.AgentDisconnected(boottime.Now(), a.id)
	e.scheduler.Release(a.id)
	if a.cancel != nil {
		a.cancel()
	}
}

// removeAbsent removes agents that have no link and no runs of this entry and have been off the list for
// absentRetention. The caller must hold e.mu.
func (e *Entry) removeAbsent(now time.Time) {
	for id, a := range e.agents {
		inUse := a.listed || a.conn != nil || e.scheduler.HasRuns(id)
		if !inUse && now.Sub(a.unlistedAt) >= absentRetention {
			e.partners.Drop(id)
			e.removePartner(a)
		}
	}
}

// partnerView implements partner.View on an Entry. The caller of its methods must hold the entry's lock.
type partnerView Entry

// Linked implements partner.View.
func (v *partnerView) Linked(id string) bool { a := v.agents[id]; return a != nil && a.conn != nil }

// Usable implements partner.View.
func (v *partnerView) Usable(id string) bool { return v.scheduler.Usable(id) }

// HasRuns implements partner.View.
func (v *partnerView) HasRuns(id string) bool { return v.scheduler.HasRuns(id) }

// dialPartners starts a goroutine that maintains a link for each new partner, until ctx ends.
func (e *Entry) dialPartners(ctx context.Context, g *errgroup.Group) error {
	for {
		select {
		case <-e.partnersChanged:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		for _, a := range e.agents {
			if a.cancel != nil {
				continue
			}
			linkCtx, cancel := context.WithCancel(ctx)
			a.cancel = cancel
			g.Go(func() error { e.maintainLink(linkCtx, a); return nil })
		}
		e.mu.Unlock()
	}
}
