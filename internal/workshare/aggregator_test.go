package workshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/quota"
)

var start = time.Unix(1000, 0)

// node is a node with its own work and quota usage.
type node struct {
	name       string
	work       []backend.Work
	usages     []quota.Usage
	aggregator *Aggregator
}

func newNode(name string) *node {
	n := &node{name: name}
	n.aggregator = New(func() Report { return Report{Work: n.work, Quota: quota.Report{Nodes: 1, Usages: n.usages}} })
	return n
}

// Whatever the nodes report, each receives the sum of all others' reports without its own.
func TestOthersCoversEveryOtherNodeOnce(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		relays, all := []*node{}, []*node{}
		relayOf := map[*node]*node{}
		for i := range rapid.IntRange(1, 10).Draw(t, "readers") {
			relays = append(relays, newNode(fmt.Sprint("reader-", i)))
		}
		all = append(all, relays...)
		for i := range rapid.IntRange(0, 30).Draw(t, "followers") {
			follower := newNode(fmt.Sprint("follower-", i))
			relayOf[follower] = rapid.SampledFrom(relays).Draw(t, "asks")
			all = append(all, follower)
		}
		expected := newTotals()
		for _, n := range all {
			for server := range rapid.Uint64Range(0, 5).Draw(t, "servers") {
				n.work = append(n.work, backend.Work{Server: server, Running: rapid.IntRange(0, 9).Draw(t, "running")})
			}
			for tenant := range rapid.Uint64Range(0, 5).Draw(t, "tenants") {
				n.usages = append(n.usages, quota.Usage{Key: tenant, Requested: float64(rapid.IntRange(0, 9).Draw(t, "asked"))})
			}
			expected.add(n.aggregator.Own())
		}
		for follower, relay := range relayOf {
			relay.aggregator.SetFollower(follower.name, follower.aggregator.Own(), start)
		}
		for _, a := range relays {
			for _, b := range relays {
				if a != b {
					a.aggregator.SetGroup(b.name, b.aggregator.Group(start), start)
				}
			}
		}
		for _, n := range all {
			others := n.aggregator.Others("", start)
			if relay := relayOf[n]; relay != nil {
				others = relay.aggregator.Others(n.name, start)
			}
			sum := newTotals()
			sum.add(others)
			sum.add(n.aggregator.Own())
			require.Equal(t, len(all), sum.nodes, n.name)
			for server := range expected.work {
				require.Equal(t, expected.work[server].Running, sum.work[server].Running, n.name)
			}
			for tenant := range expected.usages {
				require.Equal(t, expected.usages[tenant].Requested, sum.usages[tenant].Requested, n.name)
			}
		}
	})
}

func TestReportsExpire(t *testing.T) {
	aggregator := New(func() Report { return Report{} })
	aggregator.SetFollower("a", Report{Work: []backend.Work{{Server: 1, Running: 2}}}, start)
	aggregator.SetGroup("r", Report{Work: []backend.Work{{Server: 1, Running: 3}}}, start.Add(reportTTL))
	require.Equal(t, []backend.Work{{Server: 1, Running: 5}}, aggregator.Others("", start.Add(reportTTL)).Work)
	require.Equal(t, []backend.Work{{Server: 1, Running: 3}}, aggregator.Others("", start.Add(reportTTL+1)).Work)
	require.Empty(t, aggregator.Others("", start.Add(3*reportTTL)).Work)
}

func TestReportTruncationKeepsMostImportant(t *testing.T) {
	aggregator := New(func() Report { return Report{} })
	work := []backend.Work{{Server: 9999, Suspects: 1}}
	for i := range 2 * maxReportedServers {
		work = append(work, backend.Work{Server: uint64(i), QueuedTokens: i})
	}
	aggregator.SetGroup("r", Report{Work: work}, start)
	reported := aggregator.Others("", start).Work
	require.Len(t, reported, maxReportedServers)
	require.Equal(t, uint64(9999), reported[0].Server)
	require.Equal(t, 2*maxReportedServers-1, reported[1].QueuedTokens)
}

// Guards against a faulty follower that reports more than one vote on a server.
func TestFollowerVotesAtMostOnce(t *testing.T) {
	relay, vote := newNode("relay"), capacity.VoteFor(50_000)
	relay.aggregator.SetFollower("honest", Report{Work: []backend.Work{{Server: 1, Prefill: vote}}}, start)
	relay.aggregator.SetFollower("second", Report{Work: []backend.Work{{Server: 1, Prefill: vote}}}, start)
	relay.aggregator.SetFollower("faulty", Report{Work: []backend.Work{{Server: 1, Prefill: 15}}}, start)
	require.Equal(t, vote.Plus(vote), relay.aggregator.Others("", start).Work[0].Prefill)
	relay.aggregator.SetGroup("other relay", Report{Work: []backend.Work{{Server: 1, Prefill: vote.Plus(vote)}}}, start)
	require.Equal(t, vote.Plus(vote).Plus(vote).Plus(vote), relay.aggregator.Others("", start).Work[0].Prefill)
}
