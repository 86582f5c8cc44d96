package partner

import (
	"cmp"
	"slices"
	"time"
)

// open takes the next agents in the order.
func (s *Set) open(now time.Time, n int) []string {
	var ids []string
	sick := s.sick()
	for i, a := range s.ranked {
		if len(ids) >= n {
			break
		}
		if s.members[a.ID] != nil || i >= s.base && (s.out[a.Domain] || sick[a.Domain]) || s.rests(now, a.ID) {
			continue
		}
		s.members[a.ID] = &member{rank: i, domain: a.Domain, since: now, listed: true, opening: true}
		s.opening++
		ids = append(ids, a.ID)
	}
	return ids
}

// sick returns the failure domains of which most partners cannot take work.
func (s *Set) sick() map[string]bool {
	failing, all := map[string]int{}, map[string]int{}
	for _, m := range s.members {
		all[m.domain]++
		if !m.usable && !m.opening {
			failing[m.domain]++
		}
	}
	sick := map[string]bool{}
	for domain, n := range failing {
		sick[domain] = n >= sickLeast && 2*n > all[domain]
	}
	return sick
}

func (s *Set) rests(now time.Time, agent string) bool {
	until, ok := s.resting[agent]
	if ok && !now.Before(until) {
		delete(s.resting, agent)
		return false
	}
	return ok
}

// shed returns the partners beyond those that are needed, the last in the order first. Those of the base
// stay, so that they are in use again as soon as they can take work, and those with tasks of the entry.
func (s *Set) shed(now time.Time, view View) []string {
	var ids []string
	working := s.working()
	for _, id := range s.spare() {
		m := s.members[id]
		if m.usable && working <= s.base+s.extra || view.Busy(id) {
			continue
		}
		if m.usable {
			working--
		} else {
			s.resting[id] = now.Add(restFor)
		}
		delete(s.members, id)
		ids = append(ids, id)
	}
	return ids
}

func (s *Set) working() int {
	n := 0
	for _, m := range s.members {
		if m.usable || m.opening {
			n++
		}
	}
	return n
}

// spare returns the partners that are not part of the base, the last in the order first.
func (s *Set) spare() []string {
	var ids []string
	for id, m := range s.members {
		if m.listed && m.rank >= s.base && !m.opening {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(s.members[b].rank, s.members[a].rank) })
	return ids
}
