package enginemodel

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// PrefixStore models the platform's prefix store, which holds KV-cache blocks outside the
// engines. It is much larger and slower than the memory of an engine and shared by all
// engines.
type Kept struct {
	cache *cache
}

// NewPrefixStore returns an empty store with the given capacity in blocks.
func NewKept(capacity int) *Kept { return &Kept{cache: newCache(capacity)} }

// Store adds the blocks of a chain.
func (kept *Kept) Store(chain []prefix.Hash, now time.Time) {
	held := kept.cache.depth(chain)
	kept.cache.store(chain, now)
	kept.cache.release(chain[held:])
}

// Depth returns the number of leading blocks of the chain that are stored.
func (kept *Kept) Depth(chain []prefix.Hash) int { return kept.cache.depth(chain) }

// Touch marks the stored blocks of a chain as used.
func (kept *Kept) Touch(chain []prefix.Hash, now time.Time) { kept.cache.touch(chain, now) }

// TakeEvents returns the cache events since the last call.
func (kept *Kept) TakeEvents() []engineapi.CacheEvent {
	events := kept.cache.events
	kept.cache.events = nil
	return events
}

// Snapshot returns the stored blocks, parents before children.
func (kept *Kept) Snapshot() (sequence uint64, blocks []engineapi.CacheEvent) {
	return kept.cache.snapshot()
}
