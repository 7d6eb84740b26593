package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// longPrompt is a request most of whose prompt is shared.
var longPrompt = &Request{
	PromptTokens: 10_000, BlockTokens: 1, Blocks: 8_000, PrefillTokensPerSecond: 40_000, ImportTokensPerSecond: 160_000,
	WaitWeight: 1, WorkWeight: 4, Bytes: 20_000, FailureCost: 1, ConcurrencyCost: 0.01,
}

func TestCopyScorerChargesMissingBlocks(t *testing.T) {
	first := &Candidate{AffinityRank: 0}
	second := &Candidate{AffinityRank: 1}
	importable := &Candidate{AffinityRank: 1, ImportBlocks: 8_000}
	holder := &Candidate{AffinityRank: 1, HitBlocks: 8_000, ImportBlocks: 8_000}
	scorer := CopyScorer{}
	require.Zero(t, scorer.Score(longPrompt, first))
	require.InDelta(t, 0.8, scorer.Score(longPrompt, second), 1e-9, "the blocks must be computed")
	require.InDelta(t, 0.2, scorer.Score(longPrompt, importable), 1e-9, "the blocks can be imported")
	require.Zero(t, scorer.Score(longPrompt, holder))
}

func TestDistanceScorerChargesRequestSize(t *testing.T) {
	scorer := DistanceScorer{}
	require.Zero(t, scorer.Score(longPrompt, &Candidate{}))
	require.InDelta(t, distanceCost+0.06, scorer.Score(longPrompt, &Candidate{Distance: 1}), 1e-9)
	require.InDelta(t, 2*distanceCost+0.12, scorer.Score(longPrompt, &Candidate{Distance: 2}), 1e-9)
}

func TestFailureAndConcurrencyCostsAreProportional(t *testing.T) {
	require.InDelta(t, 0.25, FailureScorer{}.Score(longPrompt, &Candidate{FailureRate: 0.25}), 1e-9)
	require.InDelta(t, 0.03, ConcurrencyScorer{}.Score(longPrompt, &Candidate{Running: 3}), 1e-9)
}

func TestNewerWeightsWinUntilQueueCostsMoreThanLoss(t *testing.T) {
	request := *longPrompt
	request.AnswerValue = 2
	candidates := []Candidate{{Endpoint: "old", Ready: true, ReplacedLoss: 0.2, HitBlocks: 8_000}, {Endpoint: "new", Ready: true, HitBlocks: 8_000}}
	scheduler := NewScheduler(WorkScorer{}, WaitScorer{}, ReplacedScorer{})
	require.Equal(t, 1, scheduler.Schedule(&request, candidates).Index)
	candidates[1].QueuedTokens = 17_000
	require.Equal(t, 0, scheduler.Schedule(&request, candidates).Index, "the loss of 0.4 s is less than the wait of 0.425 s")
}

func TestDecisionReportsNextCheapestAndTerms(t *testing.T) {
	candidates := []Candidate{
		{Endpoint: "dear", Ready: true, Distance: 2}, {Endpoint: "best", Ready: true},
		{Endpoint: "next", Ready: true, Distance: 1}, {Endpoint: "refused"},
	}
	scheduler := NewScheduler(DistanceScorer{}, FailureScorer{})
	decision := scheduler.Schedule(longPrompt, candidates)
	require.Equal(t, 1, decision.Index)
	require.Equal(t, 2, decision.Next)
	require.Empty(t, scheduler.Terms(longPrompt, &candidates[1]))
	require.Equal(t, []Term{{Name: "distance", Seconds: DistanceScorer{}.Score(longPrompt, &candidates[2])}}, scheduler.Terms(longPrompt, &candidates[2]))
	require.Equal(t, -1, scheduler.Schedule(longPrompt, candidates[1:2]).Next)
	require.Equal(t, -1, scheduler.Schedule(longPrompt, candidates[3:]).Next)
}

func TestBusyEndpointIsRejected(t *testing.T) {
	candidates := []Candidate{{Endpoint: "busy", Ready: true, Busy: true, HitBlocks: 8_000}, {Endpoint: "free", Ready: true}}
	require.Equal(t, 1, NewScheduler().Schedule(longPrompt, candidates).Index)
}
