// Package enginemodel models an inference engine: continuous batching, prefill
// and decode cost, and a prefix cache of limited memory. It is a pure state
// machine in the caller's time, used by the HTTP stand-in and by experiments.
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

// cache keeps blocks in order of use, most recent first. A chain is always
// touched from its leaf to its root, so a parent is more recent than its
// children and the least recent block is a leaf: eviction is leaf first.
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

// depth counts the leading blocks of the chain that are held.
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

// pin keeps the held blocks of the chain from eviction; release undoes it.
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

// store adds a computed chain. When memory is full of pinned blocks the rest
// of the chain is not cached. New blocks are pinned until they are released.
func (cache *cache) store(chain []prefix.Hash, now time.Time) {
	cache.touch(chain, now)
	// New blocks go in front of their parents; one more touch restores the order.
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

// snapshot lists the blocks, parents before children.
func (cache *cache) snapshot() (sequence uint64, blocks []engineapi.CacheEvent) {
	for place := cache.order.Front(); place != nil; place = place.Next() {
		held := place.Value.(*block)
		blocks = append(blocks, engineapi.CacheEvent{Kind: engineapi.BlockStored, Block: held.hash, Parent: held.parent})
	}
	return cache.sequence, blocks
}
