package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestSampleKeepsBestHitsAndNewestVersion(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		var accepted []int
		for index := range rapid.IntRange(1, 60).Draw(t, "candidates") {
			candidates = append(candidates, Candidate{
				Affinity:  rapid.Uint64().Draw(t, "affinity"),
				HitBlocks: rapid.IntRange(0, 3).Draw(t, "hits"),
				Version:   rapid.Int64Range(1, 3).Draw(t, "version"),
			})
			if rapid.Bool().Draw(t, "accepted") {
				accepted = append(accepted, index)
			}
		}
		assignAffinityRanks(candidates, accepted)
		sampled := sampleCandidates(rapid.Uint64Min(1).Draw(t, "draw"), candidates, accepted)
		require.Subset(t, accepted, sampled)
		require.LessOrEqual(t, len(sampled), affinityKept+hitsKept+2*sampledPerGroup)
		require.Len(t, indexSet(sampled), len(sampled))
		require.Equal(t, len(accepted) == 0, len(sampled) == 0)
		most, newest := 0, int64(0)
		for _, index := range accepted {
			most = max(most, candidates[index].HitBlocks)
			newest = max(newest, candidates[index].Version)
			if candidates[index].AffinityRank < affinityKept {
				require.Contains(t, sampled, index, "the first by affinity are kept")
			}
		}
		sampledMost, sampledNewest := 0, int64(0)
		for _, index := range sampled {
			sampledMost = max(sampledMost, candidates[index].HitBlocks)
			sampledNewest = max(sampledNewest, candidates[index].Version)
		}
		require.Equal(t, most, sampledMost, "the largest hit is kept")
		require.Equal(t, newest, sampledNewest, "the newest version is kept")
	})
}

func indexSet(indexes []int) map[int]bool {
	all := map[int]bool{}
	for _, index := range indexes {
		all[index] = true
	}
	return all
}

// Guards against nodes that learn of each other's choices with a delay all choosing the
// same endpoint. Each of 90 endpoints completes 4 requests per round, and 300 requests
// arrive that choose by the load of three rounds ago.
func TestSamplingAvoidsHerdingOnStaleLoad(t *testing.T) {
	longestQueue := func(sampleSeed func(random *rand.Rand) uint64) int {
		random := rand.New(rand.NewPCG(1, 2))
		const endpoints, late = 90, 3
		running := [endpoints]int{}
		var history [][endpoints]int
		most := 0
		for range 60 {
			history = append(history, running)
			observed := history[max(0, len(history)-1-late)]
			for range 300 {
				candidates := make([]Candidate, endpoints)
				for i := range candidates {
					candidates[i] = Candidate{Endpoint: fmt.Sprint(i), Ready: true, Version: 1, Running: observed[i], Slots: 4, Affinity: random.Uint64()}
				}
				request := &Request{PromptTokens: 500, BlockTokens: 1, PrefillTokensPerSecond: 40_000, WaitWeight: 1, SlotSeconds: 0.5, SampleSeed: sampleSeed(random)}
				running[NewScheduler(WaitScorer{}).Schedule(request, candidates).Index]++
			}
			for i := range running {
				running[i] = max(0, running[i]-4)
				most = max(most, running[i])
			}
		}
		return most
	}
	withoutSampling := longestQueue(func(*rand.Rand) uint64 { return 0 })
	withSampling := longestQueue(func(random *rand.Rand) uint64 { return random.Uint64() | 1 })
	t.Logf("longest queue: %d without sampling, %d with sampling", withoutSampling, withSampling)
	require.Less(t, 3*withSampling, 2*withoutSampling)
}
