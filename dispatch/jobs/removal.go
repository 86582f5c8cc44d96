package jobs

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// maxSuspended bounds how many suspended backend servers are remembered after their agents were
// removed.
const maxSuspended = 1024

// endLostRuns removes the agents that have been without a link for longer than Limits.LostAfter, and treats
// their runs as stopped.
func (s *Scheduler) endLostRuns(now time.Time) {
	for _, v := range slices.Clone(s.fleet) {
		if v.linked || now.Sub(v.lastContact) <= s.limits.LostAfter {
			continue
		}
		s.recordDecision(Decision{Kind: Lost, Agent: v.agent, Age: now.Sub(v.lastContact)})
		for _, a := range v.runsInOrder() {
			s.removeRun(now, a)
			s.handleRunEnd(now, a, run.Event{Ref: a.ref, Kind: run.Stopped, Reason: result.AgentLost})
		}
		s.remove(v)
	}
}

// Release removes an agent that has no runs of this entry. It reports whether the agent is no longer
// known.
func (s *Scheduler) Release(agent string) bool {
	v := s.servers[agent]
	if v == nil || len(v.runs) > 0 {
		return v == nil
	}
	s.remove(v)
	return true
}

// remove deletes an agent and remembers its backend server if that is suspended.
func (s *Scheduler) remove(v *server) {
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	if v.health != nil && v.health.Suspended() && len(s.suspended) < maxSuspended {
		s.suspended[v.state.Instance] = v.health
	}
	s.linkChanges++
	delete(s.servers, v.agent)
	delete(s.dirty, v.agent)
	s.fleet = slices.DeleteFunc(s.fleet, func(o *server) bool { return o == v })
}
