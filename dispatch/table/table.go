// Package table maps submissions to their home entries.
package table

import (
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/rendezvous"
	"poplargw.example/dispatch/submission"
)

// Home returns the member that is the home of the key, by rendezvous hash over
// the members that are not leaving. It returns nil when there is none.
func Home(t *peerv1.EntryTable, k submission.Key) *peerv1.EntryMember {
	var best *peerv1.EntryMember
	var bestScore uint64
	for _, m := range t.GetMembers() {
		if m.GetLeaving() {
			continue
		}
		s := rendezvous.Score(m.GetId(), []byte(k.Caller), k.ID[:])
		if best == nil || s > bestScore || s == bestScore && m.GetId() < best.GetId() {
			best, bestScore = m, s
		}
	}
	return best
}

// Member returns the member with the ID, or nil.
func Member(t *peerv1.EntryTable, id string) *peerv1.EntryMember {
	for _, m := range t.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}
