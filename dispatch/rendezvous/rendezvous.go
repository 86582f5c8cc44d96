// Package rendezvous scores pairs of names for rendezvous hashing: of all candidates for a key, those with
// the highest scores are chosen, and a change of the candidates moves no other choice.
package rendezvous

import "hash/fnv"

// Score returns the score of a member for a key, whose parts follow each other.
func Score(member string, key ...[]byte) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member))
	h.Write([]byte{0})
	for _, part := range key {
		h.Write(part)
	}
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
