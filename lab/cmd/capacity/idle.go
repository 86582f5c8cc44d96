package main

import (
	"runtime"
	"time"
)

// processUsage is the average CPU use of a process over the measuring window in percent of one CPU, its
// resident memory in MB, and its traffic in bytes per second.
type processUsage struct {
	cpu, resident, in, out float64
}

// measureUsage measures a process over the window, and the traffic of one source IP through the
// forwarders of the target processes.
func (s *system) measureUsage(p *process, source string, targets ...*process) processUsage {
	var in, out int64
	for _, f := range targets {
		in -= s.forwarder(f).trafficFrom(source).in.Load()
		out -= s.forwarder(f).trafficFrom(source).out.Load()
	}
	cpu, begin := p.cpu(), time.Now()
	time.Sleep(s.window)
	took := time.Since(begin).Seconds()
	u := processUsage{cpu: 100 * (p.cpu() - cpu) / took, resident: p.resident()}
	for _, f := range targets {
		in += s.forwarder(f).trafficFrom(source).in.Load()
		out += s.forwarder(f).trafficFrom(source).out.Load()
	}
	u.in, u.out = float64(in)/took, float64(out)/took
	return u
}

// measureEntry measures an idle entry. The size is the number of stand-in agents.
func measureEntry(o options) error {
	return measureRows(o, "Idle entry by agents", entryRow,
		"CPU %", "resident MB", "in B/s", "out B/s", "connect CPU s")
}

// entryRow measures an idle entry with n stand-in agents, and the CPU time that it used until they were
// connected.
func entryRow(o options, kind string, n int, t *resultTable) error {
	s, err := newSystem(o, kind, 1)
	if err != nil {
		return err
	}
	defer s.stop()
	e := s.entries[0]
	before := e.cpu()
	if n > 0 {
		if err := s.addStandIns(n, 0); err != nil {
			return err
		}
	}
	connected := e.cpu() - before
	time.Sleep(settleTime)
	u := s.measureUsage(e, s.net.IP(hostStandIn), e)
	t.addRow(n, u.cpu, u.resident, u.in, u.out, connected)
	return nil
}

// measureAgent measures an idle agent with one backend server. The size is the number of entries.
func measureAgent(o options) error {
	return measureRows(o, "Idle agent by entries", agentRow, "CPU %", "resident MB", "out B/s", "in B/s", "fetches per change")
}

// agentRow measures an idle agent with n entries and adds a row to the table.
func agentRow(o options, kind string, n int, t *resultTable) error {
	s, err := newFleet(o, kind, n, 1)
	if err != nil {
		return err
	}
	defer s.stop()
	time.Sleep(settleTime)
	a := s.agents[0]
	u := s.measureUsage(a, a.IP, s.entries...)
	t.addRow(n, u.cpu, u.resident, u.in, u.out, s.fetches())
	return nil
}

// fetches returns the number of times that the agent fetches the configuration per change.
func (s *system) fetches() float64 {
	const name = "poplargw_agent_fetches_total"
	before := s.agents[0].metric(name)
	for range changesPerRow {
		_ = s.apply()
		time.Sleep(2 * reportInterval)
	}
	return (s.agents[0].metric(name) - before) / changesPerRow
}

// measurePeers measures an idle entry without agents, and the calls of all entries to the store. The
// size is the number of entries.
func measurePeers(o options) error {
	return measureRows(o, "Idle entry by entries", peersRow,
		"CPU %", "resident MB", "out B/s", "in B/s", "store calls/s of all entries", "store calls per change")
}

// peersRow measures the first of n idle entries and adds a row to the table.
func peersRow(o options, kind string, n int, t *resultTable) error {
	s, err := newSystem(o, kind, n)
	if err != nil {
		return err
	}
	defer s.stop()
	time.Sleep(settleTime)
	before, begin := s.storeCalls(), time.Now()
	u := s.measureUsage(s.entries[0], s.entries[0].IP, s.entries...)
	rate := (s.storeCalls() - before) / time.Since(begin).Seconds()
	t.addRow(n, u.cpu, u.resident, u.in, u.out, rate, s.callsPerChange(rate))
	return nil
}

// callsPerChange applies configuration changes and returns the store calls per change beyond the idle
// rate, which is given in calls per second.
func (s *system) callsPerChange(rate float64) float64 {
	before, begin := s.storeCalls(), time.Now()
	for range changesPerRow {
		_ = s.apply()
		time.Sleep(reportInterval)
	}
	return (s.storeCalls() - before - rate*time.Since(begin).Seconds()) / changesPerRow
}

// currentHeap collects garbage and returns the live heap of this process in bytes.
func currentHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
