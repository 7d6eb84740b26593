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
	herdWindow = 50 * time.Millisecond
	herdMost   = 2
	// burstSize is the number of requests that are sent concurrently.
	burst = 60
)

// succeedsAfterWindow responds as a healthy server does, but only after probeWindow.
func slowly(c call) standin.Manner {
	return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(herdWindow + 10*time.Millisecond)
		soundly(c)(server, w, r)
	}
}

// arrivalsInFirstWindow returns the number of arrivals within probeWindow of the first one at or
// after start.
func togetherAfter(server *standin.Server, moment time.Time) int {
	first, together := time.Time{}, 0
	for _, arrival := range server.Arrivals() {
		if arrival.At.Before(moment) {
			continue
		}
		if first.IsZero() {
			first = arrival.At
		}
		if arrival.At.Sub(first) < herdWindow {
			together++
		}
	}
	return together
}

// Guards against a thundering herd at the end of a server's backoff: of requests that are placed
// concurrently, only one may probe the server.
func TestBackoffEndAdmitsOneProbe(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tired := instanceOf(c, "i-1", soundly(c))
			fixture := newFixture(t).serve(tired)
			for round := range 2 {
				tired.SetManner(standin.Rests("0.3"))
				fixture.reach(c, tired)
				arrivals := tired.Arrivals()
				rested := arrivals[len(arrivals)-1].At
				tired.SetManner(slowly(c))
				fixture.until(func() bool {
					fixture.makeMany(c, burst)
					arrivals := tired.Arrivals()
					return arrivals[len(arrivals)-1].At.After(rested.Add(time.Millisecond))
				})
				require.LessOrEqual(t, togetherAfter(tired, rested.Add(time.Millisecond)), herdMost, "round %d", round)
				fixture.until(func() bool {
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
func TestServerThatFailsBesideASoundOneIsOnlyProbed(t *testing.T) {
	for name, c := range map[string]call{"once": once, "again": again} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failing, sound := instanceOf(c, "i-1", standin.Dies), instanceOf(c, "i-2", standin.Dies)
			fixture := newFixture(t).serve(failing, sound)
			fixture.makeMany(c, burst)
			sound.SetManner(soundly(c))
			recovered := time.Now()
			for time.Since(recovered) < time.Second {
				fixture.makeMany(c, burst)
			}
			require.LessOrEqual(t, failing.Most(herdWindow, recovered), herdMost, "%d in all", len(failing.Reached(recovered)))
		})
	}
}
