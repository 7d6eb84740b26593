// Package eventreader tracks the cache contents of one engine from its cache
// events and converts them into updates for the nodes that hold the prefix
// index. It is a pure state machine.
package eventreader

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// minSnapshotInterval is the minimum time between two snapshots of one engine,
// so that a burst of gaps does not overload it.
const minSnapshotInterval = 2 * time.Second

// Reader tracks the cache contents of one engine.
type Reader struct {
	endpoint string
	epoch    string
	sequence uint64
	// positions holds each block's position in its chain. The first block of the
	// chain determines which index partition holds the block.
	positions map[prefix.Hash]chainPosition
	// needsSnapshot is set if events were missed.
	needsSnapshot  bool
	lastSnapshotAt time.Time
}

// chainPosition is a block's position in its chain.
type chainPosition struct {
	root prefix.Hash
	// depth counts from 1.
	depth int32
}

// New returns a reader that needs an initial snapshot.
func New(endpoint string) *Reader {
	return &Reader{endpoint: endpoint, positions: map[prefix.Hash]chainPosition{}, needsSnapshot: true}
}

// LastSequence returns the sequence number of the last event applied, after which
// the event stream is reopened.
func (reader *Reader) LastSequence() uint64 { return reader.sequence }

// SnapshotDue reports whether a snapshot is needed and may be requested now.
func (reader *Reader) SnapshotDue(now time.Time) bool {
	return reader.needsSnapshot && now.Sub(reader.lastSnapshotAt) >= minSnapshotInterval
}

// Holder identifies the engine incarnation being tracked.
func (reader *Reader) Holder() prefixindex.Holder {
	return prefixindex.NewHolder(reader.endpoint, reader.epoch)
}

// Change is the effect of an event batch or snapshot on the engine's cache.
type Change struct {
	// Events is the number of events applied.
	Events int
	// Clear is set if all earlier blocks of the engine are gone.
	Clear   bool
	Stored  []PositionedBlock
	Evicted []PositionedBlock
}

// PositionedBlock is a block with its position in its chain. Root, the first
// block of the chain, determines which index partition holds it.
type PositionedBlock struct {
	Block prefix.Hash
	Root  prefix.Hash
	// Depth in the chain counts from 1.
	Depth int
}

// Update converts the change into an index update.
func (change Change) Update(holder prefixindex.Holder) prefixindex.Update {
	update := prefixindex.Update{Holder: holder, Clear: change.Clear}
	for _, item := range change.Stored {
		update.Stored = append(update.Stored, item.Block)
	}
	for _, item := range change.Evicted {
		update.Evicted = append(update.Evicted, item.Block)
	}
	return update
}

// WithClear returns a copy that replaces all earlier state of the holder.
func (change Change) WithClear() Change {
	change.Clear = true
	return change
}

// ApplyBatch applies a batch of events. Stores and evictions of the same block
// within the batch cancel out.
func (reader *Reader) ApplyBatch(batch engineapi.EventBatch) Change {
	change := Change{}
	if batch.Epoch != reader.epoch {
		// The engine restarted with an empty cache.
		reader.reset(batch.Epoch)
		change.Clear = true
		reader.needsSnapshot = batch.Epoch != ""
		reader.lastSnapshotAt = time.Time{}
		return change
	}
	stored := map[prefix.Hash]chainPosition{}
	evicted := map[prefix.Hash]chainPosition{}
	for _, event := range engineapi.Unpack(batch.Runs) {
		if event.Sequence <= reader.sequence {
			continue
		}
		if event.Sequence != reader.sequence+1 {
			reader.needsSnapshot = true
		}
		reader.sequence = event.Sequence
		change.Events++
		switch event.Kind {
		case engineapi.BlockStored:
			position := reader.addBlock(event)
			if _, cancelled := evicted[event.Block]; cancelled {
				delete(evicted, event.Block)
			} else {
				stored[event.Block] = position
			}
		case engineapi.BlockEvicted:
			evictedFrom, known := reader.positions[event.Block]
			delete(reader.positions, event.Block)
			if _, cancelled := stored[event.Block]; cancelled {
				delete(stored, event.Block)
			} else if known {
				evicted[event.Block] = evictedFrom
			}
		case engineapi.CacheCleared:
			reader.positions = map[prefix.Hash]chainPosition{}
			stored, evicted = map[prefix.Hash]chainPosition{}, map[prefix.Hash]chainPosition{}
			change.Clear = true
		}
	}
	change.Stored = positionedBlocks(stored)
	change.Evicted = positionedBlocks(evicted)
	return change
}

// ApplySnapshot replaces the state with a snapshot.
func (reader *Reader) ApplySnapshot(now time.Time, snapshot engineapi.Snapshot) Change {
	reader.reset(snapshot.Epoch)
	reader.sequence = snapshot.Sequence
	reader.lastSnapshotAt = now
	reader.needsSnapshot = false
	for _, block := range snapshot.Blocks {
		reader.addBlock(block)
	}
	return reader.FullState()
}

// FullState returns a change that conveys the complete state, for an index node
// that missed an update.
func (reader *Reader) FullState() Change {
	return Change{Clear: true, Stored: positionedBlocks(reader.positions)}
}

func (reader *Reader) reset(epoch string) {
	reader.epoch = epoch
	reader.sequence = 0
	reader.positions = map[prefix.Hash]chainPosition{}
}

func (reader *Reader) addBlock(event engineapi.CacheEvent) chainPosition {
	position := chainPosition{root: event.Block, depth: 1}
	if event.Parent != 0 {
		// If the parent was lost in a gap, the block is treated as a root until
		// the snapshot that follows the gap.
		if parent, found := reader.positions[event.Parent]; found {
			position = chainPosition{root: parent.root, depth: parent.depth + 1}
		}
	}
	reader.positions[event.Block] = position
	return position
}

func positionedBlocks(blocks map[prefix.Hash]chainPosition) []PositionedBlock {
	list := make([]PositionedBlock, 0, len(blocks))
	for block, position := range blocks {
		list = append(list, PositionedBlock{Block: block, Root: position.root, Depth: int(position.depth)})
	}
	return list
}
