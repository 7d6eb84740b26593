package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

var (
	start  = time.Unix(1000, 0)
	prompt = []Piece{{Key: 1, Tokens: 800}, {Key: 2, Tokens: 400}, {Key: 3, Tokens: 200}}
)

func TestCachedTokensCountsLeadingPiecesOnly(t *testing.T) {
	ledger := NewLedger()
	ledger.RecordSent("a", "", prompt[:2], 1200, 100_000, start)
	require.Equal(t, 1200, ledger.CachedTokens("a", "", prompt, start))
	require.Zero(t, ledger.CachedTokens("b", "", prompt, start))
	ledger.RecordSent("b", "", prompt[1:], 600, 100_000, start)
	require.Zero(t, ledger.CachedTokens("b", "", prompt, start), "the leading piece is missing")
	ledger.Drop("a", false)
	require.Zero(t, ledger.CachedTokens("a", "", prompt, start))
}

func TestPieceCountsOnlyOnceAvailable(t *testing.T) {
	ledger := NewLedger()
	saved := start.Add(100 * time.Millisecond)
	ledger.RecordSent("store", "", prompt, 1400, 100_000, saved)
	require.Zero(t, ledger.CachedTokens("store", "", prompt, start))
	ledger.RecordSent("store", "", prompt, 0, 100_000, saved.Add(time.Second))
	require.Equal(t, 1400, ledger.CachedTokens("store", "", prompt, saved.Add(time.Millisecond)), "a later use does not delay availability")
}

func TestUnusedPiecesAreAssumedEvicted(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 300).Draw(t, "nodes")
		capacity := rapid.IntRange(10_000, 1_000_000).Draw(t, "capacity")
		ledger := NewLedger()
		ledger.Resize(nodes)
		ledger.RecordSent("a", "", prompt, 1400, capacity, start)
		written := 0
		for range rapid.IntRange(0, 50).Draw(t, "others") {
			tokens := rapid.IntRange(0, 20_000).Draw(t, "tokens")
			ledger.RecordSent("a", "", []Piece{{Key: 99, Tokens: 10}}, tokens, capacity, start)
			written += tokens
		}
		expected := 1400
		if float64(written*nodes) > retainedFraction*float64(capacity) {
			expected = 0
		}
		require.Equal(t, expected, ledger.CachedTokens("a", "", prompt, start))
		ledger.RecordSent("a", "", prompt, 0, capacity, start)
		require.Equal(t, 1400, ledger.CachedTokens("a", "", prompt, start), "use renews the piece")
	})
}
