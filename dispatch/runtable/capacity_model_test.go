package runtable

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/run"
)

// capacityServer models a backend server: it carries out orders until their expiry, at once or late,
// stops all runs when the lease expires, and lists ended runs until the agent has seen them.
type capacityServer struct {
	clock           int64
	lease           int64
	running         map[run.Ref]run.Demand // resources in use by run
	highestEndedRun map[string]uint64
	ended           []EndedRun
	lastEndNumber   int64
}

func (m *capacityServer) advance(ms int64) {
	m.clock += ms
	if m.clock <= m.lease {
		return
	}
	for ref := range m.running {
		m.finish(ref, run.Stopped)
	}
}

func (m *capacityServer) finish(ref run.Ref, kind run.EventKind) {
	delete(m.running, ref)
	m.lastEndNumber++
	m.ended = append(m.ended, EndedRun{Number: m.lastEndNumber, Ref: ref, Kind: kind})
	m.highestEndedRun[ref.Task] = max(m.highestEndedRun[ref.Task], ref.Run)
}

// start starts the run and reports whether the order was accepted.
func (m *capacityServer) start(ref run.Ref, demand run.Demand, expiry int64) bool {
	if _, ok := m.running[ref]; ok {
		return true
	}
	if m.clock > expiry || ref.Run <= m.highestEndedRun[ref.Task] {
		return false
	}
	m.running[ref] = demand
	m.lease = max(m.lease, expiry)
	return true
}

func (m *capacityServer) snapshot(lease, lastEnd int64) Snapshot {
	m.lease = max(m.lease, lease)
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Number > lastEnd {
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
func (m *capacityServer) possibleUse(pending []capacityOrder) run.Demand {
	var used run.Demand
	for _, demand := range m.running {
		used = used.Add(demand)
	}
	for _, o := range pending {
		if m.clock <= o.expiry && o.ref.Run > m.highestEndedRun[o.ref.Task] {
			used = used.Add(o.demand)
		}
	}
	return used
}

// drawDemand draws an amount of each resource, between low and high tenths of the largest capacity.
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

// largestCapacity is the largest capacity that the model's backend server has.
var largestCapacity = run.Demand{CPU: 10_000, MemoryMB: 1000, GPU: 10}

// Guards against runs that exceed the capacity, and against reporting the end of a run that still
// runs or can still start, after any sequence of late orders, lost answers, late snapshots, pauses,
// ends, stops, changes of the capacity and agent restarts.
func TestModelOfCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &capacityServer{clock: 5000, running: map[run.Ref]run.Demand{}, highestEndedRun: map[string]uint64{}}
		now := start()
		table := New(now, testLimits)
		server := testServer
		server.Capacity = largestCapacity
		table.Announce(now, server, testIncarnation)
		table.ApplySnapshot(now, m.snapshot(0, 0))
		quarantine := testLimits.OrderExpiry + time.Millisecond
		now = now.Add(quarantine)
		m.advance(quarantine.Milliseconds())
		table.ApplySnapshot(now, m.snapshot(0, 0))
		var capacityOrders []capacityOrder
		var delayedSnapshots []Snapshot
		reportedEnded := map[run.Ref]bool{}
		next := uint64(0)
		recordEnded := func(events []Event) {
			for _, e := range events {
				reportedEnded[e.Ref] = true
			}
		}
		demands := map[run.Ref]run.Demand{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				ms := rapid.Int64Range(1, 250).Draw(t, "ms")
				now = now.Add(time.Duration(ms) * time.Millisecond)
				m.advance(ms)
			},
			"order": func(t *rapid.T) {
				next++
				o := capacityOrder{ref: ref(rapid.SampledFrom([]string{"a.0", "b.0", "c.0"}).Draw(t, "task"), next), demand: drawDemand(t, 1, 6)}
				code := table.Order(now, Order{Ref: o.ref, Owner: "e1", Demand: o.demand, Instance: testServer.Instance, Token: now})
				if code == 0 {
					table.Confirmed("e1", now)
					o.expiry = table.Expiry(o.ref)
					demands[o.ref] = o.demand
					capacityOrders = append(capacityOrders, o)
					if used := m.possibleUse(capacityOrders); !used.Fits(server.Capacity) {
						t.Fatalf("an order brings the use to %+v of %+v", used, server.Capacity)
					}
				}
			},
			"carry out": func(t *rapid.T) {
				if len(capacityOrders) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(capacityOrders)-1).Draw(t, "i")
				o := capacityOrders[i]
				capacityOrders = append(capacityOrders[:i], capacityOrders[i+1:]...)
				accepted := m.start(o.ref, o.demand, o.expiry)
				answered := rapid.Bool().Draw(t, "answered")
				switch {
				case answered && accepted:
					table.Accepted(now, time.Millisecond, o.ref, m.clock)
				case answered:
					recordEnded(table.Rejected(now, o.ref, 4012))
				}
			},
			"snapshot": func(t *rapid.T) {
				lease := table.RenewLease(now)
				if rapid.Bool().Draw(t, "not sent") {
					table.RenewalDone(lease, false)
					return
				}
				table.RenewalDone(lease, true)
				snap := m.snapshot(lease, table.LastEnd())
				if rapid.Bool().Draw(t, "lost") {
					return
				}
				if rapid.Bool().Draw(t, "late") {
					delayedSnapshots = append(delayedSnapshots, snap)
					return
				}
				recordEnded(table.ApplySnapshot(now, snap))
			},
			"answered snapshot": func(t *rapid.T) {
				lease := table.RenewLease(now)
				table.RenewalDone(lease, true)
				recordEnded(table.ApplySnapshot(now, m.snapshot(lease, table.LastEnd())))
			},
			"late snapshot": func(t *rapid.T) {
				if len(delayedSnapshots) == 0 {
					t.Skip()
				}
				recordEnded(table.ApplySnapshot(now, delayedSnapshots[0]))
				delayedSnapshots = delayedSnapshots[1:]
			},
			"end": func(t *rapid.T) {
				for r := range m.running {
					m.finish(r, run.Done)
					return
				}
				t.Skip()
			},
			"sweep": func(t *rapid.T) {
				recordEnded(table.ExpireLease(now))
				for _, r := range table.Sweep(now) {
					if _, ok := m.running[r]; ok && rapid.Bool().Draw(t, "arrives") {
						m.finish(r, run.Stopped)
					}
				}
			},
			"stop": func(t *rapid.T) {
				for r := range m.running {
					if table.Stop(now, r) && rapid.Bool().Draw(t, "arrives") {
						m.finish(r, run.Stopped)
					}
					return
				}
				t.Skip()
			},
			"restart": func(t *rapid.T) {
				table = New(now, testLimits)
				delayedSnapshots = nil
				table.Announce(now, server, testIncarnation)
			},
			"capacity": func(t *rapid.T) {
				server.Capacity = drawDemand(t, 0, 10)
				table.Announce(now, server, testIncarnation)
			},
			"request": func(t *rapid.T) {
				owner := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "owner")
				table.Request(now, owner, now, drawDemand(t, 0, 10))
				table.Offer(now)
			},
			"claim": func(t *rapid.T) {
				if !table.CanAnswerClaims(now) {
					t.Skip()
				}
				for r := range m.running {
					if e := table.Claim("e1", r, demands[r], now, now); e.Kind == run.Running {
						table.Confirmed("e1", now)
					}
				}
			},
			"": func(t *rapid.T) {
				var used run.Demand
				for r, demand := range m.running {
					used = used.Add(demand)
					if reportedEnded[r] {
						t.Fatalf("%v runs after its end was reported", r)
					}
				}
				if !used.Fits(largestCapacity) {
					t.Fatalf("%+v of %+v in use", used, largestCapacity)
				}
			},
		})
	})
}
