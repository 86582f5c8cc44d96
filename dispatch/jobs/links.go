package jobs

import (
	"time"

	"poplargw.example/dispatch/run"
)

// AgentConnected records a new link to an agent, claims the runs that were ordered there, and repeats the
// stops that were requested.
func (s *Scheduler) AgentConnected(now time.Time, agent string) {
	v := s.servers[agent]
	if v == nil {
		v = &server{agent: agent, runs: map[run.Ref]*attempt{}, lagFactor: 1}
		s.servers[agent] = v
		s.joinFleet(v)
	} else if v.lost {
		s.joinFleet(v)
	}
	delete(s.missing, agent)
	s.recordConnection(now)
	s.observeRegistrars(now)
	s.recordLinkEnd(now, v)
	s.linkChanges++
	if v.reported {
		v.formerListed = v.runsListed
	}
	v.linked = true
	v.reported, v.runsListed = false, false
	if !v.startedAt.IsZero() {
		v.formerStart = v.startedAt
	}
	v.startedAt = time.Time{}
	v.lastContact = now
	v.seq = 0
	v.unacked = nil
	v.batch = Batch{}
	s.suspendOrders(agent)
	b := s.batch(v)
	for _, a := range v.runsInOrder() {
		b.Claims = append(b.Claims, Claim{Ref: a.ref, Demand: a.demand, Age: now.Sub(a.orderedAt)})
		if a.stopRequested {
			b.Stops = append(b.Stops, a.ref)
		}
	}
	s.restoreCancels(now, agent, b)
	s.restoreOwnerships(agent, b)
}

// AgentDisconnected records the end of the link to an agent. Its runs keep their places until they are
// claimed over a new link or have certainly ended.
func (s *Scheduler) AgentDisconnected(now time.Time, agent string) {
	if v := s.servers[agent]; v != nil {
		s.observeRegistrars(now)
		s.linkChanges++
		s.recordLinkEnd(now, v)
		v.linked, v.unlinkedAt = false, now
		s.suspendOrders(agent)
	}
}

// RecordMessage records that a message of the agent has arrived.
func (s *Scheduler) RecordMessage(now time.Time, agent string) {
	if v := s.servers[agent]; v != nil && v.linked {
		v.lastContact = now
		v.recordMessage(now, s.limits.SilenceLimit)
	}
}

// Silent returns the agents with a link from which nothing was received for longer than
// Limits.SilenceLimit. The caller closes the links.
func (s *Scheduler) Silent(now time.Time) []string {
	var silent []string
	for _, v := range s.fleet {
		if v.linked && now.Sub(v.lastContact) > s.limits.SilenceLimit {
			silent = append(silent, v.agent)
		}
	}
	return silent
}
