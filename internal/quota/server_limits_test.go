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
	// gossipInterval is the time between two exchanges of reports, and gossipLag the number of
	// exchanges by which received reports lag behind.
	hearEvery = 250 * time.Millisecond
	hearLate  = 2
)

// limitedFleet is a fleet in virtual time that uses one server with a limit. Partitioned nodes
// neither send nor receive reports. Nodes learn the limit with each request that they send to
// the server.
type needy struct {
	nodes []*needyNode
	// limit is the advertised limit, or negative if there is none.
	limit  float64
	random *rand.Rand
	now    time.Time
	// gossipRounds holds the summed reports of all nodes, the newest last.
	rounds []map[uint64]Use
	sent   []time.Time
	asked  int
}

type needyNode struct {
	servers *Servers
	// demand is the request rate at the node, per second.
	demand float64
	cut    bool
	told   []map[uint64]Use
}

func newNeedy(size int, limit float64, seed uint64) *needy {
	f := &needy{limit: limit, random: rand.New(rand.NewPCG(seed, 3)), now: begin}
	for range size {
		n := &needyNode{}
		f.restart(n, size)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// restart clears the state of a node, except for the size of the fleet and the server's limit,
// which the node learns with its first request.
func (f *needy) restart(n *needyNode, size int) {
	n.servers = NewServers(func(uint64) bool { return true }, f.random.Float64)
	n.servers.Resize(size)
	n.told = nil
	if f.limit >= 0 {
		n.servers.Named(limitedServer, f.limit, f.now)
	}
}

// setDemand sets the fleet's total request rate; skew determines how unevenly it is distributed
// among the nodes.
func (f *needy) spread(demand, uneven float64) {
	total := 0.0
	for _, n := range f.nodes {
		n.demand = math.Pow(f.random.Float64(), uneven)
		total += n.demand
	}
	for _, n := range f.nodes {
		n.demand *= demand / total
	}
}

func (f *needy) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(begin)%hearEvery < tick {
			f.tell()
		}
		for _, n := range f.nodes {
			f.ask(n)
		}
	}
}

// exchangeReports publishes the reports of all nodes, and delivers those of gossipLag exchanges
// ago.
func (f *needy) tell() {
	sum := map[uint64]Use{}
	for _, n := range f.nodes {
		own := map[uint64]Use{}
		for _, row := range n.servers.Report(f.now) {
			own[row.Tenant] = row
			if !n.cut {
				sum[row.Tenant] = sum[row.Tenant].With(row)
			}
		}
		if n.cut {
			own = nil
		}
		n.told = append(n.told, own)
	}
	f.rounds = append(f.rounds, sum)
	if len(f.rounds) <= hearLate {
		return
	}
	heard := f.rounds[len(f.rounds)-1-hearLate]
	for _, n := range f.nodes {
		if n.cut {
			continue
		}
		var own map[uint64]Use
		if len(n.told) > hearLate {
			own = n.told[len(n.told)-1-hearLate]
		}
		var rows []Use
		for key, row := range heard {
			row.Asked -= own[key].Asked
			row.Admitted -= own[key].Admitted
			rows = append(rows, row)
		}
		n.servers.Hear(rows, f.now)
	}
}

func (f *needy) ask(n *needyNode) {
	for expected := n.demand * tick.Seconds(); expected > 0; expected-- {
		if f.random.Float64() >= expected {
			continue
		}
		f.asked++
		n.servers.Asked(limitedService, f.now)
		if !n.servers.Take(limitedServer, limitedService, f.now) {
			n.servers.Refused(limitedService, []uint64{limitedServer}, f.now)
			continue
		}
		sentAt := f.now
		f.sent = append(f.sent, sentAt)
		if f.limit >= 0 {
			n.servers.Named(limitedServer, f.limit, f.now)
		} else {
			n.servers.Unnamed(limitedServer, sentAt, f.now)
		}
	}
}

// peakInWindow returns the largest number of requests sent within a window since a time.
func (f *needy) most(since time.Time) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= serverWindow || f.sent[first].Before(since) && first < i {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// sentRate returns the number of requests sent per second since a time.
func (f *needy) rate(since time.Time) float64 {
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
func counting(size int, limit float64) time.Duration {
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
const leastUse = 0.6

func mostOf(perSecond float64) int {
	return int(serverFactor*max(perSecond, leastLimit)*serverWindow.Seconds() + serverSlack)
}

// For any limit, fleet size and distribution of the demand, the server must receive no more than
// its limit permits, and under overload the limit must be used.
func TestServersAreKeptWithinTheirLimitsAndTheseAreUsed(t *testing.T) {
	for _, size := range []int{1, 7, 24, 100, 1000} {
		for _, limit := range []float64{0, 0.1, 1, 2, 5, 20, 100} {
			for _, uneven := range []float64{0, 3, 40} {
				if size == 1000 && limit < 20 && uneven > 0 {
					// With so few requests for so many nodes, the measurement takes too long.
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, limit %v/s, skew %v", size, limit, uneven), func(t *testing.T) {
					t.Parallel()
					f := newNeedy(size, limit, uint64(size)+uint64(limit*10))
					f.spread(max(10, 6*limit), uneven)
					f.run(3 * time.Second)
					settled := f.now
					f.run(counting(size, limit))
					require.LessOrEqual(t, f.most(settled), mostOf(limit))
					if limit >= 1 {
						require.GreaterOrEqual(t, f.rate(settled), leastUse*limit)
					}
				})
			}
		}
	}
}

// The limit must hold when demand jumps, also to other nodes and after an idle period, when
// nodes are partitioned or restarted, and when the limit is lowered, raised, lifted and
// advertised again.
func TestServersAreKeptWithinTheirLimitsWhateverHappens(t *testing.T) {
	property.CheckMany(t, 150, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 7, 24, 79, 300}).Draw(t, "nodes")
		limit := rapid.SampledFrom([]float64{0, 0.05, 0.3, 1, 1.2, 2, 4, 10, 40}).Draw(t, "limit")
		f := newNeedy(size, limit, rapid.Uint64().Draw(t, "seed"))
		usual := max(2, limit) * rapid.Float64Range(0.3, 6).Draw(t, "usual")
		f.spread(usual, 1)
		f.run(4 * time.Second)
		since := f.now
		check := func() {
			require.LessOrEqual(t, f.most(since), mostOf(limit), "%d nodes, limit %v", size, limit)
		}
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			length := time.Duration(rapid.IntRange(1, 9).Draw(t, "for")) * time.Second
			switch rapid.SampledFrom([]string{"demand", "rest", "cut", "restart", "fall", "rise", "end"}).Draw(t, "what") {
			case "demand":
				f.spread(usual*rapid.Float64Range(0.2, 4).Draw(t, "demand"), rapid.Float64Range(0, 20).Draw(t, "uneven"))
			case "rest":
				f.spread(0.001, 0)
				f.run(length)
				f.spread(usual, rapid.Float64Range(0, 4).Draw(t, "uneven"))
			case "cut":
				for _, n := range f.nodes {
					n.cut = f.random.Float64() < 0.3
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
				f.run(fallTime)
				since = f.now
			case "rise":
				limit *= 3
				f.limit = limit
			case "end":
				check()
				f.limit = -1
				f.run(length)
				f.limit = limit
				f.run(contactTime + easeTime)
				since = f.now
			}
			f.run(length)
		}
		check()
	})
}

// lowerPropagationTime is the time in which all nodes learn that a limit was lowered.
const fallTime = 1500 * time.Millisecond

// propagationTime is the time in which all nodes learn what one of them knows.
const contactTime = 3 * time.Second

// A lowered limit first reaches only the few nodes that get an answer from the server. The
// others learned the previous limit less than ownReportLife ago, and would keep using it until
// their next request to the server.
func TestALimitThatFallsIsFollowedByNodesThatHearOfItFromOthers(t *testing.T) {
	for _, size := range []int{7, 24, 100, 300} {
		for _, fall := range []float64{3, 10, 40} {
			f := newNeedy(size, 40, uint64(size))
			f.spread(400, 1)
			f.run(6 * time.Second)
			f.limit = 40 / fall
			f.run(time.Second)
			fallen := f.now
			f.run(3 * serverWindow)
			require.LessOrEqual(t, f.most(fallen), mostOf(f.limit), "%d nodes, limit lowered to %v/s", size, f.limit)
			settled := f.now
			f.run(60 * time.Second)
			require.GreaterOrEqual(t, f.rate(settled), leastUse*f.limit, "%d nodes, limit lowered to %v/s", size, f.limit)
		}
	}
}

// All nodes must treat a server as unlimited some seconds after it stops advertising a limit,
// though only a few of them send requests to it.
func TestALimitThatEndsIsForgotten(t *testing.T) {
	for _, size := range []int{1, 7, 100} {
		f := newNeedy(size, 1, 9)
		f.spread(float64(20*size), 1)
		f.run(5 * time.Second)
		f.limit = -1
		f.run(contactTime + easeTime + 10*time.Second)
		for _, n := range f.nodes {
			require.Zero(t, n.servers.Limited(), "%d nodes", size)
		}
		since := f.now
		f.run(10 * time.Second)
		require.Greater(t, f.rate(since), 0.8*float64(20*size), "%d nodes", size)
	}
}

// All nodes learn within a second that a limit was lifted. The send rate must double every
// second, so that waiting callers do not arrive at once.
func TestALimitThatEndsBringsNoHerd(t *testing.T) {
	f := newNeedy(100, 1, 4)
	f.spread(2000, 1)
	f.run(5 * time.Second)
	f.limit = -1
	ended := f.now
	f.run(contactTime)
	require.Less(t, f.rate(ended)*contactTime.Seconds(), 40.0)
}

// Retries must be staggered at the rate at which the server accepts requests.
func TestCallersThatAreRefusedComeBackOneAfterTheOther(t *testing.T) {
	s := NewServers(func(uint64) bool { return true }, func() float64 { return 0 })
	s.Resize(1)
	s.Named(limitedServer, 2, begin)
	var backs []time.Duration
	for range 40 {
		s.Asked(limitedService, begin)
		if s.Take(limitedServer, limitedService, begin) {
			continue
		}
		back := s.Refused(limitedService, []uint64{limitedServer}, begin)
		backs = append(backs, back)
	}
	require.Greater(t, len(backs), 30)
	for i := range backs[1:] {
		require.InDelta(t, 1/(2*spentPart), (backs[i+1] - backs[i]).Seconds(), 0.01)
	}
	for range 200 {
		back := s.Refused(limitedService, []uint64{limitedServer}, begin)
		require.LessOrEqual(t, back, longestReturn)
	}
}

// A limit received from the server itself takes precedence over peer reports, and an answer to a
// request that was sent before the last advertised limit must not lift it.
func TestTheLatestWordOfALimitCounts(t *testing.T) {
	s := NewServers(func(uint64) bool { return true }, rand.Float64)
	s.Resize(2)
	require.True(t, s.Named(limitedServer, 5, begin))
	require.False(t, s.Named(limitedServer, 5, begin.Add(time.Second)))
	require.False(t, s.Unnamed(limitedServer, begin.Add(time.Second), begin.Add(2*time.Second)), "the request was sent before the limit was last advertised")
	ended := []Use{{Tenant: rowKey(limitedServer, sentRow), Asked: 1}}
	require.Empty(t, s.Hear(ended, begin.Add(2*time.Second)), "the node's own observation takes precedence")
	news := s.Hear(ended, begin.Add(time.Second+ownWordLife))
	require.Len(t, news, 1)
	require.True(t, news[0].Ended && news[0].Is(limitedServer))
	named := []Use{{Tenant: rowKey(limitedServer, namedRow), Asked: 12, Admitted: 3}}
	news = s.Hear(named, begin.Add(time.Second+ownWordLife))
	require.Len(t, news, 1)
	require.Equal(t, 4.0, news[0].PerSecond, "the mean of the peers' reports")
	require.True(t, s.Unnamed(limitedServer, begin.Add(5*time.Second), begin.Add(6*time.Second)))
}

// Rows are sent in the same report as tenant usages and must be told apart when decoded.
func TestRowsTravelAsUses(t *testing.T) {
	report := Report{Nodes: 2, Uses: []Use{{Tenant: TenantKey("t"), Asked: 2, Admitted: 1}}, Rows: []Use{
		{Tenant: rowKey(ServiceKey("s"), askedRow), Asked: 3, Admitted: 2},
		{Tenant: rowKey(limitedServer, namedRow), Asked: 4, Admitted: 2},
	}}
	read, err := DecodeReport(report.Encode())
	require.NoError(t, err)
	require.Equal(t, report, read)
}

// worstPeak returns the largest number of requests sent within a window, over several random
// seeds, after setup has been applied.
func worst(size int, limit float64, situation func(f *needy)) int {
	most := 0
	for seed := range uint64(12) {
		f := newNeedy(size, limit, 100+seed)
		situation(f)
		since := f.now
		f.run(3 * serverWindow)
		most = max(most, f.most(since))
	}
	return most
}

// After an idle period demand rises at all nodes at the same moment. No node may claim the whole
// limit before it has received the reports of the others.
func TestNodesThatAreAskedAtTheSameMomentDoNotEachTakeTheWhole(t *testing.T) {
	require.LessOrEqual(t, worst(100, 5, func(f *needy) {
		f.spread(500, 0)
		f.run(10 * time.Second)
		f.spread(0.001, 0)
		f.run(20 * time.Second)
		f.spread(500, 0)
	}), mostOf(5))
}

// Many nodes with little demand each get their first request in a long time when demand returns
// after a lull, higher than before.
func TestNodesThatAreAskedSeldomRememberHowMuchIsUsual(t *testing.T) {
	require.LessOrEqual(t, worst(300, 1, func(f *needy) {
		f.spread(10, 0)
		f.run(40 * time.Second)
		f.spread(0.001, 0)
		f.run(10 * time.Second)
		f.spread(40, 0)
	}), mostOf(1))
}

// A third of the nodes is partitioned under overload.
func TestNodesThatAreCutOffKeepToTheirEvenPart(t *testing.T) {
	require.LessOrEqual(t, worst(79, 4, func(f *needy) {
		f.spread(300, 1)
		f.run(6 * time.Second)
		for i, n := range f.nodes {
			n.cut = i%3 == 0
		}
	}), mostOf(4))
}

// Hundreds of nodes draw for a limit of few requests over a long time. Without the check of the
// window, random coincidence would exceed the limit now and then.
func TestDrawsOfManyNodesDoNotAddUp(t *testing.T) {
	f := newNeedy(150, 2, 5)
	f.spread(600, 0)
	f.run(5 * time.Second)
	since := f.now
	f.run(1500 * time.Second)
	require.LessOrEqual(t, f.most(since), mostOf(2))
	require.GreaterOrEqual(t, f.rate(since), leastUse*2)
}

// A node's own calls are sent regardless of the level, and reduce what is left for its callers.
func TestOwnCallsAreTakenOutOfALimit(t *testing.T) {
	s := NewServers(func(uint64) bool { return true }, rand.Float64)
	s.Resize(1)
	s.Named(limitedServer, 2, begin)
	sent, now := 0, begin
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		if now.UnixMilli()%1000 < 10 {
			s.Pay(limitedServer, limitedService, now)
		}
		s.Asked(limitedService, now)
		if s.Take(limitedServer, limitedService, now) {
			sent++
		}
	}
	require.InDelta(t, 20*(2*spentPart-1), sent, 5, "20 s at 2 requests/s, of which the node's own calls use 1")
}

// Callers arrive at a node for the first time, while its peers hold all shares of a limit. They
// are refused until the node has a share, with staggered retry times.
func TestCallersOfANodeThatHasNoShareYetAreToldToComeBackInTurn(t *testing.T) {
	s := NewServers(func(uint64) bool { return true }, func() float64 { return 0.5 })
	s.Resize(2)
	s.Named(limitedServer, 2, begin)
	s.Hear([]Use{{Tenant: rowKey(ServiceKey(limitedService), askedRow), Asked: 10, Admitted: 1}}, begin)
	var backs []time.Duration
	for range 10 {
		s.Asked(limitedService, begin)
		require.False(t, s.Take(limitedServer, limitedService, begin))
		backs = append(backs, s.Refused(limitedService, []uint64{limitedServer}, begin))
	}
	for i := range backs[1:] {
		require.Greater(t, backs[i+1], backs[i])
	}
}

// BenchmarkWait measures the limit checks of one placement among servers that all advertise a
// limit.
func BenchmarkWait(b *testing.B) {
	s := NewServers(func(uint64) bool { return true }, rand.Float64)
	s.Resize(100)
	servers := make([]uint64, 64)
	for i := range servers {
		servers[i] = rand.Uint64()
		s.Named(servers[i], 5, begin)
	}
	now := begin
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		s.Asked(limitedService, now)
		for _, server := range servers {
			s.Wait(server, limitedService, now)
		}
	}
}
