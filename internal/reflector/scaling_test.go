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
func manyServers(n int) []backend.Server {
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
func (c *crowd) begin(servers []backend.Server) {
	reader := c.first()
	reader.takeServers(wholeList(servers, int64(len(servers)), time.Now()))
	reader.advance(catalog.Reading{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}})
}

func (c *crowd) first() *crowdNode {
	for _, node := range c.nodes {
		if node.Registry.Rank() == 0 {
			return node
		}
	}
	return nil
}

// outdatedNodes counts the nodes whose list differs from the first reader's.
func (c *crowd) behind() int {
	sum, behind := c.first().Feed.servers.sum, 0
	for _, node := range c.nodes {
		if node.Feed.servers.sum != sum {
			behind++
		}
	}
	return behind
}

// runUntilCurrent runs rounds until no node is outdated, and returns their number. The byte
// counters then hold the traffic of these rounds only.
func (c *crowd) rounds() int {
	clear(c.bytes)
	for n := 0; ; n++ {
		if c.behind() == 0 {
			return n
		}
		require.Less(c.t, n, 8)
		c.round()
	}
}

func (c *crowd) busiest() int {
	most := 0
	for _, n := range c.bytes {
		most = max(most, n)
	}
	return most
}

// Measures the traffic of a fleet's start, a server change, a switch of all upstreams and a
// joining node, at 1,000 and at 2,000 nodes. Each node receives the full list once, from its
// relay, so that the busiest node sends it to a number of nodes that grows with the square root
// of the fleet. Later changes are sent as deltas.
func TestWhatAFleetIsToldGrowsWithItsRootAtOneNode(t *testing.T) {
	t.Parallel()
	const servers = 200
	type cost struct{ start, startBusiest, change, relayLost, join int }
	of := func(nodes int) cost {
		c := newLargeCrowd(t, nodes, 7)
		c.begin(manyServers(servers))
		require.LessOrEqual(t, c.rounds(), 3)
		costs := cost{start: c.sum() / nodes, startBusiest: c.busiest()}

		rest := int(c.perRound(2))
		reader := c.first()
		reader.takeServers(listing{gone: []string{"i-0000000003"}, at: at(servers + 1), readAt: time.Now()})
		turns := c.rounds()
		costs.change = c.sum()/nodes - turns*rest

		// All nodes switch to another upstream.
		clear(c.bytes)
		for _, node := range c.nodes {
			node.turn++
		}
		c.round()
		costs.relayLost = c.sum()/nodes - rest

		joined := append(c.entries[:len(c.entries):len(c.entries)], coordination.Entry{Key: "nodes/late/1", Value: []byte("late:1 z 0.2")})
		clear(c.bytes)
		reader.Registry.ObserveNodes(joined, time.Now())
		for range 2 {
			c.round()
		}
		costs.join = c.sum()/nodes - 2*rest
		for _, node := range c.nodes {
			require.InDelta(t, nodes+1, node.Registry.Nodes(), 1)
		}
		return costs
	}
	list := bytes.Buffer{}
	require.NoError(t, Delta{Whole: true, Changed: manyServers(servers)}.encode(&list))
	small, large := of(1000), of(2000)
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

func (c *crowd) sum() int {
	sum := 0
	for _, n := range c.bytes {
		sum += n
	}
	return sum
}
