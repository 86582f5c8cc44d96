package runtable

import (
	"fmt"

	"poplargw.example/dispatch/run"
)

// modelServer models a backend server: it carries out orders until their expiry, at once or late,
// stops all runs when the lease expires, and lists ended runs until the agent has seen them. After a
// crash it knows nothing of before and has another clock.
type modelServer struct {
	incarnation     int64
	clock           int64
	lease           int64
	running         map[run.Ref]int64 // CPU in use by run
	stopping        map[run.Ref]int64 // latest end of stopped runs, on the server's clock
	highestEndedRun map[string]uint64
	ended           []EndedRun
	lastEndNumber   int64
}

func newModelServer(incarnation, clock int64) *modelServer {
	return &modelServer{incarnation: incarnation, clock: clock, running: map[run.Ref]int64{}, stopping: map[run.Ref]int64{}, highestEndedRun: map[string]uint64{}}
}

// announced returns the server as it announces itself.
func (m *modelServer) announced() run.Server {
	s := testServer
	s.Instance = fmt.Sprintf("i-1@%d", m.incarnation)
	return s
}

func (m *modelServer) advance(ms int64) {
	m.clock += ms
	for ref, end := range m.stopping {
		if m.clock >= end {
			m.finish(ref, run.Stopped)
		}
	}
	if m.clock <= m.lease {
		return
	}
	for ref := range m.running {
		m.finish(ref, run.Stopped)
	}
}

func (m *modelServer) finish(ref run.Ref, kind run.EventKind) {
	delete(m.running, ref)
	delete(m.stopping, ref)
	m.lastEndNumber++
	m.ended = append(m.ended, EndedRun{Number: m.lastEndNumber, Ref: ref, Kind: kind})
	m.highestEndedRun[ref.Task] = max(m.highestEndedRun[ref.Task], ref.Run)
}

// modelStopMS is how long a stopped run goes on.
const modelStopMS = 50

// stop ends the run, if it is in progress, within modelStopMS, and rejects later starts of it.
func (m *modelServer) stop(ref run.Ref) {
	_, runs := m.running[ref]
	if _, ends := m.stopping[ref]; runs && !ends {
		m.stopping[ref] = m.clock + modelStopMS
	}
	m.highestEndedRun[ref.Task] = max(m.highestEndedRun[ref.Task], ref.Run)
}

// renew extends the lease, at most to the longest one that the server grants.
func (m *modelServer) renew(end int64) {
	m.lease = max(m.lease, min(end, m.clock+testLimits.MaxLease.Milliseconds()))
}

// start starts the run and reports whether the order was accepted.
func (m *modelServer) start(ref run.Ref, cpu, expiry int64) bool {
	if _, ok := m.running[ref]; ok {
		return true
	}
	if m.clock > expiry || ref.Run <= m.highestEndedRun[ref.Task] {
		return false
	}
	m.running[ref] = cpu
	m.renew(expiry)
	return true
}

func (m *modelServer) snapshot(lease, lastEnd int64) Snapshot {
	m.renew(lease)
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Number > lastEnd {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	snap := Snapshot{Incarnation: m.incarnation, ClockMS: m.clock, Ended: append([]EndedRun(nil), m.ended...)}
	for ref := range m.running {
		snap.Running = append(snap.Running, RunningRun{Ref: ref})
	}
	return snap
}
