package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against ignoring the draining and Retry-After headers of servers' responses.
// Nodes used only the store's list and the results of attempts. While the store was down, the list
// still showed a draining server as ready, and a request reached it 10.3 s after its notice. A
// server that asked for a backoff of 3 s was tried every 100 ms, and got seven requests in that
// time. In these tests, only the response headers show the server's state.

// routeCall is a request on one of the fixture's routes.
type routeCall struct {
	method, path string
	// prompted says that the route is served by engines and needs prompt headers.
	prompted bool
}

var (
	nonIdempotent   = routeCall{method: http.MethodPost, path: "/once/"}
	idempotent      = routeCall{method: http.MethodGet, path: "/again/"}
	resumableStream = routeCall{method: http.MethodPost, path: "/stream/", prompted: true}
	plainStream     = routeCall{method: http.MethodPost, path: "/fixed/", prompted: true}
	allCalls        = map[string]routeCall{"once": nonIdempotent, "again": idempotent, "resumable stream": resumableStream, "stream": plainStream}
)

// repeatable reports whether requests of the route may run more than once.
func (c routeCall) repeatable() bool { return c == idempotent || c == resumableStream }

// make sends one request on a route.
func (fixture *fixture) make(c routeCall) clientResult {
	return fixture.send(c.method, c.path, "turn", func(request *http.Request) {
		if c.prompted {
			setPromptHeaders(request)
		}
	})
}

// makeMany sends requests on a route concurrently, and returns the results.
func (fixture *fixture) makeMany(c routeCall, count int) []clientResult {
	results := make([]clientResult, count)
	var sent sync.WaitGroup
	for i := range results {
		sent.Go(func() { results[i] = fixture.make(c) })
	}
	sent.Wait()
	return results
}

// newInstance returns a server that serves a route.
func newInstance(c routeCall, name string, handler standin.Handler) *standin.Server {
	if c.prompted {
		return engine(name, handler)
	}
	return plainServer(name, handler)
}

// succeeds returns the behavior of a healthy server for a route.
func succeeds(c routeCall) standin.Handler {
	if c.prompted {
		return standin.StreamEvents(3, 0)
	}
	return standin.Respond(http.StatusOK, "done")
}

// setStoreDown makes the store unavailable, or available again.
func (fixture *fixture) setStoreDown(down bool) {
	if !down {
		fixture.store.SetFault(nil)
		return
	}
	fixture.store.SetFault(func(*http.Request) standin.Fault { return standin.FaultUnavailable })
}

// requestUntilReached sends requests on a route until a server has received one more.
func (fixture *fixture) requestUntilReached(c routeCall, server *standin.Server) {
	before := len(server.Arrivals())
	fixture.waitUntil(func() bool {
		fixture.makeMany(c, 4)
		return len(server.Arrivals()) > before
	})
}

// requireNoneReached checks that requests do not reach a server, and that they are served if another
// server is available or else rejected with a Retry-After.
func (fixture *fixture) requireNoneReached(c routeCall, server *standin.Server, served bool) {
	before := len(server.Arrivals())
	for _, got := range fixture.makeMany(c, 40) {
		if served {
			require.NoError(fixture.t, got.err)
			require.Equal(fixture.t, http.StatusOK, got.status, got.body)
			continue
		}
		require.Equal(fixture.t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(fixture.t, got.header.Get("Retry-After"))
	}
	require.Equal(fixture.t, before, len(server.Arrivals()), "a request reached a server after its draining notice")
}

func TestDrainingNoticeStopsNewRequests(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			draining, other := newInstance(c, "i-1", succeeds(c)), newInstance(c, "i-2", succeeds(c))
			fixture := newFixture(t).serve(draining, other)
			draining.AnnounceDraining()
			fixture.setStoreDown(true)
			fixture.requestUntilReached(c, draining)
			fixture.requireNoneReached(c, draining, true)
			fixture.setStoreDown(false)
			entry := draining.Entry("plain", "", "a", "ready")
			known, _ := fixture.listedServer("i-1")
			entry.Service, entry.Address = known.Service, known.Address
			fixture.store.Put(standin.PrefixServers+"i-1", entry)
			fixture.declare(key)
			fixture.requireNoneReached(c, draining, true)
			fixture.store.Remove(standin.PrefixServers + "i-1")
			fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-1"); return !found })
			fixture.store.Put(standin.PrefixServers+"i-1", entry)
			fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-1"); return found })
			fixture.requireNoneReached(c, draining, true)
		})
	}
	t.Run("no other server is available", func(t *testing.T) {
		t.Parallel()
		draining := plainServer("i-1", succeeds(nonIdempotent))
		fixture := newFixture(t).serve(draining)
		draining.AnnounceDraining()
		fixture.requestUntilReached(nonIdempotent, draining)
		fixture.requireNoneReached(nonIdempotent, draining, false)
	})
	t.Run("by a truncated response", func(t *testing.T) {
		t.Parallel()
		draining, other := engine("i-1", standin.StreamEvents(3, 1)), engine("i-2", succeeds(resumableStream))
		fixture := newFixture(t).serve(draining, other)
		draining.AnnounceDraining()
		fixture.requestUntilReached(resumableStream, draining)
		fixture.requireNoneReached(resumableStream, draining, true)
	})
	t.Run("by a stream in progress", func(t *testing.T) {
		t.Parallel()
		draining, other := engine("i-1", standin.StreamPaced(40, 50*time.Millisecond, "token")), engine("i-2", succeeds(resumableStream))
		fixture := newFixture(t).serve(draining, other)
		draining.AnnounceDraining()
		done := make(chan struct{})
		go func() {
			defer close(done)
			fixture.requestUntilReached(resumableStream, draining)
		}()
		fixture.waitUntil(func() bool { return len(draining.Arrivals()) > 0 })
		time.Sleep(200 * time.Millisecond)
		fixture.requireNoneReached(resumableStream, draining, true)
		<-done
	})
	t.Run("by a refusal", func(t *testing.T) {
		t.Parallel()
		draining, other := plainServer("i-1", standin.Reject), plainServer("i-2", succeeds(nonIdempotent))
		fixture := newFixture(t).serve(draining, other)
		draining.AnnounceDraining()
		fixture.requestUntilReached(nonIdempotent, draining)
		fixture.requireNoneReached(nonIdempotent, draining, true)
	})
	t.Run("by a report while weights are ordered", func(t *testing.T) {
		t.Parallel()
		draining, other := engine("i-1", succeeds(plainStream)), engine("i-2", succeeds(plainStream))
		fixture := newFixture(t).serve(draining, other)
		draining.AnnounceDraining()
		known, _ := fixture.listedServer("i-1")
		_, err := fixture.process.serverClient.Report(context.Background(), known)
		require.NoError(t, err)
		fixture.requireNoneReached(plainStream, draining, true)
		orders := draining.Orders()
		fixture.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
		fixture.waitUntil(func() bool { return other.Version() == 2 })
		require.Equal(t, orders, draining.Orders(), "a draining server gets no orders")
	})
	t.Run("by the notice of another node", drainingNoticeReachesOtherNodes)
}

// drainingNoticeReachesOtherNodes checks that a notice received by one node applies at all nodes.
func drainingNoticeReachesOtherNodes(t *testing.T) {
	fleet := newFleet(t, 3, 2)
	draining := fleet.machines[0].Incarnations()[0]
	draining.AnnounceDraining()
	fleet.nodes[0].requestUntilReached(idempotent, draining)
	time.Sleep(propagationTime)
	for _, node := range fleet.nodes {
		node.requireNoneReached(idempotent, draining, true)
	}
}

// backoffGrace is how long requests may still reach a server after it has asked for a backoff;
// maxDuringBackoff is the number of requests that may reach it later in the backoff.
const (
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// arrivalsDuringBackoff returns how many requests reached a server between backoffGrace after the
// first refusal and the end of the backoff that it asked for.
func arrivalsDuringBackoff(server *standin.Server, backoff time.Duration) int {
	arrivals := server.Arrivals()
	count := 0
	for _, arrival := range arrivals[1:] {
		if after := arrival.At.Sub(arrivals[0].At); after > backoffGrace && after < backoff {
			count++
		}
	}
	return count
}

func TestServerBackoffIsRespected(t *testing.T) {
	const rest = 2 * time.Second
	seconds := strconv.FormatFloat(rest.Seconds(), 'f', -1, 64)
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			overloaded, other := newInstance(c, "i-1", standin.RejectRetryAfter(seconds)), newInstance(c, "i-2", succeeds(c))
			fixture := newFixture(t).serve(overloaded, other)
			fixture.requestUntilReached(c, overloaded)
			for began := time.Now(); time.Since(began) < rest; {
				for _, got := range fixture.makeMany(c, 8) {
					require.Equal(t, http.StatusOK, got.status, got.body)
				}
			}
			require.LessOrEqual(t, arrivalsDuringBackoff(overloaded, rest), maxDuringBackoff)
			overloaded.SetHandler(succeeds(c))
			fixture.requestUntilReached(c, overloaded)
		})
	}
	t.Run("requests that fail elsewhere are not sent there", func(t *testing.T) {
		t.Parallel()
		overloaded, failing := plainServer("i-1", standin.RejectRetryAfter(seconds)), plainServer("i-2", standin.AbortConnection)
		fixture := newFixture(t).serve(overloaded, failing)
		fixture.requestUntilReached(idempotent, overloaded)
		for began := time.Now(); time.Since(began) < rest; {
			fixture.makeMany(idempotent, 4)
		}
		require.LessOrEqual(t, arrivalsDuringBackoff(overloaded, rest), maxDuringBackoff)
	})
	t.Run("no other server is available", func(t *testing.T) {
		t.Parallel()
		overloaded := plainServer("i-1", standin.RejectRetryAfter(seconds))
		fixture := newFixture(t).serve(overloaded)
		require.Equal(t, http.StatusServiceUnavailable, fixture.make(nonIdempotent).status)
		for began := time.Now(); time.Since(began) < rest-backoffGrace; time.Sleep(10 * time.Millisecond) {
			sent := time.Now()
			got := fixture.make(nonIdempotent)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			left := rest - time.Since(overloaded.Arrivals()[0].At)
			require.GreaterOrEqual(t, wait, left.Seconds()-0.1, "no server can serve it earlier")
			require.Less(t, time.Since(sent), rest/2, "it is rejected immediately")
		}
		require.LessOrEqual(t, arrivalsDuringBackoff(overloaded, rest), maxDuringBackoff)
		require.Zero(t, overloaded.Runs())
	})
	t.Run("while the store is down", func(t *testing.T) {
		t.Parallel()
		overloaded, other := plainServer("i-1", standin.RejectRetryAfter(seconds)), plainServer("i-2", succeeds(nonIdempotent))
		fixture := newFixture(t).serve(overloaded, other)
		fixture.setStoreDown(true)
		fixture.requestUntilReached(nonIdempotent, overloaded)
		fixture.setStoreDown(false)
		known, _ := fixture.listedServer("i-1")
		fixture.store.Put(standin.PrefixServers+"i-1", overloaded.Entry("plain", known.Address, "b", "ready"))
		for began := time.Now(); time.Since(began) < rest; {
			fixture.makeMany(nonIdempotent, 8)
		}
		require.LessOrEqual(t, arrivalsDuringBackoff(overloaded, rest), maxDuringBackoff)
	})
	t.Run("its end brings no burst", backoffEndsWithoutBurst)
	for _, invalid := range []string{"-1", "NaN", "soon", "", "1e300"} {
		t.Run(fmt.Sprintf("an invalid Retry-After %q", invalid), func(t *testing.T) {
			t.Parallel()
			overloaded, other := plainServer("i-1", standin.RejectRetryAfter(invalid)), plainServer("i-2", succeeds(nonIdempotent))
			fixture := newFixture(t).serve(overloaded, other)
			fixture.requestUntilReached(nonIdempotent, overloaded)
			overloaded.SetHandler(succeeds(nonIdempotent))
			if invalid == "1e300" {
				for began := time.Now(); time.Since(began) < rest; {
					fixture.makeMany(nonIdempotent, 8)
				}
				require.LessOrEqual(t, arrivalsDuringBackoff(overloaded, rest), maxDuringBackoff)
				return
			}
			fixture.requestUntilReached(nonIdempotent, overloaded)
		})
	}
}

// backoffEndsWithoutBurst checks that a single request probes a server at the end of its backoff,
// and that the server is fully used again soon after.
func backoffEndsWithoutBurst(t *testing.T) {
	const rest = time.Second
	overloaded := plainServer("i-1", standin.RejectRetryAfter("1"))
	fixture := newFixture(t).serve(overloaded)
	fixture.make(nonIdempotent)
	slow := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		succeeds(nonIdempotent)(server, w, r)
	}
	overloaded.SetHandler(slow)
	backoffEnd := time.Now().Add(rest)
	served := 0
	fixture.waitUntil(func() bool {
		for _, got := range fixture.makeMany(nonIdempotent, 20) {
			if got.status == http.StatusOK {
				served++
			}
		}
		return served > 0
	})
	first := time.Time{}
	concurrent := 0
	for _, arrival := range overloaded.Arrivals()[1:] {
		if first.IsZero() {
			first = arrival.At
		}
		if arrival.At.Sub(first) < 50*time.Millisecond {
			concurrent++
		}
	}
	require.False(t, first.Before(backoffEnd.Add(-50*time.Millisecond)))
	require.LessOrEqual(t, concurrent, 2, "a server is probed at the end of its backoff before it gets the waiting requests")
	fixture.waitUntil(func() bool {
		for _, got := range fixture.makeMany(nonIdempotent, 8) {
			if got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
