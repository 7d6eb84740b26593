package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// Guards against requests that fail although their server would have answered: an attempt that
// exceeds its latency target is abandoned only if another server can take the request.
func TestSilentAttemptContinuesWithoutAlternative(t *testing.T) {
	const pause = time.Second
	late := func(c routeCall) standin.Handler {
		return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
			time.Sleep(pause)
			succeeds(c)(server, w, r)
		}
	}
	// The latency targets of the two routes, 300 and 800 ms, are shorter than the pause.
	for name, c := range map[string]routeCall{"again": idempotent, "resumable stream": resumableStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := newInstance(c, "i-1", late(c))
			fixture := newFixture(t).serve(slow)
			for range 2 {
				got := fixture.make(c)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
			}
			require.Len(t, slow.Arrivals(), 2, "each request was sent once")

			other := newInstance(c, "i-2", succeeds(c))
			fixture.addServer(other)
			fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-2"); return found })
			sent := len(slow.Arrivals())
			fixture.waitUntil(func() bool {
				require.Equal(t, http.StatusOK, fixture.make(c).status)
				sent++
				return len(slow.Arrivals())+len(other.Arrivals()) > sent
			})
		})
	}
}
