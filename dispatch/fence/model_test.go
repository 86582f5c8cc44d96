package fence

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/result"
)

// startModel drives a fence by random calls and tracks which answers it may give.
type startModel struct {
	f   *Fence
	now Clocks
	// granted holds the tasks whose start was granted and not withdrawn.
	granted map[Task]bool
	// taskSlots holds the slots of each granted task; order lists the running tasks by start.
	taskSlots map[Task]uint32
	order     []Task
	// refusedAt holds the time of a token issued right after the latest "not run" of a task.
	refusedAt map[Task]time.Duration
	// instance is the number of the present instance of the backend server, and slots its slots.
	instance int
	slots    uint32
	// used holds the slots in use at each instance, and owner the instance that runs a task.
	used   map[int]uint32
	owner  map[Task]int
	tokens []Token
	table  uint64
	config uint64
}

func (m *startModel) task(t *rapid.T) Task {
	return Task{Key: keyAt(time.Duration(rapid.IntRange(0, 20).Draw(t, "id time"))*10*time.Second, 1),
		Index: uint32(rapid.IntRange(0, 1).Draw(t, "index"))}
}

func (m *startModel) start(t *rapid.T) {
	m.tokens = append(m.tokens, m.f.IssueToken(m.now))
	recent := m.tokens[max(0, len(m.tokens)-5):]
	kind := rapid.SampledFrom([]string{"quick", "wide"}).Draw(t, "kind")
	r := Request{
		Task: m.task(t), Hash: hash, Config: m.config, Table: m.table - uint64(rapid.IntRange(0, 1).Draw(t, "older")),
		Token: rapid.SampledFrom(recent).Draw(t, "token"), Server: "s", Service: "svc", Kind: kind,
		AttachOnly: rapid.IntRange(0, 4).Draw(t, "attach") == 0,
	}
	before := m.f.Records()
	d := m.f.Start(r, m.now)
	switch d.Verdict {
	case Granted:
		if m.granted[r.Task] {
			t.Fatalf("%v was granted twice", r.Task)
		}
		if refused, ok := m.refusedAt[r.Task]; ok && r.Token.Issued < refused {
			t.Fatalf("%v was granted by a token older than a refusal", r.Task)
		}
		if left := d.StartBefore.Sub(m.now.Wall); left < 0 || left > options.TokenAge {
			t.Fatalf("the grant is valid for %v, want 0 to the token age", left)
		}
		slots := uint32(1)
		if kind == "wide" {
			slots = 3
		}
		m.granted[r.Task], m.taskSlots[r.Task], m.owner[r.Task] = true, slots, m.instance
		m.order = append(m.order, r.Task)
		m.used[m.instance] += slots
		if m.used[m.instance] > m.slots {
			t.Fatalf("%d of %d slots are used", m.used[m.instance], m.slots)
		}
	case Refused:
		if m.f.Records() != before {
			t.Fatal("a refusal left a record")
		}
		if d.Failure.Effect == result.NotRun {
			if m.granted[r.Task] {
				t.Fatalf("%v was granted, but a later Start was answered %v", r.Task, d.Failure)
			}
			m.refusedAt[r.Task] = m.f.IssueToken(m.now).Issued
		}
	case Running, Ended:
		if !m.granted[r.Task] {
			t.Fatalf("%v has a record but was never granted", r.Task)
		}
	}
}

// end finishes or withdraws a running task.
func (m *startModel) end(t *rapid.T) {
	if len(m.order) == 0 {
		return
	}
	task := m.order[0]
	m.order = m.order[1:]
	m.used[m.owner[task]] -= m.taskSlots[task]
	if rapid.Bool().Draw(t, "withdraw") {
		m.f.Withdraw(task, m.now)
		m.refusedAt[task] = m.f.IssueToken(m.now).Issued
		delete(m.granted, task)
		return
	}
	m.f.Finish(task, Outcome{Payload: bytes.Repeat([]byte{1}, rapid.IntRange(0, 900).Draw(t, "size"))})
}

func (m *startModel) announce(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		m.instance++
	}
	m.slots = uint32(rapid.IntRange(int(max(1, m.used[m.instance])), 6).Draw(t, "slots"))
	m.f.Announce(announcement(fmt.Sprint("x", m.instance), m.slots), m.now)
}

// TestStartsOnce guards against a second grant of a task, a false "not run", a
// refusal that leaves a record, and slots beyond the limit, under any order of
// starts, claims, configuration changes, expiries and backward steps of the wall clock.
func TestStartsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &startModel{f: New(options), now: at(0), granted: map[Task]bool{}, taskSlots: map[Task]uint32{},
			refusedAt: map[Task]time.Duration{}, used: map[int]uint32{}, owner: map[Task]int{}, table: 1, config: 1, slots: 4}
		m.f.AdoptTable(entryTable(1, 2))
		m.f.Configure(config(1, false, false))
		m.f.Announce(announcement("x0", 4), m.now)
		acknowledge := func(*rapid.T) { m.f.Acknowledge("i0"); m.f.Acknowledge("i1") }
		acknowledge(t)
		t.Repeat(map[string]func(*rapid.T){
			"start":       m.start,
			"start again": m.start,
			"end":         m.end,
			"announce":    m.announce,
			"acknowledge": acknowledge,
			"short time":  func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond) },
			"long time":   func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second) },
			"wall clock steps back": func(t *rapid.T) {
				m.now.Wall = m.now.Wall.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "s")) * time.Second)
			},
			"lease lapses": func(t *rapid.T) {
				m.now.Mono += 2 * options.Lease
				if m.f.Sweep(m.now); len(m.f.Servers(m.now)) != 0 {
					t.Fatal("a backend server outlived its lease")
				}
				m.advance(0)
			},
			"sweep": func(*rapid.T) { m.f.Sweep(m.now) },
			"claim": func(t *rapid.T) {
				m.table++
				m.f.Claim(entryTable(m.table, rapid.IntRange(1, 3).Draw(t, "members")), "e0")
			},
			"configure": func(t *rapid.T) {
				m.config++
				m.f.Configure(config(m.config, rapid.IntRange(0, 3).Draw(t, "out") == 0, false))
			},
			"": func(t *rapid.T) {
				if m.f.ResultBytes() > options.ResultBytes {
					t.Fatalf("%d result bytes are kept, more than the limit", m.f.ResultBytes())
				}
				want := min(m.slots-m.used[m.instance], connections-m.runningAt(m.instance))
				if freeSlots := m.f.FreeSlots("s", m.now); freeSlots != want {
					t.Fatalf("%d slots are free, want %d; used are %d of %d", freeSlots, want, m.used[m.instance], m.slots)
				}
			},
		})
	})
}

// runningAt returns the number of running tasks of an instance; each takes a connection.
func (m *startModel) runningAt(instance int) uint32 {
	n := uint32(0)
	for _, task := range m.order {
		if m.owner[task] == instance {
			n++
		}
	}
	return n
}

// advance moves both clocks forward and renews the backend server's lease.
func (m *startModel) advance(d time.Duration) {
	m.now = Clocks{Mono: m.now.Mono + d, Wall: m.now.Wall.Add(d)}
	m.f.Announce(announcement(fmt.Sprint("x", m.instance), m.slots), m.now)
}
