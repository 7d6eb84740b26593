package engineapi

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/property"
)

func TestUnpackIsTheInverseOfPack(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		events := []CacheEvent{}
		sequence := uint64(0)
		last := prefix.Hash(0)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			sequence += rapid.SampledFrom([]uint64{1, 1, 1, 3}).Draw(t, "step")
			event := CacheEvent{Sequence: sequence, Block: prefix.Hash(rapid.Uint64Min(1).Draw(t, "block"))}
			event.Kind = rapid.SampledFrom([]EventKind{BlockStored, BlockStored, BlockEvicted}).Draw(t, "kind")
			if event.Kind == BlockStored {
				event.Parent = rapid.SampledFrom([]prefix.Hash{last, 7}).Draw(t, "parent")
			}
			last = event.Block
			events = append(events, event)
		}
		require.Equal(t, events, Unpack(Pack(events)))
	})
}

// BenchmarkPackedEventSize reports the encoded size of an event for a request that
// stores 26 blocks and evicts 26, as at the designed fleet size.
func BenchmarkEventBytes(b *testing.B) {
	events := []CacheEvent{}
	parent := prefix.Hash(1)
	for index := range uint64(52) {
		event := CacheEvent{Sequence: 1_000_000 + index, Kind: BlockStored, Block: prefix.Next(3, index), Parent: parent}
		if index >= 26 {
			event.Kind = BlockEvicted
		}
		parent = event.Block
		events = append(events, event)
	}
	bytes := 0
	for b.Loop() {
		data, err := json.Marshal(EventBatch{Runs: Pack(events)})
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
	}
	b.ReportMetric(float64(bytes)/float64(len(events)), "B/event")
}
