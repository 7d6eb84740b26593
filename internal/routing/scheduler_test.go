package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/property"
)

func drawCandidates(t *rapid.T) []Candidate {
	candidates := []Candidate{}
	for index := range rapid.IntRange(1, 30).Draw(t, "candidates") {
		candidates = append(candidates, Candidate{
			Endpoint: fmt.Sprint("engine-", index), Epoch: "e",
			Ready: rapid.Bool().Draw(t, "ready"), Leaving: rapid.Bool().Draw(t, "leaving"), Down: rapid.Bool().Draw(t, "down"),
			Resting: rapid.Bool().Draw(t, "resting"), Excluded: rapid.Bool().Draw(t, "excluded"),
			InFlight: rapid.IntRange(0, 8).Draw(t, "in flight"), QueuedTokens: rapid.IntRange(0, 10_000).Draw(t, "queued"),
		})
	}
	return candidates
}

func TestNeverChoosesARefusedCandidate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		request := &Request{PromptTokens: 4000, BlockTokens: 1000, Blocks: 4, PrefillTokensPerSecond: 20_000, ConcurrentPerEngine: 8, WaitWeight: 1, WorkWeight: 1}
		decision := NewScheduler().Schedule(request, candidates)
		accepted := 0
		for index := range candidates {
			if Filter(request, &candidates[index]) == Accepted {
				accepted++
			}
		}
		if accepted == 0 {
			require.Equal(t, -1, decision.Index)
			require.NotEqual(t, Accepted, decision.Refused)
			return
		}
		require.Equal(t, Accepted, Filter(request, &candidates[decision.Index]))
	})
}

func TestAllNodesChooseAlike(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		key := prefix.Hash(rapid.Uint64().Draw(t, "key"))
		request := &Request{PromptTokens: 4000, BlockTokens: 1000, Blocks: 4, PrefillTokensPerSecond: 20_000, WaitWeight: 1, WorkWeight: 1}
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		NewScheduler().Annotate(candidates, key, nil, "")
		NewScheduler().Annotate(shuffled, key, nil, "")
		first, second := NewScheduler().Schedule(request, candidates), NewScheduler().Schedule(request, shuffled)
		require.Equal(t, first.Index < 0, second.Index < 0)
		if first.Index >= 0 {
			require.Equal(t, candidates[first.Index].Endpoint, shuffled[second.Index].Endpoint)
		}
	})
}

func TestHolderWinsUntilItsQueueCostsMore(t *testing.T) {
	request := &Request{PromptTokens: 10_000, BlockTokens: 1000, Blocks: 10, PrefillTokensPerSecond: 20_000, WaitWeight: 1, WorkWeight: 1}
	candidates := []Candidate{{Endpoint: "holder", Ready: true, HitBlocks: 10}, {Endpoint: "other", Ready: true, Affinity: 1}}
	require.Equal(t, 0, NewScheduler().Schedule(request, candidates).Index)
	candidates[0].QueuedTokens = 60_000
	require.Equal(t, 1, NewScheduler().Schedule(request, candidates).Index)
}

func TestEntriesOfADeadIncarnationDoNotCount(t *testing.T) {
	candidates := []Candidate{{Endpoint: "e", Epoch: "new"}}
	NewScheduler().Annotate(candidates, 1, []prefixindex.Depth{{Holder: prefixindex.NewHolder("e", "old"), Blocks: 5}}, "")
	require.Zero(t, candidates[0].HitBlocks)
}

// BenchmarkDecision measures a complete placement of a 64-block prompt by number of engines,
// half of which hold part of it.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(engines, "engines"), func(b *testing.B) {
			index := prefixindex.New()
			chain := []prefix.Hash{}
			for position := range 64 {
				chain = append(chain, prefix.Next(7, uint64(position)))
			}
			template := []Candidate{}
			for number := range engines {
				name := fmt.Sprint("engine-", number)
				template = append(template, Candidate{Endpoint: name, Epoch: "e", Ready: true, QueuedTokens: number * 10})
				if number%2 == 0 {
					index.Apply(prefixindex.Update{Holder: prefixindex.NewHolder(name, "e"), Stored: chain[:8+number%56]})
				}
			}
			request := &Request{PromptTokens: 64_000, BlockTokens: 1000, Blocks: 64, PrefillTokensPerSecond: 20_000, WaitWeight: 1, WorkWeight: 1}
			scheduler := NewScheduler()
			candidates := make([]Candidate, 0, engines)
			depths := []prefixindex.Depth{}
			b.ReportAllocs()
			for b.Loop() {
				candidates = append(candidates[:0], template...)
				depths = index.Lookup(depths[:0], chain)
				scheduler.Annotate(candidates, AffinityKey(chain, depths, ""), depths, "")
				if scheduler.Schedule(request, candidates).Index < 0 {
					b.Fatal("no engine was chosen")
				}
			}
		})
	}
}
