package enginemodel

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Kept models the platform's store of kept KV cache: much larger and slower than
// an engine's own memory, and shared by all engines.
type Kept struct {
	cache *cache
}

// NewKept returns an empty store of the given capacity in blocks.
func NewKept(capacity int) *Kept { return &Kept{cache: newCache(capacity)} }

// Store keeps the blocks of a chain.
func (kept *Kept) Store(chain []prefix.Hash, now time.Time) {
	held := kept.cache.depth(chain)
	kept.cache.store(chain, now)
	kept.cache.release(chain[held:])
}

// Depth counts the leading blocks of the chain that are kept.
func (kept *Kept) Depth(chain []prefix.Hash) int { return kept.cache.depth(chain) }

// Touch notes a use of the kept blocks of a chain.
func (kept *Kept) Touch(chain []prefix.Hash, now time.Time) { kept.cache.touch(chain, now) }

// TakeEvents returns the events since the last call.
func (kept *Kept) TakeEvents() []engineapi.CacheEvent {
	events := kept.cache.events
	kept.cache.events = nil
	return events
}

// Snapshot lists the kept blocks.
func (kept *Kept) Snapshot() (sequence uint64, blocks []engineapi.CacheEvent) {
	return kept.cache.snapshot()
}
