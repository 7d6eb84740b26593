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

// newSuspendableFixture starts a node in front of servers, on a machine that can be suspended.
func newSuspendableFixture(t *testing.T, servers ...*standin.Server) (*fixture, *suspension.Machine) {
	machine, restore := suspension.Install()
	fixture := newFixture(t).serve(servers...)
	// Cleanups run in reverse order: the clock is restored while the node still runs.
	t.Cleanup(restore)
	return fixture, machine
}

// muteStore makes the store stop responding.
func (fixture *fixture) muteStore() {
	fixture.store.SetFault(func(*http.Request) standin.Fault { return standin.FaultNoResponse })
}

// Guards against a node that accepts a removed key after a suspension. The monotonic clock stops
// while the machine is suspended, so the node's copy of the keys would still seem fresh.
func TestResumedNodeRejectsKeysUntilReadAgain(t *testing.T) {
	server := plainServer("i-1", standin.Respond(http.StatusOK, "done"))
	fixture, machine := newSuspendableFixture(t, server)
	require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", "turn", nil).status)
	fixture.muteStore()
	fixture.store.Put(standin.KeyConfiguration, newDocument(2, "another-key"))
	machine.Suspend(fixture.process.settings.Bounds.Revocation)
	got := fixture.send(http.MethodPost, "/once/", "turn", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, 1, server.Runs())
	require.False(t, fixture.process.proxy.Ready(boottime.Now()), "clients go to other nodes until it has read the store")
	fixture.store.SetFault(nil)
	fixture.waitUntil(func() bool { return fixture.process.proxy.Ready(boottime.Now()) })
	require.Equal(t, http.StatusUnauthorized, fixture.send(http.MethodPost, "/once/", "turn", nil).status)
}

// Guards against a retry after the client's deadline. The deadline also advances while the
// machine is suspended.
func TestDeadlineExpiresDuringSuspension(t *testing.T) {
	first, second := plainServer("i-1", nil), plainServer("i-2", nil)
	fixture, machine := newSuspendableFixture(t, first, second)
	for _, server := range []*standin.Server{first, second} {
		server.SetHandler(func(*standin.Server, http.ResponseWriter, *http.Request) {
			machine.Suspend(time.Minute)
			panic(http.ErrAbortHandler)
		})
	}
	got := fixture.send(http.MethodGet, "/again/", "", nil)
	require.Equal(t, http.StatusBadGateway, got.status, "it may have run")
	require.Equal(t, 1, first.Runs()+second.Runs(), "the client's deadline has passed")
	require.False(t, fixture.process.quarantineLedger.Active(), "a connection that broke during a suspension is no sign of a crash")
}
