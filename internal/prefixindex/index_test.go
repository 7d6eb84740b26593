package prefixindex

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/property"
)

func newChain(root uint64, length int) []prefix.Hash {
	chain := []prefix.Hash{}
	last := prefix.Hash(root)
	for position := range length {
		last = prefix.Next(last, uint64(position))
		chain = append(chain, last)
	}
	return chain
}

// TestLookupMatchesEngineCaches applies random stores, evictions and crashes to a
// simple model of the caches and to the index, and compares every lookup.
func TestLookupMatchesEngineCaches(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		index := New()
		depths := map[string]map[uint64]int{}
		epochs := map[string]int{}
		holder := func(name string) Holder { return NewHolder(name, fmt.Sprint(epochs[name])) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "engine")
			root := rapid.Uint64Range(1, 4).Draw(t, "root")
			if depths[name] == nil {
				depths[name] = map[uint64]int{}
			}
			held := depths[name][root]
			switch rapid.SampledFrom([]string{"store", "store", "evict", "crash"}).Draw(t, "step") {
			case "store":
				length := rapid.IntRange(held, 12).Draw(t, "length")
				index.Apply(Update{Holder: holder(name), Stored: newChain(root, 12)[:length]})
				depths[name][root] = length
			case "evict":
				length := rapid.IntRange(0, held).Draw(t, "left")
				index.Apply(Update{Holder: holder(name), Evicted: newChain(root, 12)[length:held]})
				depths[name][root] = length
			case "crash":
				epochs[name]++
				depths[name] = map[uint64]int{}
				index.Apply(Update{Holder: holder(name), Clear: true})
			}
			for root := uint64(1); root <= 4; root++ {
				found := map[Holder]int{}
				for _, depth := range index.Lookup(nil, newChain(root, 12)) {
					found[depth.Holder] = depth.Blocks
				}
				for name := range depths {
					require.Equal(t, depths[name][root], found[holder(name)])
					delete(found, holder(name))
				}
				require.Empty(t, found, "no entry of a dead incarnation must be found")
			}
		}
	})
}

func TestAnchorDepthUnderestimatesByAtMostSeven(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		chain := newChain(1, rapid.IntRange(1, 100).Draw(t, "length"))
		held := rapid.IntRange(0, len(chain)).Draw(t, "held")
		index := New()
		stored := []prefix.Hash{}
		for position, hash := range chain[:held] {
			if IsAnchor(position + 1) {
				stored = append(stored, hash)
			}
		}
		index.Apply(Update{Holder: NewHolder("a", "1"), Stored: stored})
		found := 0
		for _, depth := range index.Lookup(nil, Anchors(chain)) {
			found = AnchorDepth(depth.Blocks)
		}
		require.LessOrEqual(t, found, held)
		require.GreaterOrEqual(t, found, held-7)
	})
}

func TestSpeculativeEntriesExpire(t *testing.T) {
	now := time.Unix(0, 0)
	index := NewSpeculativeIndex(time.Second)
	chain := newChain(1, 3)
	index.Add(now, NewHolder("a", "1"), chain)
	require.Len(t, index.Lookup(now.Add(500*time.Millisecond), nil, chain), 1)
	require.Empty(t, index.Lookup(now.Add(2500*time.Millisecond), nil, chain))
}

// BenchmarkApply applies updates with a single stored or evicted block.
func BenchmarkApply(b *testing.B) {
	index := New()
	holder := NewHolder("a", "1")
	const window = 100_000
	stored := make([]prefix.Hash, 1)
	evicted := make([]prefix.Hash, 1)
	b.ReportAllocs()
	position := uint64(0)
	for b.Loop() {
		stored[0] = prefix.Next(1, position)
		index.Apply(Update{Holder: holder, Stored: stored})
		if position >= window {
			evicted[0] = prefix.Next(1, position-window)
			index.Apply(Update{Holder: holder, Evicted: evicted})
		}
		position++
	}
	b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkIndexMemoryPerBlock reports the memory that one indexed block uses.
func BenchmarkIndexMemoryPerBlock(b *testing.B) {
	const blocks = 112_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := New()
		for engine := range 2 {
			holder := NewHolder(fmt.Sprint(engine), "1")
			for root := range uint64(blocks / 2 / 50) {
				index.Apply(Update{Holder: holder, Stored: newChain(root*2+uint64(engine), 50)})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(index.Len()), "B/block")
	}
}
