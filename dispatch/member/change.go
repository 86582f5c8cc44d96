package member

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
)

// Reasons why this entry does not join the table.
var (
	ErrJoined       = errors.New("already a member")
	ErrReplaced     = errors.New("another process has taken over this entry's ID")
	ErrBackoff      = errors.New("waiting after a removal")
	ErrStoreUnsound = errors.New("the store has not answered long enough")
	ErrUnreachable  = errors.New("no majority of the members answers with the newest table")
)

// maxTickGap is the longest time between ticks after which silence of peers still counts. A longer gap
// means that this process did not run and that answers may wait unread.
const maxTickGap = time.Second

// Tick notes that the process runs. It must be called several times a second.
func (s *State) Tick(now time.Time) {
	if now.Sub(s.lastTick) > maxTickGap || !s.Fresh(now) {
		s.observedSince = now
	}
	s.lastTick = now
	s.backoff.tick(now, s.InTable())
}

// Confirmed tells whether a majority of the newest table or of the one before knows the newest table. Either
// keeps a majority of the table before from acting in ignorance of the newest one. The second
// lets an entry remove a member that joined and died before it answered.
func (s *State) Confirmed() bool {
	return s.knownBy(s.table) || s.previous != nil && s.knownBy(s.previous)
}

// knownBy tells whether a majority of the members of the table knows the newest table.
func (s *State) knownBy(t *peerv1.EntryTable) bool {
	n := 0
	for _, m := range t.GetMembers() {
		p := s.peers[m.GetId()]
		if m.GetId() == s.self && s.InTable() || p != nil && p.answer.Table >= s.table.GetVersion() {
			n++
		}
	}
	return n >= Majority(len(t.GetMembers()))
}

// KnownConfig returns how many members, this one included, count in majorities and know the
// configuration version or a newer one, and whether they are a majority.
func (s *State) KnownConfig(version uint64) (int, bool) {
	n := s.count(func(p *peer) bool { return p.answer.Synced && p.answer.Config >= version })
	if s.synced && s.InTable() && s.config.GetVersion() >= version {
		n++
	}
	return n, s.table != nil && n >= Majority(len(s.table.GetMembers()))
}

// answering returns how many other members have recently answered with the newest table.
func (s *State) answering(now time.Time) int {
	return s.count(func(p *peer) bool {
		return p.answer.Table >= s.table.GetVersion() && now.Sub(p.answer.Begin) < s.limits.Freshness
	})
}

// Remove returns the member that this entry has to remove from the table, or nil.
func (s *State) Remove(now time.Time) *peerv1.EntryMember {
	if !s.Fresh(now) || !s.StoreSettled() || !s.Confirmed() || !s.outnumbers(now) {
		return nil
	}
	var longest *peerv1.EntryMember
	var since time.Time
	for _, m := range s.table.GetMembers() {
		p := s.peers[m.GetId()]
		if m.GetId() == s.self || now.Sub(later(p.contact, s.observedSince)) < s.limits.PeerSilence {
			continue
		}
		if longest == nil || p.contact.Before(since) {
			longest, since = m, p.contact
		}
	}
	return longest
}

// outnumbers tells whether the members that do not answer are no majority of the table.
func (s *State) outnumbers(now time.Time) bool {
	heard := s.answering(now) + 1
	n := len(s.table.GetMembers())
	return n-heard < Majority(n)
}

// MayJoin returns nil if this entry may write itself into the newest table, and the reason otherwise.
func (s *State) MayJoin(now time.Time) error {
	m := find(s.table, s.self)
	switch {
	case s.InTable():
		return ErrJoined
	case m != nil && s.joined:
		return ErrReplaced
	case !s.StoreSettled():
		return ErrStoreUnsound
	case s.backoff.waits(now):
		return ErrBackoff
	case m != nil || len(s.table.GetMembers()) == 0:
		return nil
	}
	if s.answering(now) < Majority(len(s.table.GetMembers())) {
		return ErrUnreachable
	}
	return nil
}

// Join returns the next table with the member in it, in the place of an older incarnation.
// It returns nil if the table holds this incarnation.
func Join(t *peerv1.EntryTable, m *peerv1.EntryMember) *peerv1.EntryTable {
	old := find(t, m.GetId())
	if old.GetIncarnation() == m.GetIncarnation() && old != nil {
		return nil
	}
	next := without(t, m.GetId())
	next.Members = append(next.Members, proto.Clone(m).(*peerv1.EntryMember))
	return next
}

// Without returns the next table without the incarnation of the entry. It returns nil if the
// table does not hold this incarnation.
func Without(t *peerv1.EntryTable, id, incarnation string) *peerv1.EntryTable {
	if m := find(t, id); m == nil || m.GetIncarnation() != incarnation {
		return nil
	}
	return without(t, id)
}

// Leaving returns the next table with the incarnation marked as leaving. It returns nil if
// there is nothing to change.
func Leaving(t *peerv1.EntryTable, id, incarnation string) *peerv1.EntryTable {
	if m := find(t, id); m == nil || m.GetIncarnation() != incarnation || m.GetLeaving() {
		return nil
	}
	next := proto.Clone(t).(*peerv1.EntryTable)
	next.Version++
	find(next, id).Leaving = true
	return next
}

func without(t *peerv1.EntryTable, id string) *peerv1.EntryTable {
	next := &peerv1.EntryTable{Version: t.GetVersion() + 1}
	for _, m := range t.GetMembers() {
		if m.GetId() != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}
