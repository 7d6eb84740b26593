package quota

import (
	"math"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

const (
	urgentCost = 17_000.0
	otherCost  = 400.0
)

// rankedRatios plays 6 s in which urgent requests ask for 0.6 of a limit and others for four times
// as much as it. It returns the admitted fractions of both after the first second.
func rankedRatios(nodes int, seed uint64, rank func(cost float64) int) (urgent, other float64) {
	const perSecond = 300_000
	s := newSimFleet(nodes, tokenLimit(perSecond), seed)
	s.bounds, s.delay, s.maxDelay = overloadBounds, 150*time.Millisecond, 400*time.Millisecond
	urgentPerSecond, otherPerSecond := 0.6*perSecond/urgentCost, 4*perSecond/otherCost
	requested := map[float64]float64{}
	s.cost = func() float64 {
		cost := otherCost
		if s.random.Float64()*(urgentPerSecond+otherPerSecond) < urgentPerSecond {
			cost = urgentCost
		}
		requested[cost] += cost
		return cost
	}
	s.rank = rank
	s.demandRate = 4.6 * perSecond
	s.meanCost = s.demandRate / (urgentPerSecond + otherPerSecond)
	for _, n := range s.nodes {
		s.restart(n)
	}
	s.run(time.Second)
	s.admissions = nil
	clear(requested)
	s.run(5 * time.Second)
	admitted := map[float64]float64{}
	for _, a := range s.admissions {
		admitted[a.cost] += a.cost
	}
	return admitted[urgentCost] / requested[urgentCost], admitted[otherCost] / requested[otherCost]
}

// Guards against refusing urgent requests within the limit in favour of less urgent ones of the same
// tenant.
func TestUrgentRequestsGoFirstWithinLimit(t *testing.T) {
	for _, nodes := range []int{16, 74} {
		var urgent, other, unranked float64
		const seeds = 10
		for seed := range uint64(seeds) {
			first, second := rankedRatios(nodes, seed, func(cost float64) int {
				if cost == urgentCost {
					return 0
				}
				return 2
			})
			same, _ := rankedRatios(nodes, seed, func(float64) int { return 2 })
			urgent, other, unranked = urgent+first/seeds, other+second/seeds, unranked+same/seeds
		}
		t.Logf("%d nodes: urgent %.2f, others %.2f; of one rank: %.2f", nodes, urgent, other, unranked)
		require.Greater(t, urgent, 0.9)
		require.InDelta(t, 0.1, other, 0.04)
		require.Less(t, unranked, 0.4)
	}
}

// Guards against rows of all tenants in each report: only those near their limits need them.
func TestOnlyTenantsNearTheirLimitsReportRanks(t *testing.T) {
	l := newSingleNodeLimiter(drawZero)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		_, err := l.Admit("near", tokenLimit(10_000), Request{Cost: 90, Rank: 3}, now)
		require.NoError(t, err)
		_, err = l.Admit("far", tokenLimit(10_000), Request{Cost: 20, Rank: 3}, now)
		require.NoError(t, err)
	}
	rows := l.Report(start.Add(time.Second)).Rows
	require.Len(t, rows, 1)
	require.Equal(t, rowKey(TenantKey("near"), tenantRankRow+3), rows[0].Key)
	require.InEpsilon(t, 9000, rows[0].Requested, 0.4)
}

// Guards against malformed input that reaches the estimates: it is refused, or dropped and counted.
func TestMalformedInputIsRefusedOrDropped(t *testing.T) {
	l := newSingleNodeLimiter(drawZero)
	for _, request := range []Request{{Rank: -1}, {Rank: rankCount}, {Cost: -1}, {Cost: math.NaN()}, {Cost: math.Inf(1)}} {
		decision, err := l.Admit(tenant, tokenLimit(10_000), request, start)
		require.ErrorIs(t, err, errors.NotValid)
		require.False(t, decision.Admitted)
	}
	key := rowKey(TenantKey(tenant), tenantRankRow)
	l.SetPeerUsage(Report{Nodes: 1, Rows: []Usage{{Key: key, Requested: math.NaN()}, {Key: key + 1, Requested: 5}}}, start)
	require.Equal(t, 1, l.MalformedRows())
	require.Equal(t, 5.0, l.peerRanks[rowSubject(key)][1].Requested)
}

// Guards against a request without cost beyond the window, whose fraction is not a number and would
// stop all admissions of its rank.
func TestRequestWithoutCostLeavesEstimatesValid(t *testing.T) {
	l := New(bounds, drawZero, start)
	l.Resize(74)
	for _, cost := range []float64{1e6, 0, 0, 1} {
		oneRank{l}.Admit(tenant, tokenLimit(10_000), cost, start)
	}
	b := l.buckets[TenantKey(tenant)]
	require.False(t, math.IsNaN(b.ranks.carry[0]))
	require.False(t, math.IsNaN(b.level))
}
