package engineapi

import (
	"encoding/binary"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// blockBytes is the size of one block's name.
const blockBytes = 8

// Run is a row of cache events with consecutive sequence numbers and one kind.
// The blocks of one chain follow each other: each stored block's parent is the
// block before it, each evicted block's parent the block after it.
type Run struct {
	First uint64    `json:"first"`
	Kind  EventKind `json:"kind"`
	// Parent of the first block of a stored run.
	Parent prefix.Hash `json:"parent,omitempty"`
	// Blocks holds the names, eight bytes each, least significant first.
	Blocks []byte `json:"blocks,omitempty"`
}

// Pack puts events into runs. An evicted block's parent is not needed by anyone
// who knew the block, and is left out.
func Pack(events []CacheEvent) []Run {
	runs := []Run{}
	var last CacheEvent
	for index, event := range events {
		follows := index > 0 && event.Kind == last.Kind && event.Sequence == last.Sequence+1 &&
			(event.Kind == BlockEvicted || (event.Kind == BlockStored && event.Parent == last.Block))
		if !follows {
			run := Run{First: event.Sequence, Kind: event.Kind}
			if event.Kind == BlockStored {
				run.Parent = event.Parent
			}
			runs = append(runs, run)
		}
		current := &runs[len(runs)-1]
		current.Blocks = binary.LittleEndian.AppendUint64(current.Blocks, uint64(event.Block))
		last = event
	}
	return runs
}

// Unpack is the inverse of Pack, but for the parents of evicted blocks.
func Unpack(runs []Run) []CacheEvent {
	events := []CacheEvent{}
	for _, run := range runs {
		parent := run.Parent
		for index := 0; index+blockBytes <= len(run.Blocks); index += blockBytes {
			block := prefix.Hash(binary.LittleEndian.Uint64(run.Blocks[index:]))
			events = append(events, CacheEvent{Sequence: run.First + uint64(index/blockBytes), Kind: run.Kind, Block: block, Parent: parent})
			if run.Kind == BlockStored {
				parent = block
			}
		}
	}
	return events
}
