// Package table looks up members of the entry table. The home of a submission is the member that
// schedules its tasks.
package table

import (
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/rendezvous"
	"poplargw.example/dispatch/submission"
)

// Home returns the home of the submission key: of the members that are not leaving, the one with the
// highest rendezvous score, and of equal scores the lowest ID. It returns nil if there is none.
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

// Member returns the member with the ID, or nil if the table holds none.
func Member(t *peerv1.EntryTable, id string) *peerv1.EntryMember {
	for _, m := range t.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}
