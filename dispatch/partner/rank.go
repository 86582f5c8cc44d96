package partner

import (
	"cmp"
	"slices"

	"poplargw.example/dispatch/rendezvous"
)

type scored struct {
	Agent
	score uint64
}

// rank orders the fleet as the entry takes it, by rendezvous hash, and returns the size of the base. A
// change of the fleet moves no other agent, and the sets of different entries are independent.
func (s *Set) rank(fleet []Agent) ([]Agent, int) {
	near, far := s.split(fleet)
	if len(fleet) <= allOf {
		return agents(near, far), len(fleet)
	}
	first, rest := near, []scored(nil)
	if len(near) > nearBase {
		first, rest = near[:nearBase], near[nearBase:]
	}
	few, others := firstOfEach(far, farBase)
	base := agents(first, few)
	return append(base, agents(rest, others)...), len(base)
}

// split returns the agents of the entry's own failure domain and the others, each by score.
func (s *Set) split(fleet []Agent) (near, far []scored) {
	for _, a := range fleet {
		v := scored{a, rendezvous.Score(s.entry, []byte(a.ID))}
		if a.Domain == s.domain {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	byScore := func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(near, byScore)
	slices.SortFunc(far, byScore)
	return near, far
}

// firstOfEach returns the first n agents of each failure domain, and the others.
func firstOfEach(list []scored, n int) (first, others []scored) {
	taken := map[string]int{}
	for _, a := range list {
		if taken[a.Domain] < n {
			taken[a.Domain]++
			first = append(first, a)
		} else {
			others = append(others, a)
		}
	}
	return first, others
}

func agents(lists ...[]scored) []Agent {
	var all []Agent
	for _, list := range lists {
		for _, a := range list {
			all = append(all, a.Agent)
		}
	}
	return all
}
