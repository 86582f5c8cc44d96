package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

var modelLimits = Limits{Freshness: 2 * time.Second, PeerSilence: 3 * time.Second, StoreSettle: 3 * time.Second}

// node is a process of the model.
type node struct {
	*State
	id      string
	born    int
	noStore bool
	// frozen nodes neither send nor answer.
	frozen bool
}

// model is a store, a network and nodes in virtual time. Its steps are those of a cluster:
// heartbeats that carry records, store reads, joins and removals by compare-and-swap.
type model struct {
	now    time.Time
	table  *peerv1.EntryTable
	config uint64
	nodes  map[string]*node
	cut    map[[2]string]bool
	born   int
	// accepted holds when each configuration version was first known by a majority.
	accepted map[uint64]time.Time
	// settled holds when each table version was first known by a majority of its members.
	settled map[uint64]time.Time
	// removed holds the table version that removed an incarnation.
	removed map[string]uint64
}

func newModel(n int) *model {
	m := &model{now: time.Unix(1_000_000, 0), nodes: make(map[string]*node), cut: make(map[[2]string]bool),
		accepted: make(map[uint64]time.Time), settled: make(map[uint64]time.Time), removed: make(map[string]uint64)}
	for i := range n {
		m.start(fmt.Sprintf("e%d", i))
	}
	return m
}

func (m *model) start(id string) {
	m.born++
	m.nodes[id] = &node{State: New(id, fmt.Sprintf("%s-%d", id, m.born), modelLimits), id: id, born: m.born}
}

func (m *model) ids() []string {
	var ids []string
	for id := range m.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *model) connected(a, b *node) bool {
	return !a.frozen && !b.frozen && !m.cut[[2]string{min(a.id, b.id), max(a.id, b.id)}]
}

// step lets every node do what it does in half a second.
func (m *model) step(spread bool) {
	m.now = m.now.Add(500 * time.Millisecond)
	for _, id := range m.ids() {
		n := m.nodes[id]
		if n.frozen {
			continue
		}
		m.readStore(n)
		m.heartbeats(n, spread)
		n.Tick(m.now)
		m.changeTable(n)
	}
	m.observe()
}

func (m *model) readStore(n *node) {
	o := ReadFailed
	if !n.noStore {
		o = ReadCurrent
		n.AdoptTable(m.table, m.now)
		n.AdoptConfig(&poplargwv1.ConfigRecord{Version: m.config})
	}
	n.StoreRead(TableKey, m.now, o)
	n.StoreRead(ConfigKey, m.now, o)
}

// heartbeats asks all other members. Without spread newer records are seen but not fetched.
func (m *model) heartbeats(n *node, spread bool) {
	for _, e := range n.Table().GetMembers() {
		p := m.nodes[e.GetId()]
		if p == nil || p == n || !m.connected(n, p) {
			continue
		}
		n.Heard(Answer{Peer: p.id, Incarnation: p.incarnation, Begin: m.now, Synced: p.Synced(),
			Config: p.Config().GetVersion(), Table: p.Table().GetVersion()}, m.now)
		if spread {
			n.AdoptTable(p.Table(), m.now)
			n.AdoptConfig(p.Config())
		}
	}
}

func (m *model) changeTable(n *node) {
	if n.noStore || n.Table().GetVersion() != m.table.GetVersion() {
		return
	}
	next := (*peerv1.EntryTable)(nil)
	if n.MayJoin(m.now) == nil {
		next = Join(m.table, &peerv1.EntryMember{Id: n.id, Incarnation: n.incarnation})
		delete(m.removed, n.incarnation)
	} else if r := n.Remove(m.now); r != nil {
		next = Without(m.table, r.GetId(), r.GetIncarnation())
		m.removed[r.GetIncarnation()] = next.GetVersion()
	}
	if next != nil {
		m.table = next
		n.AdoptTable(next, m.now)
	}
}

// observe notes which records are known by a majority.
func (m *model) observe() {
	tables, configs := 0, 0
	for _, e := range m.table.GetMembers() {
		n := m.nodes[e.GetId()]
		if n == nil || n.incarnation != e.GetIncarnation() {
			continue
		}
		if n.Table().GetVersion() >= m.table.GetVersion() {
			tables++
		}
		if n.Synced() && n.Config().GetVersion() >= m.config {
			configs++
		}
	}
	need := Majority(len(m.table.GetMembers()))
	if _, ok := m.settled[m.table.GetVersion()]; !ok && tables >= need {
		m.settled[m.table.GetVersion()] = m.now
	}
	if _, ok := m.accepted[m.config]; !ok && configs >= need && m.config > 0 {
		m.accepted[m.config] = m.now
	}
}

// check fails if a node is fresh although it should not be.
func (m *model) check(t *rapid.T) {
	for _, id := range m.ids() {
		n := m.nodes[id]
		if !n.Fresh(m.now) {
			continue
		}
		if !n.InTable() {
			t.Fatalf("%s is fresh without being in its table", id)
		}
		for v, at := range m.accepted {
			if v > n.Config().GetVersion() && m.now.Sub(at) > modelLimits.Freshness {
				t.Fatalf("%s is fresh with configuration %d; %d was accepted %v ago", id, n.Config().GetVersion(), v, m.now.Sub(at))
			}
		}
		if v, ok := m.removed[n.incarnation]; ok {
			if at, ok := m.settledSince(v); ok && m.now.Sub(at) > modelLimits.Freshness {
				t.Fatalf("%s is fresh by table %d; table %d without it settled %v ago", id, n.Table().GetVersion(), v, m.now.Sub(at))
			}
		}
	}
}

// settledSince returns when a table of at least the version was known by a majority of its members.
func (m *model) settledSince(version uint64) (time.Time, bool) {
	var first time.Time
	for v, at := range m.settled {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Guards against an entry that may start tasks by an old configuration, or after its removal, under
// any sequence of cuts, freezes, restarts and store failures: an accepted change and a
// removal bind every entry within the freshness bound. Records must never go back.
func TestNoEntryIsFreshByOldRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 5).Draw(t, "entries"))
		for range 8 {
			m.step(true)
		}
		versions := make(map[int][2]uint64)
		some := func(t *rapid.T) *node { return m.nodes[rapid.SampledFrom(m.ids()).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				m.check(t)
				for id, n := range m.nodes {
					now := [2]uint64{n.Config().GetVersion(), n.Table().GetVersion()}
					if old := versions[n.born]; now[0] < old[0] || now[1] < old[1] {
						t.Fatalf("%s went back from %v to %v", id, old, now)
					}
					versions[n.born] = now
				}
			},
			"step":    func(*rapid.T) { m.step(true) },
			"silence": func(*rapid.T) { m.step(false) },
			"wait": func(t *rapid.T) {
				for range rapid.IntRange(2, 10).Draw(t, "steps") {
					m.step(true)
					m.check(t)
				}
			},
			"config":  func(*rapid.T) { m.config++ },
			"restart": func(t *rapid.T) { m.start(some(t).id) },
			"replace": func(t *rapid.T) {
				delete(m.nodes, some(t).id)
				m.start(fmt.Sprintf("e%d", m.born))
			},
			"freeze": func(t *rapid.T) { n := some(t); n.frozen = !n.frozen },
			"store":  func(t *rapid.T) { n := some(t); n.noStore = !n.noStore },
			"link": func(t *rapid.T) {
				a, b := some(t).id, some(t).id
				k := [2]string{min(a, b), max(a, b)}
				m.cut[k] = !m.cut[k]
			},
		})
	})
}

// Guards against table sizes for which a change of one member lets two separate majorities act.
func TestMajoritiesOfNeighbouringTablesOverlap(t *testing.T) {
	for n := 1; n <= 50; n++ {
		if Majority(n)+Majority(n) <= n {
			t.Errorf("two majorities of %d members need not overlap", n)
		}
		// Both tables hold the n members; the larger one holds one more.
		if Majority(n)+Majority(n+1) <= n+1 {
			t.Errorf("majorities of %d and %d members need not overlap", n, n+1)
		}
	}
}

// Guards against a store read that counts although the store may have come back with an older record.
func TestStoreReadsCountAfterTheStoreHasSettled(t *testing.T) {
	for _, bad := range []Outcome{ReadFailed, ReadOlder} {
		now := time.Unix(1_000_000, 0)
		s := New("e0", "i", modelLimits)
		read := func(o Outcome) {
			s.StoreRead(TableKey, now, o)
			s.StoreRead(ConfigKey, now, o)
		}
		s.AdoptTable(&peerv1.EntryTable{Version: 1, Members: []*peerv1.EntryMember{
			{Id: "e0", Incarnation: "i"}, {Id: "e1", Incarnation: "j"}}}, now)
		read(ReadCurrent)
		if !s.Fresh(now) {
			t.Fatal("not fresh after a read")
		}
		read(bad)
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			read(ReadCurrent)
			if s.StoreSettled() {
				t.Fatal("settled too early")
			}
		}
		now = now.Add(100 * time.Millisecond)
		read(ReadCurrent)
		if !s.StoreSettled() || !s.Fresh(now) {
			t.Fatal("not settled after 3 s of answers")
		}
	}
}

// Guards against removals by an entry that did not run itself: answers may wait unread.
func TestNoRemovalAfterOwnPause(t *testing.T) {
	m := newModel(3)
	for range 10 {
		m.step(true)
	}
	n := m.nodes["e0"]
	m.now = m.now.Add(10 * time.Second)
	m.readStore(n)
	n.Tick(m.now)
	if !n.Fresh(m.now) {
		t.Fatal("not fresh after a store read")
	}
	if r := n.Remove(m.now); r != nil {
		t.Fatalf("removes %s", r.GetId())
	}
}

// Guards against one bad network path that changes the table each few seconds.
func TestRejoinWaitsLongerEachTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var b backoff
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		b.joined(now)
		b.removed(now)
		if b.delay != want*time.Second {
			t.Fatalf("delay %v, want %v s", b.delay, want)
		}
	}
	b.joined(now)
	b.tick(now.Add(stableAfter), true)
	if b.delay != 0 {
		t.Fatal("the delay stays after a stable membership")
	}
}
