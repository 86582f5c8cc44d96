package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/sched"
)

// statusTimeout bounds the wait for the home loop.
const statusTimeout = 2 * time.Second

// Status describes the agents, backend servers and queues that this entry knows. It leaves
// the fields that concern the cluster empty, and returns only the entry's name when the
// home loop does not answer within statusTimeout.
func (e *Entry) Status() *poplargwv1.GetStatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, ok := ask(ctx, e.home, func(out chan<- *poplargwv1.GetStatusResponse) message { return statusMsg{out: out} })
	if !ok {
		return &poplargwv1.GetStatusResponse{Entry: e.self}
	}
	return s
}

// statusMsg asks the home loop for the status.
type statusMsg struct {
	out chan<- *poplargwv1.GetStatusResponse
}

func (m statusMsg) apply(h *home, now time.Time) {
	st := h.sched.Stats()
	s := &poplargwv1.GetStatusResponse{Entry: h.e.self, Agents: h.agentStatus(now, st.Servers)}
	for _, q := range st.Queues {
		s.Queues = append(s.Queues, &poplargwv1.QueueStatus{
			Service: q.Service, Kind: q.Kind, Queued: uint32(q.Queued), Running: uint32(q.Running),
		})
	}
	m.out <- s
}

// agentStatus describes the agents that are not lost, in order of their names.
func (h *home) agentStatus(now time.Time, servers []sched.ServerStats) []*poplargwv1.AgentStatus {
	byAgent := make(map[string][]*poplargwv1.ServerStatus)
	for _, v := range servers {
		byAgent[v.Placement.Agent] = append(byAgent[v.Placement.Agent], &poplargwv1.ServerStatus{
			Name: v.Placement.Server, Service: v.Service, Slots: uint32(max(v.Slots, 0)), FreeSlots: uint32(max(v.FreeSlots, 0)),
			Out: v.Out, Leaving: v.Leaving, Suspended: v.Suspended,
		})
	}
	var out []*poplargwv1.AgentStatus
	for id, a := range h.directory.agents {
		if a.lost {
			continue
		}
		out = append(out, &poplargwv1.AgentStatus{
			Id: id, Domain: a.state.GetDomain(), ConfigVersion: a.config,
			LastReport: durationpb.New(now.Sub(a.lastReport)), Servers: byAgent[id],
		})
	}
	slices.SortFunc(out, func(a, b *poplargwv1.AgentStatus) int { return cmp.Compare(a.Id, b.Id) })
	return out
}

// exportQueues updates the queue metrics.
func (h *home) exportQueues() {
	for _, q := range h.sched.Stats().Queues {
		h.e.metrics.setQueue(q.Service, q.Kind, q.Queued, q.Running)
	}
}
