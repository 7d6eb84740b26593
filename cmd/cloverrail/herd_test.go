package main

import (
	"net/http"
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

// Guards against a thundering herd on a server that keeps failing while another has recovered.
func TestFailingServerIsOnlyProbedWhileAnotherIsHealthy(t *testing.T) {
	for name, c := range map[string]routeCall{"once": nonIdempotent, "again": idempotent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failing, healthy := newInstance(c, "i-1", standin.AbortConnection), newInstance(c, "i-2", standin.AbortConnection)
			fixture := newFixture(t).serve(failing, healthy)
			fixture.makeMany(c, burstSize)
			healthy.SetHandler(succeeds(c))
			recovered := time.Now()
			for time.Since(recovered) < time.Second {
				fixture.makeMany(c, burstSize)
			}
			require.LessOrEqual(t, failing.PeakReceived(probeWindow, recovered), maxProbes, "%d in all", len(failing.ReceivedSince(recovered)))
		})
	}
}
