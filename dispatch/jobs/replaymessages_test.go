package jobs

import (
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// sendReport sends the state of a machine, the progress of the entry's runs and the given events to an
// entry.
func (sim *simulation) sendReport(m *machine, i int, events []run.Event) {
	s := sim.entries[i]
	sim.frames[i]++
	report := Report{Server: m.server(), Free: m.freeFor(i, sim.now), Ack: m.ackedSeqs[i], Entries: len(m.linkedEntries), OthersSlowdown: m.speeds.Others(ownerOf(i))}
	var answers []owner.Answer
	if m.owners != nil {
		m.owners.addListed(sim.now, &report)
		answers = m.owners.take(i)
	}
	if sim.reportsUsage && !m.earlierBuild {
		report.Usage = m.account.Usage(sim.now, m.cpuCapacity)
	}
	type seen struct {
		ref       run.Ref
		percent   int
		startedAt time.Time
	}
	var progress []seen
	for _, ref := range m.refs() {
		if r := m.runs[ref]; r.entry == i {
			progress = append(progress, seen{ref, int(100 * min(0.99, m.progress(r, sim.now))), r.startedAt})
		}
	}
	sim.after(sim.oneWay, func() {
		if sim.failedEntries[i] {
			return
		}
		s.RecordMessage(sim.now, m.id)
		for _, p := range progress {
			s.Progress(sim.now, m.id, p.ref, p.percent, sim.now.Sub(p.startedAt))
		}
		for _, a := range answers {
			s.JobAnswered(sim.now, m.id, a)
		}
		for _, e := range events {
			s.Event(sim.now, m.id, e)
		}
		s.Report(sim.now, m.id, report)
		sim.flush(i)
		sim.updateDemand(m, i)
	})
}

// updateDemand sends the entry's demand to the agent if it changed from or to none.
func (sim *simulation) updateDemand(m *machine, i int) {
	if want := sim.entries[i].WaitingDemand(sim.now, m.id); (want.Demand.CPU > 0) != sim.demandSent[linkKey{m.id, i}] {
		sim.sendDemand(m, i)
	}
}

// sendDemand sends the entry's demand to the agent.
func (sim *simulation) sendDemand(m *machine, i int) {
	want := sim.entries[i].WaitingDemand(sim.now, m.id)
	sim.demandSent[linkKey{m.id, i}] = want.Demand.CPU > 0
	sim.frames[i]++
	slowdown := sim.entries[i].MeasuredSlowdown(m.id)
	listed := sim.entries[i].ListedAgents(sim.now)
	sim.after(sim.oneWay, func() {
		m.speeds.Set(ownerOf(i), slowdown)
		if m.owners != nil {
			m.owners.told[i] = listed
		}
		sim.receiveDemand(m, i, want)
	})
}

// receiveDemand handles the arrival of an entry's demand at the machine.
func (sim *simulation) receiveDemand(m *machine, i int, want WaitingDemand) {
	m.offers.Request(sim.now, ownerOf(i), want.Urgency, want.Demand)
	sim.sendEvents(m, map[int][]run.Event{})
}

// sendEvents sends a report to each entry that has events or a new offer.
func (sim *simulation) sendEvents(m *machine, events map[int][]run.Event) {
	offered := map[string]bool{}
	for _, name := range m.offers.Next(sim.now, m.free()) {
		offered[name] = true
	}
	for _, i := range m.linkedEntries {
		if list, ok := events[i]; ok || offered[ownerOf(i)] {
			sim.sendReport(m, i, list)
		}
	}
}

// linkKey identifies the link over which an entry sends its demand.
type linkKey struct {
	agent string
	entry int
}

// flush delivers the outcomes and batches of an entry.
func (sim *simulation) flush(i int) {
	outcomes, batches := sim.entries[i].Take()
	for _, o := range outcomes {
		sim.recordOutcome(o)
	}
	for _, b := range batches {
		m := sim.byID[b.Agent]
		want := sim.entries[i].WaitingDemand(sim.now, m.id)
		sim.demandSent[linkKey{m.id, i}] = want.Demand.CPU > 0
		slowdown := sim.entries[i].MeasuredSlowdown(m.id)
		sim.frames[i]++
		sim.after(sim.oneWay, func() {
			m.speeds.Set(ownerOf(i), slowdown)
			m.offers.Request(sim.now, ownerOf(i), want.Urgency, want.Demand)
			sim.receiveBatch(m, i, b)
		})
	}
}

// receiveBatch handles the arrival of a batch at a machine: it starts and stops runs.
func (sim *simulation) receiveBatch(m *machine, i int, b Batch) {
	if m.dead {
		return
	}
	m.ackedSeqs[i] = b.Seq
	if m.owners != nil {
		m.owners.handle(sim.now, i, b)
		defer sim.sendAnswers(m)
	}
	if len(b.Orders) > 0 && sim.firstOrder[i].IsZero() && sim.firstOrder != nil {
		sim.firstOrder[i] = sim.now
	}
	var refused []run.Event
	for _, o := range b.Orders {
		sim.orderCount++
		if m.down {
			refused = append(refused, run.Event{Ref: o.Ref, Kind: run.NotRun, Reason: result.StartTooLate})
			continue
		}
		if !o.Demand.Fits(m.freeFor(i, sim.now)) {
			sim.refusedCount++
			refused = append(refused, run.Event{Ref: o.Ref, Kind: run.NotRun, Reason: result.NoFreeSlot})
			continue
		}
		m.offers.Use(ownerOf(i), o.Demand)
		r := &simRun{entry: i, cpu: o.Demand.CPU, work: sim.workOn(m, o.Ref), progressAt: sim.now, startedAt: sim.now, kind: o.Kind}
		r.usage = m.account.Add(sim.now, o.Kind, o.Demand.CPU)
		m.runs[o.Ref] = r
		sim.updateInterference(m)
		sim.traceOrder(m, o)
		sim.scheduleEnd(m, o.Ref, r)
		sim.scheduleCrash(m, o, r)
	}
	for _, ref := range b.Stops {
		sim.after(10*time.Millisecond, func() {
			if r := m.runs[ref]; r != nil {
				sim.tally.wastedCPU += m.progress(r, sim.now) * r.work.Seconds() * float64(r.cpu) / 1000
				sim.endRun(m, ref, run.Stopped)
			}
		})
	}
	sim.sendEvents(m, map[int][]run.Event{i: refused})
}
