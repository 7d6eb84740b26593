package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against state that assumes that the store never loses a write. The store is
// restored from a backup that is some seconds old: later writes and leases are lost, and revisions
// are reused. The position in the server list, the leader's fencing token, the age of a leader
// entry, a node's registration and the newest declaration each have to recover.

// lostRevisions is the number of revisions that a restore of the store loses.
const laterRevisions = 300

// writeRevisions makes the writes that a later restore loses.
func spend(store *standin.Store) {
	for i := range laterRevisions {
		store.Put("op/unused", i)
	}
}

// requireKeysApplied checks that each node serves a valid key and rejects a removed one.
func (f *fleetFixture) allServe(valid, removed string) {
	for _, n := range f.nodes {
		with := func(key string) answer {
			return n.send(http.MethodGet, "/again/", "", func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) })
		}
		got := with(valid)
		require.Equal(f.t, http.StatusOK, got.status, got.body)
		require.Equal(f.t, http.StatusUnauthorized, with(removed).status, "a removed key stays removed")
	}
}

// waitUntil waits until a condition holds at all nodes.
func (f *fleetFixture) until(holds func(n *fixture) bool) {
	f.t.Helper()
	for _, n := range f.nodes {
		n.until(func() bool { return holds(n) })
	}
}

func TestAStoreThatGoesBackIsFollowed(t *testing.T) {
	fleet := newFleet(t, 3, 2)
	const removed = "key-that-goes"
	fleet.store.Put(standin.KeyConfiguration, declared(2, key, removed))
	inForce := func(version int64) func(n *fixture) bool {
		return func(n *fixture) bool { return n.process.belief.Load().Snapshot.Version == version }
	}
	fleet.until(inForce(2))
	loaded := func(version int64) func(n *fixture) bool {
		return func(*fixture) bool {
			for _, m := range fleet.machines {
				if m.Model != "" && m.Lives()[0].Version() != version {
					return false
				}
			}
			return true
		}
	}
	copied := fleet.store.Copy()
	spend(fleet.store)
	fleet.store.NameVersion(model, 2)
	fleet.until(loaded(2))
	fleet.store.Put(standin.KeyConfiguration, declared(3, key))
	fleet.until(inForce(3))
	fleet.allServe(key, removed)

	fleet.store.GoBack(copied)
	went := time.Now()
	for time.Since(went) < time.Second {
		fleet.allServe(key, removed)
	}
	fleet.store.Put(standin.KeyConfiguration, declared(3, key))
	for _, m := range fleet.machines {
		m.Enter()
	}
	leaver := fleet.machines[0]
	fleet.store.Remove(standin.PrefixServers + leaver.Lives()[0].Instance)
	fleet.start(&standin.Machine{Name: "new", Service: "plain", Manner: standin.Answers(http.StatusOK, "done")})
	fleet.until(func(n *fixture) bool {
		_, gone := n.known(leaver.Lives()[0].Instance)
		_, come := n.known("new-1")
		return come && !gone
	})
	require.Less(t, time.Since(went), contact, "all nodes have the current server list again")
	fleet.allServe(key, removed)
	fleet.store.NameVersion(model, 3)
	named := time.Now()
	fleet.until(loaded(3))
	require.Less(t, time.Since(named), contact+time.Second, "orders are sent again, with a fencing token that servers accept")
	fleet.store.Put(standin.KeyConfiguration, declared(4, key))
	fleet.until(inForce(4))
	for _, n := range fleet.nodes {
		require.Equal(t, len(fleet.nodes), n.process.registry.Nodes(), "no node counts as dead because the store lost its registration")
	}
	fleet.until(func(*fixture) bool { return len(fleet.store.Keys(platform.PrefixNodes)) == len(fleet.nodes) })
}

func TestAnAnswerOfAnEarlierEraChangesNothing(t *testing.T) {
	fixture := newFixture(t).serve(plainServer("i-1", standin.Answers(http.StatusOK, "done")))
	copied := fixture.store.Copy()
	fixture.store.GoBack(copied)
	fixture.until(func() bool { return fixture.process.eras.Current() == 2 })
	for _, told := range []string{"1", "0", "-7", "soon", "", "2.5"} {
		fixture.store.TellEra(told)
		fixture.store.Put(standin.PrefixServers+fmt.Sprint("i-late", told), plainServer("x", nil).Entry("plain", "127.0.0.1:9", "a", "ready"))
		time.Sleep(300 * time.Millisecond)
		require.EqualValues(t, 2, fixture.process.eras.Current())
		require.Equal(t, http.StatusOK, fixture.make(again).status)
	}
	fixture.store.TellEra("3")
	fixture.until(func() bool { return fixture.process.eras.Current() == 3 })
}
