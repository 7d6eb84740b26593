package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/lab/suspension"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against a request that crashes every server that runs it. Its client retries
// at any node, and each retry used to be a new request without history: after three crashes one
// such request was sent 14 more times and took down 23 servers in all, with everything they ran.
// The retries share one fingerprint: client, method, host, target and body.

const (
	deadly = "deadly"
	// propagationTime is the time within which all nodes learn what one of them knows.
	contact = 3 * time.Second
	// crashThreshold is the number of crashes after which a request is quarantined;
	// maxLateAttempts may still reach a server more than propagationTime after that.
	enoughEnds = 3
	fewMore    = 3
)

// crashTimes returns the start times of the runs of a body that crashed a server.
func (f *fleetFixture) ends(body string) (begun []time.Time) {
	for _, m := range f.machines {
		for _, end := range m.Ends() {
			if end.Body == body {
				begun = append(begun, end.Begun)
			}
		}
	}
	return begun
}

// routeKinds holds the kinds of route with the change that their requests need: non-idempotent,
// idempotent, resumable stream and plain stream.
var kinds = map[string]func(*http.Request){"once": nil, "again": nil, "stream": prompt, "fixed": prompt}

// retryUntilQuarantined sends a crashing body to the nodes in turn until a second more than
// propagationTime has passed since the crash threshold was reached. It returns the last result and
// how long that took.
func (f *fleetFixture) comeAgain(kind, body string, nodes []*fixture) (last answer, took time.Duration) {
	settled := time.Time{}
	for try := 0; settled.IsZero() || time.Since(settled) < contact+time.Second; try++ {
		begun := time.Now()
		last = nodes[try%len(nodes)].send(http.MethodPost, "/"+kind+"/x", body, kinds[kind])
		took = time.Since(begun)
		if settled.IsZero() && len(f.ends(body)) >= enoughEnds {
			settled = time.Now()
		}
		require.Less(f.t, try, 300, "the request never reached the crash threshold")
		time.Sleep(100 * time.Millisecond)
	}
	return last, took
}

// requireQuarantined checks that at most maxLateAttempts reached a server once all nodes could know
// of the crashes.
func (f *fleetFixture) requireHeldOff(body string) {
	begun := f.ends(body)
	slices.SortFunc(begun, time.Time.Compare)
	third := begun[enoughEnds-1]
	late := 0
	for _, at := range begun {
		if at.After(third.Add(contact)) {
			late++
		}
	}
	require.LessOrEqual(f.t, late, fewMore, "of %d crashes in all", len(begun))
}

// requireRejected sends a body to a node repeatedly, and checks that at most maxLateAttempts reach a
// server and that the last one is rejected as not run.
func (f *fleetFixture) requireNoMore(n *fixture, kind, body string) {
	before, last := len(f.ends(body)), answer{}
	for range 3 * fewMore {
		last = n.send(http.MethodPost, "/"+kind+"/x", body, kinds[kind])
		time.Sleep(100 * time.Millisecond)
	}
	require.LessOrEqual(f.t, len(f.ends(body))-before, fewMore)
	require.Equal(f.t, http.StatusServiceUnavailable, last.status)
	require.Contains(f.t, last.body, string(failure.KindHeldOff))
}

func TestOneNodeAloneHoldsOffWhatEndsServers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 6)
	f.comeAgain("fixed", deadly, f.nodes)
	f.requireHeldOff(deadly)
}

// Guards against losing a quarantine with the nodes that saw the crashes: a node that starts later
// learns it from its peers, and a fleet whose nodes are all replaced reads it from the store.
func TestWhatARequestHasDoneOutlivesTheNodesThatSawIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	f.comeAgain("fixed", deadly, f.nodes)
	f.requireHeldOff(deadly)
	later := f.join()
	f.await(later)
	f.requireNoMore(later, "fixed", deadly)
	f.nodes[0].until(func() bool { return len(f.store.Keys(platform.PrefixHeld)) == 1 })
	for _, n := range f.nodes {
		n.kill()
		f.living--
	}
	for range 2 {
		f.await(f.join())
	}
	f.requireNoMore(f.nodes[len(f.nodes)-1], "fixed", deadly)
	f.requireNoMore(f.nodes[len(f.nodes)-2], "fixed", deadly)
}

// Guards against a node that misses a quarantine because it was partitioned and suspended while
// the others learned of it.
func TestANodeThatWasCutOffAndSuspendedHearsWhatARequestHasDone(t *testing.T) {
	machine, restore := suspension.Begin()
	f := newFleet(t, 3, 8)
	t.Cleanup(restore)
	away := f.nodes[2]
	away.cut(true)
	f.comeAgain("fixed", deadly, f.nodes[:2])
	f.requireHeldOff(deadly)
	machine.Suspend(20 * time.Second)
	away.cut(false)
	time.Sleep(contact)
	f.requireNoMore(away, "fixed", deadly)
	f.requireNoMore(f.nodes[0], "fixed", deadly)
}

// Guards against quarantining bystanders: requests that run on a crashing server are served
// eventually, and a popular one that is running at almost every crash is never quarantined.
func TestWhatRunsBesideTheEndsOfServersIsServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	for _, m := range f.machines {
		if m.Model != "" {
			m.Manner = standin.Paced(8, 30*time.Millisecond, "token")
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var served, unserved, wrongly atomic.Int64
	callers := sync.WaitGroup{}
	for caller := range 6 {
		callers.Go(func() {
			for request := 0; ctx.Err() == nil; request++ {
				// Half of the clients send one popular request, the others a new one each time.
				body := "popular"
				if caller%2 == 0 {
					body = fmt.Sprintf("request %d of %d", request, caller)
				}
				whole := false
				for try := 0; try < 6 && !whole; try++ {
					got := f.nodes[(caller+try)%len(f.nodes)].send(http.MethodPost, "/fixed/x", body, prompt)
					whole = got.err == nil && got.status == http.StatusOK
					if !whole {
						// Slightly longer than the Retry-After of a rejection.
						time.Sleep(200 * time.Millisecond)
					}
					if strings.Contains(got.body, string(failure.KindHeldOff)) {
						wrongly.Add(1)
					}
				}
				if whole {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
			}
		})
	}
	for i := range 3 {
		f.comeAgain("fixed", fmt.Sprint(deadly, i), f.nodes)
		f.requireHeldOff(fmt.Sprint(deadly, i))
	}
	stop()
	callers.Wait()
	require.Zero(t, wrongly.Load(), "a harmless request was quarantined")
	require.Zero(t, unserved.Load())
	require.Greater(t, served.Load(), int64(50))
}

// Guards against quarantining a long harmless request that shares its prompt with a crashing one.
// Prompt affinity sends both to the same engine, and the harmless one never completes and clears
// itself before the crash, so both reach the same crash count. Unless they are told apart, both
// are quarantined for ten minutes; this once rejected a harmless request 180 times. Here responses
// are long and no other requests are sent.
func TestALongRequestThatRanBesideTheEndsOfServersIsServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	for _, m := range f.machines {
		if m.Model != "" {
			m.Manner = standin.Paced(8, 100*time.Millisecond, "token")
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var served, wrongly atomic.Int64
	callers := sync.WaitGroup{}
	for caller := range 3 {
		callers.Go(func() {
			for try := caller; ctx.Err() == nil; try++ {
				got := f.nodes[try%len(f.nodes)].send(http.MethodPost, "/fixed/x", "popular", prompt)
				if strings.Contains(got.body, string(failure.KindHeldOff)) {
					wrongly.Add(1)
				}
				if got.err == nil && got.status == http.StatusOK {
					served.Add(1)
				} else {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	f.comeAgain("fixed", deadly, f.nodes)
	f.requireHeldOff(deadly)
	stop()
	callers.Wait()
	require.Zero(t, wrongly.Load(), "a harmless request was quarantined")
	require.NotZero(t, served.Load())
}

// Guards against taking a response from another instance at an engine's address, with the same or
// other weights, as a sign that the requested instance is alive.
func TestAnotherInstanceIsNoSignOfLife(t *testing.T) {
	t.Parallel()
	other := engine("i-other", standin.Streams(1, 0))
	fixture := newFixture(t).serve(other)
	server, _ := fixture.known("i-other")
	fixture.store.Put(standin.PrefixServers+"i-gone", engine("i-gone", nil).Entry("engines", server.Address, "a", "ready"))
	fixture.store.Remove(standin.PrefixServers + "i-other")
	fixture.until(func() bool { _, found := fixture.known("i-gone"); return found })
	before := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, fixture.send(http.MethodPost, "/fixed/x", "prompt", prompt).status)
	require.False(t, fixture.process.set.AnsweredSince(backend.ServerKey("i-gone"), before))
	require.Zero(t, other.Runs())
}

// Guards against missing a crash because the server is back at its address before the liveness
// check: a response from the new instance is no sign that the previous one is alive.
func TestServersThatAreBackAtOnceHaveEndedAllTheSame(t *testing.T) {
	for _, kind := range []string{"once", "fixed"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			for _, m := range f.machines {
				m.Down, m.Lag = 0, 400*time.Millisecond
			}
			ctx, stop := context.WithCancel(context.Background())
			callers := sync.WaitGroup{}
			for _, n := range f.nodes {
				callers.Go(func() {
					for ctx.Err() == nil {
						n.send(http.MethodPost, "/"+kind+"/x", "harmless", kinds[kind])
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			f.comeAgain(kind, deadly, f.nodes)
			stop()
			callers.Wait()
			f.requireHeldOff(deadly)
		})
	}
}

// Guards against a stale quarantine in the store: a request that completes after all, because it
// was already in flight, is cleared in the store too.
func TestAClearedRequestLeavesTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 4)
	n := f.nodes[0]
	n.until(func() bool { return n.process.reflector.Reads() })
	fingerprint := quarantine.Fingerprint(42)
	for server := range uint64(enoughEnds) {
		n.process.requests.Suspect(fingerprint)
		n.process.requests.Settle(fingerprint, server, time.Now(), true, time.Now())
	}
	kept := func() int { return len(f.store.Keys(platform.PrefixHeld)) }
	n.until(func() bool { return kept() == 1 })
	other := f.nodes[1].process.requests
	f.nodes[1].until(func() bool {
		return other.Judge(fingerprint, f.nodes[1].process.unsure, time.Now()).Held
	})
	require.True(t, other.Served(fingerprint, time.Now()))
	n.until(func() bool { return kept() == 0 })
	require.False(t, n.process.requests.Judge(fingerprint, n.process.unsure, time.Now()).Held)
}

// Guards against counting broken connections as crashes: a server that still responds has not
// crashed, and the affected request is served as soon as that is known.
func TestConnectionsThatBreakHoldOffNothingWhileServersLive(t *testing.T) {
	t.Parallel()
	breaks := atomic.Bool{}
	breaks.Store(true)
	manner := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "turn" && breaks.Load() {
			standin.Dies(server, w, r)
		}
		standin.Answers(http.StatusOK, "done")(server, w, r)
	}
	fixture := newFixture(t).serve(plainServer("i-1", manner), plainServer("i-2", manner), plainServer("i-3", manner), plainServer("i-4", manner))
	for range 8 {
		fixture.send(http.MethodPost, "/once/", "turn", nil)
		for range 6 {
			require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", "other", nil).status)
			time.Sleep(50 * time.Millisecond)
		}
	}
	breaks.Store(false)
	fixture.until(func() bool {
		fixture.send(http.MethodPost, "/once/", "other", nil)
		return fixture.send(http.MethodPost, "/once/", "turn", nil).status == http.StatusOK
	})
	fixture.until(func() bool { return len(fixture.store.Keys(platform.PrefixHeld)) == 0 })
}

// Guards against counting a planned shutdown as a crash: a draining server aborts the requests that
// it still runs.
func TestTheEndOfALeavingServerCountsAgainstNothing(t *testing.T) {
	t.Parallel()
	server := plainServer("i-1", nil)
	fixture := newFixture(t).serve(server, plainServer("i-2", standin.Answers(http.StatusOK, "done")))
	var address string
	for _, known := range fixture.process.set.Servers(time.Now()) {
		if known.Instance == server.Instance {
			address = known.Address
		}
	}
	server.SetManner(func(server *standin.Server, _ http.ResponseWriter, _ *http.Request) {
		fixture.list(server, address, "draining")
		for fixture.process.set.Stays(server.Instance) {
			time.Sleep(time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	})
	for server.Runs() == 0 {
		fixture.send(http.MethodPost, "/once/", "turn", nil)
	}
	require.False(t, fixture.process.requests.Active())
}

// A request that crashes servers is quarantined fleet-wide on every kind of route, and its clients
// immediately get a rejection that says that it did not run.
func TestARequestThatEndsServersIsHeldOff(t *testing.T) {
	for kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			last, took := f.comeAgain(kind, deadly, f.nodes)
			f.requireHeldOff(deadly)
			require.Equal(t, http.StatusServiceUnavailable, last.status, "rejected as not run")
			require.NotEmpty(t, last.header.Get("Retry-After"))
			require.Less(t, took, time.Second)
			others := sync.WaitGroup{}
			for name, change := range map[string]struct {
				path, body string
				request    func(*http.Request)
			}{
				"another body":   {"/" + kind + "/x", "harmless", nil},
				"another path":   {"/" + kind + "/y", deadly, nil},
				"another caller": {"/" + kind + "/x", deadly, func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-of-two") }},
			} {
				others.Go(func() {
					got := f.nodes[0].send(http.MethodPost, change.path, change.body, func(r *http.Request) {
						if kinds[kind] != nil {
							kinds[kind](r)
						}
						if change.request != nil {
							change.request(r)
						}
					})
					if got.status != http.StatusOK {
						t.Errorf("%s: status %d, %v", name, got.status, got.err)
					}
				})
			}
			others.Wait()
		})
	}
}
