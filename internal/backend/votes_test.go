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
	require.Empty(t, set.Work(now), "no votes on servers that this node has not used")
	attempt := send(set, "i-0", 100, now)
	send(set, "i-2", 0, now).End(exchange.ResultServed, now)
	require.Equal(t, []Work{{Server: ServerKey("i-0"), Running: 1, QueuedTokens: 100, Prefill: vote}}, set.Work(now))
	attempt.ResponseStarted(now)
	attempt.End(exchange.ResultServed, now)
	require.Equal(t, []Work{{Server: ServerKey("i-0"), Prefill: vote}}, set.Work(now.Add(voteAfterResponse)))
	require.Empty(t, set.Work(now.Add(voteAfterResponse+1)))
}

func TestWorkPlusAddsVotes(t *testing.T) {
	a, b := Work{Server: 1, Prefill: capacity.VoteFor(30_000)}, Work{Server: 1, Prefill: capacity.VoteFor(70_000)}
	require.Equal(t, a.Prefill.Plus(b.Prefill), a.Plus(b).Prefill)
}
