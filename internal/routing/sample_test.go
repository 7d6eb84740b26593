package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestASampleKeepsWhatMayHoldThePrefix(t *testing.T) {
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
		rank(candidates, accepted)
		sampled := sample(rapid.Uint64Min(1).Draw(t, "draw"), candidates, accepted)
		require.Subset(t, accepted, sampled)
		require.LessOrEqual(t, len(sampled), firsts+kept+2*drawn)
		require.Len(t, unique(sampled), len(sampled))
		require.Equal(t, len(accepted) == 0, len(sampled) == 0)
		most, newest := 0, int64(0)
		for _, index := range accepted {
			most = max(most, candidates[index].HitBlocks)
			newest = max(newest, candidates[index].Version)
			if candidates[index].AffinityRank < firsts {
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

func unique(indexes []int) map[int]bool {
	all := map[int]bool{}
	for _, index := range indexes {
		all[index] = true
	}
	return all
}

// Guards against nodes that learn of each other's choices with a delay all choosing the
// same endpoint. Each of 90 endpoints completes 4 requests per round, and 300 requests
// arrive that choose by the load of three rounds ago.
func TestChoicesByOldKnowledgeDoNotCrowd(t *testing.T) {
	longest := func(draw func(random *rand.Rand) uint64) int {
		random := rand.New(rand.NewPCG(1, 2))
		const endpoints, late = 90, 3
		running := [endpoints]int{}
		var known [][endpoints]int
		most := 0
		for range 60 {
			known = append(known, running)
			seen := known[max(0, len(known)-1-late)]
			for range 300 {
				candidates := make([]Candidate, endpoints)
				for i := range candidates {
					candidates[i] = Candidate{Endpoint: fmt.Sprint(i), Ready: true, Version: 1, Running: seen[i], Slots: 4, Affinity: random.Uint64()}
				}
				request := &Request{PromptTokens: 500, BlockTokens: 1, PrefillTokensPerSecond: 40_000, WaitWeight: 1, SlotSeconds: 0.5, Draw: draw(random)}
				running[NewScheduler(WaitScorer{}).Schedule(request, candidates).Index]++
			}
			for i := range running {
				running[i] = max(0, running[i]-4)
				most = max(most, running[i])
			}
		}
		return most
	}
	all := longest(func(*rand.Rand) uint64 { return 0 })
	few := longest(func(random *rand.Rand) uint64 { return random.Uint64() | 1 })
	t.Logf("longest queue: %d without sampling, %d with sampling", all, few)
	require.Less(t, 3*few, 2*all)
}
