package jobs

import "time"

// After a loss of records, jobs wait until no run of a former owner can be left. An agent that has started since says in its
// frames when its backend server has listed its runs and none of a former process is unclaimed. Once all known agents have said
// so, nothing is left to wait for. An entry with links to a part of the agents learns of the others through the registrars:
// entries tell them which agents have said so, and they pass that on. An agent that has not said so is silent, which is no
// evidence: then Limits.FormerRunsEnd has to pass since its start.

// ListedAgent identifies a process of an agent that has said that its backend server has listed its runs.
type ListedAgent struct {
	ID, Incarnation string
}

// SetKnownAgents sets the agents that may have runs: all that are listed in the store. Without any, jobs wait for times alone.
func (s *Scheduler) SetKnownAgents(agents []string) { s.knownAgents = agents }

// recordListed records what a report says about listed runs.
func (s *Scheduler) recordListed(v *server, r Report) {
	v.runsListed, v.incarnation = r.RunsListed, r.Incarnation
	for _, a := range r.ListedAgents {
		s.listedElsewhere[a.ID] = a.Incarnation
	}
}

// formerRunsEnded reports whether no run of the former processes of the agent is left: it has said so, or their leases have ended.
func (s *Scheduler) formerRunsEnded(now time.Time, v *server) bool {
	return s.hasListed(now, v) || s.startedSinceLosses(now, v) && now.Sub(v.earliestStart()) >= s.limits.FormerRunsEnd
}

// hasListed reports whether the newest process of the agent that the entry has reached has said that its runs are listed, and has
// started since the loss of records. The word of a process that has ended counts: the runs of the processes before it are over, and
// its own belong to entries that have been granted their jobs since.
func (s *Scheduler) hasListed(now time.Time, v *server) bool {
	listed := v.runsListed
	if !v.linked && !v.reported { // the newest link has ended without a report
		listed = v.formerListed
	}
	return listed && s.startedSinceLosses(now, v)
}

// allRunsListed reports whether no run of a former process is left at any known agent. What agents have told other entries counts only
// for those that this entry does not reach, and only if it knows of no lost registrar: it may be from before that loss.
func (s *Scheduler) allRunsListed(now time.Time) bool {
	changes := s.linkChanges + s.startChanges
	if s.listedAt.Equal(now) && s.listedChanges == changes {
		return s.allListed
	}
	s.listedAt, s.listedChanges, s.allListed = now, changes, len(s.knownAgents) > 0
	for _, v := range s.fleet {
		s.allListed = s.allListed && (!v.linked || s.formerRunsEnded(now, v))
	}
	for _, agent := range s.knownAgents {
		if !s.allListed {
			break
		}
		s.allListed = s.isListed(now, agent)
	}
	return s.allListed
}

// isListed reports whether no run of a former process is left at a known agent.
func (s *Scheduler) isListed(now time.Time, agent string) bool {
	v := s.servers[agent]
	if v != nil && (v.linked || s.formerRunsEnded(now, v)) {
		return s.formerRunsEnded(now, v)
	}
	incarnation, ok := s.listedElsewhere[agent]
	if !ok || s.registrarLostWithin(now) {
		return false
	}
	return v == nil || v.incarnation == "" || v.incarnation == incarnation
}

// registrarLostWithin reports whether the entry has lost a registrar within Limits.OwnerLostAfter.
func (s *Scheduler) registrarLostWithin(now time.Time) bool {
	for _, lost := range s.registrarLost {
		if now.Sub(lost) < s.limits.OwnerLostAfter {
			return true
		}
	}
	return false
}

// ListedAgents returns the agents with a link that have said that their runs are listed, for the registrars, and nil unless some
// registrar has started within Limits.OwnerLostAfter. Only then may jobs wait for that.
func (s *Scheduler) ListedAgents(now time.Time) []ListedAgent {
	if !s.registrarStarted(now) {
		clear(s.listedElsewhere)
		return nil
	}
	var list []ListedAgent
	for _, v := range s.fleet {
		if v.linked && v.incarnation != "" && s.hasListed(now, v) {
			list = append(list, ListedAgent{ID: v.agent, Incarnation: v.incarnation})
		}
	}
	return list
}

// registrarStarted reports whether a reachable registrar has started within Limits.OwnerLostAfter.
func (s *Scheduler) registrarStarted(now time.Time) bool {
	for _, agent := range s.registrars {
		if s.reachable(agent) && now.Sub(s.servers[agent].startedAt) < s.limits.OwnerLostAfter {
			return true
		}
	}
	return false
}
