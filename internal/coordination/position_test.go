package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Tokens order positions as the store reached them. Those of a store that was never restored are
// the revisions that builds without eras use.
func TestTokensOrderPositions(t *testing.T) {
	draw := func(t *rapid.T, name string) Position {
		return Position{Era: rapid.Int64Range(1, 8191).Draw(t, name+" era"), Revision: rapid.Int64Range(1, 1<<revisionBits-1).Draw(t, name)}
	}
	property.Check(t, func(t *rapid.T) {
		one, other := draw(t, "one"), draw(t, "other")
		require.Equal(t, one.Before(other), one.Token() < other.Token())
		require.Equal(t, one == other, one.Token() == other.Token())
		require.Equal(t, one.Revision, Position{Era: firstEra, Revision: one.Revision}.Token())
		require.Equal(t, one.Revision, Position{Revision: one.Revision}.Token(), "a store that sends no era")
		require.Less(t, one.Token(), int64(1)<<53, "exact as a float64")
		require.Equal(t, one.Later(other), other.Later(one))
	})
}

func TestErasOnlyRise(t *testing.T) {
	var changes [][2]int64
	var ignored []string
	eras := &Eras{
		Changed: func(before, after int64) { changes = append(changes, [2]int64{before, after}) },
		Ignored: func(told string, _ int64) { ignored = append(ignored, told) },
	}
	eras.Ignore("")
	require.True(t, eras.Observe(4), "the first era is not a change")
	_, since := eras.State()
	require.True(t, since.IsZero())
	next := eras.Next()
	require.True(t, eras.Observe(4))
	require.False(t, eras.Observe(3))
	require.True(t, eras.Observe(5))
	<-next
	eras.Ignore("soon")
	eras.Ignore("")
	require.Equal(t, [][2]int64{{4, 5}}, changes)
	require.Equal(t, []string{"3", "soon", ""}, ignored)
	require.EqualValues(t, 5, eras.Current())
	_, since = eras.State()
	require.False(t, since.IsZero())
	var nobody *Eras
	require.True(t, nobody.Observe(7))
	require.Zero(t, nobody.Current())
	require.Nil(t, nobody.Next())
}
