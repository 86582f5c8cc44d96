package sched

import (
	"cmp"
	"maps"
	"slices"

	"poplargw.example/dispatch/result"
)

// counters are the totals that Stats returns.
type counters struct {
	starts        uint64
	wasted        uint64
	startRefusals map[result.Code]uint64
	jobRefusals   map[result.Code]uint64
}

// Stats is a snapshot of a Scheduler for status and metrics.
type Stats struct {
	Queues  []QueueStats
	Servers []ServerStats
	// Starts counts StartTask actions. Wasted counts those that were refused, except with
	// code NotReady, which this entry reports before it sends a message.
	Starts, Wasted uint64
	// StartRefusals counts refused StartTask actions by code.
	StartRefusals map[result.Code]uint64
	// JobRefusals counts the jobs that Submit refused, by code.
	JobRefusals map[result.Code]uint64
	// Jobs is the number of jobs in progress.
	Jobs int
}

// QueueStats counts the queued and running tasks of a kind of a service.
type QueueStats struct {
	Service, Kind   string
	Queued, Running int
}

// ServerStats is the state of a backend server as the scheduler knows it.
type ServerStats struct {
	Placement Placement
	Service   string
	Slots     int
	// FreeSlots is the estimated number of free slots.
	FreeSlots int
	// Held is the number of slots taken by unanswered starts of this entry.
	Held int
	// Suspended is set while the server gets at most one task at a time because its tasks
	// failed, see package health.
	Suspended bool
	// Out is set while operators have taken the server or its failure domain out of service.
	Out bool
	// Leaving is set if the server is leaving or its agent is draining.
	Leaving bool
	// Lost is set while the agent gets no new tasks because it is silent or AgentLost was
	// called.
	Lost bool
}

// Stats returns a snapshot. Queues are sorted by service and kind, servers by name and
// agent.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		Starts: s.counters.starts, Wasted: s.counters.wasted, Jobs: len(s.jobs),
		StartRefusals: maps.Clone(s.counters.startRefusals), JobRefusals: maps.Clone(s.counters.jobRefusals),
	}
	for _, svc := range s.serviceList {
		st.Queues = append(st.Queues, svc.stats()...)
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
		return cmp.Or(cmp.Compare(a.Placement.Server, b.Placement.Server), cmp.Compare(a.Placement.Agent, b.Placement.Agent))
	})
	return st
}

func (svc *service) stats() []QueueStats {
	queued := map[string]int{}
	for _, c := range svc.waitingClasses {
		queued[c.kind.name] += c.tasks
	}
	var out []QueueStats
	for _, k := range svc.kindList {
		out = append(out, QueueStats{Service: svc.name, Kind: k.name, Queued: queued[k.name], Running: k.running})
	}
	return out
}

func (s *Scheduler) serverStats(v *server) ServerStats {
	return ServerStats{
		Placement: v.placement, Service: v.Service, Slots: v.Slots, FreeSlots: v.free, Held: v.held,
		Suspended: v.health.Suspended(),
		Out:       s.isOut(v), Leaving: v.Leaving || v.agent.draining, Lost: v.agent.lost,
	}
}
