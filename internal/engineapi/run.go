package engineapi

import (
	"encoding/binary"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// hashBytes is the encoded size of one block hash.
const blockBytes = 8

// EventRun is a run of cache events with consecutive sequence numbers and the same
// kind. In a stored run, each block's parent is the block before it. An evicted
// run need not be a chain; the parents of its blocks are omitted.
type Run struct {
	First uint64    `json:"first"`
	Kind  EventKind `json:"kind"`
	// Parent is the parent of the first block of a stored run.
	Parent prefix.Hash `json:"parent,omitempty"`
	// Blocks holds the block hashes, eight bytes each, little-endian.
	Blocks []byte `json:"blocks,omitempty"`
}

// Pack encodes events as runs. The parents of evicted blocks are omitted, since a
// receiver that tracks the block already knows its parent.
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

// Unpack decodes runs. It restores everything but the parents of evicted blocks.
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
