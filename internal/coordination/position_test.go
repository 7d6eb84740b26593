package coordination

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Tokens have the order of their positions. Those of a store that was never restored equal the
// revisions, which builds without eras use as tokens.
func TestTokenOrderMatchesPositionOrder(t *testing.T) {
	draw := func(t *rapid.T, name string) Position {
		return Position{Era: EraOf(rapid.Int64Range(1, 8191).Draw(t, name+" era")), Revision: rapid.Int64Range(1, 1<<revisionBits-1).Draw(t, name)}
	}
	property.Check(t, func(t *rapid.T) {
		a, b := draw(t, "one"), draw(t, "other")
		require.Equal(t, a.Before(b), a.Token(false) < b.Token(false))
		require.Equal(t, a == b, a.Token(false) == b.Token(false))
		require.Equal(t, a.Revision, Position{Era: EraOf(initialEra), Revision: a.Revision}.Token(false))
		require.Equal(t, a.Revision, Position{Revision: a.Revision}.Token(false), "a store that sends no era")
		require.Less(t, a.Token(false), int64(1)<<53, "exact as a float64")
		require.Equal(t, a.Later(b), b.Later(a))
	})
}

// Tokens have the order of their positions in a store whose first era is 0, too. From era 2 on, a node that
// does not know that the store began in era 0 has the same tokens as one that does.
func TestTokensOfStoreThatBeganInEraZeroGrow(t *testing.T) {
	draw := func(t *rapid.T, name string) Position {
		era := rapid.OneOf(rapid.Int64Range(0, 3), rapid.Int64Range(0, 8191)).Draw(t, name+" era")
		revisions := int64(1) << revisionBits
		if era <= initialEra {
			revisions = afterEraZero
		}
		return Position{Era: EraOf(era), Revision: rapid.Int64Range(0, revisions-1).Draw(t, name)}
	}
	property.Check(t, func(t *rapid.T) {
		a, b := draw(t, "one"), draw(t, "other")
		require.Equal(t, a.Before(b), a.Token(true) < b.Token(true))
		require.Equal(t, a == b, a.Token(true) == b.Token(true))
		require.Less(t, a.Token(true), int64(1)<<53, "exact as a float64")
		if EraOf(1).Before(a.Era) {
			require.Equal(t, a.Token(false), a.Token(true))
		}
		require.Equal(t, a.Revision, Position{Era: EraOf(0), Revision: a.Revision}.Token(true))
	})
}

func TestUnknownEraIsNotEraZero(t *testing.T) {
	require.NotEqual(t, Era{}, EraOf(0))
	require.True(t, Era{}.Before(EraOf(0)))
	require.True(t, EraOf(0).Before(EraOf(1)))
	require.True(t, Position{}.IsZero())
	require.False(t, Position{Era: EraOf(0)}.IsZero())
	for _, era := range []Era{{}, EraOf(0), EraOf(1), EraOf(7)} {
		require.Equal(t, era, EraFromWire(era.Wire()))
		at := Position{Era: era, Revision: 5}
		require.Equal(t, at, at.Wire().Position())
		entries := []Entry{{Key: "k", Value: []byte("v"), Revision: 5, Era: era}}
		require.Equal(t, entries, EntriesFromWire(WireEntries(entries)))
		text, err := json.Marshal(era)
		require.NoError(t, err)
		require.Equal(t, map[Era]string{{}: "null", EraOf(0): "0", EraOf(1): "1", EraOf(7): "7"}[era], string(text))
	}
	require.Nil(t, WireEntries(nil))
}

// A store whose first era is 0 is restored: that counts as a change, unlike the first known era.
func TestEraAfterZeroIsChange(t *testing.T) {
	var changes []Era
	eras := &EraTracker{OnChange: func(before, after Era) { changes = append(changes, before, after) }}
	require.True(t, eras.Observe(Era{}), "a response without an era")
	require.False(t, eras.BeganAtZero())
	require.True(t, eras.Observe(EraOf(0)))
	require.False(t, eras.WasRestored())
	require.Equal(t, int64(9), eras.Token(Position{Era: EraOf(0), Revision: 9}))
	next := eras.NextChange()
	require.True(t, eras.Observe(EraOf(1)))
	select {
	case <-next:
	default:
		require.Fail(t, "the change is not reported")
	}
	require.Equal(t, []Era{EraOf(0), EraOf(1)}, changes)
	require.False(t, eras.Observe(EraOf(0)), "a late response")
	require.True(t, eras.WasRestored())
	require.Greater(t, eras.Token(Position{Era: EraOf(1), Revision: 1}), int64(1)<<30)
	started := &EraTracker{}
	started.Observe(EraOf(1))
	require.False(t, started.WasRestored())
	started.ObserveBeganAtZero()
	require.True(t, started.WasRestored())
	require.Equal(t, eras.Token(Position{Era: EraOf(1), Revision: 1}), started.Token(Position{Era: EraOf(1), Revision: 1}))
}

func TestEraTrackerIsMonotonic(t *testing.T) {
	var changes [][2]Era
	var ignored []string
	eras := &EraTracker{
		OnChange:  func(before, after Era) { changes = append(changes, [2]Era{before, after}) },
		OnIgnored: func(value string, _ Era) { ignored = append(ignored, value) },
	}
	eras.Ignore("")
	require.True(t, eras.Observe(EraOf(4)), "the first era is not a change")
	_, restoredAt := eras.State()
	require.True(t, restoredAt.IsZero())
	next := eras.NextChange()
	require.True(t, eras.Observe(EraOf(4)))
	require.False(t, eras.Observe(EraOf(3)))
	require.True(t, eras.Observe(EraOf(5)))
	<-next
	eras.Ignore("soon")
	eras.Ignore("")
	require.Equal(t, [][2]Era{{EraOf(4), EraOf(5)}}, changes)
	require.Equal(t, []string{"3", "soon", ""}, ignored)
	require.Equal(t, EraOf(5), eras.Current())
	_, restoredAt = eras.State()
	require.False(t, restoredAt.IsZero())
	var nilTracker *EraTracker
	require.True(t, nilTracker.Observe(EraOf(7)))
	require.Zero(t, nilTracker.Current())
	require.Nil(t, nilTracker.NextChange())
}
