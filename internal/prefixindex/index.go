// Package prefixindex remembers which engine holds which cached blocks. It is a
// hint: engines check identity, epoch and version themselves.
package prefixindex

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Holder is one incarnation of an engine. Entries belong to an incarnation, so
// those of a dead one can never be looked up.
type Holder struct {
	Endpoint string
	// Epoch is a tag of the incarnation's name, which is longer than it need be to
	// tell two incarnations of one engine apart.
	Epoch uint32
}

// NewHolder names an incarnation of an engine.
func NewHolder(endpoint, epoch string) Holder {
	return Holder{Endpoint: endpoint, Epoch: uint32(xxhash.Sum64String(epoch))}
}

// Update is a batch of changes from one engine's event reader.
type Update struct {
	Holder Holder
	// Clear drops what was known of the holder first, as after a gap.
	Clear   bool
	Stored  []prefix.Hash
	Evicted []prefix.Hash
}

// Depth says how many leading blocks of a chain a holder has.
type Depth struct {
	Holder Holder
	Blocks int
}

// Index maps blocks to holders. It is not safe for concurrent use.
type Index struct {
	slots   map[Holder]uint16
	holders []Holder
	// current is the slot of each endpoint's newest incarnation.
	current map[string]uint16
	free    []uint16
	blocks  map[prefix.Hash][]uint16
	depths  []int
	touched []uint16
}

// New returns an empty index.
func New() *Index {
	return &Index{slots: map[Holder]uint16{}, current: map[string]uint16{}, blocks: map[prefix.Hash][]uint16{}}
}

// Len is the number of distinct blocks.
func (index *Index) Len() int { return len(index.blocks) }

// Apply takes a batch. A batch of a new incarnation retires the old one.
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

// Retire forgets everything of an endpoint.
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

// Lookup appends the depth at which each holder has the chain. Engines evict
// leaves first, so a holder of a block holds all blocks before it; a hole from
// a lost event ends the depth early, which errs on the safe side.
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
