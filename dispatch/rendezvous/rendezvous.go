// Package rendezvous computes the scores of rendezvous hashing. For a key, the candidates with the highest
// scores are chosen. Adding or removing a candidate changes only the choices that it gains or loses.
package rendezvous

import "hash/fnv"

// Score returns the score of a member for a key. The key is the concatenation of its parts: nothing marks
// where one part ends.
func Score(member string, key ...[]byte) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member))
	h.Write([]byte{0})
	for _, part := range key {
		h.Write(part)
	}
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. With FNV-1a alone, the scores of similar member names are
// correlated, which distributes the keys unevenly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
