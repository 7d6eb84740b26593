package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestVotesSumAndSaturatePerLane(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		a, b := Votes(rapid.Uint64().Draw(t, "a")), Votes(rapid.Uint64().Draw(t, "b"))
		sum := a.Plus(b)
		for lane := range lanes {
			require.Equal(t, min(a.in(lane)+b.in(lane), maxVotes), sum.in(lane))
		}
		require.Equal(t, sum, b.Plus(a))
		require.Equal(t, a, a.Plus(0))
	})
}

func TestVoteIsInLaneOfRate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 1e7).Draw(t, "rate")
		v := VoteFor(rate)
		require.Equal(t, v, v.Single())
		require.Equal(t, 1, v.in(laneOf(rate)))
		require.InDelta(t, rate, laneClamp(rate, laneOf(rate)), 1e-6*rate)
	})
}

func TestLanesAreHalfOctavesFrom1024(t *testing.T) {
	require.Equal(t, Votes(1), VoteFor(1024))
	require.Equal(t, Votes(1), VoteFor(1400))
	require.Equal(t, Votes(1<<4), VoteFor(1500))
	require.Equal(t, Votes(1<<8), VoteFor(2100))
	require.Equal(t, Votes(1<<60), VoteFor(1e9))
}

func TestVotesOfSeveralNodesAreNotSingle(t *testing.T) {
	require.Zero(t, VoteFor(2000).Plus(VoteFor(2000)).Single())
	require.Zero(t, VoteFor(2000).Plus(VoteFor(9000)).Single())
	require.Zero(t, Votes(0).Single())
}
