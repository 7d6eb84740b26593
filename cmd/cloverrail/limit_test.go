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

// These tests guard against exceeding the rate limit that a server advertises in its responses.
// Nodes used to forward that header to clients without applying it, and did not count their own
// calls: two engines limited to 1 request per second got 13 and 12 requests in 4 s, of which 4
// were the nodes' own polls of cache contents. In these tests, only the response header shows the
// limit.

const (
	// limitWindow is the time window in which requests are counted. At most limitFactor times
	// what the limit allows in it, plus limitSlack, may reach a server.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// minUtilization is the fraction of a limit that must be used under overload.
	minUtilization = 0.6
)

// maxInWindow returns the most requests that a limit allows in a window.
func maxInWindow(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// loadResult counts the outcomes of requests.
type loadResult struct {
	mutex            sync.Mutex
	served, rejected int
	// reasons holds the bodies of the first rejections.
	reasons []string
}

// maxReasons bounds the reasons that are kept.
const maxReasons = 3

// generateLoad sends requests on a route to nodes for a duration, at most 200 per second to each.
// All must be served, or rejected as not run with a Retry-After.
func generateLoad(t *testing.T, c routeCall, duration time.Duration, nodes ...*fixture) *loadResult {
	counts := &loadResult{}
	var sent sync.WaitGroup
	for _, node := range nodes {
		for range 4 {
			sent.Go(func() {
				for began := time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
					counts.record(t, node.make(c))
				}
			})
		}
	}
	sent.Wait()
	return counts
}

func (r *loadResult) record(t *testing.T, got clientResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch got.status {
	case http.StatusOK:
		r.served++
	case http.StatusServiceUnavailable:
		r.rejected++
		if len(r.reasons) < maxReasons {
			r.reasons = append(r.reasons, got.body)
		}
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil || wait <= 0 {
			t.Errorf("a rejection has no valid Retry-After: %q", got.header.Get("Retry-After"))
		}
	default:
		t.Errorf("status %d, %v: %s", got.status, got.err, got.body)
	}
}

// requireWithinLimit checks that a server got no more requests than its limit allows since a time.
func requireWithinLimit(t *testing.T, server *standin.Server, perSecond float64, since time.Time) {
	t.Helper()
	require.LessOrEqual(t, server.PeakReceived(limitWindow, since), maxInWindow(perSecond), "requests in %v at a limit of %v a second", limitWindow, perSecond)
}

// requireLimitUsed checks that a server got at least minUtilization of its limit since a time,
// which should be some seconds ago.
func requireLimitUsed(t *testing.T, server *standin.Server, perSecond float64, since time.Time) {
	t.Helper()
	least := minUtilization * perSecond * time.Since(since).Seconds()
	require.GreaterOrEqual(t, float64(len(server.ReceivedSince(since))), least, "requests since %v at a limit of %v a second", time.Since(since), perSecond)
}

// publicRoute is a route that requires no key.
var publicRoute = routeCall{method: http.MethodGet, path: "/open/"}

// loadDuration is how long requests are sent once a limit must be respected.
const loadDuration = 2 * limitWindow

func TestServerRateLimitIsRespected(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limited, other := newInstance(c, "i-1", succeeds(c)), newInstance(c, "i-2", succeeds(c))
			fixture := newFixture(t).serve(limited, other)
			limited.AdvertiseLimit("1")
			named := time.Now()
			counts := generateLoad(t, c, propagationTime+loadDuration, fixture)
			require.Zero(t, counts.rejected, "the other server has capacity: %q", counts.reasons)
			requireWithinLimit(t, limited, 1, named.Add(propagationTime))
		})
	}
	for _, perSecond := range []float64{0, 0.2, 1, 5, 40} {
		t.Run(fmt.Sprintf("no other server is available, %v a second", perSecond), func(t *testing.T) {
			t.Parallel()
			limited := plainServer("i-1", succeeds(nonIdempotent))
			fixture := newFixture(t).serve(limited)
			limited.AdvertiseLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
			named := time.Now()
			generateLoad(t, nonIdempotent, propagationTime, fixture)
			settled := time.Now()
			took := time.Now()
			counts := generateLoad(t, nonIdempotent, loadDuration, fixture)
			require.Less(t, time.Since(took), loadDuration+time.Second, "requests that cannot be served are rejected immediately")
			require.NotZero(t, counts.rejected)
			requireWithinLimit(t, limited, perSecond, named.Add(propagationTime))
			requireLimitUsed(t, limited, perSecond, settled)
		})
	}
	t.Run("requests that fail elsewhere", func(t *testing.T) {
		t.Parallel()
		limited, failing := plainServer("i-1", succeeds(idempotent)), plainServer("i-2", standin.Respond(http.StatusInternalServerError, "no"))
		fixture := newFixture(t).serve(limited, failing)
		limited.AdvertiseLimit("1")
		named := time.Now()
		for time.Since(named) < propagationTime+loadDuration {
			fixture.makeMany(idempotent, 4)
			time.Sleep(20 * time.Millisecond)
		}
		requireWithinLimit(t, limited, 1, named.Add(propagationTime))
	})
	t.Run("streams that break elsewhere", func(t *testing.T) {
		t.Parallel()
		limited, breaking := engine("i-1", succeeds(resumableStream)), engine("i-2", standin.StreamEvents(3, 2))
		fixture := newFixture(t).serve(limited, breaking)
		limited.AdvertiseLimit("1")
		named := time.Now()
		for time.Since(named) < propagationTime+loadDuration {
			fixture.makeMany(resumableStream, 4)
			time.Sleep(20 * time.Millisecond)
		}
		requireWithinLimit(t, limited, 1, named.Add(propagationTime))
	})
	t.Run("while caches are watched and weights are ordered", ownCallsCountAgainstLimit)
	t.Run("while the store is down", func(t *testing.T) {
		t.Parallel()
		limited, other := plainServer("i-1", succeeds(nonIdempotent)), plainServer("i-2", succeeds(nonIdempotent))
		fixture := newFixture(t).serve(limited, other)
		fixture.setStoreDown(true)
		limited.AdvertiseLimit("1")
		named := time.Now()
		for time.Since(named) < propagationTime+loadDuration {
			fixture.makeMany(publicRoute, 4)
			time.Sleep(20 * time.Millisecond)
		}
		requireWithinLimit(t, limited, 1, named.Add(propagationTime))
		require.NotZero(t, other.PeakReceived(limitWindow, named.Add(propagationTime)), "routes without keys are served meanwhile")
	})
	t.Run("the limit decreases, increases and ends", limitChangesAreFollowed)
	for _, absurd := range []string{"-1", "NaN", "few", "1,2", "1e300"} {
		t.Run(fmt.Sprintf("an invalid limit %q", absurd), func(t *testing.T) {
			t.Parallel()
			server := plainServer("i-1", succeeds(nonIdempotent))
			fixture := newFixture(t).serve(server)
			server.AdvertiseLimit(absurd)
			counts := generateLoad(t, nonIdempotent, 2*time.Second, fixture)
			require.Zero(t, counts.rejected, "%q", counts.reasons)
		})
	}
}

// ownCallsCountAgainstLimit checks that the node's own calls count against a server's limit.
func ownCallsCountAgainstLimit(t *testing.T) {
	t.Parallel()
	limited, other := engine("i-1", succeeds(plainStream)), engine("i-2", succeeds(plainStream))
	fixture := newFixture(t).serve(limited, other)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	limited.LoadTime = 2 * time.Second
	fixture.process.watchHolders(ctx)
	fixture.waitUntil(func() bool { return len(limited.ReceivedSince(time.Time{})) > 3 })
	limited.AdvertiseLimit("1")
	named := time.Now()
	generateLoad(t, plainStream, propagationTime, fixture)
	fixture.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
	counts := generateLoad(t, plainStream, loadDuration, fixture)
	requireWithinLimit(t, limited, 1, named.Add(propagationTime))
	require.Equal(t, int64(2), limited.Version(), "weights are still ordered")
	require.NotZero(t, counts.served)
}

// limitChangesAreFollowed checks that changes of a limit take effect.
func limitChangesAreFollowed(t *testing.T) {
	t.Parallel()
	server := plainServer("i-1", succeeds(nonIdempotent))
	fixture := newFixture(t).serve(server)
	server.AdvertiseLimit("20")
	generateLoad(t, nonIdempotent, propagationTime, fixture)
	server.AdvertiseLimit("1")
	fell := time.Now()
	generateLoad(t, nonIdempotent, propagationTime+limitWindow, fixture)
	requireWithinLimit(t, server, 1, fell.Add(time.Second))
	server.AdvertiseLimit("20")
	generateLoad(t, nonIdempotent, propagationTime, fixture)
	rose := time.Now()
	generateLoad(t, nonIdempotent, limitWindow, fixture)
	requireWithinLimit(t, server, 20, rose)
	requireLimitUsed(t, server, 20, rose)
	server.AdvertiseLimit("")
	fixture.waitUntil(func() bool {
		for _, got := range fixture.makeMany(nonIdempotent, 40) {
			if got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func TestFleetRespectsServerRateLimit(t *testing.T) {
	t.Run("other servers have capacity", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 3)
		limited := fleet.machines[0].Incarnations()[0]
		limited.AdvertiseLimit("1.2")
		named := time.Now()
		counts := generateLoad(t, idempotent, propagationTime+loadDuration, fleet.nodes...)
		require.Zero(t, counts.rejected, "%q", counts.reasons)
		requireWithinLimit(t, limited, 1.2, named.Add(propagationTime))
	})
	t.Run("all servers are limited", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 2)
		for _, machine := range fleet.machines {
			machine.Incarnations()[0].AdvertiseLimit("3")
		}
		named := time.Now()
		generateLoad(t, plainStream, propagationTime, fleet.nodes...)
		settled := time.Now()
		generateLoad(t, plainStream, loadDuration, fleet.nodes...)
		for _, machine := range fleet.machines {
			if server := machine.Incarnations()[0]; server.Model != "" {
				requireWithinLimit(t, server, 3, named.Add(propagationTime))
				requireLimitUsed(t, server, 3, settled)
			}
		}
	})
	t.Run("one node gets all requests", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 1)
		limited := fleet.machines[0].Incarnations()[0]
		limited.AdvertiseLimit("4")
		named := time.Now()
		generateLoad(t, nonIdempotent, propagationTime, fleet.nodes...)
		generateLoad(t, nonIdempotent, propagationTime, fleet.nodes[0])
		settled := time.Now()
		generateLoad(t, nonIdempotent, loadDuration, fleet.nodes[0])
		requireWithinLimit(t, limited, 4, named.Add(propagationTime))
		requireLimitUsed(t, limited, 4, settled)
	})
	t.Run("a node starts, one stops and one is isolated", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 1)
		limited := fleet.machines[0].Incarnations()[0]
		limited.AdvertiseLimit("3")
		named := time.Now()
		generateLoad(t, idempotent, propagationTime, fleet.nodes...)
		started := fleet.addNode()
		fleet.awaitReady(started)
		// A starting node learns the limit from the server or from other nodes.
		generateLoad(t, idempotent, time.Second, fleet.nodes...)
		since := time.Now()
		fleet.nodes[0].kill()
		fleet.nodes[1].setIsolated(true)
		for time.Since(since) < loadDuration {
			for _, node := range fleet.nodes[1:] {
				node.makeMany(idempotent, 2)
			}
		}
		fleet.nodes[1].setIsolated(false)
		generateLoad(t, idempotent, limitWindow, fleet.nodes[2:]...)
		requireWithinLimit(t, limited, 3, since)
		require.Greater(t, time.Since(named), propagationTime)
	})
}
