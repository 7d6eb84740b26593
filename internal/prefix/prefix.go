// Package prefix computes hashes that identify the blocks of a prompt. A block's
// hash covers the prompt up to the end of the block and the identity that the
// cache belongs to, so two tenants, or two versions of one model, never share a
// hash.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies one block and, as the hashes are chained, all blocks before it.
type Hash uint64

// Identity is the scope within which cached blocks may be shared.
type Identity struct {
	Tenant  string
	Model   string
	Version string
	Adapter string
	// Isolated identifies the tenants that have no part in a scope that others share; "" if there are none.
	Isolated string
}

// Salt returns the secret that engines mix into the hashes of cached blocks. It
// is derived from the fleet's key, so that every node computes the same salt and
// no tenant can guess another's.
func Salt(fleetKey []byte, identity Identity) string {
	mac := hmac.New(sha256.New, fleetKey)
	fields := []string{identity.Tenant, identity.Model, identity.Version, identity.Adapter}
	if identity.Isolated != "" {
		fields = append(fields, identity.Isolated)
	}
	for _, field := range fields {
		// Length prefixes separate the fields: ("ab","c") differs from ("a","bc").
		_ = binary.Write(mac, binary.BigEndian, uint32(len(field)))
		mac.Write([]byte(field))
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// Chain returns the hashes of the complete blocks of a prompt, in order. A
// trailing partial block has no hash, since engines cache only complete blocks.
func Chain(salt string, prompt []byte, blockBytes int) []Hash {
	chain := make([]Hash, 0, len(prompt)/blockBytes)
	previous := xxhash.Sum64String(salt)
	digest := xxhash.New()
	var seed [8]byte
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest.Reset()
		binary.LittleEndian.PutUint64(seed[:], previous)
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[start : start+blockBytes])
		previous = digest.Sum64()
		chain = append(chain, Hash(previous))
	}
	return chain
}

// Next returns the hash of the block that follows previous, for workload models
// that identify blocks by number rather than by text.
func Next(previous Hash, content uint64) Hash {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], uint64(previous))
	binary.LittleEndian.PutUint64(data[8:], content)
	return Hash(xxhash.Sum64(data[:]))
}
