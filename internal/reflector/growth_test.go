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

// manyServers returns n servers as a store that came up to a revision holds them.
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

// begin lets the first reader read the store.
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

// behind counts the nodes that do not have the list as the first reader has it.
func (c *crowd) behind() int {
	sum, behind := c.first().Feed.servers.sum, 0
	for _, node := range c.nodes {
		if node.Feed.servers.sum != sum {
			behind++
		}
	}
	return behind
}

// rounds lets all ask until nobody is behind, and returns how often that was. It counts the
// bytes of that alone.
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

// What the start of a fleet, a change of a server, a change of relay and a node that joins
// cost, at 1,000 nodes and at twice as many: the list goes once to each node, from its relay,
// so that the busiest node tells it to the root of the fleet, and whatever comes later is told
// by itself.
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

		// All leave their relay for another one.
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
	t.Logf("list of %d bytes; 1,000 nodes: %+v, 2,000 nodes: %+v", list.Len(), small, large)

	require.Less(t, small.start, 5*list.Len(), "each node is told the list once, and the relays tell it")
	require.Less(t, float64(large.start), 1.3*float64(small.start))
	require.Less(t, float64(large.startBusiest), 1.2*math.Sqrt2*float64(small.startBusiest))
	for _, costs := range []cost{small, large} {
		require.Less(t, costs.change, 2000, "a server that leaves is told alone")
		require.Less(t, costs.relayLost, list.Len()/2, "the next relay goes on where the one before ended")
		require.Less(t, costs.join, 3*10_000, "a node that joins is told by its number, and by the view if it is in it")
	}
}

func (c *crowd) sum() int {
	sum := 0
	for _, n := range c.bytes {
		sum += n
	}
	return sum
}
