// Package enginemodel models an inference engine: continuous batching, prefill and
// decode cost, and a prefix cache of limited capacity. It is a state machine whose
// clock is supplied by the caller, shared by the HTTP stub and the simulations.
package enginemodel

import (
	"container/list"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

type block struct {
	hash    prefix.Hash
	parent  prefix.Hash
	lastUse time.Time
	pins    int
	place   *list.Element
}

// cache is an LRU cache of blocks. A chain is always touched from its leaf to its
// root, so a parent is more recently used than its children, the least recently used
// block is a leaf, and blocks are evicted leaf first.
type cache struct {
	capacity    int
	blocks      map[prefix.Hash]*block
	order       *list.List
	sequence    uint64
	events      []engineapi.CacheEvent
	evictionAge time.Duration
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[prefix.Hash]*block{}, order: list.New()}
}

// depth returns the number of leading blocks of the chain that are cached.
func (cache *cache) depth(chain []prefix.Hash) int {
	for index, hash := range chain {
		if _, held := cache.blocks[hash]; !held {
			return index
		}
	}
	return len(chain)
}

func (cache *cache) touch(chain []prefix.Hash, now time.Time) {
	for index := len(chain) - 1; index >= 0; index-- {
		if held, found := cache.blocks[chain[index]]; found {
			held.lastUse = now
			cache.order.MoveToFront(held.place)
		}
	}
}

// pin protects the cached blocks of the chain from eviction; unpin reverts it.
func (cache *cache) pin(chain []prefix.Hash) {
	for _, hash := range chain {
		if held, found := cache.blocks[hash]; found {
			held.pins++
		}
	}
}

func (cache *cache) release(chain []prefix.Hash) {
	for _, hash := range chain {
		if held, found := cache.blocks[hash]; found && held.pins > 0 {
			held.pins--
		}
	}
}

// insert adds a computed chain. If all cached blocks are pinned and the cache is
// full, the rest of the chain is not cached. New blocks stay pinned until unpin.
func (cache *cache) store(chain []prefix.Hash, now time.Time) {
	cache.touch(chain, now)
	// New blocks are pushed in front of their parents; touching the chain again
	// restores the order.
	defer cache.touch(chain, now)
	for index, hash := range chain {
		if _, held := cache.blocks[hash]; held {
			continue
		}
		if len(cache.blocks) >= cache.capacity && !cache.evict(now) {
			return
		}
		var parent prefix.Hash
		if index > 0 {
			parent = chain[index-1]
		}
		added := &block{hash: hash, parent: parent, lastUse: now, pins: 1}
		added.place = cache.order.PushFront(added)
		cache.blocks[hash] = added
		cache.publish(engineapi.CacheEvent{Kind: engineapi.BlockStored, Block: hash, Parent: parent})
	}
}

func (cache *cache) evict(now time.Time) bool {
	for place := cache.order.Back(); place != nil; place = place.Prev() {
		oldest := place.Value.(*block)
		if oldest.pins > 0 {
			continue
		}
		cache.order.Remove(place)
		delete(cache.blocks, oldest.hash)
		cache.evictionAge = now.Sub(oldest.lastUse)
		cache.publish(engineapi.CacheEvent{Kind: engineapi.BlockEvicted, Block: oldest.hash, Parent: oldest.parent})
		return true
	}
	return false
}

func (cache *cache) publish(event engineapi.CacheEvent) {
	cache.sequence++
	event.Sequence = cache.sequence
	cache.events = append(cache.events, event)
}

// snapshot returns the blocks, parents before children.
func (cache *cache) snapshot() (sequence uint64, blocks []engineapi.CacheEvent) {
	for place := cache.order.Front(); place != nil; place = place.Next() {
		held := place.Value.(*block)
		blocks = append(blocks, engineapi.CacheEvent{Kind: engineapi.BlockStored, Block: held.hash, Parent: held.parent})
	}
	return cache.sequence, blocks
}
