// Package member decides whether an entry is fresh, so that it may start tasks, and when members join and
// leave the entry table. It does no I/O; time is a parameter.
//
// Two rules keep an entry that was cut off from acting on outdated records:
//
//   - An entry is fresh only while recent answers of a majority of its newest table, or recent store
//     reads, show no newer record than those that it knows.
//   - A table is changed by a join or a removal only after a majority of its members know it, and a
//     member is removed only if the members that do not answer are no majority. Otherwise entries
//     that cannot reach the store could keep each other fresh while another entry removes them.
package member

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// Limits are the time limits of freshness and membership.
type Limits struct {
	// Freshness is how long an answer or a store read counts as evidence, from when it was requested.
	Freshness time.Duration
	// PeerSilence is how long a member may send nothing before it is removed.
	PeerSilence time.Duration
	// StoreSettle is how long the store must answer after a failure before its reads count as evidence:
	// entries that know newer records write them back in this time.
	StoreSettle time.Duration
}

// Answer is a peer's answer to a heartbeat.
type Answer struct {
	// Peer is the ID of the peer, and Incarnation identifies its process.
	Peer        string
	Incarnation string
	// Begin is when the heartbeat was sent.
	Begin time.Time
	// Config and Table are the versions that the peer knows.
	Config uint64
	Table  uint64
	// Synced is set if the peer counts in majorities.
	Synced bool
}

// State is the membership state of an entry: the records that it knows and the answers that it got
// from its peers and the store. It is not safe for concurrent use.
type State struct {
	self        string
	incarnation string
	limits      Limits

	config *poplargwv1.ConfigRecord
	table  *peerv1.EntryTable
	// previous is the version before the newest table, or nil if this entry did not know it.
	previous *peerv1.EntryTable

	// peers holds the members of the table by ID.
	peers map[string]*peer
	store storeState
	// synced is set once this entry knows all records that the store or a majority knew.
	synced bool
	// joined is set once the table has held this incarnation.
	joined  bool
	backoff backoff

	lastTick time.Time
	// observedSince is the time from which silence of a peer is measured.
	observedSince time.Time
}

// peer is what is known of a member of the table.
type peer struct {
	incarnation string
	// lastContact is when the newest message arrived, or when the member was first seen in the table.
	lastContact time.Time
	// answer is the newest answer; its versions and times never go back.
	answer Answer
}

// New returns the state of an entry that knows no record yet.
func New(self, incarnation string, l Limits) *State {
	return &State{self: self, incarnation: incarnation, limits: l, peers: make(map[string]*peer)}
}

// Majority returns the number of members that are a majority of a table with n members.
func Majority(n int) int { return n/2 + 1 }

// Config returns the newest configuration record, or nil.
func (s *State) Config() *poplargwv1.ConfigRecord { return s.config }

// Table returns the newest entry table, or nil.
func (s *State) Table() *peerv1.EntryTable { return s.table }

// AdoptConfig replaces the configuration by a newer record and reports whether r is newer.
func (s *State) AdoptConfig(r *poplargwv1.ConfigRecord) bool {
	if r.GetVersion() <= s.config.GetVersion() {
		return false
	}
	s.config = r
	return true
}

// AdoptTable replaces the entry table by a newer one and reports whether t is newer.
func (s *State) AdoptTable(t *peerv1.EntryTable, now time.Time) bool {
	if t.GetVersion() <= s.table.GetVersion() {
		return false
	}
	wasIn := s.InTable()
	s.previous = nil
	if t.GetVersion() == s.table.GetVersion()+1 {
		s.previous = s.table
	}
	s.table = t
	s.forgetPeers()
	for _, m := range t.GetMembers() {
		s.trackPeer(m, now)
	}
	switch in := s.InTable(); {
	case in && !wasIn:
		s.joined = true
		s.backoff.joined(now)
	case wasIn && !in:
		s.backoff.removed(now)
	}
	return true
}

// trackPeer starts the measurement of silence for a member that is new in the table.
func (s *State) trackPeer(m *peerv1.EntryMember, now time.Time) {
	if p := s.peers[m.GetId()]; p == nil || p.incarnation != m.GetIncarnation() {
		s.peers[m.GetId()] = &peer{incarnation: m.GetIncarnation(), lastContact: now}
	}
}

// forgetPeers drops the peers that are not in the table.
func (s *State) forgetPeers() {
	for id := range s.peers {
		if findMember(s.table, id) == nil {
			delete(s.peers, id)
		}
	}
}

// InTable reports whether the newest table holds this incarnation.
func (s *State) InTable() bool {
	return findMember(s.table, s.self).GetIncarnation() == s.incarnation
}

// RecordAnswer records an answer to a heartbeat and reports whether it did. Answers of entries or
// incarnations that are not in the table are ignored.
func (s *State) RecordAnswer(a Answer, now time.Time) bool {
	p := s.peers[a.Peer]
	if p == nil || p.incarnation != a.Incarnation {
		return false
	}
	p.lastContact = later(p.lastContact, now)
	// Answers can arrive out of order; the versions that one incarnation knows never decrease.
	a.Begin = later(a.Begin, p.answer.Begin)
	a.Config = max(a.Config, p.answer.Config)
	a.Table = max(a.Table, p.answer.Table)
	a.Synced = a.Synced || p.answer.Synced
	p.answer = a
	s.trySync()
	return true
}

// Contact notes a message of a peer that is not an answer to a heartbeat. Messages of entries or
// incarnations that are not in the table are ignored.
func (s *State) Contact(id, incarnation string, now time.Time) {
	if p := s.peers[id]; p != nil && p.incarnation == incarnation {
		p.lastContact = later(p.lastContact, now)
	}
}

// Peer returns the newest answer of a member and the time of its last message. Both are zero for an ID
// that is not in the table.
func (s *State) Peer(id string) (Answer, time.Time) {
	p := s.peers[id]
	if p == nil {
		return Answer{}, time.Time{}
	}
	return p.answer, p.lastContact
}

// Synced reports whether this entry has caught up with the records: it counts in majorities and may
// serve callers.
func (s *State) Synced() bool { return s.synced }

// trySync sets synced if a majority of the other members knows nothing newer than this entry.
func (s *State) trySync() {
	others := len(s.table.GetMembers())
	if findMember(s.table, s.self) != nil {
		others--
	}
	if others > 0 && s.count(s.knowsNothingNewer) >= Majority(others) {
		s.synced = true
	}
}

// count returns the number of other members that meet the condition.
func (s *State) count(ok func(*peer) bool) int {
	n := 0
	for id, p := range s.peers {
		if id != s.self && ok(p) {
			n++
		}
	}
	return n
}

// knowsNothingNewer reports whether a peer is synced and, by its newest answer, knows no newer record
// than this entry.
func (s *State) knowsNothingNewer(p *peer) bool {
	a := p.answer
	return a.Synced && a.Config <= s.config.GetVersion() && a.Table <= s.table.GetVersion()
}

// findMember returns the member with the ID, or nil.
func findMember(t *peerv1.EntryTable, id string) *peerv1.EntryMember {
	for _, m := range t.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
