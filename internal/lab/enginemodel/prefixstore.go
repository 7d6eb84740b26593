package enginemodel

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// PrefixStore models the platform's prefix store, which holds KV-cache blocks outside the
// engines. It is much larger and slower than the memory of an engine and shared by all
// engines.
type PrefixStore struct {
	cache *cache
}

// NewPrefixStore returns an empty store with the given capacity in blocks.
func NewPrefixStore(capacity int) *PrefixStore { return &PrefixStore{cache: newCache(capacity)} }

// Store adds the blocks of a chain.
func (store *PrefixStore) Store(chain []prefix.Hash, now time.Time) {
	depth := store.cache.depth(chain)
	store.cache.insert(chain, now)
	store.cache.unpin(chain[depth:])
}

// Depth returns the number of leading blocks of the chain that are stored.
func (store *PrefixStore) Depth(chain []prefix.Hash) int { return store.cache.depth(chain) }

// Touch marks the stored blocks of a chain as used.
func (store *PrefixStore) Touch(chain []prefix.Hash, now time.Time) { store.cache.touch(chain, now) }

// TakeEvents returns the cache events since the last call.
func (store *PrefixStore) TakeEvents() []engineapi.CacheEvent {
	events := store.cache.events
	store.cache.events = nil
	return events
}

// Snapshot returns the stored blocks, parents before children.
func (store *PrefixStore) Snapshot() (sequence uint64, blocks []engineapi.CacheEvent) {
	return store.cache.snapshot()
}
