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

// The incident: a request reached a server 10.3 s after an answer of that server had told the
// node that it leaves; and a server that had turned a node away and asked for 3 s of rest got
// seven requests from it in that time.
//
// How: the store was dark while the server left, so that the list went on to call it ready. As
// soon as the store was back, and requests with keys were served again, the node chose it as
// any other. A server that was short of room was tried again every 100 ms.
//
// Cause: nodes believed of servers what the list says and what attempts come to. What a server
// says of itself beside its answers was not read.
//
// Proof: the answer's head and the placement behind it stand in one log, and the tests below,
// in which nothing but that word tells of a leaving or resting server.

// call is a route of the fixture.
type call struct {
	method, path string
	// prompted says that engines serve it.
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

// makeMany sends requests on a route at once, and returns the answers.
func (fixture *fixture) makeMany(c call, number int) []answer {
	answers := make([]answer, number)
	var sent sync.WaitGroup
	for i := range answers {
		sent.Go(func() { answers[i] = fixture.make(c) })
	}
	sent.Wait()
	return answers
}

// instanceOf returns a server that serves a route.
func instanceOf(c call, name string, manner standin.Manner) *standin.Server {
	if c.prompted {
		return engine(name, manner)
	}
	return plainServer(name, manner)
}

// soundly is the manner in which a sound server treats a route's requests.
func soundly(c call) standin.Manner {
	if c.prompted {
		return standin.Streams(3, 0)
	}
	return standin.Answers(http.StatusOK, "done")
}

// darken lets the store answer nothing, or answer again.
func (fixture *fixture) darken(dark bool) {
	if !dark {
		fixture.store.SetHarm(nil)
		return
	}
	fixture.store.SetHarm(func(*http.Request) standin.Harm { return standin.Down })
}

// reach sends requests on a route until a server has got one more.
func (fixture *fixture) reach(c call, server *standin.Server) {
	before := len(server.Arrivals())
	fixture.until(func() bool {
		fixture.makeMany(c, 4)
		return len(server.Arrivals()) > before
	})
}

// leaveNothing checks that requests reach a server no more, and are served if there is another.
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
	require.Equal(fixture.t, before, len(server.Arrivals()), "a request reached a server after its word that it leaves")
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
	t.Run("no other server is left", func(t *testing.T) {
		t.Parallel()
		leaver := plainServer("i-1", soundly(once))
		fixture := newFixture(t).serve(leaver)
		leaver.Leave()
		fixture.reach(once, leaver)
		fixture.leaveNothing(once, leaver, false)
	})
	t.Run("by an answer that broke off", func(t *testing.T) {
		t.Parallel()
		leaver, other := engine("i-1", standin.Streams(3, 1)), engine("i-2", soundly(resumed))
		fixture := newFixture(t).serve(leaver, other)
		leaver.Leave()
		fixture.reach(resumed, leaver)
		fixture.leaveNothing(resumed, leaver, true)
	})
	t.Run("by a stream that still runs", func(t *testing.T) {
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
		require.Equal(t, orders, leaver.Orders(), "a leaving server is not ordered")
	})
	t.Run("by the word of another node", nodesTellEachOther)
}

// nodesTellEachOther checks that the word that one node has heard counts at all.
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

// restGrace is how long after its answer requests may still reach a server that has asked for
// rest, and restFew how many may reach it after that.
const (
	restGrace = 500 * time.Millisecond
	restFew   = 2
)

// inRest returns how many requests reached a server between the grace after the first refusal
// and the end of the rest that it asked for.
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
	t.Run("what fails elsewhere is not sent there", func(t *testing.T) {
		t.Parallel()
		tired, failing := plainServer("i-1", standin.Rests(seconds)), plainServer("i-2", standin.Dies)
		fixture := newFixture(t).serve(tired, failing)
		fixture.reach(again, tired)
		for began := time.Now(); time.Since(began) < rest; {
			fixture.makeMany(again, 4)
		}
		require.LessOrEqual(t, inRest(tired, rest), restFew)
	})
	t.Run("no other server is left", func(t *testing.T) {
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
			require.GreaterOrEqual(t, wait, left.Seconds()-0.1, "before that nobody can serve it")
			require.Less(t, time.Since(sent), rest/2, "it is refused at once")
		}
		require.LessOrEqual(t, inRest(tired, rest), restFew)
		require.Zero(t, tired.Runs())
	})
	t.Run("while the store is dark", func(t *testing.T) {
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
	t.Run("after it, without a herd", usedAgainWithoutAHerd)
	for _, absurd := range []string{"-1", "NaN", "soon", "", "1e300"} {
		t.Run(fmt.Sprintf("an absurd rest %q", absurd), func(t *testing.T) {
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

// usedAgainWithoutAHerd checks that one request tries a server whose rest is over, and that it
// serves as before soon after.
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
	require.LessOrEqual(t, together, 2, "one request tries a server whose rest is over, before all that wait")
	fixture.until(func() bool {
		for _, got := range fixture.makeMany(once, 8) {
			if got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
