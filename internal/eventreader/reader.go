// Package eventreader follows one engine's cache events and turns them into
// batches for the nodes that keep the index. It is a pure state machine.
package eventreader

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// snapshotPause is the least time between two snapshots of one engine, so that
// gaps in a herd do not bury it.
const snapshotPause = 2 * time.Second

// Reader is the state of following one engine.
type Reader struct {
	endpoint string
	epoch    string
	sequence uint64
	// places knows each block's place in its chain; the chain's first block decides
	// which node keeps the block.
	places map[prefix.Hash]place
	// stale says that events were missed, so a snapshot is wanted.
	stale      bool
	snapshotAt time.Time
}

// place is a block's place in its chain.
type place struct {
	root prefix.Hash
	// depth counts from 1.
	depth int32
}

// New returns a reader that wants a snapshot first.
func New(endpoint string) *Reader {
	return &Reader{endpoint: endpoint, places: map[prefix.Hash]place{}, stale: true}
}

// After is the sequence number to ask events after.
func (reader *Reader) After() uint64 { return reader.sequence }

// SnapshotDue reports whether a snapshot is wanted and may be asked for now.
func (reader *Reader) SnapshotDue(now time.Time) bool {
	return reader.stale && now.Sub(reader.snapshotAt) >= snapshotPause
}

// Holder names the incarnation followed.
func (reader *Reader) Holder() prefixindex.Holder {
	return prefixindex.NewHolder(reader.endpoint, reader.epoch)
}

// Change is what a batch or snapshot did, with the root of each block.
type Change struct {
	// Events counts those of the batch.
	Events  int
	Clear   bool
	Stored  []Placed
	Evicted []Placed
}

// Placed is a block with the root that decides its home.
type Placed struct {
	Block prefix.Hash
	Root  prefix.Hash
	// Depth of the block in its chain, from 1.
	Depth int
}

// Update puts the change into the words of the index.
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

// Cleared returns the change as one that starts afresh.
func (change Change) Cleared() Change {
	change.Clear = true
	return change
}

// Take follows a batch of events. Stores and evictions of one block within the
// batch cancel out.
func (reader *Reader) Take(batch engineapi.EventBatch) Change {
	change := Change{}
	if batch.Epoch != reader.epoch {
		// The engine came back empty: nothing known of it holds any longer.
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

// Reset takes a snapshot in place of all that was known.
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

// All is the whole of what is known, for a node that has to start afresh.
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
		// A parent lost in a gap makes this block its own root until the
		// snapshot that the gap calls for.
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
