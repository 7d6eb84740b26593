package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Tokens have the order of their positions. Those of a store that was never restored equal the
// revisions, which builds without eras use as tokens.
func TestTokenOrderMatchesPositionOrder(t *testing.T) {
	draw := func(t *rapid.T, name string) Position {
		return Position{Era: rapid.Int64Range(1, 8191).Draw(t, name+" era"), Revision: rapid.Int64Range(1, 1<<revisionBits-1).Draw(t, name)}
	}
	property.Check(t, func(t *rapid.T) {
		a, b := draw(t, "one"), draw(t, "other")
		require.Equal(t, a.Before(b), a.Token() < b.Token())
		require.Equal(t, a == b, a.Token() == b.Token())
		require.Equal(t, a.Revision, Position{Era: initialEra, Revision: a.Revision}.Token())
		require.Equal(t, a.Revision, Position{Revision: a.Revision}.Token(), "a store that sends no era")
		require.Less(t, a.Token(), int64(1)<<53, "exact as a float64")
		require.Equal(t, a.Later(b), b.Later(a))
	})
}

func TestEraTrackerIsMonotonic(t *testing.T) {
	var changes [][2]int64
	var ignored []string
	eras := &EraTracker{
		OnChange:  func(before, after int64) { changes = append(changes, [2]int64{before, after}) },
		OnIgnored: func(value string, _ int64) { ignored = append(ignored, value) },
	}
	eras.Ignore("")
	require.True(t, eras.Observe(4), "the first era is not a change")
	_, restoredAt := eras.State()
	require.True(t, restoredAt.IsZero())
	next := eras.NextChange()
	require.True(t, eras.Observe(4))
	require.False(t, eras.Observe(3))
	require.True(t, eras.Observe(5))
	<-next
	eras.Ignore("soon")
	eras.Ignore("")
	require.Equal(t, [][2]int64{{4, 5}}, changes)
	require.Equal(t, []string{"3", "soon", ""}, ignored)
	require.EqualValues(t, 5, eras.Current())
	_, restoredAt = eras.State()
	require.False(t, restoredAt.IsZero())
	var nilTracker *EraTracker
	require.True(t, nilTracker.Observe(7))
	require.Zero(t, nilTracker.Current())
	require.Nil(t, nilTracker.NextChange())
}
