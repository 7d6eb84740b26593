package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/property"
)

// newTestRegistry returns the registry of one node.
func newTestRegistry(name, zone string, cores float64) *Registry {
	return &Registry{Prefix: "f/nodes/", Name: name, Incarnation: "1", Zone: zone, Address: "at-" + name, Cores: cores, OnResize: func(int) {}}
}

// drawFleet returns nodes of one or two sizes in three zones, and their registrations in key
// order.
func drawFleet(t *rapid.T) (nodes []*Registry, entries []coordination.Entry) {
	for i := range rapid.IntRange(1, 300).Draw(t, "nodes") {
		cores := 0.2
		if rapid.IntRange(0, 9).Draw(t, "size") == 0 {
			cores = 0.8
		}
		node := newTestRegistry(fmt.Sprint("n", i), string(rune('a'+i%3)), cores)
		nodes = append(nodes, node)
		entries = append(entries, coordination.Entry{Key: node.registrationKey(), Value: []byte(node.ownInfo().String())})
	}
	slices.SortFunc(entries, func(a, b coordination.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return nodes, entries
}

// A node that knows only the view has the same role, and polls the same nodes, as if it knew all
// nodes.
func TestPartialViewYieldsSameRolesAsFullList(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes, entries := drawFleet(t)
		reader := newTestRegistry(nodes[0].Name, nodes[0].Zone, nodes[0].Cores)
		reader.ObserveNodes(entries, time.Unix(1000, 0))
		view, count := reader.ViewIfChanged(0)
		require.Equal(t, len(entries), count)
		node := rapid.SampledFrom(nodes).Draw(t, "node")
		fullyInformed := newTestRegistry(node.Name, node.Zone, node.Cores)
		fullyInformed.ObserveNodes(entries, time.Unix(1000, 0))
		require.False(t, node.ObserveView(nil, 0), "a node without a view sends nothing")
		require.True(t, node.ObserveView(view, count))
		require.Equal(t, fullyInformed.Nodes(), node.Nodes())
		require.Equal(t, fullyInformed.Relays(), node.Relays())
		require.Equal(t, fullyInformed.IsRelay(), node.IsRelay())
		require.Equal(t, fullyInformed.IsReader(), node.IsReader())
		require.Equal(t, fullyInformed.ReaderAddresses(), node.ReaderAddresses())
		require.ElementsMatch(t, fullyInformed.RelayAddresses(), node.RelayAddresses())
		if fullyInformed.IsRelay() {
			require.Equal(t, fullyInformed.Rank(), node.Rank())
			require.Equal(t, fullyInformed.Ownership(), node.Ownership())
		}
		forwarded, _ := node.ViewIfChanged(0)
		require.Equal(t, view.First, forwarded.First, "the view is forwarded unchanged")
		unchanged, count := reader.ViewIfChanged(node.ViewDigest())
		require.Nil(t, unchanged, "the same view is not sent again")
		require.Equal(t, len(entries), count)
	})
}

// The first page of a long list shows a starting node the relays, and the readers their own role.
// All other nodes wait until they receive the view.
func TestFirstPageIdentifiesRelays(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes, entries := drawFleet(t)
		page := entries[:min(len(entries), rapid.IntRange(40, 200).Draw(t, "page"))]
		if len(page) == len(entries) {
			return
		}
		begin := time.Unix(1000, 0)
		for _, node := range nodes {
			fullyInformed := newTestRegistry(node.Name, node.Zone, node.Cores)
			fullyInformed.ObserveNodes(entries, begin)
			// At the start of a fleet, the first node finds no registrations yet.
			node.ObserveStaleNodes(nil, begin)
			view, count := node.ViewIfChanged(1)
			require.Nil(t, view, "stale data is not passed on")
			require.Zero(t, count)
			node.ObserveFirstPage(page, begin)
			require.Equal(t, node.Rank() >= viewRelayFactor*node.Relays(), node.OutsideView())
			require.Subset(t, fullyInformed.RelayAddresses(), node.RelayAddresses())
			require.NotEmpty(t, node.RelayAddresses())
			require.Equal(t, fullyInformed.IsReader(), node.Bootstrapped() && node.IsReader())
			if node.Bootstrapped() {
				require.True(t, fullyInformed.IsRelay())
				require.Equal(t, fullyInformed.Rank(), node.Rank())
			}
		}
	})
}

// The size of the view grows with the square root of the fleet: some 10 kB at 1,000 and at 2,000
// nodes. Sending all registrations would take 100 kB and more for each node at each change.
func TestViewSizeGrowsWithSquareRootOfFleet(t *testing.T) {
	size := func(count int) int {
		var entries []coordination.Entry
		for i := range count {
			node := newTestRegistry(fmt.Sprint("node-", i), "a", 0.2)
			entries = append(entries, coordination.Entry{Key: node.registrationKey(), Value: []byte(node.ownInfo().String())})
		}
		reader := newTestRegistry("node-0", "a", 0.2)
		reader.ObserveNodes(entries, time.Unix(1000, 0))
		view, _ := reader.ViewIfChanged(0)
		bytes := 0
		for _, entry := range view.First {
			bytes += len(entry.Key) + len(entry.Value)
		}
		t.Logf("%d nodes: %d entries, %d bytes", count, len(view.First), bytes)
		return bytes
	}
	small, large := size(1000), size(2000)
	require.Less(t, large, 10_000)
	require.Less(t, float64(large), 1.5*float64(small))
}

func TestParseKeyAcceptsEarlierFormats(t *testing.T) {
	registry := newTestRegistry("a", "z", 0.2)
	for key, expected := range map[string][2]string{
		"f/nodes/b/7":             {"b", "7"},
		"f/nodes/999799-00ff/b/7": {"b", "7"},
		newTestRegistry("c", "z", 0.2).registrationKey(): {"c", "1"},
		"f/nodes/b": {"b", ""},
		newTestRegistry("c", "z", 1e9).registrationKey(): {"c", "1"},
	} {
		name, incarnation := registry.parseKey(key)
		require.Equal(t, expected, [2]string{name, incarnation}, key)
	}
}

// The published view shows a starting node which nodes to poll, and a relay its own role. It is
// published once for as long as it does not change. A view that cannot be decoded is ignored.
func TestPublishedViewGivesStartingNodeItsRank(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes, entries := drawFleet(t)
		begin := time.Unix(1000, 0)
		var published [][]byte
		for _, node := range nodes {
			reader := newTestRegistry(node.Name, node.Zone, node.Cores)
			reader.PublishView = func(_ context.Context, view []byte) error {
				published = append(published, view)
				return nil
			}
			reader.ObserveNodes(entries, begin)
			reader.publishIfChanged(t.Context())
			require.Empty(t, published, "ranks may change during the bootstrap")
			reader.ObserveNodes(entries, begin.Add(bootstrapWait))
			reader.publishIfChanged(t.Context())
			reader.publishIfChanged(t.Context())
			require.Len(t, published, map[bool]int{true: 1}[reader.Rank() == 0])
			if len(published) > 0 {
				break
			}
		}
		require.Len(t, published, 1)
		node := rapid.SampledFrom(nodes).Draw(t, "node")
		fullyInformed := newTestRegistry(node.Name, node.Zone, node.Cores)
		fullyInformed.ObserveNodes(entries, begin)
		require.Error(t, node.ObservePublishedView(published[0][:len(published[0])/2], begin))
		require.Empty(t, node.RelayAddresses())
		require.NoError(t, node.ObservePublishedView(published[0], begin))
		require.Equal(t, fullyInformed.IsRelay(), node.Bootstrapped())
		require.ElementsMatch(t, fullyInformed.RelayAddresses(), node.RelayAddresses())
		if node.Bootstrapped() {
			require.Equal(t, fullyInformed.Rank(), node.Rank())
		}
		view, count := node.ViewIfChanged(0)
		require.Nil(t, view, "stale data is not passed on")
		require.Zero(t, count)
	})
}
