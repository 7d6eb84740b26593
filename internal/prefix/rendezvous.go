package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous (highest random weight) score of a candidate for
// a key. All nodes with the same candidates rank them identically, and removing a
// candidate moves only its own keys.
func Weight(key Hash, candidate string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(key))
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Owner returns the candidate with the highest weight for the key, or "" when
// there are none.
func Owner(key Hash, candidates []string) string {
	owner, highest := "", uint64(0)
	for _, candidate := range candidates {
		weight := Weight(key, candidate)
		if owner == "" || weight > highest || (weight == highest && candidate < owner) {
			owner, highest = candidate, weight
		}
	}
	return owner
}

// HashName hashes a name to a key.
func KeyOf(name string) Hash {
	return Hash(xxhash.Sum64String(name))
}
