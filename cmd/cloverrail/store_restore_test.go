package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against state that assumes that the store never loses a write. The store is
// restored from a backup that is some seconds old: later writes and leases are lost, and revisions
// are reused. The position in the server list, the leader's fencing token, the age of a leader
// entry, a node's registration and the newest declaration each have to recover.

// lostRevisions is the number of revisions that a restore of the store loses.
const lostRevisions = 300

// writeRevisions makes lostRevisions writes, which a later restore loses.
func writeRevisions(store *standin.Store) {
	for i := range lostRevisions {
		store.Put("op/unused", i)
	}
}

// requireKeysApplied checks that each node serves a valid key and rejects a removed one.
func (f *fleetFixture) requireKeysApplied(valid, removed string) {
	for _, n := range f.nodes {
		with := func(key string) clientResult {
			return n.send(http.MethodGet, "/again/", "", func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) })
		}
		got := with(valid)
		require.Equal(f.t, http.StatusOK, got.status, got.body)
		require.Equal(f.t, http.StatusUnauthorized, with(removed).status, "a removed key stays removed")
	}
}

// waitUntil waits until a condition holds at all nodes.
func (f *fleetFixture) waitUntil(holds func(n *fixture) bool) {
	f.t.Helper()
	for _, n := range f.nodes {
		n.waitUntil(func() bool { return holds(n) })
	}
}

func TestFleetRecoversFromStoreRestore(t *testing.T) {
	for _, firstEra := range []int64{0, 1, 7} {
		t.Run(fmt.Sprint("first era ", firstEra), func(t *testing.T) { testFleetRecoversFromStoreRestore(t, firstEra) })
	}
}

func testFleetRecoversFromStoreRestore(t *testing.T, firstEra int64) {
	fleet := newFleetInEra(t, firstEra, 3, 2)
	const removed = "key-that-goes"
	fleet.store.Put(standin.KeyConfiguration, newDocument(2, key, removed))
	inForce := func(version int64) func(n *fixture) bool {
		return func(n *fixture) bool { return n.process.replica.Load().Snapshot.Version == version }
	}
	fleet.waitUntil(inForce(2))
	loaded := func(version int64) func(n *fixture) bool {
		return func(*fixture) bool {
			for _, m := range fleet.machines {
				if m.Model != "" && m.Incarnations()[0].Version() != version {
					return false
				}
			}
			return true
		}
	}
	backup := fleet.store.TakeSnapshot()
	writeRevisions(fleet.store)
	fleet.store.ReleaseVersion(model, 2)
	fleet.waitUntil(loaded(2))
	fleet.store.Put(standin.KeyConfiguration, newDocument(3, key))
	fleet.waitUntil(inForce(3))
	fleet.requireKeysApplied(key, removed)

	fleet.store.Restore(backup)
	restoredAt := time.Now()
	for time.Since(restoredAt) < time.Second {
		fleet.requireKeysApplied(key, removed)
	}
	fleet.store.Put(standin.KeyConfiguration, newDocument(3, key))
	for _, m := range fleet.machines {
		m.Register()
	}
	removedMachine := fleet.machines[0]
	fleet.store.Remove(standin.PrefixServers + removedMachine.Incarnations()[0].Instance)
	fleet.startMachine(&standin.Machine{Name: "new", Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
	fleet.waitUntil(func(n *fixture) bool {
		_, removedListed := n.listedServer(removedMachine.Incarnations()[0].Instance)
		_, newListed := n.listedServer("new-1")
		return newListed && !removedListed
	})
	require.Less(t, time.Since(restoredAt), propagationTime, "all nodes have the current server list again")
	fleet.requireKeysApplied(key, removed)
	fleet.store.ReleaseVersion(model, 3)
	releasedAt := time.Now()
	fleet.waitUntil(loaded(3))
	require.Less(t, time.Since(releasedAt), propagationTime+time.Second, "orders are sent again, with a fencing token that servers accept")
	fleet.store.Put(standin.KeyConfiguration, newDocument(4, key))
	fleet.waitUntil(inForce(4))
	for _, n := range fleet.nodes {
		require.Equal(t, len(fleet.nodes), n.process.registry.Nodes(), "no node counts as dead because the store lost its registration")
	}
	fleet.waitUntil(func(*fixture) bool { return len(fleet.store.Keys(platform.PrefixNodes)) == len(fleet.nodes) })
}

func TestResponseFromEarlierEraIsIgnored(t *testing.T) {
	fixture := newFixture(t).serve(plainServer("i-1", standin.Respond(http.StatusOK, "done")))
	backup := fixture.store.TakeSnapshot()
	fixture.store.Restore(backup)
	fixture.waitUntil(func() bool { return fixture.process.eras.Current() == coordination.EraOf(2) })
	for _, era := range []string{"1", "0", "-7", "soon", "", "2.5"} {
		fixture.store.ReportEra(era)
		fixture.store.Put(standin.PrefixServers+fmt.Sprint("i-late", era), plainServer("x", nil).Entry("plain", "127.0.0.1:9", "a", "ready"))
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, coordination.EraOf(2), fixture.process.eras.Current())
		require.Equal(t, http.StatusOK, fixture.make(idempotent).status)
	}
	fixture.store.ReportEra("3")
	fixture.waitUntil(func() bool { return fixture.process.eras.Current() == coordination.EraOf(3) })
}
