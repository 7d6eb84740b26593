package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// goneLimit is how long after the end of a server's entry a request may still reach it, in a fleet whose
// nodes poll each other.
const goneLimit = time.Second

// Guards against requests that are sent to a server that has left, since no other one of its service is
// listed: the last ones were lost when it ended.
func TestServerThatLeftGetsNothing(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nodes, 1)
			m := f.machines[0]
			m.Unregister()
			leftAt := time.Now()
			refused := 0
			for i := 0; time.Since(leftAt) < 3*goneLimit; i++ {
				sentAt := time.Now()
				got := f.nodes[i%nodes].send(http.MethodPost, "/once/a", "turn", nil)
				if got.status != http.StatusOK && time.Since(leftAt) > goneLimit {
					refused++
					require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
					require.Contains(t, got.body, "not-run")
					require.NotEmpty(t, got.header.Get("Retry-After"))
					require.Less(t, time.Since(sentAt), 100*time.Millisecond, "it is known that nobody can serve it")
				}
				time.Sleep(20 * time.Millisecond)
			}
			require.Positive(t, refused)
			for _, arrival := range m.Incarnations()[0].Arrivals() {
				require.Less(t, arrival.At.Sub(leftAt), goneLimit)
			}
		})
	}
}

// Guards against a service that is refused although its servers live: their entries have lapsed in an outage
// of the store, and are written again within two seconds of its return.
func TestServerWhoseEntryLapsedInOutageServes(t *testing.T) {
	for _, kind := range outageKinds {
		for _, length := range []time.Duration{shortOutage, mediumOutage} {
			t.Run(fmt.Sprint(kind, " for ", length), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 3, 1)
				f.disrupt(kind)
				time.Sleep(length / 2)
				for _, m := range f.machines {
					m.Unregister()
				}
				time.Sleep(length / 2)
				f.store.SetFault(nil)
				served := 0
				for endedAt := time.Now(); time.Since(endedAt) < 2*time.Second; served++ {
					// The route needs no key, which nodes cannot verify until they have read the store again.
					got := f.nodes[served%3].send(http.MethodPost, "/open/a", "turn", nil)
					require.Equal(t, http.StatusOK, got.status, "%s after %s", got.body, time.Since(endedAt))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
}

// Guards against a server that had left before an outage of the store, and that gets requests in it.
func TestServerThatLeftBeforeOutageGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.machines[0].Unregister()
	f.nodes[0].waitUntil(func() bool { return len(f.nodes[0].process.serverSet.Servers(time.Now())) == 1 })
	time.Sleep(goneLimit)
	f.disrupt(standin.FaultUnavailable)
	leftAt := time.Now()
	for time.Since(leftAt) < mediumOutage {
		f.nodes[0].send(http.MethodPost, "/once/a", "turn", nil)
		time.Sleep(20 * time.Millisecond)
	}
	for _, arrival := range f.machines[0].Incarnations()[0].Arrivals() {
		require.Less(t, arrival.At.Sub(leftAt), time.Duration(0))
	}
}
