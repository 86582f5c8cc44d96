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

// node is an entry process of the model.
type node struct {
	*State
	id     string
	serial int
	// storeDown nodes cannot reach the store.
	storeDown bool
	// frozen nodes neither send nor answer.
	frozen bool
}

// model simulates a store, a network and nodes in virtual time. Its steps are those of a cluster:
// heartbeats that carry records, store reads, joins and removals by compare-and-swap.
type model struct {
	now time.Time
	// table and config are the records in the store.
	table  *peerv1.EntryTable
	config uint64
	nodes  map[string]*node
	// cutLinks holds the pairs of IDs, in order, that cannot reach each other.
	cutLinks map[[2]string]bool
	// serial is the number of processes started so far.
	serial int
	// accepted holds when each configuration version was first known by a majority.
	accepted map[uint64]time.Time
	// tableKnown holds when each table version was first known by a majority of its members.
	tableKnown map[uint64]time.Time
	// removed holds the table version that removed each incarnation.
	removed map[string]uint64
}

func newModel(n int) *model {
	m := &model{now: time.Unix(1_000_000, 0), nodes: make(map[string]*node), cutLinks: make(map[[2]string]bool),
		accepted: make(map[uint64]time.Time), tableKnown: make(map[uint64]time.Time), removed: make(map[string]uint64)}
	for i := range n {
		m.start(fmt.Sprintf("e%d", i))
	}
	return m
}

// start starts a process of an entry, in the place of one with the same ID.
func (m *model) start(id string) {
	m.serial++
	m.nodes[id] = &node{State: New(id, fmt.Sprintf("%s-%d", id, m.serial), modelLimits), id: id, serial: m.serial}
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
	return !a.frozen && !b.frozen && !m.cutLinks[[2]string{min(a.id, b.id), max(a.id, b.id)}]
}

// step advances the time by half a second and lets every node do what it does in that time.
func (m *model) step(fetch bool) {
	m.now = m.now.Add(500 * time.Millisecond)
	for _, id := range m.ids() {
		n := m.nodes[id]
		if n.frozen {
			continue
		}
		m.readStore(n)
		m.heartbeats(n, fetch)
		n.Tick(m.now)
		m.changeTable(n)
	}
	m.observe()
}

// readStore lets a node read and adopt both records.
func (m *model) readStore(n *node) {
	o := ReadFailed
	if !n.storeDown {
		o = ReadCurrent
		n.AdoptTable(m.table, m.now)
		n.AdoptConfig(&poplargwv1.ConfigRecord{Version: m.config})
	}
	n.StoreRead(TableRecord, m.now, o)
	n.StoreRead(ConfigRecord, m.now, o)
}

// heartbeats sends a heartbeat to all other members. Without fetch, the node learns the versions that
// they know but does not fetch newer records.
func (m *model) heartbeats(n *node, fetch bool) {
	for _, e := range n.Table().GetMembers() {
		p := m.nodes[e.GetId()]
		if p == nil || p == n || !m.connected(n, p) {
			continue
		}
		n.RecordAnswer(Answer{Peer: p.id, Incarnation: p.incarnation, Begin: m.now, Synced: p.Synced(),
			Config: p.Config().GetVersion(), Table: p.Table().GetVersion()}, m.now)
		if fetch {
			n.AdoptTable(p.Table(), m.now)
			n.AdoptConfig(p.Config())
		}
	}
}

// changeTable lets a node join the table or remove a member, if it knows the table in the store.
func (m *model) changeTable(n *node) {
	if n.storeDown || n.Table().GetVersion() != m.table.GetVersion() {
		return
	}
	next := (*peerv1.EntryTable)(nil)
	if n.MayJoin(m.now) == nil {
		next = Join(m.table, &peerv1.EntryMember{Id: n.id, Incarnation: n.incarnation})
		delete(m.removed, n.incarnation)
	} else if r := n.MemberToRemove(m.now); r != nil {
		next = Without(m.table, r.GetId(), r.GetIncarnation())
		m.removed[r.GetIncarnation()] = next.GetVersion()
	}
	if next != nil {
		m.table = next
		n.AdoptTable(next, m.now)
	}
}

// observe notes when the records in the store were first known by a majority.
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
	if _, ok := m.tableKnown[m.table.GetVersion()]; !ok && tables >= need {
		m.tableKnown[m.table.GetVersion()] = m.now
	}
	if _, ok := m.accepted[m.config]; !ok && configs >= need && m.config > 0 {
		m.accepted[m.config] = m.now
	}
}

// checkFreshness fails if a node is fresh outside its table, or longer than the freshness limit after
// a majority knew a newer configuration or a table without the node.
func (m *model) checkFreshness(t *rapid.T) {
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
				t.Fatalf("%s is fresh with configuration %d; a majority has known %d for %v", id, n.Config().GetVersion(), v, m.now.Sub(at))
			}
		}
		if v, ok := m.removed[n.incarnation]; ok {
			if at, ok := m.tableKnownSince(v); ok && m.now.Sub(at) > modelLimits.Freshness {
				t.Fatalf("%s is fresh with table %d; a majority has known table %d without it for %v", id, n.Table().GetVersion(), v, m.now.Sub(at))
			}
		}
	}
}

// tableKnownSince returns when a table of at least the version was first known by a majority of its members.
func (m *model) tableKnownSince(version uint64) (time.Time, bool) {
	var first time.Time
	for v, at := range m.tableKnown {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// TestNoEntryIsFreshWithOldRecords guards against an entry that may start tasks by an old configuration
// or after its removal, under any sequence of cut links, freezes, restarts and store failures. Once a
// majority knows a change of the configuration or a removal, every entry must follow it within the
// freshness limit. The versions that a process knows must never decrease.
func TestNoEntryIsFreshWithOldRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 5).Draw(t, "entries"))
		for range 8 {
			m.step(true)
		}
		versions := make(map[int][2]uint64)
		anyNode := func(t *rapid.T) *node { return m.nodes[rapid.SampledFrom(m.ids()).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				m.checkFreshness(t)
				for id, n := range m.nodes {
					now := [2]uint64{n.Config().GetVersion(), n.Table().GetVersion()}
					if old := versions[n.serial]; now[0] < old[0] || now[1] < old[1] {
						t.Fatalf("%s went back from versions %v to %v (configuration, table)", id, old, now)
					}
					versions[n.serial] = now
				}
			},
			"step":    func(*rapid.T) { m.step(true) },
			"silence": func(*rapid.T) { m.step(false) },
			"wait": func(t *rapid.T) {
				for range rapid.IntRange(2, 10).Draw(t, "steps") {
					m.step(true)
					m.checkFreshness(t)
				}
			},
			"config":  func(*rapid.T) { m.config++ },
			"restart": func(t *rapid.T) { m.start(anyNode(t).id) },
			"replace": func(t *rapid.T) {
				delete(m.nodes, anyNode(t).id)
				m.start(fmt.Sprintf("e%d", m.serial))
			},
			"freeze": func(t *rapid.T) { n := anyNode(t); n.frozen = !n.frozen },
			"store":  func(t *rapid.T) { n := anyNode(t); n.storeDown = !n.storeDown },
			"link": func(t *rapid.T) {
				a, b := anyNode(t).id, anyNode(t).id
				k := [2]string{min(a, b), max(a, b)}
				m.cutLinks[k] = !m.cutLinks[k]
			},
		})
	})
}

// TestMajoritiesOfSuccessiveTablesOverlap guards against table sizes for which, after a change of one
// member, two majorities without a common member can act.
func TestMajoritiesOfSuccessiveTablesOverlap(t *testing.T) {
	for n := 1; n <= 50; n++ {
		if Majority(n)+Majority(n) <= n {
			t.Errorf("two majorities of %d members can be disjoint", n)
		}
		// Both tables hold the n members; the larger one holds one more.
		if Majority(n)+Majority(n+1) <= n+1 {
			t.Errorf("majorities of tables with %d and %d members can be disjoint", n, n+1)
		}
	}
}

// TestStoreReadsCountAfterTheStoreHasSettled guards against reads that count as evidence although the
// store may have been restored with older records, which other entries are about to write back.
func TestStoreReadsCountAfterTheStoreHasSettled(t *testing.T) {
	for _, bad := range []ReadOutcome{ReadFailed, ReadOlder} {
		now := time.Unix(1_000_000, 0)
		s := New("e0", "i", modelLimits)
		read := func(o ReadOutcome) {
			s.StoreRead(TableRecord, now, o)
			s.StoreRead(ConfigRecord, now, o)
		}
		s.AdoptTable(&peerv1.EntryTable{Version: 1, Members: []*peerv1.EntryMember{
			{Id: "e0", Incarnation: "i"}, {Id: "e1", Incarnation: "j"}}}, now)
		read(ReadCurrent)
		if !s.Fresh(now) {
			t.Fatal("not fresh after a current read")
		}
		read(bad)
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			read(ReadCurrent)
			if s.StoreSettled() {
				t.Fatal("settled less than 3 s after the first current read")
			}
		}
		now = now.Add(100 * time.Millisecond)
		read(ReadCurrent)
		if !s.StoreSettled() || !s.Fresh(now) {
			t.Fatal("not settled and fresh 3 s after the first current read")
		}
	}
}

// TestNoRemovalAfterOwnPause guards against removals by an entry that did not run itself for a while:
// answers of the others may wait unread.
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
	if r := n.MemberToRemove(m.now); r != nil {
		t.Fatalf("%s is to be removed after a pause of the entry itself", r.GetId())
	}
}

// TestRejoinDelayDoubles guards against one bad network path that changes the table every few seconds.
func TestRejoinDelayDoubles(t *testing.T) {
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
	b.resetIfStable(now.Add(stableAfter), true)
	if b.delay != 0 {
		t.Fatal("the delay is not reset after a stable membership")
	}
}
