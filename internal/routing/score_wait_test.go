package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/capacity"
)

func TestWaitScorerIncludesSlotWait(t *testing.T) {
	request := &Request{PromptTokens: 100, BlockTokens: 1, PrefillTokensPerSecond: 10_000, WaitWeight: 1, SlotSeconds: 2}
	free := Candidate{Slots: 16, Running: 15}
	full := Candidate{Slots: 16, Running: 23}
	unknown := Candidate{Running: 23}
	require.InDelta(t, 0.01*capacity.Slowdown(15), WaitScorer{}.Score(request, &free), 1e-9)
	require.InDelta(t, 1+0.01*capacity.Slowdown(23), WaitScorer{}.Score(request, &full), 1e-9)
	require.Less(t, WaitScorer{}.Score(request, &unknown), 0.02)
	full.QueuedTokens = 50_000
	require.Greater(t, WaitScorer{}.Score(request, &full), 5.0, "queued prefill counts if it takes longer")
}
