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
func newMember(name, zone string, cores float64) *Registry {
	return &Registry{Prefix: "f/nodes/", Name: name, Life: "1", Zone: zone, Address: "at-" + name, Room: cores, Resized: func(int) {}}
}

// drawFleet returns nodes of one or two sizes in three zones, and their registrations in key
// order.
func drawFleet(t *rapid.T) (nodes []*Registry, entries []coordination.Entry) {
	for i := range rapid.IntRange(1, 300).Draw(t, "nodes") {
		cores := 0.2
		if rapid.IntRange(0, 9).Draw(t, "size") == 0 {
			cores = 0.8
		}
		node := newMember(fmt.Sprint("n", i), string(rune('a'+i%3)), cores)
		nodes = append(nodes, node)
		entries = append(entries, coordination.Entry{Key: node.key(), Value: []byte(node.place().String())})
	}
	slices.SortFunc(entries, func(a, b coordination.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return nodes, entries
}

// A node that knows only the view has the same role, and polls the same nodes, as if it knew all
// nodes.
func TestTheViewOfTheFirstNodesIsEnough(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes, entries := drawFleet(t)
		reader := newMember(nodes[0].Name, nodes[0].Zone, nodes[0].Room)
		reader.ObserveNodes(entries, time.Unix(1000, 0))
		view, count := reader.NewerThan(0)
		require.Equal(t, len(entries), count)
		node := rapid.SampledFrom(nodes).Draw(t, "node")
		all := newMember(node.Name, node.Zone, node.Room)
		all.ObserveNodes(entries, time.Unix(1000, 0))
		require.False(t, node.ObserveView(nil, 0), "a node without a view sends nothing")
		require.True(t, node.ObserveView(view, count))
		require.Equal(t, all.Nodes(), node.Nodes())
		require.Equal(t, all.Relays(), node.Relays())
		require.Equal(t, all.Relaying(), node.Relaying())
		require.Equal(t, all.Reading(), node.Reading())
		require.Equal(t, all.ReaderAddresses(), node.ReaderAddresses())
		require.ElementsMatch(t, all.RelayAddresses(), node.RelayAddresses())
		if all.Relaying() {
			require.Equal(t, all.Rank(), node.Rank())
			require.Equal(t, all.Ownership(), node.Ownership())
		}
		passed, _ := node.NewerThan(0)
		require.Equal(t, view.First, passed.First, "the view is forwarded unchanged")
		same, count := reader.NewerThan(node.Digest())
		require.Nil(t, same, "the same view is not sent again")
		require.Equal(t, len(entries), count)
	})
}

// The first page of a long list shows a starting node the relays, and the readers their own role.
// All other nodes wait until they receive the view.
func TestTheFirstPageShowsTheRelays(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes, entries := drawFleet(t)
		page := entries[:min(len(entries), rapid.IntRange(40, 200).Draw(t, "page"))]
		if len(page) == len(entries) {
			return
		}
		begin := time.Unix(1000, 0)
		for _, node := range nodes {
			all := newMember(node.Name, node.Zone, node.Room)
			all.ObserveNodes(entries, begin)
			// At the start of a fleet, the first node finds no registrations yet.
			node.ObserveOldNodes(nil, begin)
			told, count := node.NewerThan(1)
			require.Nil(t, told, "stale data is not passed on")
			require.Zero(t, count)
			node.ObserveFirst(page, begin)
			require.Equal(t, node.Rank() >= viewRelays*node.Relays(), node.Outer())
			require.Subset(t, all.RelayAddresses(), node.RelayAddresses())
			require.NotEmpty(t, node.RelayAddresses())
			require.Equal(t, all.Reading(), node.Settled() && node.Reading())
			if node.Settled() {
				require.True(t, all.Relaying())
				require.Equal(t, all.Rank(), node.Rank())
			}
		}
	})
}

// The size of the view grows with the square root of the fleet: some 10 kB at 1,000 and at 2,000
// nodes. Sending all registrations would take 100 kB and more for each node at each change.
func TestTheViewGrowsWithTheRootOfTheFleet(t *testing.T) {
	size := func(count int) int {
		var entries []coordination.Entry
		for i := range count {
			node := newMember(fmt.Sprint("node-", i), "a", 0.2)
			entries = append(entries, coordination.Entry{Key: node.key(), Value: []byte(node.place().String())})
		}
		reader := newMember("node-0", "a", 0.2)
		reader.ObserveNodes(entries, time.Unix(1000, 0))
		view, _ := reader.NewerThan(0)
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

func TestAnEntryOfAnEarlierVersionIsRead(t *testing.T) {
	registry := newMember("a", "z", 0.2)
	for key, parts := range map[string][2]string{
		"f/nodes/b/7":                  {"b", "7"},
		"f/nodes/999799-00ff/b/7":      {"b", "7"},
		newMember("c", "z", 0.2).key(): {"c", "1"},
		"f/nodes/b":                    {"b", ""},
		newMember("c", "z", 1e9).key(): {"c", "1"},
	} {
		name, life := registry.parseKey(key)
		require.Equal(t, parts, [2]string{name, life}, key)
	}
}

// The published view shows a starting node which nodes to poll, and a relay its own role. It is
// published once for as long as it does not change. A view that cannot be decoded is ignored.
func TestAPublishedViewShowsANodeItsPlace(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		nodes, entries := drawFleet(t)
		begin := time.Unix(1000, 0)
		var published [][]byte
		for _, node := range nodes {
			reader := newMember(node.Name, node.Zone, node.Room)
			reader.Publish = func(_ context.Context, view []byte) error {
				published = append(published, view)
				return nil
			}
			reader.ObserveNodes(entries, begin)
			reader.publish(t.Context())
			require.Empty(t, published, "ranks may change during the bootstrap")
			reader.ObserveNodes(entries, begin.Add(gathering))
			reader.publish(t.Context())
			reader.publish(t.Context())
			require.Len(t, published, map[bool]int{true: 1}[reader.Rank() == 0])
			if len(published) > 0 {
				break
			}
		}
		require.Len(t, published, 1)
		node := rapid.SampledFrom(nodes).Draw(t, "node")
		all := newMember(node.Name, node.Zone, node.Room)
		all.ObserveNodes(entries, begin)
		require.Error(t, node.ObservePublished(published[0][:len(published[0])/2], begin))
		require.Empty(t, node.RelayAddresses())
		require.NoError(t, node.ObservePublished(published[0], begin))
		require.Equal(t, all.Relaying(), node.Settled())
		require.ElementsMatch(t, all.RelayAddresses(), node.RelayAddresses())
		if node.Settled() {
			require.Equal(t, all.Rank(), node.Rank())
		}
		view, count := node.NewerThan(0)
		require.Nil(t, view, "stale data is not passed on")
		require.Zero(t, count)
	})
}
