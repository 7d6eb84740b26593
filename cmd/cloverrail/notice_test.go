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
type call struct {
	method, path string
	// prompted says that the route is served by engines and needs prompt headers.
	prompted bool
}

var (
	once     = call{method: http.MethodPost, path: "/once/"}
	again    = call{method: http.MethodGet, path: "/again/"}
	resumed  = call{method: http.MethodPost, path: "/stream/", prompted: true}
	oneShot  = call{method: http.MethodPost, path: "/fixed/", prompted: true}
	allCalls = map[string]call{"once": once, "again": again, "resumable stream": resumed, "stream": oneShot}
)

// make sends one request on a route.
func (fixture *fixture) make(c call) answer {
	return fixture.send(c.method, c.path, "turn", func(request *http.Request) {
		if c.prompted {
			prompt(request)
		}
	})
}

// makeMany sends requests on a route concurrently, and returns the results.
func (fixture *fixture) makeMany(c call, number int) []answer {
	answers := make([]answer, number)
	var sent sync.WaitGroup
	for i := range answers {
		sent.Go(func() { answers[i] = fixture.make(c) })
	}
	sent.Wait()
	return answers
}

// newInstance returns a server that serves a route.
func instanceOf(c call, name string, manner standin.Manner) *standin.Server {
	if c.prompted {
		return engine(name, manner)
	}
	return plainServer(name, manner)
}

// succeeds returns the behavior of a healthy server for a route.
func soundly(c call) standin.Manner {
	if c.prompted {
		return standin.Streams(3, 0)
	}
	return standin.Answers(http.StatusOK, "done")
}

// setStoreDown makes the store unavailable, or available again.
func (fixture *fixture) darken(dark bool) {
	if !dark {
		fixture.store.SetHarm(nil)
		return
	}
	fixture.store.SetHarm(func(*http.Request) standin.Harm { return standin.Down })
}

// requestUntilReached sends requests on a route until a server has received one more.
func (fixture *fixture) reach(c call, server *standin.Server) {
	before := len(server.Arrivals())
	fixture.until(func() bool {
		fixture.makeMany(c, 4)
		return len(server.Arrivals()) > before
	})
}

// requireNoneReached checks that requests do not reach a server, and that they are served if another
// server is available or else rejected with a Retry-After.
func (fixture *fixture) leaveNothing(c call, server *standin.Server, served bool) {
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

func TestAServerThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaver, other := instanceOf(c, "i-1", soundly(c)), instanceOf(c, "i-2", soundly(c))
			fixture := newFixture(t).serve(leaver, other)
			leaver.Leave()
			fixture.darken(true)
			fixture.reach(c, leaver)
			fixture.leaveNothing(c, leaver, true)
			fixture.darken(false)
			entry := leaver.Entry("plain", "", "a", "ready")
			known, _ := fixture.known("i-1")
			entry.Service, entry.Address = known.Service, known.Address
			fixture.store.Put(standin.PrefixServers+"i-1", entry)
			fixture.declare(key)
			fixture.leaveNothing(c, leaver, true)
			fixture.store.Remove(standin.PrefixServers + "i-1")
			fixture.until(func() bool { _, found := fixture.known("i-1"); return !found })
			fixture.store.Put(standin.PrefixServers+"i-1", entry)
			fixture.until(func() bool { _, found := fixture.known("i-1"); return found })
			fixture.leaveNothing(c, leaver, true)
		})
	}
	t.Run("no other server is available", func(t *testing.T) {
		t.Parallel()
		leaver := plainServer("i-1", soundly(once))
		fixture := newFixture(t).serve(leaver)
		leaver.Leave()
		fixture.reach(once, leaver)
		fixture.leaveNothing(once, leaver, false)
	})
	t.Run("by a truncated response", func(t *testing.T) {
		t.Parallel()
		leaver, other := engine("i-1", standin.Streams(3, 1)), engine("i-2", soundly(resumed))
		fixture := newFixture(t).serve(leaver, other)
		leaver.Leave()
		fixture.reach(resumed, leaver)
		fixture.leaveNothing(resumed, leaver, true)
	})
	t.Run("by a stream in progress", func(t *testing.T) {
		t.Parallel()
		leaver, other := engine("i-1", standin.Paced(40, 50*time.Millisecond, "token")), engine("i-2", soundly(resumed))
		fixture := newFixture(t).serve(leaver, other)
		leaver.Leave()
		done := make(chan struct{})
		go func() {
			defer close(done)
			fixture.reach(resumed, leaver)
		}()
		fixture.until(func() bool { return len(leaver.Arrivals()) > 0 })
		time.Sleep(200 * time.Millisecond)
		fixture.leaveNothing(resumed, leaver, true)
		<-done
	})
	t.Run("by a refusal", func(t *testing.T) {
		t.Parallel()
		leaver, other := plainServer("i-1", standin.Sheds), plainServer("i-2", soundly(once))
		fixture := newFixture(t).serve(leaver, other)
		leaver.Leave()
		fixture.reach(once, leaver)
		fixture.leaveNothing(once, leaver, true)
	})
	t.Run("by a report while weights are ordered", func(t *testing.T) {
		t.Parallel()
		leaver, other := engine("i-1", soundly(oneShot)), engine("i-2", soundly(oneShot))
		fixture := newFixture(t).serve(leaver, other)
		leaver.Leave()
		known, _ := fixture.known("i-1")
		_, err := fixture.process.servers.Report(context.Background(), known)
		require.NoError(t, err)
		fixture.leaveNothing(oneShot, leaver, true)
		orders := leaver.Orders()
		fixture.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
		fixture.until(func() bool { return other.Version() == 2 })
		require.Equal(t, orders, leaver.Orders(), "a draining server gets no orders")
	})
	t.Run("by the notice of another node", nodesTellEachOther)
}

// drainingNoticeReachesOtherNodes checks that a notice received by one node applies at all nodes.
func nodesTellEachOther(t *testing.T) {
	fleet := newFleet(t, 3, 2)
	leaver := fleet.machines[0].Lives()[0]
	leaver.Leave()
	fleet.nodes[0].reach(again, leaver)
	time.Sleep(contact)
	for _, node := range fleet.nodes {
		node.leaveNothing(again, leaver, true)
	}
}

// backoffGrace is how long requests may still reach a server after it has asked for a backoff;
// maxDuringBackoff is the number of requests that may reach it later in the backoff.
const (
	restGrace = 500 * time.Millisecond
	restFew   = 2
)

// arrivalsDuringBackoff returns how many requests reached a server between backoffGrace after the
// first refusal and the end of the backoff that it asked for.
func inRest(server *standin.Server, rest time.Duration) int {
	arrivals := server.Arrivals()
	count := 0
	for _, arrival := range arrivals[1:] {
		if after := arrival.At.Sub(arrivals[0].At); after > restGrace && after < rest {
			count++
		}
	}
	return count
}

func TestAServerThatAsksForRestIsLeftAlone(t *testing.T) {
	const rest = 2 * time.Second
	seconds := strconv.FormatFloat(rest.Seconds(), 'f', -1, 64)
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tired, other := instanceOf(c, "i-1", standin.Rests(seconds)), instanceOf(c, "i-2", soundly(c))
			fixture := newFixture(t).serve(tired, other)
			fixture.reach(c, tired)
			for began := time.Now(); time.Since(began) < rest; {
				for _, got := range fixture.makeMany(c, 8) {
					require.Equal(t, http.StatusOK, got.status, got.body)
				}
			}
			require.LessOrEqual(t, inRest(tired, rest), restFew)
			tired.SetManner(soundly(c))
			fixture.reach(c, tired)
		})
	}
	t.Run("requests that fail elsewhere are not sent there", func(t *testing.T) {
		t.Parallel()
		tired, failing := plainServer("i-1", standin.Rests(seconds)), plainServer("i-2", standin.Dies)
		fixture := newFixture(t).serve(tired, failing)
		fixture.reach(again, tired)
		for began := time.Now(); time.Since(began) < rest; {
			fixture.makeMany(again, 4)
		}
		require.LessOrEqual(t, inRest(tired, rest), restFew)
	})
	t.Run("no other server is available", func(t *testing.T) {
		t.Parallel()
		tired := plainServer("i-1", standin.Rests(seconds))
		fixture := newFixture(t).serve(tired)
		require.Equal(t, http.StatusServiceUnavailable, fixture.make(once).status)
		for began := time.Now(); time.Since(began) < rest-restGrace; time.Sleep(10 * time.Millisecond) {
			sent := time.Now()
			got := fixture.make(once)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			left := rest - time.Since(tired.Arrivals()[0].At)
			require.GreaterOrEqual(t, wait, left.Seconds()-0.1, "no server can serve it earlier")
			require.Less(t, time.Since(sent), rest/2, "it is rejected immediately")
		}
		require.LessOrEqual(t, inRest(tired, rest), restFew)
		require.Zero(t, tired.Runs())
	})
	t.Run("while the store is down", func(t *testing.T) {
		t.Parallel()
		tired, other := plainServer("i-1", standin.Rests(seconds)), plainServer("i-2", soundly(once))
		fixture := newFixture(t).serve(tired, other)
		fixture.darken(true)
		fixture.reach(once, tired)
		fixture.darken(false)
		known, _ := fixture.known("i-1")
		fixture.store.Put(standin.PrefixServers+"i-1", tired.Entry("plain", known.Address, "b", "ready"))
		for began := time.Now(); time.Since(began) < rest; {
			fixture.makeMany(once, 8)
		}
		require.LessOrEqual(t, inRest(tired, rest), restFew)
	})
	t.Run("its end brings no burst", usedAgainWithoutAHerd)
	for _, absurd := range []string{"-1", "NaN", "soon", "", "1e300"} {
		t.Run(fmt.Sprintf("an invalid Retry-After %q", absurd), func(t *testing.T) {
			t.Parallel()
			tired, other := plainServer("i-1", standin.Rests(absurd)), plainServer("i-2", soundly(once))
			fixture := newFixture(t).serve(tired, other)
			fixture.reach(once, tired)
			tired.SetManner(soundly(once))
			if absurd == "1e300" {
				for began := time.Now(); time.Since(began) < rest; {
					fixture.makeMany(once, 8)
				}
				require.LessOrEqual(t, inRest(tired, rest), restFew)
				return
			}
			fixture.reach(once, tired)
		})
	}
}

// backoffEndsWithoutBurst checks that a single request probes a server at the end of its backoff,
// and that the server is fully used again soon after.
func usedAgainWithoutAHerd(t *testing.T) {
	const rest = time.Second
	tired := plainServer("i-1", standin.Rests("1"))
	fixture := newFixture(t).serve(tired)
	fixture.make(once)
	slow := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		soundly(once)(server, w, r)
	}
	tired.SetManner(slow)
	ended := time.Now().Add(rest)
	served := 0
	fixture.until(func() bool {
		for _, got := range fixture.makeMany(once, 20) {
			if got.status == http.StatusOK {
				served++
			}
		}
		return served > 0
	})
	first := time.Time{}
	together := 0
	for _, arrival := range tired.Arrivals()[1:] {
		if first.IsZero() {
			first = arrival.At
		}
		if arrival.At.Sub(first) < 50*time.Millisecond {
			together++
		}
	}
	require.False(t, first.Before(ended.Add(-50*time.Millisecond)))
	require.LessOrEqual(t, together, 2, "a server is probed at the end of its backoff before it gets the waiting requests")
	fixture.until(func() bool {
		for _, got := range fixture.makeMany(once, 8) {
			if got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
