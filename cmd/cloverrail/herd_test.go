package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// A node may send at most maxProbes requests within probeWindow of the first one to a server
	// that it only probes.
	probeWindow = 50 * time.Millisecond
	maxProbes   = 2
	// burstSize is the number of requests that are sent concurrently.
	burstSize = 60
	// holdTime is how long a counted handler holds each request, so that requests that are sent
	// together overlap.
	holdTime = probeWindow / 5
)

// succeedsAfterWindow responds as a healthy server does, but only after probeWindow.
func succeedsAfterWindow(c routeCall) standin.Handler {
	return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(probeWindow + 10*time.Millisecond)
		succeeds(c)(server, w, r)
	}
}

// arrivalsInFirstWindow returns the number of arrivals within probeWindow of the first one at or
// after start.
func arrivalsInFirstWindow(server *standin.Server, start time.Time) int {
	first, count := time.Time{}, 0
	for _, arrival := range server.Arrivals() {
		if arrival.At.Before(start) {
			continue
		}
		if first.IsZero() {
			first = arrival.At
		}
		if arrival.At.Sub(first) < probeWindow {
			count++
		}
	}
	return count
}

// Guards against a thundering herd at the end of a server's backoff: of requests that are placed
// concurrently, only one may probe the server.
func TestBackoffEndAdmitsOneProbe(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newInstance(c, "i-1", succeeds(c))
			fixture := newFixture(t).serve(server)
			for round := range 2 {
				server.SetHandler(standin.RejectRetryAfter("0.3"))
				fixture.requestUntilReached(c, server)
				arrivals := server.Arrivals()
				backoffStart := arrivals[len(arrivals)-1].At
				server.SetHandler(succeedsAfterWindow(c))
				fixture.waitUntil(func() bool {
					fixture.makeMany(c, burstSize)
					arrivals := server.Arrivals()
					return arrivals[len(arrivals)-1].At.After(backoffStart.Add(time.Millisecond))
				})
				require.LessOrEqual(t, arrivalsInFirstWindow(server, backoffStart.Add(time.Millisecond)), maxProbes, "round %d", round)
				fixture.waitUntil(func() bool {
					for _, got := range fixture.makeMany(c, 8) {
						if got.status != http.StatusOK {
							return false
						}
					}
					return true
				})
			}
		})
	}
}

// concurrencyCounter runs a handler and records the largest number of its concurrent runs.
type concurrencyCounter struct {
	handler       standin.Handler
	running, peak atomic.Int64
}

// handle runs the handler after holdTime.
func (c *concurrencyCounter) handle(server *standin.Server, w http.ResponseWriter, r *http.Request) {
	running := c.running.Add(1)
	// Runs before an aborted connection is closed, so that the proxy cannot send the next probe earlier.
	defer c.running.Add(-1)
	for peak := c.peak.Load(); running > peak && !c.peak.CompareAndSwap(peak, running); peak = c.peak.Load() {
	}
	time.Sleep(holdTime)
	c.handler(server, w, r)
}

// firstServedAt sends bursts of requests for a duration, and returns when the first complete response
// arrived; zero if there was none.
func (fixture *fixture) firstServedAt(c routeCall, duration time.Duration) time.Time {
	var mutex sync.Mutex
	var first time.Time
	for start := time.Now(); time.Since(start) < duration; {
		var sent sync.WaitGroup
		for range burstSize {
			sent.Go(func() {
				served := fixture.make(c).status == http.StatusOK
				mutex.Lock()
				defer mutex.Unlock()
				if served && first.IsZero() {
					first = time.Now()
				}
			})
		}
		sent.Wait()
	}
	return first
}

// Guards against a thundering herd on a server that keeps failing while another has recovered. Until
// the proxy has seen a response of the recovered server, all servers have failed as far as it knows, and
// it probes each with one request at a time. From then on, it probes the failing server only when
// the open duration of its breaker has passed.
func TestFailingServerIsOnlyProbedWhileAnotherIsHealthy(t *testing.T) {
	for name, c := range map[string]routeCall{"once": nonIdempotent, "again": idempotent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failing, healthy := newInstance(c, "i-1", standin.AbortConnection), newInstance(c, "i-2", standin.AbortConnection)
			fixture := newFixture(t).serve(failing, healthy)
			fixture.makeMany(c, burstSize)
			probes := &concurrencyCounter{handler: standin.AbortConnection}
			failing.SetHandler(probes.handle)
			healthy.SetHandler(succeeds(c))
			recovered := time.Now()
			servedAt := fixture.firstServedAt(c, time.Second)
			require.False(t, servedAt.IsZero(), "the recovered server was not used")
			require.Less(t, servedAt.Sub(recovered), time.Second/2, "the recovered server was probed late")
			require.LessOrEqual(t, probes.peak.Load(), int64(1), "concurrent probes")
			require.LessOrEqual(t, failing.PeakReceived(probeWindow, servedAt), maxProbes, "%d in all", len(failing.ReceivedSince(servedAt)))
		})
	}
}
