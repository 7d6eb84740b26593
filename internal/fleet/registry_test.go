package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/lab/storestub"
)

func TestNodeCountSurvivesOutagesAndNodeLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := atomic.Bool{}
		store := storestub.New(time.Now, func(string) storestub.Fault {
			if down.Load() {
				return storestub.FaultUnavailable
			}
			return storestub.FaultNone
		})
		ctx, stop := context.WithCancel(context.Background())
		registry := func(ctx context.Context, name string) *Registry {
			registry := &Registry{Store: store, Prefix: "f/nodes/", Name: name, Incarnation: "1", OnResize: func(int) {}}
			go registry.Run(ctx)
			return registry
		}
		observer := registry(ctx, "a")
		failingCtx, kill := context.WithCancel(ctx)
		registry(failingCtx, "b")
		registry(ctx, "c")
		count := func() int {
			observer.ObserveNodes(store.Entries("f/nodes/"), time.Now())
			return observer.Nodes()
		}
		time.Sleep(time.Second)
		require.Equal(t, 3, count())
		down.Store(true)
		time.Sleep(3 * registrationTTL)
		down.Store(false)
		time.Sleep(registrationTTL)
		require.Equal(t, 3, count(), "registered again after an outage longer than the TTL")
		kill()
		time.Sleep(registrationTTL)
		require.Equal(t, 2, count())
		stop()
		synctest.Wait()
		require.Empty(t, store.Entries("f/nodes/"), "a planned shutdown deregisters the node")
		require.Equal(t, 1, count(), "a node counts itself")
	})
}

func TestFirstSeenMatchesKeyPosition(t *testing.T) {
	registry := &Registry{Prefix: "f/nodes/", OnResize: func(int) {}}
	begin := time.Unix(1000, 0)
	entry := coordination.Entry{Key: "f/state", Revision: 4}
	registry.ObserveDuties([]coordination.Entry{entry}, begin)
	registry.ObserveDuties([]coordination.Entry{entry}, begin.Add(time.Second))
	require.Equal(t, begin, registry.FirstSeen("f/state", entry.Position()))
	require.Zero(t, registry.FirstSeen("f/state", coordination.Position{Revision: 5}))
	require.Zero(t, registry.FirstSeen("f/state", coordination.Position{Era: coordination.EraOf(1), Revision: 4}), "the restored store has used the revision again")
	require.True(t, registry.Exists("f/state"))
	registry.ObserveDuties(nil, begin)
	require.False(t, registry.Exists("f/state"))
}

func TestBootstrapWaitsForOtherNodes(t *testing.T) {
	begin := time.Unix(1000, 0)
	own := coordination.Entry{Key: "f/nodes/b/2", Value: []byte("10.0.0.2:1")}
	other := coordination.Entry{Key: "f/nodes/a/1", Value: []byte("10.0.0.1:1")}
	newNode := func() *Registry {
		return &Registry{Prefix: "f/nodes/", Name: "b", Incarnation: "2", Address: "10.0.0.2:1", OnResize: func(int) {}}
	}
	first := newNode()
	first.ObserveNodes([]coordination.Entry{own}, begin)
	require.False(t, first.Bootstrapped(), "others may be about to register")
	first.ObserveNodes([]coordination.Entry{other, own}, begin.Add(bootstrapWait))
	require.True(t, first.Bootstrapped())
	restarted := newNode()
	restarted.ObserveNodes([]coordination.Entry{other, {Key: "f/nodes/b/1"}}, begin)
	require.True(t, restarted.Bootstrapped(), "the fleet is already running")
	unregistered := newNode()
	unregistered.ObserveNodes(nil, begin)
	unregistered.ObserveNodes(nil, begin.Add(maxBootstrapWait))
	require.True(t, unregistered.Bootstrapped(), "a node that cannot register must serve all the same")
}

func TestRelaysAgreeAcrossNodesAndLocalZoneComesFirst(t *testing.T) {
	entries := []coordination.Entry{}
	names := []string{}
	for number := range 30 {
		zone := string(rune('a' + number%3))
		name := fmt.Sprint("node-", zone, "-", number)
		names = append(names, name)
		entries = append(entries, coordination.Entry{Key: "f/nodes/" + name + "/1", Value: []byte("addr-" + name + " " + zone)})
	}
	ranks := map[int]bool{}
	relays := map[string]bool{}
	preferred := map[string]bool{}
	for index, name := range names {
		zone := string(rune('a' + index%3))
		registry := &Registry{Prefix: "f/nodes/", Name: name, Zone: zone, Address: "addr-" + name, OnResize: func(int) {}}
		registry.ObserveNodes(entries, time.Unix(1000, 0))
		ranks[registry.Rank()] = true
		addresses := registry.RelayAddresses()
		require.Len(t, addresses, minRelays)
		require.Contains(t, addresses[0], "-"+zone+"-", "every zone has a relay")
		preferred[addresses[0]] = true
		for _, address := range addresses {
			relays[address] = true
		}
	}
	require.Greater(t, len(preferred), 3, "nodes of one zone prefer different relays")
	require.Len(t, ranks, 30, "ranks are unique")
	require.Len(t, relays, minRelays, "all nodes agree on the relays")
}

func TestKeyHasOneOwnerInItsZone(t *testing.T) {
	entries := []coordination.Entry{}
	for number := range 30 {
		zone := string(rune('a' + number%3))
		entries = append(entries, coordination.Entry{Key: fmt.Sprint("f/nodes/node-", zone, "-", number, "/1"), Value: []byte(fmt.Sprint("addr-", number, " ", zone))})
	}
	owners := map[string]bool{}
	for key := range 20 {
		for _, zone := range []string{"a", "b", "c", "elsewhere"} {
			found := []string{}
			for number := range 30 {
				nodeZone := string(rune('a' + number%3))
				name := fmt.Sprint("node-", nodeZone, "-", number)
				registry := &Registry{Prefix: "f/nodes/", Name: name, Zone: nodeZone, OnResize: func(int) {}}
				registry.ObserveNodes(entries, time.Unix(1000, 0))
				if registry.Owns(fmt.Sprint("thing-", key), zone) {
					found = append(found, name)
					require.True(t, registry.IsRelay())
					require.True(t, nodeZone == zone || zone == "elsewhere")
				}
			}
			require.Len(t, found, 1)
			owners[found[0]] = true
		}
	}
	require.Greater(t, len(owners), 6, "keys are spread over the relays")
}

func TestLargeNodesRelayWhenSufficient(t *testing.T) {
	relaysOf := func(small, large int) (relays, largeRelays int) {
		entries := []coordination.Entry{}
		coresOf := map[string]float64{}
		for number := range small + large {
			name := fmt.Sprint("node-", number)
			coresOf[name] = 0.2
			if number >= small {
				coresOf[name] = 0.8
			}
			own := nodeInfo{address: name, zone: "a", cores: coresOf[name]}
			entries = append(entries, coordination.Entry{Key: "f/nodes/" + name + "/1", Value: []byte(own.String())})
		}
		for name, cores := range coresOf {
			registry := &Registry{Prefix: "f/nodes/", Name: name, Zone: "a", Address: name, Cores: cores, OnResize: func(int) {}}
			registry.ObserveNodes(entries, time.Unix(1000, 0))
			if registry.IsRelay() {
				relays++
				if cores == 0.8 {
					largeRelays++
				}
			}
			require.LessOrEqual(t, ReaderCount, registry.Relays())
		}
		return relays, largeRelays
	}
	for _, fleet := range []struct{ small, large, relays, largeRelays int }{
		{7, 0, 7, 0},
		{24, 0, minRelays, 0},
		{280, 15, 15, 15},
		{280, 40, 18, 18},
		{280, 4, 17, 4},
	} {
		relays, largeRelays := relaysOf(fleet.small, fleet.large)
		require.Equal(t, fleet.relays, relays, fleet)
		require.Equal(t, fleet.largeRelays, largeRelays, fleet)
	}
}

func TestNodeInfoRoundTrip(t *testing.T) {
	info := nodeInfo{address: "10.0.0.1:7340", zone: "a", cores: 0.192}
	require.Equal(t, info, parseNodeInfo(info.String()))
	require.Equal(t, nodeInfo{address: "10.0.0.1:7340", zone: "a"}, parseNodeInfo("10.0.0.1:7340 a"), "an earlier version registered no cores")
	require.Equal(t, nodeInfo{}, parseNodeInfo(""))
	require.Equal(t, nodeInfo{address: "x", zone: "a"}, parseNodeInfo("x a much"))
}

// The bootstrap wait counts from the first read, even a stale one. A stale read completes the
// bootstrap of a restarted node only.
func TestStaleReadStartsBootstrapWait(t *testing.T) {
	begin := time.Unix(1000, 0)
	node := newTestRegistry("b", "z", 0.2)
	entries := []coordination.Entry{{Key: node.registrationKey(), Value: []byte("at-b z 0.2")}, {Key: "f/nodes/a/1", Value: []byte("at-a z")}}
	node.ObserveStaleNodes(nil, begin)
	node.ObserveStaleNodes(entries, begin.Add(bootstrapWait))
	require.False(t, node.Bootstrapped(), "others may have registered since")
	node.ObserveNodes(entries, begin.Add(bootstrapWait))
	require.True(t, node.Bootstrapped())
	restarted := newTestRegistry("b", "z", 0.2)
	restarted.Incarnation = "2"
	restarted.ObserveStaleNodes(entries, begin)
	require.True(t, restarted.Bootstrapped())
}

// Guards against a node that was killed and started again at another address being called at its former
// address until its former registration expires.
func TestLatestRegistrationOfNodeCounts(t *testing.T) {
	former := coordination.Entry{Key: "f/nodes/b/2", Value: []byte("former z 1"), Era: coordination.EraOf(1), Revision: 5}
	latest := coordination.Entry{Key: "f/nodes/b/1", Value: []byte("latest z 1"), Era: coordination.EraOf(1), Revision: 9}
	for _, entries := range [][]coordination.Entry{{former, latest}, {latest, former}} {
		registry := newTestRegistry("a", "z", 1)
		registry.ObserveNodes(entries, time.Unix(1000, 0))
		require.Equal(t, []Node{{Name: "b", Address: "latest", Zone: "z"}}, registry.OtherNodes())
		require.Equal(t, 2, registry.Nodes())
	}
}
