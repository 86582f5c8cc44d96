package jobs

import (
	"time"

	"poplargw.example/dispatch/run"
)

// scheduleEnd schedules the end of a run at the machine's present speed.
func (sim *simulation) scheduleEnd(m *machine, ref run.Ref, r *simRun) {
	if m.stalled {
		return
	}
	rest := time.Duration((1 - r.progress) * float64(r.work) * m.slowdown * (1 + r.interference))
	at := r.progressAt
	sim.after(rest, func() {
		if m.runs[ref] != r || r.progressAt != at {
			return
		}
		kind := run.Done
		if m.failing {
			kind = run.Failed
		}
		sim.endRun(m, ref, kind)
	})
}

// endRun ends a run and sends the event to its entry.
func (sim *simulation) endRun(m *machine, ref run.Ref, kind run.EventKind) {
	r := m.runs[ref]
	delete(m.runs, ref)
	beside := m.account.Remove(sim.now, r.usage, m.cpuCapacity)
	if !sim.reportsUsage || m.earlierBuild {
		beside = nil
	}
	sim.updateInterference(m)
	if m.dead {
		return
	}
	sim.sendEvents(m, map[int][]run.Event{r.entry: {{Ref: ref, Kind: kind, Beside: beside}}})
}

// modifyMachine changes a machine; its runs continue with the new properties.
func (sim *simulation) modifyMachine(m *machine, do func(*machine)) {
	for _, r := range m.runs {
		r.progress, r.progressAt = m.progress(r, sim.now), sim.now
	}
	do(m)
	for _, ref := range m.refs() {
		sim.scheduleEnd(m, ref, m.runs[ref])
	}
}

// failEntry stops an entry without notice. Agents stop its runs when it has been silent for 300 ms.
func (sim *simulation) failEntry(i int) {
	sim.failedEntries[i] = true
	sim.after(300*time.Millisecond, func() {
		for _, m := range sim.machines {
			for _, ref := range m.refs() {
				if m.runs[ref].entry == i {
					sim.endRun(m, ref, run.Stopped)
				}
			}
		}
	})
}
