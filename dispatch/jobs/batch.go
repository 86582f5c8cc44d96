package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poplargw.example/dispatch/run"
)

// stop tells the agent to stop a run, once.
func (s *Scheduler) stop(a *attempt) {
	if a.stopRequested {
		return
	}
	a.stopRequested = true
	b := s.batch(a.server)
	b.Stops = append(b.Stops, a.ref)
}

// batch returns the batch that collects the next orders, stops and claims for the agent, and marks it
// for sending.
func (s *Scheduler) batch(v *server) *Batch {
	s.dirty[v.agent] = v
	return &v.batch
}

// Take returns the outcomes and batches that have accumulated since the last call. Batches for agents
// without a link are dropped: their runs are claimed when the link is back.
func (s *Scheduler) Take() ([]Outcome, []Batch) {
	outcomes := s.outcomes
	s.outcomes = nil
	if len(s.dirty) == 0 {
		return outcomes, nil
	}
	var batches []Batch
	for _, v := range s.dirtyServers() {
		if v.linked {
			batches = append(batches, s.nextFrame(v))
		}
		v.batch = Batch{}
	}
	clear(s.dirty)
	return outcomes, batches
}

// dirtyServers returns the servers with a batch to send, ordered by agent.
func (s *Scheduler) dirtyServers() []*server {
	list := slices.Collect(maps.Values(s.dirty))
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.agent, b.agent) })
	return list
}

// Decisions returns the decisions to be logged that have accumulated since the last call.
func (s *Scheduler) Decisions() []Decision {
	list := s.decisions
	s.decisions = nil
	return list
}

// recordDecision records a decision for the log, or drops it if maxDecisions are pending.
func (s *Scheduler) recordDecision(d Decision) {
	if len(s.decisions) < maxDecisions {
		s.decisions = append(s.decisions, d)
	}
}

// maxDecisions bounds the decisions that Decisions has not returned yet.
const maxDecisions = 4096

// nextFrame returns the server's batch with the next frame number and records that number in the runs
// whose orders it carries.
func (s *Scheduler) nextFrame(v *server) Batch {
	v.seq++
	b := v.batch
	b.Agent, b.Seq = v.agent, v.seq
	for _, o := range b.Orders {
		if a := v.runs[o.Ref]; a != nil {
			a.seq = v.seq
		}
	}
	return b
}

// NextFrame returns the next frame for the agent even if there is nothing to send in it, and false if
// the agent has no link.
func (s *Scheduler) NextFrame(agent string) (Batch, bool) {
	v := s.servers[agent]
	if v == nil || !v.linked {
		return Batch{}, false
	}
	b := s.nextFrame(v)
	v.batch = Batch{}
	delete(s.dirty, agent)
	return b, true
}

// HasRuns reports whether the agent may have runs of this entry.
func (s *Scheduler) HasRuns(agent string) bool {
	v := s.servers[agent]
	return v != nil && len(v.runs) > 0
}

// newRunRef returns a run number for the task that is higher than those of its earlier runs, including
// those started by other entries: numbers are derived from the clock.
func (s *Scheduler) newRunRef(now time.Time, t *task) run.Ref {
	t.lastRun = max(t.lastRun+1, uint64(now.UnixMilli()+s.limits.RunOffset))
	return run.Ref{Task: t.name, Run: t.lastRun}
}
