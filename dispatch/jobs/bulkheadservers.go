package jobs

import (
	"math"
	"slices"
	"sort"

	"poplargw.example/dispatch/rendezvous"
	"poplargw.example/dispatch/run"
)

// hasBulkhead reports whether the service has a bulkhead: it needs two backend servers.
func (s *Scheduler) hasBulkhead(service string) bool {
	return slices.ContainsFunc(s.fleet, func(v *server) bool { return v.inBulkhead && v.state.Service == service })
}

// bulkheadAvailable reports whether a backend server of the service's bulkhead accepts tasks.
func (s *Scheduler) bulkheadAvailable(service string) bool {
	for _, v := range s.fleet {
		if v.inBulkhead && v.state.Service == service && v.acceptsTasks(s.outOfService) {
			return true
		}
	}
	return false
}

// chooseBulkhead marks the backend servers of the service's bulkhead, or none if it is not active. All
// entries choose the same: those with the highest scores of a rendezvous hash. An entry that knows only a
// part of the agents takes those whose score is above a bound instead.
func (s *Scheduler) chooseBulkhead(service string, active bool) {
	var members []*server
	for _, v := range s.fleet {
		if v.state.Service != service {
			continue
		}
		v.inBulkhead = false
		// Servers that crash come back and keep their place; these do not for a while.
		if !s.outOfService[v.state.Domain] && v.state.State != run.Draining {
			members = append(members, v)
		}
	}
	if !active || len(members) < 2 {
		return
	}
	scores := make(map[*server]uint64, len(members))
	for _, v := range members {
		scores[v] = rendezvous.Score(v.agent, []byte(service))
	}
	sort.Slice(members, func(i, j int) bool { return scores[members[i]] > scores[members[j]] })
	size := max(1, int(math.Round(bulkheadShare*float64(len(members)))))
	for i, v := range members {
		above := float64(scores[v]) >= (1-bulkheadShare)*math.MaxUint64
		v.inBulkhead = i == 0 || s.partial && above || !s.partial && i < size
	}
}

// bulkheadAllows reports whether the job's kind may use the backend server: a confined kind only those of
// the bulkhead, one job at a time, and the others only the rest.
func (s *Scheduler) bulkheadAllows(j *job, v *server) bool {
	confined := s.confined(j)
	if confined != v.inBulkhead {
		return false
	}
	if !confined {
		return true
	}
	for _, a := range v.runs {
		if a.job != j {
			return false
		}
	}
	return true
}
