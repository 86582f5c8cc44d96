package member

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
)

// Reasons why this entry may not join the table.
var (
	ErrJoined         = errors.New("already a member")
	ErrReplaced       = errors.New("another process has taken over this entry's ID")
	ErrBackoff        = errors.New("waiting to join again after a removal")
	ErrStoreUnsettled = errors.New("the store has not answered without a failure for long enough")
	ErrUnreachable    = errors.New("no majority of the members has answered with the newest table")
)

// maxTickGap is the longest time between two ticks across which silence of a peer is measured. After a
// longer gap it is measured anew: this process did not run, and answers may wait unread.
const maxTickGap = time.Second

// Tick notes that this process runs. It must be called several times a second: a gap of more than one
// second restarts the measurement of the peers' silence, and so does each call while this entry is not
// fresh.
func (s *State) Tick(now time.Time) {
	if now.Sub(s.lastTick) > maxTickGap || !s.Fresh(now) {
		s.observedSince = now
	}
	s.lastTick = now
	s.backoff.resetIfStable(now, s.InTable())
}

// Confirmed reports whether a majority of the newest table, or of the one before it, knows the newest
// table. Either one ensures that no majority of the previous table can act without knowing the newest.
// The second lets an entry remove a member that joined and died before it answered.
func (s *State) Confirmed() bool {
	return s.majorityKnows(s.table) || s.previous != nil && s.majorityKnows(s.previous)
}

// majorityKnows reports whether a majority of the members of the table knows the newest table.
func (s *State) majorityKnows(t *peerv1.EntryTable) bool {
	n := 0
	for _, m := range t.GetMembers() {
		p := s.peers[m.GetId()]
		if m.GetId() == s.self && s.InTable() || p != nil && p.answer.Table >= s.table.GetVersion() {
			n++
		}
	}
	return n >= Majority(len(t.GetMembers()))
}

// KnownConfig returns the number of synced members, this entry included, that know the given or a
// newer version of the configuration, and whether they are a majority.
func (s *State) KnownConfig(version uint64) (int, bool) {
	n := s.count(func(p *peer) bool { return p.answer.Synced && p.answer.Config >= version })
	if s.synced && s.InTable() && s.config.GetVersion() >= version {
		n++
	}
	return n, s.table != nil && n >= Majority(len(s.table.GetMembers()))
}

// answering returns the number of other members that have answered with the newest table to a
// heartbeat sent within the freshness limit.
func (s *State) answering(now time.Time) int {
	return s.count(func(p *peer) bool {
		return p.answer.Table >= s.table.GetVersion() && now.Sub(p.answer.Begin) < s.limits.Freshness
	})
}

// MemberToRemove returns the member that this entry has to remove from the table, or nil. It is the one that
// has been silent for longest, if that is at least PeerSilence. It is nil unless this entry is fresh,
// the store has settled, the newest table is confirmed and the silent members are no majority.
func (s *State) MemberToRemove(now time.Time) *peerv1.EntryMember {
	if !s.Fresh(now) || !s.StoreSettled() || !s.Confirmed() || !s.noSilentMajority(now) {
		return nil
	}
	var longest *peerv1.EntryMember
	var since time.Time
	for _, m := range s.table.GetMembers() {
		p := s.peers[m.GetId()]
		if m.GetId() == s.self || now.Sub(later(p.lastContact, s.observedSince)) < s.limits.PeerSilence {
			continue
		}
		if longest == nil || p.lastContact.Before(since) {
			longest, since = m, p.lastContact
		}
	}
	return longest
}

// noSilentMajority reports whether the members that do not answer are less than a majority of the table.
func (s *State) noSilentMajority(now time.Time) bool {
	answering := s.answering(now) + 1
	n := len(s.table.GetMembers())
	return n-answering < Majority(n)
}

// MayJoin returns nil if this entry may write itself into the newest table. Otherwise it returns
// ErrJoined, ErrReplaced, ErrStoreUnsettled, ErrBackoff or ErrUnreachable. The answers of a
// majority are not needed to join an empty table or to replace an earlier incarnation.
func (s *State) MayJoin(now time.Time) error {
	m := findMember(s.table, s.self)
	switch {
	case s.InTable():
		return ErrJoined
	case m != nil && s.joined:
		return ErrReplaced
	case !s.StoreSettled():
		return ErrStoreUnsettled
	case s.backoff.active(now):
		return ErrBackoff
	case m != nil || len(s.table.GetMembers()) == 0:
		return nil
	}
	if s.answering(now) < Majority(len(s.table.GetMembers())) {
		return ErrUnreachable
	}
	return nil
}

// Join returns the next version of the table with the member added, in the place of an earlier
// incarnation. It returns nil if the table already holds this incarnation.
func Join(t *peerv1.EntryTable, m *peerv1.EntryMember) *peerv1.EntryTable {
	old := findMember(t, m.GetId())
	if old.GetIncarnation() == m.GetIncarnation() && old != nil {
		return nil
	}
	next := withoutMember(t, m.GetId())
	next.Members = append(next.Members, proto.Clone(m).(*peerv1.EntryMember))
	return next
}

// Without returns the next version of the table without the incarnation of the entry. It returns
// nil if the table does not hold this incarnation.
func Without(t *peerv1.EntryTable, id, incarnation string) *peerv1.EntryTable {
	if m := findMember(t, id); m == nil || m.GetIncarnation() != incarnation {
		return nil
	}
	return withoutMember(t, id)
}

// Leaving returns the next version of the table with the incarnation marked as leaving. It returns
// nil if the table does not hold this incarnation or has marked it already.
func Leaving(t *peerv1.EntryTable, id, incarnation string) *peerv1.EntryTable {
	if m := findMember(t, id); m == nil || m.GetIncarnation() != incarnation || m.GetLeaving() {
		return nil
	}
	next := proto.Clone(t).(*peerv1.EntryTable)
	next.Version++
	findMember(next, id).Leaving = true
	return next
}

// withoutMember returns the next version of the table without the member.
func withoutMember(t *peerv1.EntryTable, id string) *peerv1.EntryTable {
	next := &peerv1.EntryTable{Version: t.GetVersion() + 1}
	for _, m := range t.GetMembers() {
		if m.GetId() != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}
