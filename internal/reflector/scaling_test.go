package reflector

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

// newServers returns n servers, written at revisions 1 to n.
func newServers(n int) []backend.Server {
	var list []backend.Server
	for i := range n {
		list = append(list, backend.Server{
			Instance: fmt.Sprintf("i-%010x", i), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8720", i/250, i%250),
			Zone: "z", Slots: 16, Versions: map[string]int64{"m": 1}, Revision: int64(i + 1), Created: int64(i + 1),
		})
	}
	return list
}

// loadFromStore gives the first reader the given servers and a declaration.
func (s *simFleet) loadFromStore(servers []backend.Server) {
	reader := s.firstReader()
	reader.applyServers(fullUpdate(servers, int64(len(servers)), time.Now()))
	reader.applyReading(catalog.ReadResult{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}})
}

func (s *simFleet) firstReader() *simNode {
	for _, node := range s.nodes {
		if node.Registry.Rank() == 0 {
			return node
		}
	}
	return nil
}

// outdatedNodes counts the nodes whose list differs from the first reader's.
func (s *simFleet) outdatedNodes() int {
	sum, outdated := s.firstReader().Feed.servers.sum, 0
	for _, node := range s.nodes {
		if node.Feed.servers.sum != sum {
			outdated++
		}
	}
	return outdated
}

// runUntilCurrent runs rounds until no node is outdated, and returns their number. The byte
// counters then hold the traffic of these rounds only.
func (s *simFleet) runUntilCurrent() int {
	clear(s.bytes)
	for n := 0; ; n++ {
		if s.outdatedNodes() == 0 {
			return n
		}
		require.Less(s.t, n, 8)
		s.runRound()
	}
}

func (s *simFleet) maxNodeBytes() int {
	peak := 0
	for _, n := range s.bytes {
		peak = max(peak, n)
	}
	return peak
}

// Measures the traffic of a fleet's start, a server change, a switch of all upstreams and a
// joining node, at 1,000 and at 2,000 nodes. Each node receives the full list once, from its
// relay, so that the busiest node sends it to a number of nodes that grows with the square root
// of the fleet. Later changes are sent as deltas.
func TestBusiestNodeTrafficGrowsWithSquareRootOfFleet(t *testing.T) {
	t.Parallel()
	const servers = 200
	type cost struct{ start, startBusiest, change, relayLost, join int }
	measure := func(nodes int) cost {
		s := newLargeSimFleet(t, nodes, 7)
		s.loadFromStore(newServers(servers))
		require.LessOrEqual(t, s.runUntilCurrent(), 3)
		costs := cost{start: s.sum() / nodes, startBusiest: s.maxNodeBytes()}

		idle := int(s.meanBytesPerRound(2))
		reader := s.firstReader()
		reader.applyServers(serverUpdate{gone: []string{"i-0000000003"}, position: at(servers + 1), readAt: time.Now()})
		rounds := s.runUntilCurrent()
		costs.change = s.sum()/nodes - rounds*idle

		// All nodes switch to another upstream.
		clear(s.bytes)
		for _, node := range s.nodes {
			node.upstreamIndex++
		}
		s.runRound()
		costs.relayLost = s.sum()/nodes - idle

		joined := append(s.entries[:len(s.entries):len(s.entries)], coordination.Entry{Key: "nodes/late/1", Value: []byte("late:1 z 0.2")})
		clear(s.bytes)
		reader.Registry.ObserveNodes(joined, time.Now())
		for range 2 {
			s.runRound()
		}
		costs.join = s.sum()/nodes - 2*idle
		for _, node := range s.nodes {
			require.InDelta(t, nodes+1, node.Registry.Nodes(), 1)
		}
		return costs
	}
	list := bytes.Buffer{}
	require.NoError(t, Delta{Whole: true, Changed: newServers(servers)}.encode(&list))
	small, large := measure(1000), measure(2000)
	t.Logf("full list of %d bytes; 1,000 nodes: %+v, 2,000 nodes: %+v", list.Len(), small, large)

	require.Less(t, small.start, 5*list.Len(), "each node receives the list once, and relays send it")
	require.Less(t, float64(large.start), 1.3*float64(small.start))
	require.Less(t, float64(large.startBusiest), 1.2*math.Sqrt2*float64(small.startBusiest))
	for _, costs := range []cost{small, large} {
		require.Less(t, costs.change, 2000, "a removed server is sent as a delta")
		require.Less(t, costs.relayLost, list.Len()/2, "the next relay continues from the cursor")
		require.Less(t, costs.join, 3*10_000, "a joining node changes the node count, and the view if it is in it")
	}
}

func (s *simFleet) sum() int {
	sum := 0
	for _, n := range s.bytes {
		sum += n
	}
	return sum
}
