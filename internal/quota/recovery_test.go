package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startedFleet returns a fleet of which all nodes have just started and, for two seconds, hear from
// nobody. With recovery they believe that the fleet has 3 nodes, and else know no size.
func startedFleet(seed uint64, cost float64, published bool) (*simFleet, float64) {
	const perSecond, size = 300_000, 74
	s := newSimFleet(size, tokenLimit(perSecond), seed)
	s.bounds, s.delay, s.maxDelay = overloadBounds, 150*time.Millisecond, 400*time.Millisecond
	s.cost, s.meanCost = func() float64 { return cost }, cost
	s.demandRate = 0.7 * perSecond
	for _, n := range s.nodes {
		n.weight = 1.0 / size
		s.restart(n)
		n.partitioned = true
		if n.limiter = New(s.bounds, s.random.Float64, s.now); published {
			n.limiter.Resize(3)
			n.limiter.Recover(size, []Usage{{Key: TenantKey(tenant), Requested: s.demandRate, Admitted: s.demandRate}})
		}
		n.tenantLimiter = oneRank{n.limiter}
	}
	s.run(2 * time.Second)
	for _, n := range s.nodes {
		n.partitioned = false
		n.limiter.Resize(size)
	}
	s.run(4 * time.Second)
	return s, (s.requested - s.refused) / sumBetween(s.reference.admissions, start, s.now)
}

// Guards against refusals within a limit that nobody is using, after all nodes have started at once.
func TestDemandWithinLimitIsAdmittedAfterPowerLoss(t *testing.T) {
	for cost, most := range map[float64]float64{400: 0.9, 17_000: 0.97} {
		sum, without := 0.0, 0.0
		const seeds = 5
		for seed := range uint64(seeds) {
			s, ratio := startedFleet(seed, cost, true)
			require.LessOrEqual(t, s.peakInWindow(), overloadBounds.allowed(s.limit))
			sum += ratio / seeds
			_, ratio = startedFleet(seed, cost, false)
			without += ratio / seeds
		}
		t.Logf("requests of %.0f: %.3f of what one bucket admits; %.3f without the published state", cost, sum, without)
		require.Greater(t, sum, 0.95)
		require.Less(t, without, most)
	}
}

// Guards against a node that starts beside a fleet that is using the whole limit, and takes the
// published state for leave to use it once more.
func TestNodeStartingBesideBusyFleetKeepsBound(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		for seed := range uint64(5) {
			c := overloadCase{nodes: 16, perSecond: 300_000, cost: 400, lowered: 1, maxDelay: 400 * time.Millisecond}
			s, _ := c.run(seed)
			n := s.nodes[0]
			s.restart(n)
			n.partitioned = cutOff
			n.limiter.Recover(16, []Usage{{Key: TenantKey(tenant), Requested: 10_000, Admitted: 10_000}})
			s.run(8 * time.Second)
			require.LessOrEqual(t, s.peakInWindow(), overloadBounds.allowed(s.limit))
		}
	}
}

// Guards against a node that uses more than its safe share while it does not know the size of the
// fleet, and against one that keeps to it for longer than recoveryTime.
func TestUnknownFleetSizeMeansSafeShareForAWhile(t *testing.T) {
	l := New(bounds, drawMax, start)
	l.SetPeerUsage(Report{Nodes: 9}, start.Add(time.Second))
	require.Equal(t, 1.0/defaultFleetSize, l.visibility(start.Add(time.Second)).ownShare)
	l.SetPeerUsage(Report{Nodes: 9}, start.Add(recoveryTime))
	require.Equal(t, 0.1, l.visibility(start.Add(recoveryTime)).ownShare)
	l.Recover(74, []Usage{{Key: 1, Requested: -1}})
	require.Equal(t, 1, l.MalformedRows())
}

// Guards against a restart of all nodes that uses up the window twice, beside a surge.
func TestRestartOfAllNodesInSurgeKeepsBound(t *testing.T) {
	for _, cost := range []float64{400, 17_000} {
		for _, size := range []int{16, 74} {
			for seed := range uint64(5) {
				limit := tokenLimit(140_000)
				s := newSimFleet(size, limit, seed)
				s.bounds, s.delay, s.maxDelay = overloadBounds, 150*time.Millisecond, 400*time.Millisecond
				s.cost, s.meanCost = func() float64 { return cost }, cost
				s.demandRate = 0.7 * limit.PerSecond
				for _, n := range s.nodes {
					s.restart(n)
				}
				s.run(9 * time.Second)
				for _, n := range s.nodes {
					s.restart(n)
					n.limiter.Resize(3)
					n.limiter.Recover(size, []Usage{{Key: TenantKey(tenant), Requested: s.demandRate, Admitted: s.demandRate}})
					n.partitioned = true
				}
				s.demandRate = 5 * limit.PerSecond
				s.run(2 * time.Second)
				for _, n := range s.nodes {
					n.partitioned = false
					n.limiter.Resize(size)
				}
				s.run(8 * time.Second)
				require.LessOrEqual(t, s.peakInWindow(), overloadBounds.allowed(limit), "%d nodes, requests of %.0f, seed %d", size, cost, seed)
			}
		}
	}
}
