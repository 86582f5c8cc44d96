package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poplargw.example/dispatch/run"
)

func (s *Scheduler) stop(a *attempt) {
	if a.stopped {
		return
	}
	a.stopped = true
	b := s.batch(a.server)
	b.Stops = append(b.Stops, a.ref)
}

// batch returns what the agent is to be told next.
func (s *Scheduler) batch(v *server) *Batch {
	s.dirty[v.agent] = v
	return &v.batch
}

// Take returns the outcomes and the batches since the last call. Batches for agents without a link
// are dropped: the runs are claimed when the link is back.
func (s *Scheduler) Take() ([]Outcome, []Batch) {
	outcomes := s.outcomes
	s.outcomes = nil
	if len(s.dirty) == 0 {
		return outcomes, nil
	}
	var batches []Batch
	for _, v := range s.dirtyInOrder() {
		if v.live {
			batches = append(batches, s.next(v))
		}
		v.batch = Batch{}
	}
	clear(s.dirty)
	return outcomes, batches
}

func (s *Scheduler) dirtyInOrder() []*server {
	list := slices.Collect(maps.Values(s.dirty))
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.agent, b.agent) })
	return list
}

// Notes returns what logs should show since the last call.
func (s *Scheduler) Notes() []Note {
	n := s.notes
	s.notes = nil
	return n
}

func (s *Scheduler) note(n Note) {
	if len(s.notes) < maxNotes {
		s.notes = append(s.notes, n)
	}
}

// maxNotes bounds the notes that nobody has taken yet.
const maxNotes = 4096

// next numbers the frame and notes which orders it carries.
func (s *Scheduler) next(v *server) Batch {
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

// Beat numbers an empty frame to the agent.
func (s *Scheduler) Beat(agent string) (Batch, bool) {
	v := s.servers[agent]
	if v == nil || !v.live {
		return Batch{}, false
	}
	b := s.next(v)
	v.batch = Batch{}
	delete(s.dirty, agent)
	return b, true
}

// Busy tells whether runs of this entry may be at the agent.
func (s *Scheduler) Busy(agent string) bool {
	v := s.servers[agent]
	return v != nil && len(v.runs) > 0
}

// newRun numbers a run. Numbers rise over all entries that may start the task.
func (s *Scheduler) newRun(now time.Time, t *task) run.Ref {
	t.lastRun = max(t.lastRun+1, uint64(now.UnixMilli()+s.limits.RunOffset))
	return run.Ref{Task: t.name, Run: t.lastRun}
}
