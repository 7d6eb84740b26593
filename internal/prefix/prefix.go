// Package prefix names the blocks of a prompt. A block's hash covers the whole
// prompt up to its end and the identity that the cache belongs to, so two
// tenants, or two versions of one model, never share a hash.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Hash names one block and, through its chain, all blocks before it.
type Hash uint64

// Identity is what cached blocks belong to.
type Identity struct {
	Tenant  string
	Model   string
	Version string
	Adapter string
}

// Salt returns the secret that engines mix into the identity of cached blocks.
// It is derived from the fleet's key, so that every node computes the same salt
// and no tenant can guess another's.
func Salt(fleetKey []byte, identity Identity) string {
	mac := hmac.New(sha256.New, fleetKey)
	for _, field := range []string{identity.Tenant, identity.Model, identity.Version, identity.Adapter} {
		// Lengths keep the fields apart: ("ab","c") is not ("a","bc").
		_ = binary.Write(mac, binary.BigEndian, uint32(len(field)))
		mac.Write([]byte(field))
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// Chain hashes the whole blocks of a prompt, first block first. A last part
// that does not fill a block has no hash, since engines cache whole blocks.
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

// Next returns the hash of a block that follows previous, for models of a
// workload that know blocks by number rather than by text.
func Next(previous Hash, content uint64) Hash {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], uint64(previous))
	binary.LittleEndian.PutUint64(data[8:], content)
	return Hash(xxhash.Sum64(data[:]))
}
