package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

const (
	limitedServer  = uint64(0xabcdef0123456789)
	limitedService = "s"
	// exchangeInterval is the time between two exchanges of reports, and exchangeLag the number
	// of exchanges by which received reports lag behind.
	gossipInterval = 250 * time.Millisecond
	gossipLag      = 2
)

// limitedFleet is a fleet in virtual time that uses one server with a limit. Partitioned nodes
// neither send nor receive reports. Nodes learn the limit with each request that they send to
// the server.
type limitedFleet struct {
	nodes []*limitedNode
	// limit is the advertised limit, or negative if there is none.
	limit  float64
	random *rand.Rand
	now    time.Time
	// reportRounds holds the summed reports of all nodes, the newest last.
	gossipRounds []map[uint64]Usage
	sent         []time.Time
	requested    int
}

type limitedNode struct {
	servers *ServerLimits
	// demand is the request rate at the node, per second.
	demand      float64
	partitioned bool
	reports     []map[uint64]Usage
}

func newLimitedFleet(size int, limit float64, seed uint64) *limitedFleet {
	f := &limitedFleet{limit: limit, random: rand.New(rand.NewPCG(seed, 3)), now: start}
	for range size {
		n := &limitedNode{}
		f.restart(n, size)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// restart clears the state of a node, except for the size of the fleet and the server's limit,
// which the node learns with its first request.
func (f *limitedFleet) restart(n *limitedNode, size int) {
	n.servers = NewServerLimits(func(uint64) bool { return true }, f.random.Float64)
	n.servers.Resize(size)
	n.reports = nil
	if f.limit >= 0 {
		n.servers.ObserveLimit(limitedServer, f.limit, f.now)
	}
}

// setDemand sets the fleet's total request rate; skew determines how unevenly it is distributed
// among the nodes.
func (f *limitedFleet) setDemand(demand, skew float64) {
	total := 0.0
	for _, n := range f.nodes {
		n.demand = math.Pow(f.random.Float64(), skew)
		total += n.demand
	}
	for _, n := range f.nodes {
		n.demand *= demand / total
	}
}

func (f *limitedFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(start)%gossipInterval < tick {
			f.exchangeReports()
		}
		for _, n := range f.nodes {
			f.sendRequests(n)
		}
	}
}

// exchangeReports publishes the reports of all nodes, and delivers those of exchangeLag
// exchanges ago.
func (f *limitedFleet) exchangeReports() {
	sum := map[uint64]Usage{}
	for _, n := range f.nodes {
		own := map[uint64]Usage{}
		for _, row := range n.servers.Report(f.now) {
			own[row.Tenant] = row
			if !n.partitioned {
				sum[row.Tenant] = sum[row.Tenant].Plus(row)
			}
		}
		if n.partitioned {
			own = nil
		}
		n.reports = append(n.reports, own)
	}
	f.gossipRounds = append(f.gossipRounds, sum)
	if len(f.gossipRounds) <= gossipLag {
		return
	}
	received := f.gossipRounds[len(f.gossipRounds)-1-gossipLag]
	for _, n := range f.nodes {
		if n.partitioned {
			continue
		}
		var own map[uint64]Usage
		if len(n.reports) > gossipLag {
			own = n.reports[len(n.reports)-1-gossipLag]
		}
		var rows []Usage
		for key, row := range received {
			row.Requested -= own[key].Requested
			row.Admitted -= own[key].Admitted
			rows = append(rows, row)
		}
		n.servers.SetPeerRows(rows, f.now)
	}
}

func (f *limitedFleet) sendRequests(n *limitedNode) {
	for expected := n.demand * tick.Seconds(); expected > 0; expected-- {
		if f.random.Float64() >= expected {
			continue
		}
		f.requested++
		n.servers.Requested(limitedService, f.now)
		if !n.servers.TryAcquire(limitedServer, limitedService, f.now) {
			n.servers.RefusalDelay(limitedService, []uint64{limitedServer}, f.now)
			continue
		}
		sentAt := f.now
		f.sent = append(f.sent, sentAt)
		if f.limit >= 0 {
			n.servers.ObserveLimit(limitedServer, f.limit, f.now)
		} else {
			n.servers.ObserveNoLimit(limitedServer, sentAt, f.now)
		}
	}
}

// peakInWindow returns the largest number of requests sent within a window since a time.
func (f *limitedFleet) peakInWindow(since time.Time) int {
	peak, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= serverWindow || f.sent[first].Before(since) && first < i {
			first++
		}
		if !at.Before(since) {
			peak = max(peak, i-first+1)
		}
	}
	return peak
}

// sentRate returns the number of requests sent per second since a time.
func (f *limitedFleet) sentRate(since time.Time) float64 {
	count := 0
	for _, at := range f.sent {
		if !at.Before(since) {
			count++
		}
	}
	return float64(count) / f.now.Sub(since).Seconds()
}

// measureTime returns the time in which enough requests are sent to measure the utilization of a
// limit.
func measureTime(size int, limit float64) time.Duration {
	switch {
	case limit > 2:
		return 60 * time.Second
	case size > 100:
		return 200 * time.Second
	default:
		return 400 * time.Second
	}
}

// minUtilization is the fraction of a limit that must be used under overload.
const minUtilization = 0.6

func maxInServerWindow(perSecond float64) int {
	return int(serverOvershootFactor*max(perSecond, minServerLimit)*serverWindow.Seconds() + serverSlack)
}

// For any limit, fleet size and distribution of the demand, the server must receive no more than
// its limit permits, and under overload the limit must be used.
func TestServerLimitsAreKeptAndUsed(t *testing.T) {
	for _, size := range []int{1, 7, 24, 100, 1000} {
		for _, limit := range []float64{0, 0.1, 1, 2, 5, 20, 100} {
			for _, skew := range []float64{0, 3, 40} {
				if size == 1000 && limit < 20 && skew > 0 {
					// With so few requests for so many nodes, the measurement takes too long.
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, limit %v/s, skew %v", size, limit, skew), func(t *testing.T) {
					t.Parallel()
					f := newLimitedFleet(size, limit, uint64(size)+uint64(limit*10))
					f.setDemand(max(10, 6*limit), skew)
					f.run(3 * time.Second)
					settled := f.now
					f.run(measureTime(size, limit))
					require.LessOrEqual(t, f.peakInWindow(settled), maxInServerWindow(limit))
					if limit >= 1 {
						require.GreaterOrEqual(t, f.sentRate(settled), minUtilization*limit)
					}
				})
			}
		}
	}
}

// The limit must hold when demand jumps, also to other nodes and after an idle period, when
// nodes are partitioned or restarted, and when the limit is lowered, raised, lifted and
// advertised again.
func TestServerLimitsHoldUnderChurn(t *testing.T) {
	property.CheckMany(t, 150, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 7, 24, 79, 300}).Draw(t, "nodes")
		limit := rapid.SampledFrom([]float64{0, 0.05, 0.3, 1, 1.2, 2, 4, 10, 40}).Draw(t, "limit")
		f := newLimitedFleet(size, limit, rapid.Uint64().Draw(t, "seed"))
		baseline := max(2, limit) * rapid.Float64Range(0.3, 6).Draw(t, "usual")
		f.setDemand(baseline, 1)
		f.run(4 * time.Second)
		since := f.now
		check := func() {
			require.LessOrEqual(t, f.peakInWindow(since), maxInServerWindow(limit), "%d nodes, limit %v", size, limit)
		}
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			length := time.Duration(rapid.IntRange(1, 9).Draw(t, "for")) * time.Second
			switch rapid.SampledFrom([]string{"demand", "rest", "cut", "restart", "fall", "rise", "end"}).Draw(t, "what") {
			case "demand":
				f.setDemand(baseline*rapid.Float64Range(0.2, 4).Draw(t, "demand"), rapid.Float64Range(0, 20).Draw(t, "uneven"))
			case "rest":
				f.setDemand(0.001, 0)
				f.run(length)
				f.setDemand(baseline, rapid.Float64Range(0, 4).Draw(t, "uneven"))
			case "cut":
				for _, n := range f.nodes {
					n.partitioned = f.random.Float64() < 0.3
				}
			case "restart":
				for _, n := range f.nodes {
					if f.random.Float64() < 0.3 {
						f.restart(n, size)
					}
				}
			case "fall":
				check()
				limit /= 3
				f.limit = limit
				// Nodes learn of it with their next request or from peers.
				f.run(lowerPropagationTime)
				since = f.now
			case "rise":
				limit *= 3
				f.limit = limit
			case "end":
				check()
				f.limit = -1
				f.run(length)
				f.limit = limit
				f.run(propagationTime + slowStartTime)
				since = f.now
			}
			f.run(length)
		}
		check()
	})
}

// lowerPropagationTime is the time in which all nodes learn that a limit was lowered.
const lowerPropagationTime = 1500 * time.Millisecond

// propagationTime is the time in which all nodes learn what one of them knows.
const propagationTime = 3 * time.Second

// A lowered limit first reaches only the few nodes that get an answer from the server. The
// others learned the previous limit less than ownReportTTL ago, and would keep using it until
// their next request to the server.
func TestLoweredServerLimitPropagatesToPeers(t *testing.T) {
	for _, size := range []int{7, 24, 100, 300} {
		for _, factor := range []float64{3, 10, 40} {
			f := newLimitedFleet(size, 40, uint64(size))
			f.setDemand(400, 1)
			f.run(6 * time.Second)
			f.limit = 40 / factor
			f.run(time.Second)
			lowered := f.now
			f.run(3 * serverWindow)
			require.LessOrEqual(t, f.peakInWindow(lowered), maxInServerWindow(f.limit), "%d nodes, limit lowered to %v/s", size, f.limit)
			settled := f.now
			f.run(60 * time.Second)
			require.GreaterOrEqual(t, f.sentRate(settled), minUtilization*f.limit, "%d nodes, limit lowered to %v/s", size, f.limit)
		}
	}
}

// All nodes must treat a server as unlimited some seconds after it stops advertising a limit,
// though only a few of them send requests to it.
func TestLiftedServerLimitIsRemoved(t *testing.T) {
	for _, size := range []int{1, 7, 100} {
		f := newLimitedFleet(size, 1, 9)
		f.setDemand(float64(20*size), 1)
		f.run(5 * time.Second)
		f.limit = -1
		f.run(propagationTime + slowStartTime + 10*time.Second)
		for _, n := range f.nodes {
			require.Zero(t, n.servers.LimitedCount(), "%d nodes", size)
		}
		since := f.now
		f.run(10 * time.Second)
		require.Greater(t, f.sentRate(since), 0.8*float64(20*size), "%d nodes", size)
	}
}

// All nodes learn within a second that a limit was lifted. The send rate must double every
// second, so that waiting callers do not arrive at once.
func TestLiftedServerLimitRampsUpSlowly(t *testing.T) {
	f := newLimitedFleet(100, 1, 4)
	f.setDemand(2000, 1)
	f.run(5 * time.Second)
	f.limit = -1
	lifted := f.now
	f.run(propagationTime)
	require.Less(t, f.sentRate(lifted)*propagationTime.Seconds(), 40.0)
}

// Retries must be staggered at the rate at which the server accepts requests.
func TestRetryAfterIsStaggered(t *testing.T) {
	s := NewServerLimits(func(uint64) bool { return true }, func() float64 { return 0 })
	s.Resize(1)
	s.ObserveLimit(limitedServer, 2, start)
	var delays []time.Duration
	for range 40 {
		s.Requested(limitedService, start)
		if s.TryAcquire(limitedServer, limitedService, start) {
			continue
		}
		delay := s.RefusalDelay(limitedService, []uint64{limitedServer}, start)
		delays = append(delays, delay)
	}
	require.Greater(t, len(delays), 30)
	for i := range delays[1:] {
		require.InDelta(t, 1/(2*targetUtilization), (delays[i+1] - delays[i]).Seconds(), 0.01)
	}
	for range 200 {
		delay := s.RefusalDelay(limitedService, []uint64{limitedServer}, start)
		require.LessOrEqual(t, delay, maxServerRetryAfter)
	}
}

// A limit received from the server itself takes precedence over peer reports, and an answer to a
// request that was sent before the last advertised limit must not lift it.
func TestNewestLimitReportWins(t *testing.T) {
	s := NewServerLimits(func(uint64) bool { return true }, rand.Float64)
	s.Resize(2)
	require.True(t, s.ObserveLimit(limitedServer, 5, start))
	require.False(t, s.ObserveLimit(limitedServer, 5, start.Add(time.Second)))
	require.False(t, s.ObserveNoLimit(limitedServer, start.Add(time.Second), start.Add(2*time.Second)), "the request was sent before the limit was last advertised")
	lifted := []Usage{{Tenant: rowKey(limitedServer, sentRow), Requested: 1}}
	require.Empty(t, s.SetPeerRows(lifted, start.Add(2*time.Second)), "the node's own observation takes precedence")
	changes := s.SetPeerRows(lifted, start.Add(time.Second+ownReportLife))
	require.Len(t, changes, 1)
	require.True(t, changes[0].Lifted && changes[0].Matches(limitedServer))
	limited := []Usage{{Tenant: rowKey(limitedServer, limitRow), Requested: 12, Admitted: 3}}
	changes = s.SetPeerRows(limited, start.Add(time.Second+ownReportLife))
	require.Len(t, changes, 1)
	require.Equal(t, 4.0, changes[0].PerSecond, "the mean of the peers' reports")
	require.True(t, s.ObserveNoLimit(limitedServer, start.Add(5*time.Second), start.Add(6*time.Second)))
}

// Rows are sent in the same report as tenant usages and must be separated from them when
// decoded.
func TestRowsAreEncodedAsUsages(t *testing.T) {
	report := Report{Nodes: 2, Usages: []Usage{{Tenant: TenantKey("t"), Requested: 2, Admitted: 1}}, Rows: []Usage{
		{Tenant: rowKey(ServiceKey("s"), requestedRow), Requested: 3, Admitted: 2},
		{Tenant: rowKey(limitedServer, limitRow), Requested: 4, Admitted: 2},
	}}
	decoded, err := DecodeReport(report.Encode())
	require.NoError(t, err)
	require.Equal(t, report, decoded)
}

// worstPeak returns the largest number of requests sent within a window, over several random
// seeds, after setup has been applied.
func worstPeak(size int, limit float64, setup func(f *limitedFleet)) int {
	peak := 0
	for seed := range uint64(12) {
		f := newLimitedFleet(size, limit, 100+seed)
		setup(f)
		since := f.now
		f.run(3 * serverWindow)
		peak = max(peak, f.peakInWindow(since))
	}
	return peak
}

// After an idle period demand rises at all nodes at the same moment. No node may claim the whole
// limit before it has received the reports of the others.
func TestSimultaneousSurgeStaysWithinServerLimit(t *testing.T) {
	require.LessOrEqual(t, worstPeak(100, 5, func(f *limitedFleet) {
		f.setDemand(500, 0)
		f.run(10 * time.Second)
		f.setDemand(0.001, 0)
		f.run(20 * time.Second)
		f.setDemand(500, 0)
	}), maxInServerWindow(5))
}

// When demand returns after a lull, higher than before, many nodes with little demand each
// receive their first request in a long time. They must not all send it at once.
func TestSurgeOnIdleNodesStaysWithinServerLimit(t *testing.T) {
	require.LessOrEqual(t, worstPeak(300, 1, func(f *limitedFleet) {
		f.setDemand(10, 0)
		f.run(40 * time.Second)
		f.setDemand(0.001, 0)
		f.run(10 * time.Second)
		f.setDemand(40, 0)
	}), maxInServerWindow(1))
}

// Guards against nodes that keep a larger share of a limit than an even one when they no longer
// receive reports: a third of the nodes is partitioned under overload.
func TestPartitionedNodesKeepToEvenShare(t *testing.T) {
	require.LessOrEqual(t, worstPeak(79, 4, func(f *limitedFleet) {
		f.setDemand(300, 1)
		f.run(6 * time.Second)
		for i, n := range f.nodes {
			n.partitioned = i%3 == 0
		}
	}), maxInServerWindow(4))
}

// 150 nodes draw for a limit of few requests over a long time. Without the check of the window,
// the limit would be exceeded by chance now and then.
func TestRandomDrawsOfManyNodesStayWithinServerLimit(t *testing.T) {
	f := newLimitedFleet(150, 2, 5)
	f.setDemand(600, 0)
	f.run(5 * time.Second)
	since := f.now
	f.run(1500 * time.Second)
	require.LessOrEqual(t, f.peakInWindow(since), maxInServerWindow(2))
	require.GreaterOrEqual(t, f.sentRate(since), minUtilization*2)
}

// A node's own calls are sent regardless of the level, and reduce what is left for its callers.
func TestOwnCallsReduceCallerCapacity(t *testing.T) {
	s := NewServerLimits(func(uint64) bool { return true }, rand.Float64)
	s.Resize(1)
	s.ObserveLimit(limitedServer, 2, start)
	sent, now := 0, start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		if now.UnixMilli()%1000 < 10 {
			s.Charge(limitedServer, limitedService, now)
		}
		s.Requested(limitedService, now)
		if s.TryAcquire(limitedServer, limitedService, now) {
			sent++
		}
	}
	require.InDelta(t, 20*(2*targetUtilization-1), sent, 5, "20 s at 2 requests/s, of which the node's own calls use 1")
}

// Callers arrive at a node for the first time, while its peers hold all shares of a limit. They
// are refused until the node has a share, with staggered retry times.
func TestRetryAfterIsStaggeredWithoutShare(t *testing.T) {
	s := NewServerLimits(func(uint64) bool { return true }, func() float64 { return 0.5 })
	s.Resize(2)
	s.ObserveLimit(limitedServer, 2, start)
	s.SetPeerRows([]Usage{{Tenant: rowKey(ServiceKey(limitedService), requestedRow), Requested: 10, Admitted: 1}}, start)
	var delays []time.Duration
	for range 10 {
		s.Requested(limitedService, start)
		require.False(t, s.TryAcquire(limitedServer, limitedService, start))
		delays = append(delays, s.RefusalDelay(limitedService, []uint64{limitedServer}, start))
	}
	for i := range delays[1:] {
		require.Greater(t, delays[i+1], delays[i])
	}
}

// BenchmarkWait measures the limit checks of one placement among servers that all advertise a
// limit.
func BenchmarkWait(b *testing.B) {
	s := NewServerLimits(func(uint64) bool { return true }, rand.Float64)
	s.Resize(100)
	servers := make([]uint64, 64)
	for i := range servers {
		servers[i] = rand.Uint64()
		s.ObserveLimit(servers[i], 5, start)
	}
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		s.Requested(limitedService, now)
		for _, server := range servers {
			s.Wait(server, limitedService, now)
		}
	}
}
