package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// newUniformSet returns a set of n servers of one service without models.
func newUniformSet(n int, now time.Time) *Set {
	set := NewSet()
	list := []Server{}
	for i := range n {
		list = append(list, Server{Instance: fmt.Sprint("i-", i), Service: "s"})
	}
	set.Update(list, now)
	return set
}

func candidate(set *Set, instance string, now time.Time) routing.Candidate {
	for _, c := range set.Candidates(nil, Query{Service: "s", Distance: func(string) int { return 0 }}, now) {
		if c.Endpoint == instance {
			return c
		}
	}
	return routing.Candidate{}
}

func TestPeerWorkExpiresUnlessRenewed(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newUniformSet(2, now)
	send(set, "i-0", 100, now)
	require.Equal(t, []Work{{Server: ServerKey("i-0"), Running: 1, QueuedTokens: 100}}, set.Work(now))
	set.ApplyPeerWork([]Work{{Server: ServerKey("i-0"), Running: 4, QueuedTokens: 900}, {Server: 7, Running: 1}}, now)
	seen := candidate(set, "i-0", now)
	require.Equal(t, []int{1, 5, 1000}, []int{seen.InFlight, seen.Running, seen.QueuedTokens})
	require.Zero(t, candidate(set, "i-1", now).Running)
	late := now.Add(peerWorkTTL + 1)
	require.Equal(t, 1, candidate(set, "i-0", late).Running, "expired without renewal")
	set.ApplyPeerWork(nil, now)
	require.Equal(t, 1, candidate(set, "i-0", now).Running, "peers report no more work")
}

func TestSuspectQuorumExcludesServer(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newUniformSet(2, now)
	set.ApplyPeerWork([]Work{{Server: ServerKey("i-0"), Suspects: 1}}, now)
	require.False(t, candidate(set, "i-0", now).BreakerOpen, "a single peer may have lost its own path")
	set.ApplyPeerWork([]Work{{Server: ServerKey("i-0"), Suspects: 2}}, now)
	require.True(t, candidate(set, "i-0", now).BreakerOpen)
	require.False(t, candidate(set, "i-1", now).BreakerOpen)
}

func TestIsolatedNodeReportsNoSuspects(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newUniformSet(9, now)
	suspects := func() int {
		sum := 0
		for _, w := range set.Work(now) {
			sum += w.Suspects
		}
		return sum
	}
	for i := range 9 {
		send(set, fmt.Sprint("i-", i), 0, now).End(exchange.ResultUnreached, now)
		if i < 3 {
			require.Equal(t, i+1, suspects())
		} else {
			require.Zero(t, suspects())
		}
	}
}
