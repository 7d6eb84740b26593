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
	limitUse = 0.6
)

// maxInWindow returns the most requests that a limit allows in a window.
func allows(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// loadResult counts the outcomes of requests.
type pressed struct {
	mutex           sync.Mutex
	served, refused int
	// reasons holds the bodies of the first rejections.
	reasons []string
}

// maxReasons bounds the reasons that are kept.
const mostReasons = 3

// generateLoad sends requests on a route to nodes for a duration, some hundred per second to each.
// All must be served, or rejected as not run with a Retry-After.
func press(t *testing.T, c call, length time.Duration, nodes ...*fixture) *pressed {
	counts := &pressed{}
	var sent sync.WaitGroup
	for _, node := range nodes {
		for range 4 {
			sent.Go(func() {
				for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
					counts.take(t, node.make(c))
				}
			})
		}
	}
	sent.Wait()
	return counts
}

func (p *pressed) take(t *testing.T, got answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch got.status {
	case http.StatusOK:
		p.served++
	case http.StatusServiceUnavailable:
		p.refused++
		if len(p.reasons) < mostReasons {
			p.reasons = append(p.reasons, got.body)
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
func requireKept(t *testing.T, server *standin.Server, perSecond float64, since time.Time) {
	t.Helper()
	require.LessOrEqual(t, server.Most(limitWindow, since), allows(perSecond), "requests in %v at a limit of %v a second", limitWindow, perSecond)
}

// requireLimitUsed checks that a server got at least minUtilization of its limit since a time,
// which should be some seconds ago.
func requireUsed(t *testing.T, server *standin.Server, perSecond float64, since time.Time) {
	t.Helper()
	least := limitUse * perSecond * time.Since(since).Seconds()
	require.GreaterOrEqual(t, float64(len(server.Reached(since))), least, "requests since %v at a limit of %v a second", time.Since(since), perSecond)
}

// publicRoute is a route that requires no key.
var open = call{method: http.MethodGet, path: "/open/"}

// loadDuration is how long requests are sent once a limit must be respected.
const pressing = 2 * limitWindow

func TestAServerThatNamesALimitIsKeptWithinIt(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			needy, other := instanceOf(c, "i-1", soundly(c)), instanceOf(c, "i-2", soundly(c))
			fixture := newFixture(t).serve(needy, other)
			needy.NameLimit("1")
			named := time.Now()
			counts := press(t, c, contact+pressing, fixture)
			require.Zero(t, counts.refused, "the other server has capacity: %q", counts.reasons)
			requireKept(t, needy, 1, named.Add(contact))
		})
	}
	for _, perSecond := range []float64{0, 0.2, 1, 5, 40} {
		t.Run(fmt.Sprintf("no other server is available, %v a second", perSecond), func(t *testing.T) {
			t.Parallel()
			needy := plainServer("i-1", soundly(once))
			fixture := newFixture(t).serve(needy)
			needy.NameLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
			named := time.Now()
			press(t, once, contact, fixture)
			settled := time.Now()
			took := time.Now()
			counts := press(t, once, pressing, fixture)
			require.Less(t, time.Since(took), pressing+time.Second, "requests that cannot be served are rejected immediately")
			require.NotZero(t, counts.refused)
			requireKept(t, needy, perSecond, named.Add(contact))
			requireUsed(t, needy, perSecond, settled)
		})
	}
	t.Run("requests that fail elsewhere", func(t *testing.T) {
		t.Parallel()
		needy, failing := plainServer("i-1", soundly(again)), plainServer("i-2", standin.Answers(http.StatusInternalServerError, "no"))
		fixture := newFixture(t).serve(needy, failing)
		needy.NameLimit("1")
		named := time.Now()
		for time.Since(named) < contact+pressing {
			fixture.makeMany(again, 4)
			time.Sleep(20 * time.Millisecond)
		}
		requireKept(t, needy, 1, named.Add(contact))
	})
	t.Run("streams that break elsewhere", func(t *testing.T) {
		t.Parallel()
		needy, breaking := engine("i-1", soundly(resumed)), engine("i-2", standin.Streams(3, 2))
		fixture := newFixture(t).serve(needy, breaking)
		needy.NameLimit("1")
		named := time.Now()
		for time.Since(named) < contact+pressing {
			fixture.makeMany(resumed, 4)
			time.Sleep(20 * time.Millisecond)
		}
		requireKept(t, needy, 1, named.Add(contact))
	})
	t.Run("while caches are watched and weights are ordered", limitedOwnCalls)
	t.Run("while the store is down", func(t *testing.T) {
		t.Parallel()
		needy, other := plainServer("i-1", soundly(once)), plainServer("i-2", soundly(once))
		fixture := newFixture(t).serve(needy, other)
		fixture.darken(true)
		needy.NameLimit("1")
		named := time.Now()
		for time.Since(named) < contact+pressing {
			fixture.makeMany(open, 4)
			time.Sleep(20 * time.Millisecond)
		}
		requireKept(t, needy, 1, named.Add(contact))
		require.NotZero(t, other.Most(limitWindow, named.Add(contact)), "routes without keys are served meanwhile")
	})
	t.Run("the limit decreases, increases and ends", limitChanges)
	for _, absurd := range []string{"-1", "NaN", "few", "1,2", "1e300"} {
		t.Run(fmt.Sprintf("an invalid limit %q", absurd), func(t *testing.T) {
			t.Parallel()
			server := plainServer("i-1", soundly(once))
			fixture := newFixture(t).serve(server)
			server.NameLimit(absurd)
			counts := press(t, once, 2*time.Second, fixture)
			require.Zero(t, counts.refused, "%q", counts.reasons)
		})
	}
}

// ownCallsCountAgainstLimit checks that the node's own calls count against a server's limit.
func limitedOwnCalls(t *testing.T) {
	t.Parallel()
	needy, other := engine("i-1", soundly(oneShot)), engine("i-2", soundly(oneShot))
	fixture := newFixture(t).serve(needy, other)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	needy.LoadTime = 2 * time.Second
	fixture.process.followHolders(ctx)
	fixture.until(func() bool { return len(needy.Reached(time.Time{})) > 3 })
	needy.NameLimit("1")
	named := time.Now()
	press(t, oneShot, contact, fixture)
	fixture.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
	counts := press(t, oneShot, pressing, fixture)
	requireKept(t, needy, 1, named.Add(contact))
	require.Equal(t, int64(2), needy.Version(), "weights are still ordered")
	require.NotZero(t, counts.served)
}

// limitChangesAreFollowed checks that changes of a limit take effect.
func limitChanges(t *testing.T) {
	t.Parallel()
	server := plainServer("i-1", soundly(once))
	fixture := newFixture(t).serve(server)
	server.NameLimit("20")
	press(t, once, contact, fixture)
	server.NameLimit("1")
	fell := time.Now()
	press(t, once, contact+limitWindow, fixture)
	requireKept(t, server, 1, fell.Add(time.Second))
	server.NameLimit("20")
	press(t, once, contact, fixture)
	rose := time.Now()
	press(t, once, limitWindow, fixture)
	requireKept(t, server, 20, rose)
	requireUsed(t, server, 20, rose)
	server.NameLimit("")
	fixture.until(func() bool {
		for _, got := range fixture.makeMany(once, 40) {
			if got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func TestAFleetKeepsAServerWithinItsLimit(t *testing.T) {
	t.Run("other servers have capacity", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 3)
		needy := fleet.machines[0].Lives()[0]
		needy.NameLimit("1.2")
		named := time.Now()
		counts := press(t, again, contact+pressing, fleet.nodes...)
		require.Zero(t, counts.refused, "%q", counts.reasons)
		requireKept(t, needy, 1.2, named.Add(contact))
	})
	t.Run("all servers are limited", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 2)
		for _, machine := range fleet.machines {
			machine.Lives()[0].NameLimit("3")
		}
		named := time.Now()
		press(t, oneShot, contact, fleet.nodes...)
		settled := time.Now()
		press(t, oneShot, pressing, fleet.nodes...)
		for _, machine := range fleet.machines {
			if server := machine.Lives()[0]; server.Model != "" {
				requireKept(t, server, 3, named.Add(contact))
				requireUsed(t, server, 3, settled)
			}
		}
	})
	t.Run("one node gets all requests", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 1)
		needy := fleet.machines[0].Lives()[0]
		needy.NameLimit("4")
		named := time.Now()
		press(t, once, contact, fleet.nodes...)
		press(t, once, contact, fleet.nodes[0])
		settled := time.Now()
		press(t, once, pressing, fleet.nodes[0])
		requireKept(t, needy, 4, named.Add(contact))
		requireUsed(t, needy, 4, settled)
	})
	t.Run("a node starts, one stops and one is isolated", func(t *testing.T) {
		t.Parallel()
		fleet := newFleet(t, 4, 1)
		needy := fleet.machines[0].Lives()[0]
		needy.NameLimit("3")
		named := time.Now()
		press(t, again, contact, fleet.nodes...)
		started := fleet.join()
		fleet.await(started)
		// A starting node learns the limit from the server or from other nodes.
		press(t, again, time.Second, fleet.nodes...)
		since := time.Now()
		fleet.nodes[0].kill()
		fleet.nodes[1].cut(true)
		for time.Since(since) < pressing {
			for _, node := range fleet.nodes[1:] {
				node.makeMany(again, 2)
			}
		}
		fleet.nodes[1].cut(false)
		press(t, again, limitWindow, fleet.nodes[2:]...)
		requireKept(t, needy, 3, since)
		require.Greater(t, time.Since(named), contact)
	})
}
