// Package table maps submissions to their home entries.
package table

import (
	"hash/fnv"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
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
		s := score(m.GetId(), k)
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

func score(member string, k submission.Key) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member))
	h.Write([]byte{0})
	h.Write([]byte(k.Caller))
	h.Write(k.ID[:])
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3. FNV alone leaves scores of similar
// member names correlated, which makes the shares of the members uneven.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
