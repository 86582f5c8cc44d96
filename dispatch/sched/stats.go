package sched

import (
	"cmp"
	"maps"
	"slices"

	"poplargw.example/dispatch/result"
)

type counters struct {
	starts   uint64
	wasted   uint64
	refusals map[result.Code]uint64
	refused  map[result.Code]uint64
}

// Stats is a snapshot for status and metrics.
type Stats struct {
	Queues  []QueueStats
	Servers []ServerStats
	// Starts counts StartTask actions, Wasted those that were refused.
	Starts, Wasted uint64
	// Refusals counts refused StartTasks by code.
	Refusals map[result.Code]uint64
	// Refused counts jobs that Submit refused, by code.
	Refused map[result.Code]uint64
	// Jobs is the number of jobs in progress.
	Jobs int
}

// QueueStats counts the tasks of a service and kind.
type QueueStats struct {
	Service, Kind   string
	Queued, Running int
}

// ServerStats is the view of a backend server.
type ServerStats struct {
	At      Placement
	Service string
	Slots   int
	// FreeSlots is the number of slots that this entry believes free.
	FreeSlots int
	// Held is the number of slots that unanswered starts of this entry take.
	Held      int
	Suspended bool
	Out       bool
	Leaving   bool
	Lost      bool
}

// Stats returns a snapshot, sorted by name.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		Starts: s.counters.starts, Wasted: s.counters.wasted, Jobs: len(s.jobs),
		Refusals: maps.Clone(s.counters.refusals), Refused: maps.Clone(s.counters.refused),
	}
	for _, sv := range s.serviceList {
		st.Queues = append(st.Queues, sv.stats()...)
	}
	for _, a := range s.agentList {
		for _, v := range a.servers {
			st.Servers = append(st.Servers, s.serverStats(v))
		}
	}
	slices.SortFunc(st.Queues, func(a, b QueueStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	slices.SortFunc(st.Servers, func(a, b ServerStats) int {
		return cmp.Or(cmp.Compare(a.At.Server, b.At.Server), cmp.Compare(a.At.Agent, b.At.Agent))
	})
	return st
}

func (sv *service) stats() []QueueStats {
	queued := map[string]int{}
	for _, c := range sv.waiting {
		queued[c.kind.name] += c.tasks
	}
	var out []QueueStats
	for _, k := range sv.list {
		out = append(out, QueueStats{Service: sv.name, Kind: k.name, Queued: queued[k.name], Running: k.running})
	}
	return out
}

func (s *Scheduler) serverStats(v *server) ServerStats {
	return ServerStats{
		At: v.at, Service: v.Service, Slots: v.Slots, FreeSlots: v.free, Held: v.held,
		Suspended: v.health.Suspended(),
		Out:       s.out(v), Leaving: v.Leaving || v.agent.draining, Lost: v.agent.lost,
	}
}
