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
const snapshotPause = 2 * time.Second

// Reader tracks the cache contents of one engine.
type Reader struct {
	endpoint string
	epoch    string
	sequence uint64
	// positions holds each block's position in its chain. The first block of the
	// chain determines which index partition holds the block.
	places map[prefix.Hash]place
	// needsSnapshot is set if events were missed.
	stale      bool
	snapshotAt time.Time
}

// chainPosition is a block's position in its chain.
type place struct {
	root prefix.Hash
	// depth counts from 1.
	depth int32
}

// New returns a reader that needs an initial snapshot.
func New(endpoint string) *Reader {
	return &Reader{endpoint: endpoint, places: map[prefix.Hash]place{}, stale: true}
}

// LastSequence returns the sequence number of the last event applied; the next
// poll asks for the events after it.
func (reader *Reader) After() uint64 { return reader.sequence }

// SnapshotDue reports whether a snapshot is needed and may be requested now.
func (reader *Reader) SnapshotDue(now time.Time) bool {
	return reader.stale && now.Sub(reader.snapshotAt) >= snapshotPause
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
	Stored  []Placed
	Evicted []Placed
}

// PositionedBlock is a block with its position in its chain. Root, the first
// block of the chain, determines which index partition holds it.
type Placed struct {
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
func (change Change) Cleared() Change {
	change.Clear = true
	return change
}

// ApplyBatch applies a batch of events. Stores and evictions of the same block
// within the batch cancel out.
func (reader *Reader) Take(batch engineapi.EventBatch) Change {
	change := Change{}
	if batch.Epoch != reader.epoch {
		// The engine restarted with an empty cache.
		reader.begin(batch.Epoch)
		change.Clear = true
		reader.stale = batch.Epoch != ""
		reader.snapshotAt = time.Time{}
		return change
	}
	stored := map[prefix.Hash]place{}
	evicted := map[prefix.Hash]place{}
	for _, event := range engineapi.Unpack(batch.Runs) {
		if event.Sequence <= reader.sequence {
			continue
		}
		if event.Sequence != reader.sequence+1 {
			reader.stale = true
		}
		reader.sequence = event.Sequence
		change.Events++
		switch event.Kind {
		case engineapi.BlockStored:
			stands := reader.store(event)
			if _, undone := evicted[event.Block]; undone {
				delete(evicted, event.Block)
			} else {
				stored[event.Block] = stands
			}
		case engineapi.BlockEvicted:
			stood, known := reader.places[event.Block]
			delete(reader.places, event.Block)
			if _, undone := stored[event.Block]; undone {
				delete(stored, event.Block)
			} else if known {
				evicted[event.Block] = stood
			}
		case engineapi.CacheCleared:
			reader.places = map[prefix.Hash]place{}
			stored, evicted = map[prefix.Hash]place{}, map[prefix.Hash]place{}
			change.Clear = true
		}
	}
	change.Stored = placed(stored)
	change.Evicted = placed(evicted)
	return change
}

// ApplySnapshot replaces the state with a snapshot.
func (reader *Reader) Reset(now time.Time, snapshot engineapi.Snapshot) Change {
	reader.begin(snapshot.Epoch)
	reader.sequence = snapshot.Sequence
	reader.snapshotAt = now
	reader.stale = false
	for _, block := range snapshot.Blocks {
		reader.store(block)
	}
	return reader.All()
}

// FullState returns a change that conveys the complete state, for an index node
// that missed an update.
func (reader *Reader) All() Change {
	return Change{Clear: true, Stored: placed(reader.places)}
}

func (reader *Reader) begin(epoch string) {
	reader.epoch = epoch
	reader.sequence = 0
	reader.places = map[prefix.Hash]place{}
}

func (reader *Reader) store(event engineapi.CacheEvent) place {
	stands := place{root: event.Block, depth: 1}
	if event.Parent != 0 {
		// If the parent was lost in a gap, the block is treated as a root until
		// the snapshot that follows the gap.
		if parent, found := reader.places[event.Parent]; found {
			stands = place{root: parent.root, depth: parent.depth + 1}
		}
	}
	reader.places[event.Block] = stands
	return stands
}

func placed(blocks map[prefix.Hash]place) []Placed {
	list := make([]Placed, 0, len(blocks))
	for block, stands := range blocks {
		list = append(list, Placed{Block: block, Root: stands.root, Depth: int(stands.depth)})
	}
	return list
}
