package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/lab/suspension"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// suspended starts a node before a server, and a machine for it that can be suspended.
func suspended(t *testing.T, servers ...*standin.Server) (*fixture, *suspension.Machine) {
	machine, restore := suspension.Begin()
	fixture := newFixture(t).serve(servers...)
	// Before the node ends: its clock goes on until then.
	t.Cleanup(restore)
	return fixture, machine
}

// silence lets the store answer nobody any more.
func (fixture *fixture) silence() {
	fixture.store.SetHarm(func(*http.Request) standin.Harm { return standin.Mute })
}

// While a node is suspended, its steady clock stands still: what it believes of keys would
// be as young as before, and a key that was taken away meanwhile would still work.
func TestANodeThatWasSuspendedDoesNotTrustWhatItBelievedOfKeys(t *testing.T) {
	server := plainServer("i-1", standin.Answers(http.StatusOK, "done"))
	fixture, machine := suspended(t, server)
	require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", "turn", nil).status)
	fixture.silence()
	fixture.store.Put(standin.KeyConfiguration, declared(2, "another-key"))
	machine.Suspend(fixture.process.settings.Bounds.Revocation)
	got := fixture.send(http.MethodPost, "/once/", "turn", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, 1, server.Runs())
	require.False(t, fixture.process.proxy.Ready(boottime.Now()), "callers go to other nodes until it has read")
	fixture.store.SetHarm(nil)
	fixture.until(func() bool { return fixture.process.proxy.Ready(boottime.Now()) })
	require.Equal(t, http.StatusUnauthorized, fixture.send(http.MethodPost, "/once/", "turn", nil).status)
}

// A caller's deadline goes on in a suspension: what waits for a server is not sent to one
// after it.
func TestARequestIsNotSentAfterADeadlineThatPassedInASuspension(t *testing.T) {
	first, second := plainServer("i-1", nil), plainServer("i-2", nil)
	fixture, machine := suspended(t, first, second)
	for _, server := range []*standin.Server{first, second} {
		server.SetManner(func(*standin.Server, http.ResponseWriter, *http.Request) {
			machine.Suspend(time.Minute)
			panic(http.ErrAbortHandler)
		})
	}
	got := fixture.send(http.MethodGet, "/again/", "", nil)
	require.Equal(t, http.StatusBadGateway, got.status, "it may have run")
	require.Equal(t, 1, first.Runs()+second.Runs(), "the caller's time is over")
	require.False(t, fixture.process.requests.Active(), "a connection that broke in a suspension says nothing of the server")
}
