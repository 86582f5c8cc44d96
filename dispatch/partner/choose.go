package partner

import (
	"cmp"
	"slices"
	"time"
)

// open adds the next n agents in the ranking as partners and returns their IDs. Beyond the base it
// skips agents in failing or out-of-service domains; it skips agents in back-off everywhere.
func (s *Set) open(now time.Time, n int) []string {
	var ids []string
	failingDomain := s.failingDomains()
	for i, a := range s.ranked {
		if len(ids) >= n {
			break
		}
		if s.members[a.ID] != nil || i >= s.base && (s.domainsOut[a.Domain] || failingDomain[a.Domain]) || s.inBackoff(now, a.ID) {
			continue
		}
		s.members[a.ID] = &member{rank: i, domain: a.Domain, since: now, listed: true, opening: true}
		s.opening++
		ids = append(ids, a.ID)
	}
	return ids
}

// failingDomains returns the failure domains in which most partners cannot take work.
func (s *Set) failingDomains() map[string]bool {
	failing, all := map[string]int{}, map[string]int{}
	for _, m := range s.members {
		all[m.domain]++
		if !m.usable && !m.opening {
			failing[m.domain]++
		}
	}
	failingDomain := map[string]bool{}
	for domain, n := range failing {
		failingDomain[domain] = n >= minFailingPartners && 2*n > all[domain]
	}
	return failingDomain
}

// inBackoff reports whether the agent may not be tried yet. It forgets a back-off that has ended.
func (s *Set) inBackoff(now time.Time, agent string) bool {
	until, ok := s.retryAfter[agent]
	if ok && !now.Before(until) {
		delete(s.retryAfter, agent)
		return false
	}
	return ok
}

// closeSurplus removes partners that are not needed, the lowest-ranked first, and returns their
// IDs. Partners of the base stay, so that they are in use again as soon as they can take work, and
// so do partners that may have tasks of the entry.
func (s *Set) closeSurplus(now time.Time, view View) []string {
	var ids []string
	working := s.working()
	for _, id := range s.surplus() {
		m := s.members[id]
		if m.usable && working <= s.base+s.extra || view.HasRuns(id) {
			continue
		}
		if m.usable {
			working--
		} else {
			s.retryAfter[id] = now.Add(retryBackoff)
		}
		delete(s.members, id)
		ids = append(ids, id)
	}
	return ids
}

// working returns the number of partners that can take work or are still opening.
func (s *Set) working() int {
	n := 0
	for _, m := range s.members {
		if m.usable || m.opening {
			n++
		}
	}
	return n
}

// surplus returns the partners that are not part of the base, the lowest-ranked first.
func (s *Set) surplus() []string {
	var ids []string
	for id, m := range s.members {
		if m.listed && m.rank >= s.base && !m.opening {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(s.members[b].rank, s.members[a].rank) })
	return ids
}
