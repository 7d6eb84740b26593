package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

var (
	begin  = time.Unix(1000, 0)
	prompt = []Piece{{Key: 1, Tokens: 800}, {Key: 2, Tokens: 400}, {Key: 3, Tokens: 200}}
)

func TestOnlyLeadingPartsCount(t *testing.T) {
	ledger := NewLedger()
	ledger.Note("a", "", prompt[:2], 1200, 100_000, begin)
	require.Equal(t, 1200, ledger.Held("a", "", prompt, begin))
	require.Zero(t, ledger.Held("b", "", prompt, begin))
	ledger.Note("b", "", prompt[1:], 600, 100_000, begin)
	require.Zero(t, ledger.Held("b", "", prompt, begin), "the leading piece is missing")
	ledger.Lose("a", false)
	require.Zero(t, ledger.Held("a", "", prompt, begin))
}

func TestAPartIsThereOnlyOnceItWasSaved(t *testing.T) {
	ledger := NewLedger()
	saved := begin.Add(100 * time.Millisecond)
	ledger.Note("store", "", prompt, 1400, 100_000, saved)
	require.Zero(t, ledger.Held("store", "", prompt, begin))
	ledger.Note("store", "", prompt, 0, 100_000, saved.Add(time.Second))
	require.Equal(t, 1400, ledger.Held("store", "", prompt, saved.Add(time.Millisecond)), "a later use does not delay availability")
}

func TestUnusedPartsGiveWayToWhatAllNodesWrite(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 300).Draw(t, "nodes")
		capacity := rapid.IntRange(10_000, 1_000_000).Draw(t, "capacity")
		ledger := NewLedger()
		ledger.Resize(nodes)
		ledger.Note("a", "", prompt, 1400, capacity, begin)
		written := 0
		for range rapid.IntRange(0, 50).Draw(t, "others") {
			tokens := rapid.IntRange(0, 20_000).Draw(t, "tokens")
			ledger.Note("a", "", []Piece{{Key: 99, Tokens: 10}}, tokens, capacity, begin)
			written += tokens
		}
		expected := 1400
		if float64(written*nodes) > sureShare*float64(capacity) {
			expected = 0
		}
		require.Equal(t, expected, ledger.Held("a", "", prompt, begin))
		ledger.Note("a", "", prompt, 0, capacity, begin)
		require.Equal(t, 1400, ledger.Held("a", "", prompt, begin), "use renews the piece")
	})
}
