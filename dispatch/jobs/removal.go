package jobs

import (
	"cmp"
	"slices"
	"time"
)

// maxSuspended bounds how many suspended backend servers are remembered after their agents were
// removed.
const maxSuspended = 1024

// unresolvedRetention is how long the runs of an agent that does not return are kept after the agent's newest message, if
// their jobs have ended here. It covers the time for which callers submit a job again.
const unresolvedRetention = 30 * time.Second

// removeLostAgents removes the agents that have been without a link for longer than Limits.LostAfter. Their runs are kept:
// silence is no evidence that a run has ended, because the VM may be suspended, on which the lease stands. A run ends by the
// answer to its claim over the next link. Until then its task does not start again, and the entry remains the owner of its
// job.
func (s *Scheduler) removeLostAgents(now time.Time) {
	for _, v := range slices.Clone(s.fleet) {
		if v.linked || now.Sub(v.lastContact) <= s.limits.LostAfter {
			continue
		}
		s.recordDecision(Decision{Kind: Lost, Agent: v.agent, Age: now.Sub(v.lastContact), Runs: len(v.runs)})
		s.recordMissing(v)
		if len(v.runs) == 0 {
			s.remove(v)
			continue
		}
		v.lost = true
		s.leaveFleet(v)
	}
	for _, v := range s.lostAgents() {
		if now.Sub(v.lastContact) > unresolvedRetention {
			s.forgetRuns(now, v)
		}
		if len(v.runs) == 0 {
			s.remove(v)
		}
	}
}

// lostAgents returns the agents that are kept for their runs alone, in the order of their names.
func (s *Scheduler) lostAgents() []*server {
	var lost []*server
	for _, v := range s.servers {
		if v.lost {
			lost = append(lost, v)
		}
	}
	slices.SortFunc(lost, func(a, b *server) int { return cmp.Compare(a.agent, b.agent) })
	return lost
}

// forgetRuns forgets the runs of an agent whose jobs have ended here.
func (s *Scheduler) forgetRuns(now time.Time, v *server) {
	for _, a := range v.runsInOrder() {
		if s.jobs[a.job.ID] != a.job {
			s.removeRun(now, a)
		}
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
	if !v.lost {
		s.leaveFleet(v)
	}
	if v.health != nil && v.health.Suspended() && len(s.suspended) < maxSuspended {
		s.suspended[v.state.Instance] = v.health
	}
	delete(s.servers, v.agent)
}

// joinFleet adds an agent to those whose backend servers count for placement and capacity.
func (s *Scheduler) joinFleet(v *server) {
	v.lost = false
	s.fleet = append(s.fleet, v)
	slices.SortFunc(s.fleet, func(a, b *server) int { return cmp.Compare(a.agent, b.agent) })
	if v.health != nil {
		s.groups[v.state.Service].Restore(v.health)
	}
}

// leaveFleet is the opposite of joinFleet.
func (s *Scheduler) leaveFleet(v *server) {
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	s.linkChanges++
	delete(s.dirty, v.agent)
	s.fleet = slices.DeleteFunc(s.fleet, func(o *server) bool { return o == v })
}
