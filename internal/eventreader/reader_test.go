package eventreader

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/property"
)

// TestIndexConvergesAfterGaps loses events at random and crashes the engine, and
// checks that the index matches the engine's cache after the next snapshot.
func TestIndexConvergesAfterGaps(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		config := enginemodel.StandardConfig(time.Millisecond, 1e9)
		config.CacheBlocks = 30
		engine := enginemodel.New(config)
		reader := New("engine")
		index := prefixindex.New()
		now := time.Unix(0, 0)
		epoch := "1"
		read := func(lossy bool) {
			events := []engineapi.CacheEvent{}
			for _, event := range engine.TakeEvents() {
				if !lossy || rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					events = append(events, event)
				}
			}
			change := reader.ApplyBatch(engineapi.EventBatch{Epoch: epoch, Runs: engineapi.Pack(events)})
			if reader.SnapshotDue(now) {
				sequence, blocks := engine.Snapshot()
				change = reader.ApplySnapshot(now, engineapi.Snapshot{Epoch: epoch, Sequence: sequence, Blocks: blocks})
			}
			index.Apply(change.Update(reader.Holder()))
		}
		serve := func(root uint64, length int) []prefix.Hash {
			chain := []prefix.Hash{}
			last := prefix.Hash(root)
			for position := range length {
				last = prefix.Next(last, uint64(position))
				chain = append(chain, last)
			}
			engine.Submit(enginemodel.Request{ID: "r", Chain: chain, PromptTokens: length * 1000, OutputTokens: 1})
			for !engine.Idle() {
				engine.Step(now)
			}
			return chain
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(200 * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				engine = enginemodel.New(config)
				epoch += "'"
			}
			serve(rapid.Uint64Range(1, 6).Draw(t, "root"), rapid.IntRange(1, 12).Draw(t, "length"))
			read(true)
		}
		// One more event reveals a gap at the end of the sequence.
		serve(99, 1)
		read(false)
		now = now.Add(minSnapshotInterval)
		read(false)
		for root := uint64(1); root <= 6; root++ {
			chain := []prefix.Hash{}
			last := prefix.Hash(root)
			for position := range 12 {
				last = prefix.Next(last, uint64(position))
				chain = append(chain, last)
			}
			found := 0
			for _, depth := range index.Lookup(nil, chain) {
				found = depth.Blocks
			}
			require.Equal(t, engine.Depth(chain), found)
		}
	})
}

func TestSnapshotsAreRateLimited(t *testing.T) {
	reader := New("engine")
	now := time.Unix(0, 0).Add(time.Hour)
	require.True(t, reader.SnapshotDue(now))
	reader.ApplySnapshot(now, engineapi.Snapshot{Epoch: "1", Sequence: 1})
	reader.ApplyBatch(engineapi.EventBatch{Epoch: "1", Runs: engineapi.Pack([]engineapi.CacheEvent{{Sequence: 9, Kind: engineapi.BlockStored, Block: 1}})})
	require.False(t, reader.SnapshotDue(now.Add(minSnapshotInterval/2)))
	require.True(t, reader.SnapshotDue(now.Add(minSnapshotInterval)))
}

// BenchmarkApplyBatch applies batches of the size that a busy engine sends.
func BenchmarkApplyBatch(b *testing.B) {
	const batchLength = 50
	reader := New("engine")
	reader.ApplySnapshot(time.Now(), engineapi.Snapshot{Epoch: "1"})
	events := make([]engineapi.CacheEvent, batchLength)
	sequence := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for position := range events {
			sequence++
			event := engineapi.CacheEvent{Sequence: sequence, Kind: engineapi.BlockStored, Block: prefix.Hash(sequence)}
			if position%2 == 1 && sequence > 100_000 {
				event.Kind, event.Block = engineapi.BlockEvicted, prefix.Hash(sequence-100_000)
			}
			events[position] = event
		}
		reader.ApplyBatch(engineapi.EventBatch{Epoch: "1", Runs: engineapi.Pack(events)})
	}
	b.ReportMetric(batchLength*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkReaderMemoryPerBlock reports the memory that a reader uses per block.
func BenchmarkReaderMemoryPerBlock(b *testing.B) {
	const blocks = 112_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		reader := New("engine")
		snapshot := engineapi.Snapshot{Epoch: "1", Blocks: make([]engineapi.CacheEvent, 0)}
		for block := range blocks {
			snapshot.Blocks = append(snapshot.Blocks[:0], engineapi.CacheEvent{Block: prefix.Hash(block + 1)})
			reader.addBlock(snapshot.Blocks[0])
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks, "B/block")
		runtime.KeepAlive(reader)
	}
}
