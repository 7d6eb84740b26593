package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// Guards against a restarted node that measures all servers anew although its peers know them.
func TestReportOfPeersTeachesPrefillRates(t *testing.T) {
	process, key, now := newFixture(t).process, backend.ServerKey("i-1"), boottime.Now()
	vote := capacity.VoteFor(50_000)
	report := workshare.Report{Work: []backend.Work{{Server: key, Prefill: vote.Plus(vote)}, {Server: 2, Running: 1}}}
	require.False(t, process.capacity.Estimate("s", key, now).Known)
	process.reflector.OnReport(report, now)
	estimate := process.capacity.Estimate("s", key, now.Add(time.Second))
	require.True(t, estimate.Known)
	require.InEpsilon(t, 50_000, estimate.PrefillTokensPerSecond, 0.25)
}

func TestPrefillVotesSkipServersWithoutVotes(t *testing.T) {
	found := map[uint64]capacity.Votes{}
	work := []backend.Work{{Server: 1, Prefill: 16}, {Server: 2, Running: 1}, {Server: 3, Prefill: 1}}
	for server, votes := range prefillVotes(work) {
		found[server] = votes
	}
	require.Equal(t, map[uint64]capacity.Votes{1: 16, 3: 1}, found)
	for server := range prefillVotes(work) {
		require.EqualValues(t, 1, server)
		break
	}
}
