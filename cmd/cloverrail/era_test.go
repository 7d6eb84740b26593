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

// The shared store comes back from a copy that is some seconds old: what nodes wrote since is
// gone, their leases too, and revisions are given out again. What operators and servers wrote is
// written again a little later.
//
// What hung on a store that loses nothing: the place in the list of servers (a revision that only
// grows), the fencing token of who orders servers, the age of a duty's entry, a node's
// registration, and which declaration is the newest.
//
// Proof: the store goes back behind a change of each of these, and each has to work again.

// laterRevisions is by how many revisions the store goes back.
const laterRevisions = 300

// spend writes as much into the store as lies between a copy and the present.
func spend(store *standin.Store) {
	for i := range laterRevisions {
		store.Put("op/unused", i)
	}
}

// allServe checks that each node answers with a key at once, and refuses another one as unknown.
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

// until waits until something holds at all nodes.
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
	require.Less(t, time.Since(went), contact, "all nodes follow the list again")
	fleet.allServe(key, removed)
	fleet.store.NameVersion(model, 3)
	named := time.Now()
	fleet.until(loaded(3))
	require.Less(t, time.Since(named), contact+time.Second, "orders go out again, under a token that servers take")
	fleet.store.Put(standin.KeyConfiguration, declared(4, key))
	fleet.until(inForce(4))
	for _, n := range fleet.nodes {
		require.Equal(t, len(fleet.nodes), n.process.registry.Nodes(), "nobody is taken for lost whose registration the store has lost")
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
