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
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against a request that crashes every server that runs it. Its client retries
// at any node, and each retry used to be a new request without history: after three crashes one
// such request was sent 14 more times and took down 23 servers in all, with everything they ran.
// The retries share one fingerprint: client, method, host, target and body.

const (
	crashingBody = "deadly"
	// propagationTime is the time within which all nodes learn what one of them knows.
	propagationTime = 3 * time.Second
	// crashThreshold is the number of crashes after which a request is quarantined;
	// maxLateAttempts may still reach a server more than propagationTime after that.
	crashThreshold  = 3
	maxLateAttempts = 3
	// bystanderPatience is how long a bystander of crashes retries: until all nodes know of them, and
	// a second for the crashes up to the threshold and for a response.
	bystanderPatience = propagationTime + time.Second
)

// crashTimes returns the start times of the runs of a body that crashed a server.
func (f *fleetFixture) crashTimes(body string) (startTimes []time.Time) {
	for _, m := range f.machines {
		for _, crash := range m.Crashes() {
			if crash.Body == body {
				startTimes = append(startTimes, crash.StartedAt)
			}
		}
	}
	return startTimes
}

// routeKinds holds the kinds of route with the change that their requests need: non-idempotent,
// idempotent, resumable stream and plain stream.
var routeKinds = map[string]func(*http.Request){"once": nil, "again": nil, "stream": setPromptHeaders, "fixed": setPromptHeaders}

// retryUntilQuarantined sends a crashing body to the nodes in turn until a second more than
// propagationTime has passed since the crash threshold was reached. It returns the last result and
// how long that took.
func (f *fleetFixture) retryUntilQuarantined(kind, body string, nodes []*fixture) (last clientResult, elapsed time.Duration) {
	quarantinedAt := time.Time{}
	for attempt := 0; quarantinedAt.IsZero() || time.Since(quarantinedAt) < propagationTime+time.Second; attempt++ {
		sentAt := time.Now()
		last = nodes[attempt%len(nodes)].send(http.MethodPost, "/"+kind+"/x", body, routeKinds[kind])
		elapsed = time.Since(sentAt)
		if quarantinedAt.IsZero() && len(f.crashTimes(body)) >= crashThreshold {
			quarantinedAt = time.Now()
		}
		require.Less(f.t, attempt, 300, "the request never reached the crash threshold")
		time.Sleep(100 * time.Millisecond)
	}
	return last, elapsed
}

// requireQuarantined checks that at most maxLateAttempts reached a server once all nodes could know
// of the crashes.
func (f *fleetFixture) requireQuarantined(body string) {
	startTimes := f.crashTimes(body)
	slices.SortFunc(startTimes, time.Time.Compare)
	thresholdReached := startTimes[crashThreshold-1]
	late := 0
	for _, at := range startTimes {
		if at.After(thresholdReached.Add(propagationTime)) {
			late++
		}
	}
	require.LessOrEqual(f.t, late, maxLateAttempts, "of %d crashes in all", len(startTimes))
}

// requireRejected sends a body to a node repeatedly, and checks that at most maxLateAttempts reach a
// server and that the last one is rejected as not run.
func (f *fleetFixture) requireRejected(n *fixture, kind, body string) {
	before, last := len(f.crashTimes(body)), clientResult{}
	for range 3 * maxLateAttempts {
		last = n.send(http.MethodPost, "/"+kind+"/x", body, routeKinds[kind])
		time.Sleep(100 * time.Millisecond)
	}
	require.LessOrEqual(f.t, len(f.crashTimes(body))-before, maxLateAttempts)
	require.Equal(f.t, http.StatusServiceUnavailable, last.status)
	require.Contains(f.t, last.body, string(failure.KindQuarantined))
}

func TestSingleNodeQuarantinesCrashingRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 6)
	f.retryUntilQuarantined("fixed", crashingBody, f.nodes)
	f.requireQuarantined(crashingBody)
}

// Guards against losing a quarantine with the nodes that saw the crashes: a node that starts later
// learns it from its peers, and a fleet whose nodes are all replaced reads it from the store.
func TestQuarantineOutlivesReportingNodes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	f.retryUntilQuarantined("fixed", crashingBody, f.nodes)
	f.requireQuarantined(crashingBody)
	later := f.addNode()
	f.awaitReady(later)
	f.requireRejected(later, "fixed", crashingBody)
	f.nodes[0].waitUntil(func() bool { return len(f.store.Keys(platform.PrefixQuarantine)) == 1 })
	for _, n := range f.nodes {
		n.kill()
		f.running--
	}
	for range 2 {
		f.awaitReady(f.addNode())
	}
	f.requireRejected(f.nodes[len(f.nodes)-1], "fixed", crashingBody)
	f.requireRejected(f.nodes[len(f.nodes)-2], "fixed", crashingBody)
}

// Guards against a node that misses a quarantine because it was partitioned and suspended while
// the others learned of it.
func TestPartitionedAndSuspendedNodeLearnsQuarantine(t *testing.T) {
	machine, restore := suspension.Install()
	f := newFleet(t, 3, 8)
	t.Cleanup(restore)
	partitioned := f.nodes[2]
	partitioned.setIsolated(true)
	f.retryUntilQuarantined("fixed", crashingBody, f.nodes[:2])
	f.requireQuarantined(crashingBody)
	machine.Suspend(20 * time.Second)
	partitioned.setIsolated(false)
	time.Sleep(propagationTime)
	f.requireRejected(partitioned, "fixed", crashingBody)
	f.requireRejected(f.nodes[0], "fixed", crashingBody)
}

// Guards against quarantining bystanders: requests that run on a crashing server are served once
// all nodes can know of the crashes, fail only while servers crash, and a popular one that is running at
// almost every crash is never quarantined.
func TestBystandersOfCrashesAreServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	for _, m := range f.machines {
		if m.Model != "" {
			m.Handler = standin.StreamPaced(8, 30*time.Millisecond, "token")
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var served, unserved, falselyQuarantined atomic.Int64
	failures := failedTries{}
	callers := sync.WaitGroup{}
	for caller := range 6 {
		callers.Go(func() {
			for request := 0; ctx.Err() == nil; request++ {
				// Half of the clients send one popular request, the others a new one each time.
				body := "popular"
				if caller%2 == 0 {
					body = fmt.Sprintf("request %d of %d", request, caller)
				}
				complete, firstSentAt := false, time.Now()
				for try := 0; !complete && time.Since(firstSentAt) < bystanderPatience; try++ {
					sent := f.sendTry((caller+try)%len(f.nodes), fmt.Sprintf("bystander-%d-%d-%d", caller, request, try), body)
					got := sent.got
					complete = got.err == nil && got.status == http.StatusOK
					if !complete {
						failures.add(sent)
						// Slightly longer than the Retry-After of a rejection.
						time.Sleep(200 * time.Millisecond)
					}
					if strings.Contains(got.body, string(failure.KindQuarantined)) {
						falselyQuarantined.Add(1)
					}
				}
				if complete {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
			}
		})
	}
	for i := range 3 {
		f.retryUntilQuarantined("fixed", fmt.Sprint(crashingBody, i), f.nodes)
		f.requireQuarantined(fmt.Sprint(crashingBody, i))
	}
	stop()
	callers.Wait()
	require.Zero(t, falselyQuarantined.Load(), "a harmless request was quarantined")
	require.Zero(t, unserved.Load())
	for _, try := range failures.tries {
		if try.got.status == http.StatusServiceUnavailable {
			f.requireOnlyMisdirected(try, failures.tries)
			continue
		}
		require.True(t, f.anyCrashed(try.sentAt.Add(-f.machines[0].Downtime), try.endedAt), "no server was down during a try that failed: %s", f.describe(try))
	}
	require.Greater(t, served.Load(), int64(50))
}

// bystanderTry is a try of a bystander.
type bystanderTry struct {
	id, body        string
	node            int
	sentAt, endedAt time.Time
	// hadShare says that the node had its share of the fleet's retries all the time.
	hadShare bool
	got      clientResult
}

// sendTry sends a request of a bystander to a node.
func (f *fleetFixture) sendTry(node int, id, body string) bystanderTry {
	n := f.nodes[node]
	try := bystanderTry{id: id, body: body, node: node, sentAt: time.Now(), hadShare: n.process.retryBudgets.Nodes() > 0}
	try.got = n.send(http.MethodPost, "/fixed/x", body, func(request *http.Request) {
		setPromptHeaders(request)
		request.Header.Set(standin.HeaderRequestID, id)
	})
	try.endedAt = time.Now()
	try.hadShare = try.hadShare && n.process.retryBudgets.Nodes() > 0
	return try
}

// requireOnlyMisdirected checks that a rejected try was turned away by the successor of a crashed server, that its node
// could not retry it for want of its share of the fleet's retries, and that no failed try had told the node before that
// the crashed server was replaced. Other servers are up, so that nothing else is a reason to reject it.
func (f *fleetFixture) requireOnlyMisdirected(try bystanderTry, failed []bystanderTry) {
	require.False(f.t, try.hadShare, "a node with retries left rejected a try: %s", f.describe(try))
	replaced := f.misdirectedFrom(try.id)
	require.NotEmpty(f.t, replaced, "no server turned away a try that was rejected: %s", f.describe(try))
	for _, earlier := range failed {
		if earlier.node != try.node || !earlier.endedAt.Before(try.sentAt) {
			continue
		}
		for _, instance := range f.misdirectedFrom(earlier.id) {
			require.NotContains(f.t, replaced, instance, "the node knew from %s that the server was replaced: %s", earlier.id, f.describe(try))
		}
	}
}

// misdirectedFrom returns the replaced instances that the attempts of a request were meant for.
func (f *fleetFixture) misdirectedFrom(id string) (instances []string) {
	for _, m := range f.machines {
		for _, server := range m.Incarnations() {
			for _, arrival := range server.Misdirected() {
				if arrival.Header.Get(standin.HeaderRequestID) == id {
					instances = append(instances, arrival.Header.Get(standin.HeaderExpectInstance))
				}
			}
		}
	}
	return instances
}

// describe returns what the caller of a failed try received, and the crashes around it in milliseconds since it was sent.
func (f *fleetFixture) describe(try bystanderTry) string {
	since := func(at time.Time) int64 { return at.Sub(try.sentAt).Milliseconds() }
	var crashes []string
	for _, m := range f.machines {
		for _, crash := range m.Crashes() {
			if crash.At.After(try.sentAt.Add(-propagationTime)) && crash.StartedAt.Before(try.endedAt.Add(propagationTime)) {
				crashes = append(crashes, fmt.Sprintf("%s began %d ended %d", crash.Instance, since(crash.StartedAt), since(crash.At)))
			}
		}
	}
	return fmt.Sprintf("%s (%q) at node %d: status %d after %d ms, Retry-After %q, error %v, body %q; meant for replaced instances: %v; crashes: %s",
		try.id, try.body, try.node, try.got.status, since(try.endedAt), try.got.header.Get("Retry-After"), try.got.err, try.got.body, f.misdirectedFrom(try.id), strings.Join(crashes, ", "))
}

// failedTries collects failed tries. It is safe for concurrent use.
type failedTries struct {
	mutex sync.Mutex
	tries []bystanderTry
}

func (failures *failedTries) add(try bystanderTry) {
	failures.mutex.Lock()
	defer failures.mutex.Unlock()
	failures.tries = append(failures.tries, try)
}

// anyCrashed reports whether a run that crashed a server began within a time.
func (f *fleetFixture) anyCrashed(from, to time.Time) bool {
	for _, m := range f.machines {
		for _, crash := range m.Crashes() {
			if !crash.StartedAt.Before(from) && !crash.StartedAt.After(to) {
				return true
			}
		}
	}
	return false
}

// Guards against quarantining a long harmless request that shares its prompt with a crashing one.
// Prompt affinity sends both to the same engine, and the harmless one never completes and clears
// itself before the crash, so both reach the same crash count. Unless they are told apart, both
// are quarantined for ten minutes; this once rejected a harmless request 180 times.
func TestLongBystanderOfCrashesIsServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	// Responses are long, and no other requests are sent.
	for _, m := range f.machines {
		if m.Model != "" {
			m.Handler = standin.StreamPaced(8, 100*time.Millisecond, "token")
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var served, falselyQuarantined atomic.Int64
	callers := sync.WaitGroup{}
	for caller := range 3 {
		callers.Go(func() {
			for try := caller; ctx.Err() == nil; try++ {
				got := f.nodes[try%len(f.nodes)].send(http.MethodPost, "/fixed/x", "popular", setPromptHeaders)
				if strings.Contains(got.body, string(failure.KindQuarantined)) {
					falselyQuarantined.Add(1)
				}
				if got.err == nil && got.status == http.StatusOK {
					served.Add(1)
				} else {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	f.retryUntilQuarantined("fixed", crashingBody, f.nodes)
	f.requireQuarantined(crashingBody)
	stop()
	callers.Wait()
	require.Zero(t, falselyQuarantined.Load(), "a harmless request was quarantined")
	require.NotZero(t, served.Load())
}

// Guards against taking a response from another instance at an engine's address, with the same or
// other weights, as a sign that the requested instance is alive.
func TestResponseOfOtherInstanceIsNotLiveness(t *testing.T) {
	t.Parallel()
	other := engine("i-other", standin.StreamEvents(1, 0))
	fixture := newFixture(t).serve(other)
	server, _ := fixture.listedServer("i-other")
	fixture.store.Put(standin.PrefixServers+"i-gone", engine("i-gone", nil).Entry("engines", server.Address, "a", "ready"))
	fixture.store.Remove(standin.PrefixServers + "i-other")
	fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-gone"); return found })
	before := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, fixture.send(http.MethodPost, "/fixed/x", "prompt", setPromptHeaders).status)
	require.False(t, fixture.process.serverSet.AnsweredSince(backend.ServerKey("i-gone"), before))
	require.Zero(t, other.Runs())
}

// Guards against missing a crash because the server is back at its address before the liveness
// check: a response from the new instance is no sign that the previous one is alive.
func TestImmediateRestartCountsAsCrash(t *testing.T) {
	for _, kind := range []string{"once", "fixed"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			for _, m := range f.machines {
				m.Downtime, m.RegistrationLag = 0, 400*time.Millisecond
			}
			ctx, stop := context.WithCancel(context.Background())
			callers := sync.WaitGroup{}
			for _, n := range f.nodes {
				callers.Go(func() {
					for ctx.Err() == nil {
						n.send(http.MethodPost, "/"+kind+"/x", "harmless", routeKinds[kind])
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			f.retryUntilQuarantined(kind, crashingBody, f.nodes)
			stop()
			callers.Wait()
			f.requireQuarantined(crashingBody)
		})
	}
}

// Guards against a stale quarantine in the store: a request that completes after all, because it
// was already in flight, is cleared in the store too.
func TestClearedRequestIsRemovedFromStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 4)
	n := f.nodes[0]
	n.waitUntil(func() bool { return n.process.reflector.Reads() })
	fingerprint := quarantine.Suspects{Request: 42}
	for server := range uint64(crashThreshold) {
		n.process.quarantineLedger.Suspect(fingerprint)
		n.process.quarantineLedger.Resolve(fingerprint, server, time.Now(), true, time.Now())
	}
	storedCount := func() int { return len(f.store.Keys(platform.PrefixQuarantine)) }
	n.waitUntil(func() bool { return storedCount() == 1 })
	other := f.nodes[1].process.quarantineLedger
	f.nodes[1].waitUntil(func() bool {
		return other.Evaluate(fingerprint, f.nodes[1].process.crashUnconfirmed, time.Now()).Quarantined
	})
	require.NotEmpty(t, other.Served(fingerprint, time.Now(), time.Now()))
	n.waitUntil(func() bool { return storedCount() == 0 })
	require.False(t, n.process.quarantineLedger.Evaluate(fingerprint, n.process.crashUnconfirmed, time.Now()).Quarantined)
}

// Guards against counting broken connections as crashes: a server that still responds has not
// crashed, and the affected request is served as soon as that is known.
func TestBrokenConnectionsToLiveServersQuarantineNothing(t *testing.T) {
	t.Parallel()
	breaks := atomic.Bool{}
	breaks.Store(true)
	handler := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "turn" && breaks.Load() {
			standin.AbortConnection(server, w, r)
		}
		standin.Respond(http.StatusOK, "done")(server, w, r)
	}
	fixture := newFixture(t).serve(plainServer("i-1", handler), plainServer("i-2", handler), plainServer("i-3", handler), plainServer("i-4", handler))
	for range 8 {
		fixture.send(http.MethodPost, "/once/", "turn", nil)
		for range 6 {
			require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", "other", nil).status)
			time.Sleep(50 * time.Millisecond)
		}
	}
	breaks.Store(false)
	fixture.waitUntil(func() bool {
		fixture.send(http.MethodPost, "/once/", "other", nil)
		return fixture.send(http.MethodPost, "/once/", "turn", nil).status == http.StatusOK
	})
	fixture.waitUntil(func() bool { return len(fixture.store.Keys(platform.PrefixQuarantine)) == 0 })
}

// Guards against counting a planned shutdown as a crash: a draining server aborts the requests that
// it still runs.
func TestPlannedShutdownIsNotACrash(t *testing.T) {
	t.Parallel()
	server := plainServer("i-1", nil)
	fixture := newFixture(t).serve(server, plainServer("i-2", standin.Respond(http.StatusOK, "done")))
	var address string
	for _, known := range fixture.process.serverSet.Servers(time.Now()) {
		if known.Instance == server.Instance {
			address = known.Address
		}
	}
	server.SetHandler(func(server *standin.Server, _ http.ResponseWriter, _ *http.Request) {
		fixture.registerServer(server, address, "draining")
		for fixture.process.serverSet.InService(server.Instance) {
			time.Sleep(time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	})
	for server.Runs() == 0 {
		fixture.send(http.MethodPost, "/once/", "turn", nil)
	}
	require.False(t, fixture.process.quarantineLedger.Active())
}

// A request that crashes servers is quarantined fleet-wide on every kind of route, and its clients
// immediately get a rejection that says that it did not run.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for kind := range routeKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			last, elapsed := f.retryUntilQuarantined(kind, crashingBody, f.nodes)
			f.requireQuarantined(crashingBody)
			require.Equal(t, http.StatusServiceUnavailable, last.status, "rejected as not run")
			require.NotEmpty(t, last.header.Get("Retry-After"))
			require.Less(t, elapsed, time.Second)
			others := sync.WaitGroup{}
			for name, variant := range map[string]struct {
				path, body string
				request    func(*http.Request)
			}{
				"another body":   {"/" + kind + "/x", "harmless", nil},
				"another path":   {"/" + kind + "/y", crashingBody, nil},
				"another caller": {"/" + kind + "/x", crashingBody, func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-of-two") }},
			} {
				others.Go(func() {
					got := f.nodes[0].send(http.MethodPost, variant.path, variant.body, func(r *http.Request) {
						if routeKinds[kind] != nil {
							routeKinds[kind](r)
						}
						if variant.request != nil {
							variant.request(r)
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

// Guards against a request that clears itself by what it does: the servers that it has crashed refuse connections, which
// looks as if the node were partitioned from all of them, so that its crashes were settled seconds late, and 10 to 50
// tries reached servers too late.
func TestCrashedServersAreNotTakenForPartition(t *testing.T) {
	t.Parallel()
	f := &fleetFixture{t: t}
	f.store, f.storeAddress = newStore(t)
	for i := range 16 {
		f.startMachine(&standin.Machine{Name: fmt.Sprint("p", i), Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
		m := f.machines[i]
		m.Downtime, m.EntryTTL = 2500*time.Millisecond, 1500*time.Millisecond
	}
	n := f.addNodeWith(func(config *settings.Proxy) { config.Heartbeat = 1200 * time.Millisecond })
	f.store.Put(standin.KeyConfiguration, newDocument(1, key))
	f.awaitReady(n)
	for range 60 {
		n.send(http.MethodPost, "/again/x", crashingBody, nil)
		time.Sleep(150 * time.Millisecond)
	}
	t.Logf("%d crashes", len(f.crashTimes(crashingBody)))
	f.requireQuarantined(crashingBody)
}
