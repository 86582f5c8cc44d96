package recovery

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

const (
	tasks          = 2
	startGrace     = 3 * time.Second
	reportInterval = 3 * time.Second
)

var window = submission.Window{Length: 2 * time.Minute, Skew: 2 * time.Second}

// taskKey identifies one task of one submission.
type taskKey struct {
	key  submission.Key
	task uint32
}

// modelEntry is one incarnation of an entry.
type modelEntry struct {
	member Member
	state  *State
	// held maps each held key to the tasks that have a start record, which this entry does not start.
	held map[submission.Key]map[uint32]bool
	// launched holds the tasks that this entry has started.
	launched map[taskKey]bool
	// outdatedSince is the time of the first table that this entry has not observed; zero if none.
	outdatedSince time.Time
	crashed       bool
}

func (e *modelEntry) holds(k submission.Key) bool { return e.held[k] != nil }

// modelAgent is an agent that holds start records.
type modelAgent struct {
	name    string
	started time.Time
	// minTable is the oldest table version whose starts the agent accepts.
	minTable uint64
	records  map[taskKey]bool
	// unreachable agents do not answer claims.
	unreachable bool
}

// model is a system of entries and agents. It counts the starts of each task. As in the real
// system, an entry can start tasks until startGrace after a table that it does not know appeared.
type model struct {
	t       *rapid.T
	now     time.Time
	table   *peerv1.EntryTable
	entries []*modelEntry
	agents  []*modelAgent
	keys    []submission.Key
	starts  map[taskKey]int
	serial  int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.UnixMilli(1_800_000_000_000), starts: map[taskKey]int{}}
	for i := range 2 {
		m.agents = append(m.agents, &modelAgent{name: fmt.Sprint("agent", i), started: m.now.Add(-time.Hour), records: map[taskKey]bool{}})
	}
	m.join()
	return m
}

// pickEntry draws one of the running entries that match, or returns nil.
func (m *model) pickEntry(match func(*modelEntry) bool) *modelEntry {
	var all []*modelEntry
	for _, e := range m.entries {
		if !e.crashed && match(e) {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(m.t, "entry")]
}

// pickAgent draws an agent.
func (m *model) pickAgent() *modelAgent {
	return m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")]
}

// inTable reports whether the newest table holds the incarnation.
func (m *model) inTable(e *modelEntry) bool {
	return table.Member(m.table, e.member.ID).GetIncarnation() == e.member.Incarnation
}

// publishTable makes t the newest table, which no entry has observed yet.
func (m *model) publishTable(t *peerv1.EntryTable) {
	t.Version = m.table.GetVersion() + 1
	m.table = t
	for _, e := range m.entries {
		if e.outdatedSince.IsZero() {
			e.outdatedSince = m.now
		}
	}
}

// join adds an entry with a random ID, in the place of one with the same ID in the table.
func (m *model) join() {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "id")
	m.serial++
	e := &modelEntry{member: Member{ID: id, Incarnation: fmt.Sprint(m.serial)},
		held: map[submission.Key]map[uint32]bool{}, launched: map[taskKey]bool{}}
	e.state = New(Options{Self: id, Incarnation: e.member.Incarnation, Started: m.now, Window: window, StartGrace: startGrace, ReportInterval: reportInterval})
	next := proto.Clone(m.currentTable()).(*peerv1.EntryTable)
	next.Members = slices.DeleteFunc(next.Members, func(x *peerv1.EntryMember) bool { return x.GetId() == id })
	next.Members = append(next.Members, &peerv1.EntryMember{Id: id, Incarnation: e.member.Incarnation})
	m.publishTable(next)
	m.entries = append(m.entries, e)
	m.observe(e)
}

// currentTable returns the newest table, or an empty one before the first.
func (m *model) currentTable() *peerv1.EntryTable {
	if m.table == nil {
		return &peerv1.EntryTable{}
	}
	return m.table
}

// remove takes an entry out of the table. It either crashes or goes on until it observes the table.
func (m *model) remove() {
	e := m.pickEntry(m.inTable)
	if e == nil || len(m.table.GetMembers()) < 2 {
		return
	}
	next := proto.Clone(m.table).(*peerv1.EntryTable)
	next.Members = slices.DeleteFunc(next.Members, func(x *peerv1.EntryMember) bool { return x.GetId() == e.member.ID })
	e.crashed = rapid.Bool().Draw(m.t, "crashed")
	m.publishTable(next)
}

// leave marks a member as leaving.
func (m *model) leave() {
	if e := m.pickEntry(m.inTable); e != nil {
		next := proto.Clone(m.table).(*peerv1.EntryTable)
		table.Member(next, e.member.ID).Leaving = true
		m.publishTable(next)
	}
}

// deliverTable lets an entry observe the newest table.
func (m *model) deliverTable() {
	if e := m.pickEntry(func(e *modelEntry) bool { return !e.outdatedSince.IsZero() }); e != nil {
		m.observe(e)
	}
}

// observe lets the entry observe the newest table.
func (m *model) observe(e *modelEntry) {
	if e.state.Observe(m.now, m.table) == Dropped {
		clear(e.held)
		clear(e.launched)
	}
	e.outdatedSince = time.Time{}
}

// submit sends a new or known key to an entry that is its home by the table that it knows.
func (m *model) submit() {
	k := m.pickKey()
	e := m.pickEntry(func(e *modelEntry) bool {
		return e.state.InTable() && table.Home(e.state.Table(), k).GetId() == e.member.ID && !e.holds(k)
	})
	if e == nil || window.Classify(k, m.now) != submission.Current {
		return
	}
	switch d := e.state.Decide(k, tasks); d.Verdict {
	case NotStarted:
		e.held[k] = map[uint32]bool{}
	case Resume:
		e.held[k] = map[uint32]bool{}
		for i := range d.Records.Agents {
			e.held[k][i] = true
		}
		e.state.Release(k)
	}
}

// pickKey draws one of the latest keys or makes a new one.
func (m *model) pickKey() submission.Key {
	if n := len(m.keys); n > 0 && rapid.IntRange(0, 3).Draw(m.t, "known") > 0 {
		return m.keys[n-1-rapid.IntRange(0, min(n, 4)-1).Draw(m.t, "which")]
	}
	var id uuid.UUID
	var ms [8]byte
	// The caller's clock is off by up to the skew.
	off := time.Duration(rapid.IntRange(-2000, 2000).Draw(m.t, "skew")) * time.Millisecond
	binary.BigEndian.PutUint64(ms[:], uint64(m.now.Add(off).UnixMilli()))
	copy(id[:], ms[2:])
	binary.BigEndian.PutUint64(id[8:], uint64(len(m.keys)))
	k := submission.Key{Caller: "c", ID: id}
	m.keys = append(m.keys, k)
	return k
}

// start lets an entry that may still do so start a task of a key that it holds. It fails the
// test if the task was started before.
func (m *model) start() {
	a := m.pickAgent()
	e := m.pickEntry(func(e *modelEntry) bool {
		fresh := e.outdatedSince.IsZero() || m.now.Before(e.outdatedSince.Add(startGrace))
		return fresh && e.state.InTable() && len(e.held) > 0 && e.state.Table().GetVersion() >= a.minTable
	})
	if e == nil {
		return
	}
	for n := range m.keys {
		k := m.keys[len(m.keys)-1-n]
		for i := range uint32(tasks) {
			tk := taskKey{k, i}
			if attached, ok := e.held[k]; !ok || attached[i] || e.launched[tk] || a.records[tk] {
				continue
			}
			e.launched[tk], a.records[tk] = true, true
			if m.starts[tk]++; m.starts[tk] > 1 {
				m.t.Fatalf("task %d of %v was started a second time, by %v", i, k, e.member)
			}
			return
		}
	}
}

// claim lets a member and the agents answer a running claim.
func (m *model) claim() {
	e := m.pickEntry(func(e *modelEntry) bool { return e.state.Claiming() })
	if e == nil {
		return
	}
	o := m.pickEntry(func(o *modelEntry) bool {
		return o != e && table.Member(e.state.Table(), o.member.ID).GetIncarnation() == o.member.Incarnation &&
			o.state.Table().GetVersion() >= e.state.Table().GetVersion()
	})
	if o != nil {
		var held []submission.Key
		for k := range o.held {
			if table.Home(e.state.Table(), k).GetId() == e.member.ID {
				held = append(held, k)
			}
		}
		e.state.EntryAnswered(e.state.Round(), o.member, held, o.state.Complete(m.now), e.holds)
	}
	m.claimAgents(e)
}

// claimAgents lets the agents that the entry knows answer its claim and settles it.
func (m *model) claimAgents(e *modelEntry) {
	known := []string{m.agents[0].name, m.agents[1].name}
	if !e.state.Complete(m.now) {
		known = known[:rapid.IntRange(0, 2).Draw(m.t, "known")]
	}
	e.state.Ask(m.now, known)
	for _, a := range m.agents {
		switch {
		case e.state.AwaitingMembers() || !slices.Contains(known, a.name):
		case a.unreachable:
			e.state.AgentUnreachable(e.state.Round(), a.name)
		default:
			a.minTable = max(a.minTable, e.state.Table().GetVersion())
			e.state.AgentAnswered(e.state.Round(), a.name, a.started, m.recordsOf(a), e.holds)
		}
	}
	e.state.Settle(m.now)
}

func (m *model) recordsOf(a *modelAgent) []Record {
	var out []Record
	for tk := range a.records {
		out = append(out, Record{Key: tk.key, Task: tk.task})
	}
	return out
}

// toggleUnreachable cuts an agent off from claims or reconnects it. Starts still reach it.
func (m *model) toggleUnreachable() { a := m.pickAgent(); a.unreachable = !a.unreachable }

// restart restarts an agent without its records. Entries remember what they started on it.
func (m *model) restart() {
	a := m.pickAgent()
	a.started, a.minTable = m.now, 0
	clear(a.records)
}

// advanceTime moves the time forward and expires the state of all entries.
func (m *model) advanceTime() {
	d := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second}).Draw(m.t, "wait")
	m.now = m.now.Add(d)
	for _, e := range m.entries {
		e.state.Expire(m.now)
	}
}

// TestNoSecondStart guards against a claim that lets a task start twice, under any order of
// table changes, answers, losses of agents and repeated submissions.
func TestNoSecondStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		steps := []func(){
			m.submit, m.submit, m.submit, m.submit, m.start, m.start, m.start, m.claim, m.claim, m.claim, m.claim,
			m.deliverTable, m.deliverTable, m.join, m.remove, m.leave, m.toggleUnreachable, m.restart, m.advanceTime, m.advanceTime,
		}
		for range 300 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
	})
}

// TestKeysOfRemovedHolderAreClaimedAgain guards against forgetting the keys that a leaving
// member held: once it is removed, their records have to be claimed from the agents, although
// their home has not changed.
func TestKeysOfRemovedHolderAreClaimedAgain(t *testing.T) {
	m := &peerv1.EntryTable{Version: 2, Members: []*peerv1.EntryMember{{Id: "a", Incarnation: "1"}, {Id: "b", Incarnation: "1", Leaving: true}}}
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Options{Self: "a", Incarnation: "1", Started: now, Window: window, StartGrace: startGrace, ReportInterval: reportInterval})
	s.Observe(now, m)
	k := submission.Key{Caller: "c"}
	heldHere := func(submission.Key) bool { return false }
	s.EntryAnswered(s.Round(), Member{"b", "1"}, []submission.Key{k}, true, heldHere)
	s.Ask(now, nil)
	if !s.Settle(now) || s.Decide(k, 1).Verdict != Forward {
		t.Fatalf("key that another member holds: decision %v, want Forward", s.Decide(k, 1))
	}
	next := &peerv1.EntryTable{Version: 3, Members: m.GetMembers()[:1]}
	if effect := s.Observe(now, next); effect != Claim || s.Decide(k, 1).Verdict != Wait {
		t.Fatalf("after the holder was removed: effect %v, verdict %v; want Claim and Wait", effect, s.Decide(k, 1).Verdict)
	}
}
