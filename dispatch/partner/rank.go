package partner

import (
	"cmp"
	"slices"

	"poplargw.example/dispatch/rendezvous"
)

// scoredAgent is an agent with its rendezvous score for the entry.
type scoredAgent struct {
	Agent
	score uint64
}

// rank orders the fleet by the entry's preference, by rendezvous hash, and returns the order and
// the size of the base. A change of the fleet moves no other agent, and the orders of different
// entries are independent.
func (s *Set) rank(fleet []Agent) ([]Agent, int) {
	local, remote := s.split(fleet)
	if len(fleet) <= fullMeshLimit {
		return agents(local, remote), len(fleet)
	}
	first, rest := local, []scoredAgent(nil)
	if len(local) > localBase {
		first, rest = local[:localBase], local[localBase:]
	}
	firstRemote, others := takePerDomain(remote, remoteBasePerDomain)
	base := agents(first, firstRemote)
	return append(base, agents(rest, others)...), len(base)
}

// split returns the agents of the entry's own failure domain and the others, each by descending
// score.
func (s *Set) split(fleet []Agent) (local, remote []scoredAgent) {
	for _, a := range fleet {
		v := scoredAgent{a, rendezvous.Score(s.entry, []byte(a.ID))}
		if a.Domain == s.domain {
			local = append(local, v)
		} else {
			remote = append(remote, v)
		}
	}
	byScore := func(a, b scoredAgent) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(local, byScore)
	slices.SortFunc(remote, byScore)
	return local, remote
}

// takePerDomain returns the first n agents of each failure domain, and the others.
func takePerDomain(list []scoredAgent, n int) (first, others []scoredAgent) {
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

// agents concatenates the lists without the scores.
func agents(lists ...[]scoredAgent) []Agent {
	var all []Agent
	for _, list := range lists {
		for _, a := range list {
			all = append(all, a.Agent)
		}
	}
	return all
}

// moveToFront moves the required agents to the front of the ranking, where they belong to the base, and returns the
// size of the base.
func moveToFront(ranked []Agent, base int, required []string) int {
	next := 0
	for i, a := range ranked {
		if !slices.Contains(required, a.ID) {
			continue
		}
		if i >= base {
			base++
		}
		copy(ranked[next+1:i+1], ranked[next:i])
		ranked[next] = a
		next++
	}
	return base
}
