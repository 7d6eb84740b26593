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
func TestSilentAttemptGoesOnWhereNoOtherServerTakesIt(t *testing.T) {
	const pause = time.Second
	late := func(c call) standin.Manner {
		return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
			time.Sleep(pause)
			soundly(c)(server, w, r)
		}
	}
	// The targets are 300 and 800 ms.
	for name, c := range map[string]call{"again": again, "resumable stream": resumed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := instanceOf(c, "i-1", late(c))
			fixture := newFixture(t).serve(slow)
			for range 2 {
				got := fixture.make(c)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
			}
			require.Len(t, slow.Arrivals(), 2, "each request was sent once")

			other := instanceOf(c, "i-2", soundly(c))
			fixture.add(other)
			fixture.until(func() bool { _, found := fixture.known("i-2"); return found })
			made := len(slow.Arrivals())
			fixture.until(func() bool {
				require.Equal(t, http.StatusOK, fixture.make(c).status)
				made++
				return len(slow.Arrivals())+len(other.Arrivals()) > made
			})
		})
	}
}
