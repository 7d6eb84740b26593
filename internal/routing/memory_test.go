package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// longPromptOfB is a long prompt, of which nine fit into an engine of 151,820 cached tokens.
var longPromptOfB = &Request{
	PromptTokens: 17_020, OutputTokens: 20, BlockTokens: 1, Blocks: 13_300, PrefillTokensPerSecond: 49_600, WaitWeight: 1, WorkWeight: 4, SlotSeconds: 0.9,
}

// Load: an engine with memory for nine long prompts runs eight of different prefixes on 16 slots. Guards
// against a ninth that is expected to start at once although it does not fit beside them.
func TestPromptWaitsForMemory(t *testing.T) {
	full := Candidate{Slots: 16, Running: 8, CacheTokens: 151_820, ResidentTokens: 8 * 17_040}
	require.InDelta(t, float64(9*17_040-151_820)/(8*17_040)*0.9, StartDelay(longPromptOfB, &full), 1e-9)
	require.InDelta(t, 4*17_020.0/49_600, MemoryScorer{}.Score(longPromptOfB, &full), 1e-9, "a whole prompt is read again")
	ignored := full
	ignored.CacheTokens = 0
	require.Zero(t, StartDelay(longPromptOfB, &ignored), "the memory is not considered")
	require.Zero(t, MemoryScorer{}.Score(longPromptOfB, &ignored))

	sharing := full
	sharing.SharedResidentTokens, sharing.HitBlocks = 13_300, 13_300
	require.Zero(t, StartDelay(longPromptOfB, &sharing), "it shares the memory of a running request")
	sharing.HitBlocks = 0
	require.Positive(t, StartDelay(longPromptOfB, &sharing), "a set of prefixes may be mistaken")

	over := full
	over.ResidentTokens = 40 * 17_040
	require.Greater(t, StartDelay(longPromptOfB, &over), StartDelay(longPromptOfB, &full))
	require.InDelta(t, 4*17_020.0/49_600, MemoryScorer{}.Score(longPromptOfB, &over), 1e-9, "no more than its own size")
	empty := Candidate{Slots: 16, CacheTokens: 1000}
	require.Zero(t, StartDelay(longPromptOfB, &empty), "waiting does not help where nothing runs")
	full.QueuedTokens = 1_000_000
	require.Greater(t, StartDelay(longPromptOfB, &full), 20.0, "queued prefill counts if it takes longer")
}
