package main

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// minServedShare is the share of requests that must be served beside entries of servers that nobody can use.
const minServedShare = 0.995

// foreignEntry is an entry of another writer, under the ID of no server.
type foreignEntry struct {
	id     string
	change func(entry *standin.Entry)
}

// unusableIDs returns entries whose IDs cannot be sent as the value of a header, or arrive as another value.
func unusableIDs() []foreignEntry {
	var entries []foreignEntry
	for _, id := range []string{"", "x\n", "\rx", "x\x00y", "x\x01", "x\x7f", "x\u0085", "x\uFFFD", " x", "x\t"} {
		entries = append(entries, foreignEntry{id: id})
	}
	return entries
}

// unusableAddresses returns entries with addresses that nothing can be sent to.
func unusableAddresses() []foreignEntry {
	var entries []foreignEntry
	for i, address := range []string{
		"127.0.0.1:0", "0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80", "255.255.255.255:80", "[::ffff:255.255.255.255]:80",
		"224.0.0.1:80", "[ff02::1]:80", "[::ffff:224.0.0.1]:80", "[fe80::1%x\n]:80", "[::%lo]:80",
	} {
		entries = append(entries, foreignEntry{id: fmt.Sprint("address-", i), change: func(entry *standin.Entry) { entry.Address = address }})
	}
	return entries
}

// twins returns entries of other IDs at the address of a server.
func twins() []foreignEntry {
	return []foreignEntry{{id: "twin-1"}, {id: "twin-2"}, {id: "twin-3"}}
}

// manyTwins returns more entries of other IDs at the address of a server than there are servers.
func manyTwins() []foreignEntry {
	var entries []foreignEntry
	for i := range 40 {
		entries = append(entries, foreignEntry{id: fmt.Sprint("twin-", i)})
	}
	return entries
}

// excessiveSlots returns entries with more slots than any server has, at a port where nothing listens.
func excessiveSlots() []foreignEntry {
	var entries []foreignEntry
	for i, slots := range []int{math.MaxInt32 + 1, math.MaxInt64 / 2, math.MaxInt64} {
		entries = append(entries, foreignEntry{id: fmt.Sprint("slots-", i), change: func(entry *standin.Entry) { entry.Address, entry.Slots = "127.0.0.1:9", slots }})
	}
	return entries
}

// putForeign writes entries like those of another writer, which resemble those of the first server of each service.
func (f *fleetFixture) putForeign(entries []foreignEntry) {
	for _, foreign := range entries {
		for _, m := range f.machines[:2] {
			entry := m.Incarnations()[0].Entry(m.Service, m.Address(), "a", "ready")
			if foreign.change != nil {
				foreign.change(&entry)
			}
			// The name of the service goes into the middle of an ID, whose ends may be what is wrong with it.
			id := foreign.id
			if id != "" {
				id += m.Service + foreign.id
			}
			f.store.Put(standin.PrefixServers+id, entry)
		}
	}
}

// runsOfOnce returns how often each request ran that must not run twice, by its ID.
func (f *fleetFixture) runsOfOnce() map[string]int {
	runs := map[string]int{}
	for _, m := range f.machines {
		for _, arrival := range m.Incarnations()[0].Arrivals() {
			if arrival.Ran && !strings.HasPrefix(arrival.Target, idempotent.path) && !strings.HasPrefix(arrival.Target, resumableStream.path) {
				runs[arrival.Header.Get(standin.HeaderRequestID)]++
			}
		}
	}
	return runs
}

// Guards against entries of another writer, which name servers that nobody can use, losing requests or refusing them.
func TestForeignServerEntriesCostNoRequests(t *testing.T) {
	const rounds, requestsPerRound = 60, 8
	all := slices.Concat(unusableIDs(), unusableAddresses(), twins(), excessiveSlots())
	for name, entries := range map[string][]foreignEntry{
		"IDs": unusableIDs(), "addresses": unusableAddresses(), "twins": twins(), "many twins": manyTwins(), "slots": excessiveSlots(), "all": all,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, 2, 3)
			for i, node := range fleet.nodes {
				// No two requests share an ID.
				node.requests.Store(int64(1_000_000 * i))
				node.awaitRetryShare()
			}
			statuses := map[string]map[int]int{}
			for round := range rounds {
				if round%10 == 0 {
					fleet.putForeign(entries)
				}
				node := fleet.nodes[round%len(fleet.nodes)]
				for route, c := range allCalls {
					for _, got := range node.makeMany(c, requestsPerRound) {
						require.NoError(t, got.err)
						if statuses[route] == nil {
							statuses[route] = map[int]int{}
						}
						statuses[route][got.status]++
					}
				}
			}
			t.Log(statuses)
			for route, got := range statuses {
				require.GreaterOrEqual(t, float64(got[http.StatusOK]), minServedShare*rounds*requestsPerRound, "%s: %v", route, got)
				require.Zero(t, got[http.StatusBadGateway], "%s: nothing was sent that could have run: %v", route, got)
			}
			for id, runs := range fleet.runsOfOnce() {
				require.Equal(t, 1, runs, "runs of %s", id)
			}
		})
	}
}

// Guards against a server being lost because another entry names its address, and against asking there again and again for
// the instance of that entry.
func TestTwinOfServerIsNotAskedForAgain(t *testing.T) {
	server := plainServer("i-1", succeeds(nonIdempotent))
	fixture := newFixture(t).serve(server)
	fixture.awaitRetryShare()
	known, _ := fixture.listedServer("i-1")
	fixture.store.Put(standin.PrefixServers+"i-2", server.Entry("plain", known.Address, "a", "ready"))
	fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-2"); return found })
	fixture.waitUntil(func() bool {
		got := fixture.make(nonIdempotent)
		require.Equal(t, http.StatusOK, got.status, got.body)
		return len(server.Misdirected()) > 0
	})
	asked := len(server.Misdirected())
	for range 3 {
		fixture.store.Put(standin.PrefixServers+"i-2", server.Entry("plain", known.Address, "a", "ready"))
		for began := time.Now(); time.Since(began) < time.Second; {
			got := fixture.make(nonIdempotent)
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
	require.Equal(t, asked, len(server.Misdirected()), "the twin is excluded although its entry is written again")
	require.Equal(t, int(fixture.requests.Load()), server.Runs(), "each request ran once")
}
