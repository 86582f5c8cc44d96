package runtable

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/run"
)

// largestCapacity is the largest capacity of the backend server in the model of capacities.
var largestCapacity = run.Demand{CPU: 10_000, MemoryMB: 1000, GPU: 10}

// drawDemand draws an amount of each resource, between low and high tenths of largestCapacity.
func drawDemand(t *rapid.T, low, high int64) run.Demand {
	return run.Demand{
		CPU:      rapid.Int64Range(low, high).Draw(t, "cpu") * 1000,
		MemoryMB: rapid.Int64Range(low, high).Draw(t, "memory") * 100,
		GPU:      rapid.Int64Range(low, high).Draw(t, "gpu"),
	}
}

// capacityOrder is an order that the backend server has not carried out yet.
type capacityOrder struct {
	ref    run.Ref
	demand run.Demand
	expiry int64
}

// capacityModel models a backend server whose capacity changes, and the table of its agent. The server carries
// out orders until their expiry, at once or late, stops all runs when the lease expires, and lists ended runs
// until the agent has seen them.
type capacityModel struct {
	table  *Table
	server run.Server // as announced
	now    time.Time

	clock, lease    int64
	running         map[run.Ref]run.Demand
	highestEndedRun map[string]uint64
	ended           []EndedRun
	lastEndNumber   int64

	next      uint64 // number of the newest run
	demands   map[run.Ref]run.Demand
	orderedAt map[run.Ref]time.Time
	pending   []capacityOrder
	delayed   []Snapshot
	reported  map[run.Ref]bool // runs whose end the table has reported
}

// newCapacityModel returns a model whose table accepts orders.
func newCapacityModel() *capacityModel {
	m := &capacityModel{
		table: New(start(), testLimits), server: testServer, now: start(), clock: 5000, running: map[run.Ref]run.Demand{},
		highestEndedRun: map[string]uint64{}, demands: map[run.Ref]run.Demand{},
		orderedAt: map[run.Ref]time.Time{}, reported: map[run.Ref]bool{},
	}
	m.server.Capacity = largestCapacity
	m.table.Announce(m.now, m.server, testIncarnation)
	m.table.ApplySnapshot(m.now, m.snapshot(0))
	m.advance(testLimits.OrderExpiry + time.Millisecond)
	m.table.ApplySnapshot(m.now, m.snapshot(0))
	return m
}

func (m *capacityModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.clock += d.Milliseconds()
	if m.clock <= m.lease {
		return
	}
	for ref := range m.running {
		m.finish(ref, run.Stopped)
	}
}

// finish ends a run on the backend server.
func (m *capacityModel) finish(ref run.Ref, kind run.EventKind) {
	delete(m.running, ref)
	m.lastEndNumber++
	m.ended = append(m.ended, EndedRun{Number: m.lastEndNumber, Ref: ref, Kind: kind})
	m.highestEndedRun[ref.Task] = max(m.highestEndedRun[ref.Task], ref.Run)
}

// canStart reports whether the backend server would start the run of a pending order.
func (m *capacityModel) canStart(o capacityOrder) bool {
	return m.clock <= o.expiry && o.ref.Run > m.highestEndedRun[o.ref.Task]
}

// snapshot renews the lease and returns the state of the runs.
func (m *capacityModel) snapshot(lease int64) Snapshot {
	m.lease = max(m.lease, lease)
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Number > m.table.LastEnd() {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	snap := Snapshot{Incarnation: testIncarnation, ClockMS: m.clock, Ended: append([]EndedRun(nil), m.ended...)}
	for ref := range m.running {
		snap.Running = append(snap.Running, RunningRun{Ref: ref})
	}
	return snap
}

// possibleUse returns the resources that are in use if every pending order that can still start does.
func (m *capacityModel) possibleUse() run.Demand {
	var used run.Demand
	for _, demand := range m.running {
		used = used.Add(demand)
	}
	for _, o := range m.pending {
		if m.canStart(o) {
			used = used.Add(o.demand)
		}
	}
	return used
}

// recordEnded records the ends that the table has reported.
func (m *capacityModel) recordEnded(events []Event) {
	for _, e := range events {
		m.reported[e.Ref] = true
	}
}

func (m *capacityModel) order(t *rapid.T) {
	m.next++
	o := capacityOrder{ref: ref(rapid.SampledFrom([]string{"a.0", "b.0", "c.0"}).Draw(t, "task"), m.next), demand: drawDemand(t, 1, 6)}
	if m.table.Order(m.now, Order{Ref: o.ref, Owner: "e1", Demand: o.demand, Instance: testServer.Instance, Token: m.now}) != 0 {
		return
	}
	m.table.Confirmed("e1", m.now)
	o.expiry = m.table.Expiry(o.ref)
	m.demands[o.ref], m.orderedAt[o.ref] = o.demand, m.now
	m.pending = append(m.pending, o)
	if used := m.possibleUse(); !used.Fits(m.server.Capacity) {
		t.Fatalf("an order brings the use to %+v of %+v", used, m.server.Capacity)
	}
}

func (m *capacityModel) carryOut(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "i")
	o := m.pending[i]
	m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
	accepted := m.canStart(o)
	if accepted {
		m.running[o.ref] = o.demand
		m.lease = max(m.lease, o.expiry)
	}
	answered := rapid.Bool().Draw(t, "answered")
	switch {
	case answered && accepted:
		m.table.Accepted(m.now, time.Millisecond, o.ref, m.clock)
	case answered:
		m.recordEnded(m.table.Rejected(m.now, o.ref, 4012))
	}
}

func (m *capacityModel) poll(t *rapid.T) {
	lease := m.table.RenewLease(m.now)
	m.table.RenewalDone(lease, true)
	snap := m.snapshot(lease)
	garble(t, &snap)
	switch rapid.SampledFrom([]string{"answered", "lost", "late"}).Draw(t, "response") {
	case "answered":
		m.recordEnded(m.table.ApplySnapshot(m.now, snap))
	case "late":
		m.delayed = append(m.delayed, snap)
	}
}

func (m *capacityModel) lateSnapshot(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip()
	}
	m.recordEnded(m.table.ApplySnapshot(m.now, m.delayed[0]))
	m.delayed = m.delayed[1:]
}

func (m *capacityModel) stop(t *rapid.T) {
	for r := range m.running {
		if m.table.Stop(m.now, r) && rapid.Bool().Draw(t, "arrives") {
			m.finish(r, run.Stopped)
		}
		return
	}
	t.Skip()
}

func (m *capacityModel) sweep(t *rapid.T) {
	m.recordEnded(m.table.ExpireLease(m.now))
	for _, r := range m.table.Sweep(m.now) {
		if _, ok := m.running[r]; ok && rapid.Bool().Draw(t, "arrives") {
			m.finish(r, run.Stopped)
		}
	}
}

func (m *capacityModel) restart(*rapid.T) {
	m.table = New(m.now, testLimits)
	m.delayed = nil
	m.table.Announce(m.now, m.server, testIncarnation)
}

// claim claims all runs, also those that have not started. Every answer but run.Running says that the run has
// ended or will never start.
func (m *capacityModel) claim(*rapid.T) {
	for r, demand := range m.demands {
		if !m.table.CanAnswerClaim(m.now, r) {
			continue
		}
		if m.table.Claim("e1", r, demand, m.now, m.orderedAt[r]).Kind != run.Running {
			m.reported[r] = true
			continue
		}
		m.table.Confirmed("e1", m.now)
	}
}

// check fails if a run continues after its end was reported.
func (m *capacityModel) check(t *rapid.T) {
	var used run.Demand
	for r, demand := range m.running {
		used = used.Add(demand)
		if m.reported[r] {
			t.Fatalf("%v runs after its end was reported", r)
		}
	}
	if !used.Fits(largestCapacity) {
		t.Fatalf("%+v of %+v in use", used, largestCapacity)
	}
}

// Guards against an accepted order with which the runs that are in progress, or may still start, exceed the
// present capacity in one of the resources, after any sequence of changes of the capacity, requests of entries,
// late orders, lost answers, late snapshots, pauses, ends, stops and agent restarts.
func TestCapacityModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCapacityModel()
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.advance(time.Duration(rapid.Int64Range(1, 250).Draw(t, "ms")) * time.Millisecond)
			},
			"end": func(t *rapid.T) {
				for r := range m.running {
					m.finish(r, run.Done)
					return
				}
				t.Skip()
			},
			"capacity": func(t *rapid.T) {
				m.server.Capacity = drawDemand(t, 0, 10)
				m.table.Announce(m.now, m.server, testIncarnation)
			},
			"request": func(t *rapid.T) {
				owner := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "owner")
				m.table.Request(m.now, owner, m.now, drawDemand(t, 0, 10))
				m.table.Offer(m.now)
			},
			"order": m.order, "carry out": m.carryOut, "poll": m.poll, "late snapshot": m.lateSnapshot,
			"stop": m.stop, "sweep": m.sweep, "restart": m.restart, "claim": m.claim, "": m.check,
		})
	})
}
