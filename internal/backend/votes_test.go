package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/exchange"
)

func TestWorkIncludesVotesOnServersInRecentUse(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newUniformSet(3, now)
	vote := capacity.VoteFor(50_000)
	set.SetVote(func(server uint64, _ time.Time) capacity.Votes {
		if server == ServerKey("i-2") {
			return 0
		}
		return vote
	})
	// votes returns the votes in the report at a time, by server.
	votes := func(now time.Time) map[uint64]capacity.Votes {
		byServer := map[uint64]capacity.Votes{}
		for _, w := range set.Work(now) {
			if w.Prefill != 0 {
				byServer[w.Server] = w.Prefill
			}
		}
		return byServer
	}
	require.Empty(t, votes(now), "no votes on servers that this node has not used")
	attempt := send(set, "i-0", 100, now)
	send(set, "i-2", 0, now).End(exchange.ResultServed, now)
	voted := map[uint64]capacity.Votes{ServerKey("i-0"): vote}
	require.Equal(t, voted, votes(now))
	attempt.ResponseStarted(now)
	attempt.End(exchange.ResultServed, now)
	require.Equal(t, voted, votes(now.Add(voteAfterResponse)))
	require.Empty(t, votes(now.Add(voteAfterResponse+1)))
}

func TestWorkPlusAddsVotes(t *testing.T) {
	a, b := Work{Server: 1, Prefill: capacity.VoteFor(30_000)}, Work{Server: 1, Prefill: capacity.VoteFor(70_000)}
	require.Equal(t, a.Prefill.Plus(b.Prefill), a.Plus(b).Prefill)
}
