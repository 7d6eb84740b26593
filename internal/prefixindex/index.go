// Package prefixindex indexes which engines hold which cached blocks. The index
// is a hint: engines check identity, epoch and version themselves.
package prefixindex

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Holder identifies one incarnation of an engine. Entries belong to an
// incarnation, so lookups never return entries of an earlier one.
type Holder struct {
	Endpoint string
	// Epoch is a 32-bit hash of the incarnation's name, which suffices to
	// distinguish the incarnations of one engine.
	Epoch uint32
}

// NewHolder returns the holder for an incarnation of an engine.
func NewHolder(endpoint, epoch string) Holder {
	return Holder{Endpoint: endpoint, Epoch: uint32(xxhash.Sum64String(epoch))}
}

// Update is a batch of cache changes from one engine's event reader.
type Update struct {
	Holder Holder
	// Clear removes all entries of the holder first, as after a gap.
	Clear   bool
	Stored  []prefix.Hash
	Evicted []prefix.Hash
}

// Depth is the number of leading blocks of a chain that a holder has.
type Depth struct {
	Holder Holder
	Blocks int
}

// Index maps blocks to holders, which it refers to by slot, their position in
// holders. It is not safe for concurrent use.
type Index struct {
	slots   map[Holder]uint16
	holders []Holder
	// newestSlot holds the slot of each endpoint's newest incarnation.
	current map[string]uint16
	free    []uint16
	blocks  map[prefix.Hash][]uint16
	// depths, by slot, and matchedSlots are scratch space of Lookup.
	depths  []int
	touched []uint16
}

// New returns an empty index.
func New() *Index {
	return &Index{slots: map[Holder]uint16{}, current: map[string]uint16{}, blocks: map[prefix.Hash][]uint16{}}
}

// Len returns the number of distinct blocks.
func (index *Index) Len() int { return len(index.blocks) }

// Apply applies an update. An update from a new incarnation removes the entries
// of the old one.
func (index *Index) Apply(update Update) {
	slot := index.slot(update.Holder)
	if update.Clear {
		index.drop(slot)
	}
	for _, hash := range update.Stored {
		index.add(hash, slot)
	}
	for _, hash := range update.Evicted {
		index.remove(hash, slot)
	}
}

// RemoveEndpoint removes all entries of an endpoint.
func (index *Index) Retire(endpoint string) {
	slot, found := index.current[endpoint]
	if !found {
		return
	}
	index.drop(slot)
	delete(index.slots, index.holders[slot])
	delete(index.current, endpoint)
	index.holders[slot] = Holder{}
	index.free = append(index.free, slot)
}

func (index *Index) slot(holder Holder) uint16 {
	if slot, found := index.slots[holder]; found {
		return slot
	}
	index.Retire(holder.Endpoint)
	var slot uint16
	if count := len(index.free); count > 0 {
		slot = index.free[count-1]
		index.free = index.free[:count-1]
	} else {
		slot = uint16(len(index.holders))
		index.holders = append(index.holders, Holder{})
		index.depths = append(index.depths, 0)
	}
	index.holders[slot] = holder
	index.slots[holder] = slot
	index.current[holder.Endpoint] = slot
	return slot
}

func (index *Index) add(hash prefix.Hash, slot uint16) {
	held := index.blocks[hash]
	for _, other := range held {
		if other == slot {
			return
		}
	}
	index.blocks[hash] = append(held, slot)
}

func (index *Index) remove(hash prefix.Hash, slot uint16) {
	held := index.blocks[hash]
	for position, other := range held {
		if other != slot {
			continue
		}
		if len(held) == 1 {
			delete(index.blocks, hash)
			return
		}
		held[position] = held[len(held)-1]
		index.blocks[hash] = held[:len(held)-1]
		return
	}
}

func (index *Index) drop(slot uint16) {
	for hash := range index.blocks {
		index.remove(hash, slot)
	}
}

// Lookup appends the depth to which each holder has the chain. Engines evict
// leaves first, so a holder of a block holds all blocks before it. A hole left by
// a lost event ends the depth early, so that the depth is never too high.
func (index *Index) Lookup(depths []Depth, chain []prefix.Hash) []Depth {
	index.touched = index.touched[:0]
	for position, hash := range chain {
		advanced := false
		for _, slot := range index.blocks[hash] {
			if index.depths[slot] != position {
				continue
			}
			if position == 0 {
				index.touched = append(index.touched, slot)
			}
			index.depths[slot] = position + 1
			advanced = true
		}
		if !advanced {
			break
		}
	}
	for _, slot := range index.touched {
		depths = append(depths, Depth{Holder: index.holders[slot], Blocks: index.depths[slot]})
		index.depths[slot] = 0
	}
	return depths
}
