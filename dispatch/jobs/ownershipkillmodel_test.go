package jobs

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/run"
)

// killModel is a fleet of which an entry and several agents are killed at once.
type killModel struct {
	*modelFault
	down   []string              // agents that have been killed and have not started again
	former map[run.Ref]time.Time // runs that a killed agent kept and the next process has not adopted, with the time of the kill
	dead   map[*ownerEntry]bool  // entries that have been killed
}

// alive returns the entries that run.
func (m *killModel) alive() []*ownerEntry {
	return slices.DeleteFunc(slices.Clone(m.entries), func(e *ownerEntry) bool { return e.paused })
}

// each calls a function for the runs of the entries at an agent.
func (m *killModel) each(agent string, entries []*ownerEntry, do func(run.Ref)) {
	for _, e := range entries {
		for ref, at := range e.running {
			if at == agent {
				do(ref)
			}
		}
	}
}

// kill kills agents, and an entry unless it is nil. Another entry starts in its place.
func (m *killModel) kill(agents []string, e *ownerEntry) {
	for _, agent := range agents {
		if !slices.Contains(m.down, agent) {
			m.killAgents(agent)
			m.down = append(m.down, agent)
			m.each(agent, m.entries, func(ref run.Ref) { m.former[ref] = m.now })
		}
	}
	if e == nil {
		return
	}
	m.killEntry(e)
	m.dead[e] = true
	next := m.addEntry()
	for _, agent := range m.agents {
		if !slices.Contains(m.down, agent) {
			m.connect(next, agent)
		}
	}
}

// start starts an agent again.
func (m *killModel) start(agent string) {
	m.down = slices.DeleteFunc(m.down, func(a string) bool { return a == agent })
	m.restartAgents(agent)
	m.each(agent, m.alive(), func(ref run.Ref) { delete(m.former, ref) })
	for _, e := range m.alive() {
		for len(e.frames[agent]) > 0 { // the frame that claims the runs lists the jobs that the entry owns
			m.deliverFrame(e, agent)
		}
		m.learnEnds(e)
	}
}

// endFormerRuns ends the runs of dead entries that no process of an agent keeps: nothing renews their leases.
func (m *killModel) endFormerRuns() {
	for e := range m.dead {
		for ref := range e.running {
			if killed, ok := m.former[ref]; ok && m.now.Sub(killed) > formerLease {
				delete(e.running, ref)
			}
		}
	}
}

// elapse moves the time.
func (m *killModel) elapse(ticks int) {
	for range ticks {
		m.advance(20 * time.Millisecond)
		m.stopLostRuns()
		m.endFormerRuns()
	}
}

// Guards against two entries with runs of one task when an entry and any agents are killed at once, at any time after one
// another, and the agents start again at different times.
//
// Left out: entries that are paused or lack a link to an agent that is up, and lists of agents that differ.
// TestOwnershipFaultModel has these without kills.
func TestOwnershipKillModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOwnerFleetWith(lostRecordLimits(), 3, 4)
		m := &killModel{modelFault: &modelFault{ownerFleet: f}, former: map[run.Ref]time.Time{}, dead: map[*ownerEntry]bool{}}
		entry := func() *ownerEntry { return m.alive()[rapid.IntRange(0, 2).Draw(t, "entry")] }
		agent := func() string { return rapid.SampledFrom(f.agents).Draw(t, "agent") }
		job := func() string { return rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job") }
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { f.submit(entry(), job()) },
			"abandon": func(*rapid.T) { e := entry(); e.Abandon(job()); f.take(e) },
			"frame":   func(*rapid.T) { f.deliverFrame(entry(), agent()) },
			"answer":  func(*rapid.T) { f.deliverAnswer(entry(), agent()) },
			"deliver": func(*rapid.T) { f.deliverAll() },
			"stopped": func(*rapid.T) { f.endRun(entry(), run.Stopped) },
			"done":    func(*rapid.T) { f.endRun(entry(), run.Done) },
			"reset": func(*rapid.T) {
				if e, a := entry(), agent(); e.linked[a] {
					m.open(e, a)
				}
			},
			"time": func(*rapid.T) { m.elapse(rapid.IntRange(1, 60).Draw(t, "ticks")) },
			"kill": func(*rapid.T) {
				m.kill(rapid.SliceOfNDistinct(rapid.SampledFrom(f.agents), 1, len(f.agents), rapid.ID[string]).Draw(t, "agents"), nil)
			},
			"killWithEntry": func(*rapid.T) {
				m.kill(rapid.SliceOfNDistinct(rapid.SampledFrom(f.agents), 1, len(f.agents), rapid.ID[string]).Draw(t, "agents"), entry())
			},
			"start": func(t *rapid.T) {
				if len(m.down) == 0 {
					t.Skip("no agent is down")
				}
				m.start(rapid.SampledFrom(m.down).Draw(t, "started"))
			},
			"startAll": func(*rapid.T) {
				for _, agent := range slices.Clone(m.down) {
					m.start(agent)
				}
			},
			"": func(t *rapid.T) {
				if tasks := f.concurrent(); len(tasks) > 0 {
					t.Fatalf("two runs of %v", tasks)
				}
			},
		})
	})
}
