package jobs

import (
	"cmp"
	"slices"
	"time"

	"poplargw.example/dispatch/rendezvous"
)

// SetRegistrars replaces the agents that may record owners of jobs. All entries must be given the same ones, at most
// MaxRegistrars. Without registrars, an entry owns each job that it admits. An empty list does not replace another one:
// keys of agents lapse while the store is down, and tasks run on no other agents.
func (s *Scheduler) SetRegistrars(now time.Time, agents []string) {
	if len(agents) == 0 {
		return
	}
	s.observeRegistrars(now)
	isChanged := !slices.Equal(s.registrars, agents)
	s.registrars = slices.Clone(agents)
	listed := make(map[string]time.Time, len(agents))
	for _, agent := range agents {
		listed[agent] = now
		s.everRegistrar[agent] = true
		if before, ok := s.registrarListed[agent]; ok {
			listed[agent] = before
		}
	}
	s.registrarListed = listed
	if s.firstListed.IsZero() {
		s.firstListed = now
	}
	s.forgetLosses(now)
	if isChanged {
		s.reorderRegistrars(now)
	}
}

// reorderRegistrars gives all jobs the order of the present registrars, which those of other entries have as well.
func (s *Scheduler) reorderRegistrars(now time.Time) {
	s.linkChanges++
	for _, o := range s.ownerships {
		o.order = s.orderFor(now, o.job)
	}
}

// orderFor returns the registrars of a job in order.
func (s *Scheduler) orderFor(now time.Time, id string) []string {
	return rankFor(id, s.registrarsAndLost(now))
}

// registrarsAndLost returns the registrars. Those that were lost within Limits.OwnerLostAfter are among them although they are
// not listed any more: they may have had the record of an owner that was lost with them.
func (s *Scheduler) registrarsAndLost(now time.Time) []string {
	candidates := s.registrars
	for agent, lost := range s.registrarLost {
		if now.Sub(lost) < s.limits.OwnerLostAfter && !slices.Contains(s.registrars, agent) {
			candidates = append(slices.Clip(candidates), agent)
		}
	}
	return candidates
}

// Registrars returns the agents out of a fleet that record owners of jobs: those with the highest scores.
func Registrars(fleet []string) []string {
	list := rankFor(registrarKey, fleet)
	return list[:min(MaxRegistrars, len(list))]
}

// registrarKey is the key for which agents are ranked to choose the registrars.
const registrarKey = "registrars"

// registrarScore returns the score by which an agent ranks among the fleet for the choice of registrars.
func registrarScore(agent string) uint64 { return rendezvous.Score(agent, []byte(registrarKey)) }

// rankFor returns the agents by their rendezvous scores for a key, highest first.
func rankFor(key string, agents []string) []string {
	scores := make(map[string]uint64, len(agents))
	for _, a := range agents {
		scores[a] = rendezvous.Score(a, []byte(key))
	}
	list := slices.Clone(agents)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return list
}

// reachable reports whether the agent records owners and has answered over the present link.
func (s *Scheduler) reachable(agent string) bool {
	v := s.servers[agent]
	return v != nil && v.linked && v.reported && v.recordsOwners
}

// reachableRegistrars returns the first registrarsPerJob reachable registrars of a job.
func (s *Scheduler) reachableRegistrars(o *ownership) []string {
	list := make([]string, 0, registrarsPerJob)
	for _, agent := range o.order {
		if len(list) == registrarsPerJob {
			break
		}
		if s.reachable(agent) {
			list = append(list, agent)
		}
	}
	return list
}

// awaitsLinks reports whether links are about to open without which the entry may not learn of the owner of the job, or has
// only one record of its own. After a start, or when all links were reset, the links open in any order, also at several
// entries at the same time. A single link that is missing does no harm: two entries that each miss one still share a
// registrar.
func (s *Scheduler) awaitsLinks(now time.Time, o *ownership) bool {
	if now.Sub(s.waitingSince(o)) >= registrarWait {
		return false
	}
	reachable, missing := 0, 0
	awaitedBefore := false // before the last registrar in use
	for _, agent := range o.order {
		if s.reachable(agent) {
			reachable++
			continue
		}
		if v := s.servers[agent]; v == nil || !v.linked || !v.reported {
			missing++
		}
		awaitedBefore = awaitedBefore || reachable < registrarsPerJob && s.linkAwaited(now, agent)
	}
	return awaitedBefore && (missing >= registrarsPerJob || reachable < registrarsPerJob)
}

// linkAwaited reports whether the link to an unreachable registrar was lost, or the registrar was listed, so recently that
// it is probably about to open.
func (s *Scheduler) linkAwaited(now time.Time, agent string) bool {
	since := s.registrarListed[agent]
	if v := s.servers[agent]; v != nil && v.linked {
		return !v.reported
	} else if v != nil && v.unlinkedAt.After(since) {
		since = v.unlinkedAt
	}
	return now.Sub(since) < registrarWait
}

// waitingSince returns the time from which on a job has waited for the registrars, with a link to any agent.
func (s *Scheduler) waitingSince(o *ownership) time.Time {
	if s.connectedSince.After(o.since) {
		return s.connectedSince
	}
	return o.since
}

// recordConnection notes the time of a link if the entry had none before.
func (s *Scheduler) recordConnection(now time.Time) {
	if !s.connected() {
		s.connectedSince = now
	}
}

// connected reports whether the entry has a link to any agent.
func (s *Scheduler) connected() bool {
	return slices.ContainsFunc(s.fleet, func(v *server) bool { return v.linked })
}

// withoutRegistrars reports whether no agent records owners, as far as the entry knows: there are none, or those that
// it has reports of are of an earlier version.
func (s *Scheduler) withoutRegistrars(o *ownership) bool {
	if len(o.order) == 0 {
		return true
	}
	return slices.ContainsFunc(o.order, func(agent string) bool {
		v := s.servers[agent]
		return v != nil && v.linked && v.reported && !v.recordsOwners
	})
}
