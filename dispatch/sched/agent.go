package sched

import (
	"slices"
	"time"
)

// retentionTime is how long the state of a silent agent and the health of a removed
// server are kept.
const retentionTime = 10 * time.Minute

// maxPastIncarnations is the number of earlier incarnations of an agent that are
// remembered to detect late messages. A message is late by seconds at most, and an agent
// rarely restarts that often in this time.
const maxPastIncarnations = 8

// agent is the latest known state of an agent.
type agent struct {
	name             string
	incarnation      string
	pastIncarnations []string // earlier incarnations, oldest first; their late reports are ignored
	reportSequence   uint64   // sequence of the newest report
	countSequence    uint64   // sequence of the newest slot count
	domain           string
	region           string
	draining         bool
	lost             bool
	lastContact      time.Time // time of the last report or slot count
	servers          []*server
	generation       uint64 // number of reports
}

// AgentReport replaces the state of an agent by a newer report. Late reports are ignored.
func (s *Scheduler) AgentReport(now time.Time, r AgentReport) []Action {
	s.beginEvent(now)
	a := s.agents[r.Agent]
	if a == nil {
		a = &agent{name: r.Agent}
		s.agents[r.Agent] = a
		s.agentList = append(s.agentList, a)
	}
	if a.isLate(r) {
		return nil
	}
	if a.incarnation != r.Incarnation {
		s.replaceIncarnation(a, r.Incarnation)
	}
	a.reportSequence, a.domain, a.region, a.draining = r.Sequence, r.Domain, r.Region, r.Draining
	a.lost, a.lastContact = false, now
	s.updateServers(now, a, r)
	return s.endEvent(now)
}

// isLate reports whether the agent, or a later incarnation of it, has sent a newer report.
func (a *agent) isLate(r AgentReport) bool {
	if a.incarnation == r.Incarnation {
		return r.Sequence < a.reportSequence
	}
	return slices.Contains(a.pastIncarnations, r.Incarnation)
}

// replaceIncarnation records that the agent has restarted, and removes the servers of its former incarnation.
func (s *Scheduler) replaceIncarnation(a *agent, incarnation string) {
	s.removeServers(a)
	dropped := max(0, len(a.pastIncarnations)+1-maxPastIncarnations)
	a.pastIncarnations = append(a.pastIncarnations[dropped:], a.incarnation)
	a.incarnation, a.reportSequence, a.countSequence = incarnation, 0, 0
}

// updateServers adds, updates and removes the servers of an agent to match its report.
func (s *Scheduler) updateServers(now time.Time, a *agent, r AgentReport) {
	a.generation++
	newest := r.Sequence >= a.countSequence
	a.countSequence = max(a.countSequence, r.Sequence)
	for _, in := range r.Servers {
		v := a.server(in.Name)
		if v != nil && v.Service != in.Service {
			s.removeServer(v)
			v = nil
		}
		if v == nil {
			v = s.addServer(a, in)
		}
		v.generation = a.generation
		s.updateServer(now, v, in, newest)
	}
	for i := len(a.servers) - 1; i >= 0; i-- {
		if a.servers[i].generation != a.generation {
			s.removeServer(a.servers[i])
		}
	}
}

func (a *agent) server(name string) *server {
	for _, v := range a.servers {
		if v.Name == name {
			return v
		}
	}
	return nil
}

func (s *Scheduler) removeServers(a *agent) {
	for len(a.servers) > 0 {
		s.removeServer(a.servers[len(a.servers)-1])
	}
}

// AgentLost stops the placement of tasks at an agent until its next report. Its
// unanswered starts stay outstanding; their outcome still arrives through StartReply.
func (s *Scheduler) AgentLost(now time.Time, name string) []Action {
	s.beginEvent(now)
	if a := s.agents[name]; a != nil {
		a.lost = true
		s.updateAgentAvailability(a)
	}
	return s.endEvent(now)
}

// checkSilentAgents stops the placement of tasks at silent agents and forgets those that
// have been silent for retentionTime.
func (s *Scheduler) checkSilentAgents(now time.Time) {
	for i := len(s.agentList) - 1; i >= 0; i-- {
		a := s.agentList[i]
		silence := now.Sub(a.lastContact)
		if !a.lost && silence >= s.opts.AgentSilence {
			a.lost = true
			s.updateAgentAvailability(a)
		}
		if silence >= retentionTime {
			s.removeServers(a)
			delete(s.agents, a.name)
			s.agentList = slices.Delete(s.agentList, i, i+1)
		}
	}
}
