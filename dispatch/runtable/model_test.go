package runtable

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/run"
)

// modelServer is a backend server as the platform describes it: orders are carried out until their
// expiry, at once or late, everything ends with the lease, and ends are listed until they were seen.
type modelServer struct {
	clock   int64
	lease   int64
	running map[run.Ref]int64 // room taken
	stopped map[string]uint64
	ended   []Ended
	number  int64
}

func (m *modelServer) advance(ms int64) {
	m.clock += ms
	if m.clock <= m.lease {
		return
	}
	for ref := range m.running {
		m.finish(ref, run.Stopped)
	}
}

func (m *modelServer) finish(ref run.Ref, kind run.Kind) {
	delete(m.running, ref)
	m.number++
	m.ended = append(m.ended, Ended{Number: m.number, Ref: ref, Kind: kind})
	m.stopped[ref.Task] = max(m.stopped[ref.Task], ref.Run)
}

// start tells whether the order was accepted.
func (m *modelServer) start(ref run.Ref, cpu, expiry int64) bool {
	if _, ok := m.running[ref]; ok {
		return true
	}
	if m.clock > expiry || ref.Run <= m.stopped[ref.Task] {
		return false
	}
	m.running[ref] = cpu
	m.lease = max(m.lease, expiry)
	return true
}

func (m *modelServer) look(lease, lastSeen int64) Look {
	m.lease = max(m.lease, lease)
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Number > lastSeen {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	l := Look{Born: testBorn, ClockMS: m.clock, Ended: append([]Ended(nil), m.ended...)}
	for ref := range m.running {
		l.Running = append(l.Running, Seen{Ref: ref})
	}
	return l
}

// sentOrder is an order that the backend server has not carried out yet.
type sentOrder struct {
	ref         run.Ref
	cpu, expiry int64
}

// Guards against any order of late orders, lost answers, late looks, pauses, ends, stops and restarts
// of the agent that breaks the room, or that tells an entry that a run has ended which still runs or
// can still begin.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelServer{clock: 5000, running: map[run.Ref]int64{}, stopped: map[string]uint64{}}
		now := start()
		table := New(now, testLimits)
		table.Announce(now, testServer, testBorn)
		var sent []sentOrder
		var late []Look
		over := map[run.Ref]bool{}
		next := uint64(0)
		note := func(events []Event) {
			for _, e := range events {
				over[e.Ref] = true
			}
		}
		demands := map[run.Ref]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				ms := rapid.Int64Range(1, 250).Draw(t, "ms")
				now = now.Add(time.Duration(ms) * time.Millisecond)
				m.advance(ms)
			},
			"order": func(t *rapid.T) {
				next++
				o := sentOrder{ref: ref(rapid.SampledFrom([]string{"a.0", "b.0", "c.0"}).Draw(t, "task"), next), cpu: rapid.Int64Range(1, 6).Draw(t, "cpu") * 1000}
				code := table.Order(now, Order{Ref: o.ref, Owner: "e1", Demand: run.Demand{CPU: o.cpu}, Instance: testServer.Instance, Token: now})
				if code == 0 {
					table.Heard("e1", now)
					o.expiry = table.Expiry(o.ref)
					demands[o.ref] = o.cpu
					sent = append(sent, o)
				}
			},
			"carry out": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(t, "i")
				o := sent[i]
				sent = append(sent[:i], sent[i+1:]...)
				accepted := m.start(o.ref, o.cpu, o.expiry)
				answered := rapid.Bool().Draw(t, "answered")
				switch {
				case answered && accepted:
					table.Accepted(now, time.Millisecond, o.ref, m.clock)
				case answered:
					note(table.Rejected(now, o.ref, 4012))
				}
			},
			"look": func(t *rapid.T) {
				lease := table.Lease(now)
				if rapid.Bool().Draw(t, "not sent") {
					table.Sent(lease, false)
					return
				}
				table.Sent(lease, true)
				l := m.look(lease, table.LastSeen())
				if rapid.Bool().Draw(t, "lost") {
					return
				}
				if rapid.Bool().Draw(t, "late") {
					late = append(late, l)
					return
				}
				note(table.Looked(now, l))
			},
			"late look": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				note(table.Looked(now, late[0]))
				late = late[1:]
			},
			"end": func(t *rapid.T) {
				for r := range m.running {
					m.finish(r, run.Done)
					return
				}
				t.Skip()
			},
			"sweep": func(t *rapid.T) {
				note(table.Lapsed(now))
				for _, r := range table.Sweep(now) {
					if _, ok := m.running[r]; ok && rapid.Bool().Draw(t, "arrives") {
						m.finish(r, run.Stopped)
					}
				}
			},
			"restart": func(t *rapid.T) {
				table = New(now, testLimits)
				late = nil
				table.Announce(now, testServer, testBorn)
			},
			"claim": func(t *rapid.T) {
				if !table.Settled(now) {
					t.Skip()
				}
				for r := range m.running {
					if e := table.Claim("e1", r, run.Demand{CPU: demands[r]}, now, now); e.Kind == run.Running {
						table.Heard("e1", now)
					}
				}
			},
			"": func(t *rapid.T) {
				var used int64
				for r, cpu := range m.running {
					used += cpu
					if over[r] {
						t.Fatalf("%v runs after its end was told", r)
					}
				}
				if used > testServer.Room.CPU {
					t.Fatalf("%d of %d in use", used, testServer.Room.CPU)
				}
			},
		})
	})
}
