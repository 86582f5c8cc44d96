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
	tasks   = 2
	permit  = 3 * time.Second
	silence = 3 * time.Second
)

var window = submission.Window{Length: 2 * time.Minute, Skew: 2 * time.Second}

type taskKey struct {
	key  submission.Key
	task uint32
}

// modelEntry is one incarnation of an entry.
type modelEntry struct {
	member Member
	state  *State
	// held maps the held keys to the tasks that are only attached to.
	held     map[submission.Key]map[uint32]bool
	launched map[taskKey]bool
	// outdated is the time at which a table newer than its own appeared.
	outdated time.Time
	dead     bool
}

func (e *modelEntry) holds(k submission.Key) bool { return e.held[k] != nil }

type modelAgent struct {
	name    string
	started time.Time
	fence   uint64
	records map[taskKey]bool
	away    bool
}

// model is a system of entries and agents. Every start is counted; entries start tasks
// until the permit after a newer table appeared, as real ones do.
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

// one draws one of the entries that fit, or returns nil.
func (m *model) one(fit func(*modelEntry) bool) *modelEntry {
	var all []*modelEntry
	for _, e := range m.entries {
		if !e.dead && fit(e) {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(m.t, "entry")]
}

func (m *model) agent() *modelAgent {
	return m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")]
}

// in tells whether the newest table holds the entry.
func (m *model) in(e *modelEntry) bool {
	return table.Member(m.table, e.member.ID).GetIncarnation() == e.member.Incarnation
}

func (m *model) replace(t *peerv1.EntryTable) {
	t.Version = m.table.GetVersion() + 1
	m.table = t
	for _, e := range m.entries {
		if e.outdated.IsZero() {
			e.outdated = m.now
		}
	}
}

// join adds an entry, at times in the place of one that is in the table.
func (m *model) join() {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "id")
	m.serial++
	e := &modelEntry{member: Member{ID: id, Incarnation: fmt.Sprint(m.serial)},
		held: map[submission.Key]map[uint32]bool{}, launched: map[taskKey]bool{}}
	e.state = New(Options{Self: id, Incarnation: e.member.Incarnation, Started: m.now, Window: window, Permit: permit, Silence: silence})
	next := proto.Clone(m.current()).(*peerv1.EntryTable)
	next.Members = slices.DeleteFunc(next.Members, func(x *peerv1.EntryMember) bool { return x.GetId() == id })
	next.Members = append(next.Members, &peerv1.EntryMember{Id: id, Incarnation: e.member.Incarnation})
	m.replace(next)
	m.entries = append(m.entries, e)
	m.observe(e)
}

func (m *model) current() *peerv1.EntryTable {
	if m.table == nil {
		return &peerv1.EntryTable{}
	}
	return m.table
}

// remove takes an entry out of the table, which may be alive and not know it.
func (m *model) remove() {
	e := m.one(m.in)
	if e == nil || len(m.table.GetMembers()) < 2 {
		return
	}
	next := proto.Clone(m.table).(*peerv1.EntryTable)
	next.Members = slices.DeleteFunc(next.Members, func(x *peerv1.EntryMember) bool { return x.GetId() == e.member.ID })
	e.dead = rapid.Bool().Draw(m.t, "dead")
	m.replace(next)
}

// leave marks a member as leaving.
func (m *model) leave() {
	if e := m.one(m.in); e != nil {
		next := proto.Clone(m.table).(*peerv1.EntryTable)
		table.Member(next, e.member.ID).Leaving = true
		m.replace(next)
	}
}

// adopt lets an entry see the newest table.
func (m *model) adopt() {
	if e := m.one(func(e *modelEntry) bool { return !e.outdated.IsZero() }); e != nil {
		m.observe(e)
	}
}

func (m *model) observe(e *modelEntry) {
	if e.state.Observe(m.now, m.table) == Dropped {
		clear(e.held)
		clear(e.launched)
	}
	e.outdated = time.Time{}
}

// submit sends a key, at times a known one, to an entry that takes itself for its home.
func (m *model) submit() {
	k := m.key()
	e := m.one(func(e *modelEntry) bool {
		return e.state.Member() && table.Home(e.state.Table(), k).GetId() == e.member.ID && !e.holds(k)
	})
	if e == nil || window.Classify(k, m.now) != submission.Current {
		return
	}
	switch d := e.state.Decide(k, tasks); d.Verdict {
	case Fresh:
		e.held[k] = map[uint32]bool{}
	case Resume:
		e.held[k] = map[uint32]bool{}
		for i := range d.Records.Agents {
			e.held[k][i] = true
		}
		e.state.Release(k)
	}
}

func (m *model) key() submission.Key {
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

// start lets an entry start a task of a key that it holds.
func (m *model) start() {
	a := m.agent()
	e := m.one(func(e *modelEntry) bool {
		fresh := e.outdated.IsZero() || m.now.Before(e.outdated.Add(permit))
		return fresh && e.state.Member() && len(e.held) > 0 && e.state.Table().GetVersion() >= a.fence
	})
	if e == nil {
		return
	}
	for n := range m.keys {
		k := m.keys[len(m.keys)-1-n]
		for i := range uint32(tasks) {
			tk := taskKey{k, i}
			if prior, ok := e.held[k]; !ok || prior[i] || e.launched[tk] || a.records[tk] {
				continue
			}
			e.launched[tk], a.records[tk] = true, true
			if m.starts[tk]++; m.starts[tk] > 1 {
				m.t.Fatalf("task %d of %v starts a second time, by %v", i, k, e.member)
			}
			return
		}
	}
}

// claim lets a member and the agents answer an open claim.
func (m *model) claim() {
	e := m.one(func(e *modelEntry) bool { return e.state.Open() })
	if e == nil {
		return
	}
	o := m.one(func(o *modelEntry) bool {
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

func (m *model) claimAgents(e *modelEntry) {
	known := []string{m.agents[0].name, m.agents[1].name}
	if !e.state.Complete(m.now) {
		known = known[:rapid.IntRange(0, 2).Draw(m.t, "known")]
	}
	e.state.Ask(m.now, known)
	for _, a := range m.agents {
		switch {
		case e.state.Waiting() || !slices.Contains(known, a.name):
		case a.away:
			e.state.AgentUnreachable(e.state.Round(), a.name)
		default:
			a.fence = max(a.fence, e.state.Table().GetVersion())
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

// away cuts an agent off from claims, though not from its earlier homes, or reconnects it.
func (m *model) away() { a := m.agent(); a.away = !a.away }

// restart loses the records of an agent. Its homes know what they had started there.
func (m *model) restart() {
	a := m.agent()
	a.started, a.fence = m.now, 0
	clear(a.records)
}

func (m *model) wait() {
	d := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second}).Draw(m.t, "wait")
	m.now = m.now.Add(d)
	for _, e := range m.entries {
		e.state.Expire(m.now)
	}
}

// Guards against I1 violations by a claim: whatever the order of table changes, answers,
// agent losses and resends, no task starts twice.
func TestNoSecondStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		steps := []func(){
			m.submit, m.submit, m.submit, m.submit, m.start, m.start, m.start, m.claim, m.claim, m.claim, m.claim,
			m.adopt, m.adopt, m.join, m.remove, m.leave, m.away, m.restart, m.wait, m.wait,
		}
		for range 300 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
	})
}

// Guards against forgetting the keys that a leaving member held: once it is gone their
// records have to be claimed from the agents, although their home has not changed.
func TestKeysOfRemovedHolderAreClaimedAgain(t *testing.T) {
	m := &peerv1.EntryTable{Version: 2, Members: []*peerv1.EntryMember{{Id: "a", Incarnation: "1"}, {Id: "b", Incarnation: "1", Leaving: true}}}
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Options{Self: "a", Incarnation: "1", Started: now, Window: window, Permit: permit, Silence: silence})
	s.Observe(now, m)
	k := submission.Key{Caller: "c"}
	own := func(submission.Key) bool { return false }
	s.EntryAnswered(s.Round(), Member{"b", "1"}, []submission.Key{k}, true, own)
	s.Ask(now, nil)
	if !s.Settle(now) || s.Decide(k, 1).Verdict != Forward {
		t.Fatalf("held key is %v", s.Decide(k, 1))
	}
	next := &peerv1.EntryTable{Version: 3, Members: m.GetMembers()[:1]}
	if c := s.Observe(now, next); c != Claim || s.Decide(k, 1).Verdict != Wait {
		t.Fatalf("change %v, verdict %v", c, s.Decide(k, 1).Verdict)
	}
}
