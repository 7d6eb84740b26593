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

func TestNodesCountEachOtherThroughOutagesAndDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := atomic.Bool{}
		store := storestub.New(time.Now, func(string) storestub.Fault {
			if down.Load() {
				return storestub.Refused
			}
			return storestub.None
		})
		ctx, stop := context.WithCancel(context.Background())
		registry := func(ctx context.Context, name string) *Registry {
			registry := &Registry{Store: store, Prefix: "f/nodes/", Name: name, Life: "1", Resized: func(int) {}}
			go registry.Run(ctx)
			return registry
		}
		one := registry(ctx, "a")
		dying, kill := context.WithCancel(ctx)
		registry(dying, "b")
		registry(ctx, "c")
		count := func() int {
			one.ObserveNodes(store.Entries("f/nodes/"), time.Now())
			return one.Nodes()
		}
		time.Sleep(time.Second)
		require.Equal(t, 3, count())
		down.Store(true)
		time.Sleep(3 * registrationLife)
		down.Store(false)
		time.Sleep(registrationLife)
		require.Equal(t, 3, count(), "registered again after an outage longer than the TTL")
		kill()
		time.Sleep(registrationLife)
		require.Equal(t, 2, count())
		stop()
		synctest.Wait()
		require.Empty(t, store.Entries("f/nodes/"), "a planned shutdown deregisters the node")
		require.Equal(t, 1, count(), "a node counts itself")
	})
}

func TestAKeyIsDatedByItsRevision(t *testing.T) {
	registry := &Registry{Prefix: "f/nodes/", Resized: func(int) {}}
	begin := time.Unix(1000, 0)
	entry := coordination.Entry{Key: "f/state", Revision: 4}
	registry.ObserveDuties([]coordination.Entry{entry}, begin)
	registry.ObserveDuties([]coordination.Entry{entry}, begin.Add(time.Second))
	require.Equal(t, begin, registry.FirstSeen("f/state", entry.Position()))
	require.Zero(t, registry.FirstSeen("f/state", coordination.Position{Revision: 5}))
	require.Zero(t, registry.FirstSeen("f/state", coordination.Position{Era: 1, Revision: 4}), "the restored store has used the revision again")
	require.True(t, registry.Exists("f/state"))
	registry.ObserveDuties(nil, begin)
	require.False(t, registry.Exists("f/state"))
}

func TestPlacesAreReliedOnOnceTheFleetHasGathered(t *testing.T) {
	begin := time.Unix(1000, 0)
	own := coordination.Entry{Key: "f/nodes/b/2", Value: []byte("10.0.0.2:1")}
	other := coordination.Entry{Key: "f/nodes/a/1", Value: []byte("10.0.0.1:1")}
	newNode := func() *Registry {
		return &Registry{Prefix: "f/nodes/", Name: "b", Life: "2", Address: "10.0.0.2:1", Resized: func(int) {}}
	}
	first := newNode()
	first.ObserveNodes([]coordination.Entry{own}, begin)
	require.False(t, first.Settled(), "others may be about to register")
	first.ObserveNodes([]coordination.Entry{other, own}, begin.Add(gathering))
	require.True(t, first.Settled())
	again := newNode()
	again.ObserveNodes([]coordination.Entry{other, {Key: "f/nodes/b/1"}}, begin)
	require.True(t, again.Settled(), "the fleet is already running")
	alone := newNode()
	alone.ObserveNodes(nil, begin)
	alone.ObserveNodes(nil, begin.Add(longestGathering))
	require.True(t, alone.Settled(), "a node that cannot register must serve all the same")
}

func TestTheFirstNodesAreTheSameForAllAndNearOnesComeFirst(t *testing.T) {
	entries := []coordination.Entry{}
	names := []string{}
	for number := range 30 {
		zone := string(rune('a' + number%3))
		name := fmt.Sprint("node-", zone, "-", number)
		names = append(names, name)
		entries = append(entries, coordination.Entry{Key: "f/nodes/" + name + "/1", Value: []byte("addr-" + name + " " + zone)})
	}
	ranks := map[int]bool{}
	first := map[string]bool{}
	begins := map[string]bool{}
	for index, name := range names {
		zone := string(rune('a' + index%3))
		registry := &Registry{Prefix: "f/nodes/", Name: name, Zone: zone, Address: "addr-" + name, Resized: func(int) {}}
		registry.ObserveNodes(entries, time.Unix(1000, 0))
		ranks[registry.Rank()] = true
		addresses := registry.RelayAddresses()
		require.Len(t, addresses, fewestRelays)
		require.Contains(t, addresses[0], "-"+zone+"-", "every zone has a relay")
		begins[addresses[0]] = true
		for _, address := range addresses {
			first[address] = true
		}
	}
	require.Greater(t, len(begins), 3, "nodes of one zone prefer different relays")
	require.Len(t, ranks, 30, "ranks are unique")
	require.Len(t, first, fewestRelays, "all nodes agree on the relays")
}

func TestOneNodeOwnsAThingAndItStandsInItsZoneIfAnyDoes(t *testing.T) {
	entries := []coordination.Entry{}
	for number := range 30 {
		zone := string(rune('a' + number%3))
		entries = append(entries, coordination.Entry{Key: fmt.Sprint("f/nodes/node-", zone, "-", number, "/1"), Value: []byte(fmt.Sprint("addr-", number, " ", zone))})
	}
	owners := map[string]bool{}
	for thing := range 20 {
		for _, zone := range []string{"a", "b", "c", "elsewhere"} {
			found := []string{}
			for number := range 30 {
				own := string(rune('a' + number%3))
				name := fmt.Sprint("node-", own, "-", number)
				registry := &Registry{Prefix: "f/nodes/", Name: name, Zone: own, Resized: func(int) {}}
				registry.ObserveNodes(entries, time.Unix(1000, 0))
				if registry.Owns(fmt.Sprint("thing-", thing), zone) {
					found = append(found, name)
					require.True(t, registry.Relaying())
					require.True(t, own == zone || zone == "elsewhere")
				}
			}
			require.Len(t, found, 1)
			owners[found[0]] = true
		}
	}
	require.Greater(t, len(owners), 6, "keys are spread over the relays")
}

func TestNodesWithRoomRelayIfThereAreEnough(t *testing.T) {
	relaysOf := func(small, large int) (relays, largeRelays int) {
		entries := []coordination.Entry{}
		room := map[string]float64{}
		for number := range small + large {
			name := fmt.Sprint("node-", number)
			room[name] = 0.2
			if number >= small {
				room[name] = 0.8
			}
			own := place{address: name, zone: "a", room: room[name]}
			entries = append(entries, coordination.Entry{Key: "f/nodes/" + name + "/1", Value: []byte(own.String())})
		}
		for name, cores := range room {
			registry := &Registry{Prefix: "f/nodes/", Name: name, Zone: "a", Address: name, Room: cores, Resized: func(int) {}}
			registry.ObserveNodes(entries, time.Unix(1000, 0))
			if registry.Relaying() {
				relays++
				if cores == 0.8 {
					largeRelays++
				}
			}
			require.LessOrEqual(t, Readers, registry.Relays())
		}
		return relays, largeRelays
	}
	for _, fleet := range []struct{ small, large, relays, largeRelays int }{
		{7, 0, 7, 0},
		{24, 0, fewestRelays, 0},
		{280, 15, 15, 15},
		{280, 40, 18, 18},
		{280, 4, 17, 4},
	} {
		relays, largeRelays := relaysOf(fleet.small, fleet.large)
		require.Equal(t, fleet.relays, relays, fleet)
		require.Equal(t, fleet.largeRelays, largeRelays, fleet)
	}
}

func TestAPlaceIsReadAsItWasRegistered(t *testing.T) {
	own := place{address: "10.0.0.1:7340", zone: "a", room: 0.192}
	require.Equal(t, own, parsePlace(own.String()))
	require.Equal(t, place{address: "10.0.0.1:7340", zone: "a"}, parsePlace("10.0.0.1:7340 a"), "an earlier version registered no cores")
	require.Equal(t, place{}, parsePlace(""))
	require.Equal(t, place{address: "x", zone: "a"}, parsePlace("x a much"))
}

// The bootstrap wait counts from the first read, even a stale one. A stale read completes the
// bootstrap of a restarted node only.
func TestAnOldReadingBeginsTheGathering(t *testing.T) {
	begin := time.Unix(1000, 0)
	node := newMember("b", "z", 0.2)
	entries := []coordination.Entry{{Key: node.key(), Value: []byte("at-b z 0.2")}, {Key: "f/nodes/a/1", Value: []byte("at-a z")}}
	node.ObserveOldNodes(nil, begin)
	node.ObserveOldNodes(entries, begin.Add(gathering))
	require.False(t, node.Settled(), "others may have registered since")
	node.ObserveNodes(entries, begin.Add(gathering))
	require.True(t, node.Settled())
	again := newMember("b", "z", 0.2)
	again.Life = "2"
	again.ObserveOldNodes(entries, begin)
	require.True(t, again.Settled())
}
