// Package member decides on freshness and membership of an entry. It does no I/O; time is a parameter.
//
// Two rules keep an entry that was cut off from acting on old records:
//
//   - An entry is fresh only while recent answers of a majority of its newest table, or recent store
//     reads, show nothing newer than what it knows.
//   - A table is changed by a join or a removal only after a majority of its members know it, and a
//     member is removed only if the members that do not answer are no majority. Otherwise entries
//     without the store could stay fresh among themselves while an entry with the store removes them.
package member

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// Limits are the time limits of the rules.
type Limits struct {
	// Freshness is how long an answer or a store read is evidence.
	Freshness time.Duration
	// PeerSilence is how long a member may be silent before it is removed.
	PeerSilence time.Duration
	// StoreSettle is how long the store must answer after a failure before its reads are evidence:
	// entries that know newer records write them back in this time.
	StoreSettle time.Duration
}

// Answer is a heartbeat answer of a peer.
type Answer struct {
	Peer        string
	Incarnation string
	// Begin is when the heartbeat was sent.
	Begin time.Time
	// Config and Table are the versions that the peer knows.
	Config uint64
	Table  uint64
	Synced bool
}

// State is what an entry knows of itself and its peers. It is not safe for concurrent use.
type State struct {
	self        string
	incarnation string
	limits      Limits

	config *poplargwv1.ConfigRecord
	table  *peerv1.EntryTable
	// previous is the table before the newest one, or nil if this entry did not know it.
	previous *peerv1.EntryTable

	peers  map[string]*peer
	store  storeState
	synced bool
	// joined is set once the table has held this incarnation.
	joined  bool
	backoff backoff

	lastTick time.Time
	// observedSince is the start of the time in which silence of a peer says something about it.
	observedSince time.Time
}

// peer is what is known of another entry.
type peer struct {
	incarnation string
	contact     time.Time
	answer      Answer
}

// New returns the state of an entry that knows nothing yet.
func New(self, incarnation string, l Limits) *State {
	return &State{self: self, incarnation: incarnation, limits: l, peers: make(map[string]*peer)}
}

// Majority returns how many members of a table with n members are a majority.
func Majority(n int) int { return n/2 + 1 }

// Config returns the newest configuration record, or nil.
func (s *State) Config() *poplargwv1.ConfigRecord { return s.config }

// Table returns the newest entry table, or nil.
func (s *State) Table() *peerv1.EntryTable { return s.table }

// AdoptConfig takes over a record that is newer than the known one and tells whether it did.
func (s *State) AdoptConfig(r *poplargwv1.ConfigRecord) bool {
	if r.GetVersion() <= s.config.GetVersion() {
		return false
	}
	s.config = r
	return true
}

// AdoptTable takes over a table that is newer than the known one and tells whether it did.
func (s *State) AdoptTable(t *peerv1.EntryTable, now time.Time) bool {
	if t.GetVersion() <= s.table.GetVersion() {
		return false
	}
	was := s.InTable()
	s.previous = nil
	if t.GetVersion() == s.table.GetVersion()+1 {
		s.previous = s.table
	}
	s.table = t
	s.forgetPeers()
	for _, m := range t.GetMembers() {
		s.expect(m, now)
	}
	switch in := s.InTable(); {
	case in && !was:
		s.joined = true
		s.backoff.joined(now)
	case was && !in:
		s.backoff.removed(now)
	}
	return true
}

// expect starts the time in which a member must be heard, for a member that is new in the table.
func (s *State) expect(m *peerv1.EntryMember, now time.Time) {
	if p := s.peers[m.GetId()]; p == nil || p.incarnation != m.GetIncarnation() {
		s.peers[m.GetId()] = &peer{incarnation: m.GetIncarnation(), contact: now}
	}
}

// forgetPeers drops what is known of entries that are not in the table.
func (s *State) forgetPeers() {
	for id := range s.peers {
		if find(s.table, id) == nil {
			delete(s.peers, id)
		}
	}
}

// InTable tells whether the newest table holds this incarnation.
func (s *State) InTable() bool {
	return find(s.table, s.self).GetIncarnation() == s.incarnation
}

// Heard notes a heartbeat answer. Answers of entries or incarnations that are not in the
// table are ignored. It tells whether the answer was noted.
func (s *State) Heard(a Answer, now time.Time) bool {
	p := s.peers[a.Peer]
	if p == nil || p.incarnation != a.Incarnation {
		return false
	}
	p.contact = later(p.contact, now)
	// Answers can overtake each other; versions of one incarnation never decrease.
	a.Begin = later(a.Begin, p.answer.Begin)
	a.Config = max(a.Config, p.answer.Config)
	a.Table = max(a.Table, p.answer.Table)
	a.Synced = a.Synced || p.answer.Synced
	p.answer = a
	s.trySync()
	return true
}

// Contact notes any other message of a peer.
func (s *State) Contact(id, incarnation string, now time.Time) {
	if p := s.peers[id]; p != nil && p.incarnation == incarnation {
		p.contact = later(p.contact, now)
	}
}

// Peer returns the newest answer and the last contact of a member.
func (s *State) Peer(id string) (Answer, time.Time) {
	p := s.peers[id]
	if p == nil {
		return Answer{}, time.Time{}
	}
	return p.answer, p.contact
}

// Synced tells whether this entry counts in majorities and may serve.
func (s *State) Synced() bool { return s.synced }

// trySync notes that all records that a majority of the other members knows are known here.
func (s *State) trySync() {
	others := len(s.table.GetMembers())
	if find(s.table, s.self) != nil {
		others--
	}
	if others > 0 && s.count(s.current) >= Majority(others) {
		s.synced = true
	}
}

// count returns how many other members fulfil the condition.
func (s *State) count(ok func(*peer) bool) int {
	n := 0
	for id, p := range s.peers {
		if id != s.self && ok(p) {
			n++
		}
	}
	return n
}

// current tells whether a peer counts in majorities and knows nothing newer than this entry.
func (s *State) current(p *peer) bool {
	a := p.answer
	return a.Synced && a.Config <= s.config.GetVersion() && a.Table <= s.table.GetVersion()
}

func find(t *peerv1.EntryTable, id string) *peerv1.EntryMember {
	for _, m := range t.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
