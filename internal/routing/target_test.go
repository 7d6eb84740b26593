package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestFirstTokenDelayUsesCapacityOfCandidate(t *testing.T) {
	request := &Request{PromptTokens: 4000, BlockTokens: 1, PrefillTokensPerSecond: 40_000, SlotSeconds: 0.5, BaseSeconds: 0.05}
	require.InDelta(t, 0.15, FirstTokenDelay(request, &Candidate{}), 1e-9)
	require.InDelta(t, 0.1, FirstTokenDelay(request, &Candidate{PrefillTokensPerSecond: 80_000}), 1e-9)
	require.InDelta(t, 0.4, FirstTokenDelay(request, &Candidate{QueuedTokens: 10_000}), 1e-9)
	require.InDelta(t, 0.45, FirstTokenDelay(request, &Candidate{QueuedTokens: 4000, PrefillTokensPerSecond: 20_000}), 1e-9)
	slow := Candidate{Slots: 2, Running: 3, SlotSeconds: 2}
	require.InDelta(t, 0.05+2+0.1*(1+0.004*3), FirstTokenDelay(request, &slow), 1e-9)
}

// Guards against the copy term sending an urgent prompt of 21,259 tokens to an engine with a wait
// of seconds, while another engine could start it at once.
func TestCopyTermDoesNotMakePromptLate(t *testing.T) {
	request := &Request{
		PromptTokens: 21_259, BlockTokens: 1, Blocks: 17_000, PrefillTokensPerSecond: 50_000, ImportTokensPerSecond: 200_000,
		WaitWeight: 1, WorkWeight: 4, BaseSeconds: 0.05,
	}
	candidates := []Candidate{
		{Endpoint: "first", Ready: true, Affinity: 9, HitBlocks: 17_000, QueuedTokens: 60_000},
		{Endpoint: "second", Ready: true, Affinity: 8, QueuedTokens: 1_056},
		{Endpoint: "third", Ready: true, Affinity: 7, QueuedTokens: 90_000},
	}
	scheduler := NewScheduler(WorkScorer{}, WaitScorer{}, CopyScorer{})
	require.Equal(t, 0, scheduler.Schedule(request, candidates).Index, "without a target, the copy decides")
	request.TargetSeconds = 0.8
	decision := scheduler.Schedule(request, candidates)
	require.Equal(t, 1, decision.Index)
	require.Equal(t, 0, decision.Next, "of those that miss the target, the cheapest")
	require.True(t, MeetsTarget(request, &candidates[1]))
	request.TargetSeconds = -0.1
	require.Equal(t, 0, scheduler.Schedule(request, candidates).Index, "a late request takes the cheapest")
	require.False(t, MeetsTarget(request, &candidates[1]))
}

func drawLoadedCandidates(t *rapid.T) []Candidate {
	var candidates []Candidate
	for i := range rapid.IntRange(1, 40).Draw(t, "candidates") {
		candidates = append(candidates, Candidate{
			Endpoint: fmt.Sprint(i), Ready: rapid.Bool().Draw(t, "ready"), Slots: 16, Running: rapid.IntRange(0, 30).Draw(t, "running"),
			QueuedTokens: rapid.IntRange(0, 80_000).Draw(t, "queued"), HitBlocks: rapid.IntRange(0, 3000).Draw(t, "hits"),
			PrefillTokensPerSecond: rapid.SampledFrom([]float64{0, 30_000, 50_000, 80_000}).Draw(t, "rate"),
			Affinity:               rapid.Uint64().Draw(t, "affinity"), Distance: rapid.IntRange(0, 2).Draw(t, "distance"),
		})
	}
	return candidates
}

func drawTargetRequest(t *rapid.T) *Request {
	return &Request{
		PromptTokens: rapid.IntRange(100, 20_000).Draw(t, "tokens"), BlockTokens: 1, Blocks: 3000, PrefillTokensPerSecond: 45_000,
		WaitWeight: 1, WorkWeight: 4, SlotSeconds: 0.4, BaseSeconds: 0.05, Bytes: 1000,
		TargetSeconds: rapid.SampledFrom([]float64{-1, 0.2, 0.5, 1}).Draw(t, "target"),
		SampleSeed:    rapid.Uint64().Draw(t, "seed"),
	}
}

// A request meets its target if any accepted candidate is predicted to, unless slots are scarce.
func TestTimelyCandidateIsChosenIfThereIsOne(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		candidates, request := drawLoadedCandidates(t), drawTargetRequest(t)
		scheduler := NewScheduler(WorkScorer{}, WaitScorer{}, CopyScorer{}, DistanceScorer{})
		decision := scheduler.Schedule(request, candidates)
		timely, accepted := false, false
		for i := range candidates {
			if Filter(request, &candidates[i]) == Accepted {
				accepted = true
				timely = timely || MeetsTarget(request, &candidates[i])
			}
		}
		require.Equal(t, accepted, decision.Index >= 0)
		if accepted && !SlotsScarce(candidates) {
			require.Equal(t, timely, MeetsTarget(request, &candidates[decision.Index]))
		}
	})
}

// The order is the same for the choice, the next candidate and the check of a choice against the
// next one.
func TestChosenCandidateHasFirstRank(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		candidates, request := drawLoadedCandidates(t), drawTargetRequest(t)
		request.SampleSeed = 0
		scheduler := NewScheduler(WorkScorer{}, WaitScorer{}, CopyScorer{}, DistanceScorer{})
		decision := scheduler.Schedule(request, candidates)
		for i := range candidates {
			if Filter(request, &candidates[i]) != Accepted {
				continue
			}
			rank := scheduler.Rank(request, &candidates[i])
			require.False(t, rank.Less(scheduler.Rank(request, &candidates[decision.Index])))
			if i != decision.Index {
				require.False(t, rank.Less(scheduler.Rank(request, &candidates[decision.Next])))
			}
		}
	})
}

// Guards against prompts that leave their prefix for a target while the servers have no capacity for
// reading it again.
func TestCostDecidesWhileSlotsAreScarce(t *testing.T) {
	request := &Request{PromptTokens: 4000, BlockTokens: 1, Blocks: 4000, PrefillTokensPerSecond: 20_000, WaitWeight: 1, WorkWeight: 4, TargetSeconds: 0.3}
	candidates := []Candidate{
		{Endpoint: "holder", Ready: true, Affinity: 9, HitBlocks: 4000, QueuedTokens: 8000, Slots: 2, Running: 1},
		{Endpoint: "other", Ready: true, Affinity: 8, Slots: 2},
	}
	scheduler := NewScheduler(WorkScorer{}, WaitScorer{}, CopyScorer{})
	require.Equal(t, 1, scheduler.Schedule(request, candidates).Index)
	candidates[0].Running, candidates[1].Running = 2, 1
	require.True(t, SlotsScarce(candidates))
	require.Equal(t, 0, scheduler.Schedule(request, candidates).Index)
}
