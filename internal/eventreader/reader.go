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
	// roots names the first block of the chain that each block is part of; it
	// decides which node keeps the block.
	roots map[prefix.Hash]prefix.Hash
	// stale says that events were missed, so a snapshot is wanted.
	stale      bool
	snapshotAt time.Time
}

// New returns a reader that wants a snapshot first.
func New(endpoint string) *Reader {
	return &Reader{endpoint: endpoint, roots: map[prefix.Hash]prefix.Hash{}, stale: true}
}

// After is the sequence number to ask events after.
func (reader *Reader) After() uint64 { return reader.sequence }

// SnapshotDue reports whether a snapshot is wanted and may be asked for now.
func (reader *Reader) SnapshotDue(now time.Time) bool {
	return reader.stale && now.Sub(reader.snapshotAt) >= snapshotPause
}

// Holder names the incarnation followed.
func (reader *Reader) Holder() prefixindex.Holder {
	return prefixindex.Holder{Endpoint: reader.endpoint, Epoch: reader.epoch}
}

// Change is what a batch or snapshot did, with the root of each block.
type Change struct {
	Clear   bool
	Stored  []Placed
	Evicted []Placed
}

// Placed is a block with the root that decides its home.
type Placed struct {
	Block prefix.Hash
	Root  prefix.Hash
}

// Empty reports whether nothing changed.
func (change Change) Empty() bool {
	return !change.Clear && len(change.Stored) == 0 && len(change.Evicted) == 0
}

// Take follows a batch of events. Stores and evictions of one block within the
// batch cancel out.
func (reader *Reader) Take(batch engineapi.EventBatch) Change {
	change := Change{}
	if batch.Status.Epoch != reader.epoch {
		// The engine came back empty: nothing known of it holds any longer.
		reader.begin(batch.Status.Epoch)
		change.Clear = true
		reader.stale = batch.Status.Epoch != ""
		reader.snapshotAt = time.Time{}
		return change
	}
	stored := map[prefix.Hash]prefix.Hash{}
	evicted := map[prefix.Hash]prefix.Hash{}
	for _, event := range batch.Events {
		if event.Sequence <= reader.sequence {
			continue
		}
		if event.Sequence != reader.sequence+1 {
			reader.stale = true
		}
		reader.sequence = event.Sequence
		switch event.Kind {
		case engineapi.BlockStored:
			root := reader.store(event)
			if _, undone := evicted[event.Block]; undone {
				delete(evicted, event.Block)
			} else {
				stored[event.Block] = root
			}
		case engineapi.BlockEvicted:
			root, known := reader.roots[event.Block]
			delete(reader.roots, event.Block)
			if _, undone := stored[event.Block]; undone {
				delete(stored, event.Block)
			} else if known {
				evicted[event.Block] = root
			}
		case engineapi.CacheCleared:
			reader.roots = map[prefix.Hash]prefix.Hash{}
			stored, evicted = map[prefix.Hash]prefix.Hash{}, map[prefix.Hash]prefix.Hash{}
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
	return Change{Clear: true, Stored: placed(reader.roots)}
}

func (reader *Reader) begin(epoch string) {
	reader.epoch = epoch
	reader.sequence = 0
	reader.roots = map[prefix.Hash]prefix.Hash{}
}

func (reader *Reader) store(event engineapi.CacheEvent) prefix.Hash {
	root := event.Block
	if event.Parent != 0 {
		// A parent lost in a gap makes this block its own root until the
		// snapshot that the gap calls for.
		if known, found := reader.roots[event.Parent]; found {
			root = known
		}
	}
	reader.roots[event.Block] = root
	return root
}

func placed(blocks map[prefix.Hash]prefix.Hash) []Placed {
	list := make([]Placed, 0, len(blocks))
	for block, root := range blocks {
		list = append(list, Placed{Block: block, Root: root})
	}
	return list
}
