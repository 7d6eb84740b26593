package main

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against state of a server's previous incarnation being applied to the next
// one. A server may restart with the same id and address within a heartbeat, so that its entry
// never expires. Its draining notice, backoff, cache contents and order count were keyed by id
// alone, and so outlived the restart.

// restartableServer is an address at which successive incarnations of a server run.
type restartableServer struct {
	fixture    *fixture
	address    string
	httpServer *http.Server
	server     *standin.Server
}

// start starts the next incarnation under the same id and address, and writes its entry.
func (r *restartableServer) start(model string, version int64, handler standin.Handler) *standin.Server {
	return r.startServer(standin.NewServer("i-1", model, version, handler))
}

// startSoftware starts the next incarnation as an engine of a software version.
func (r *restartableServer) startSoftware(software string, handler standin.Handler) *standin.Server {
	server := engine("i-1", handler)
	server.Software = software
	return r.startServer(server)
}

func (r *restartableServer) startServer(server *standin.Server) *standin.Server {
	r.run(server)
	r.fixture.registerServer(r.server, r.address, "ready")
	return r.server
}

// run starts the next incarnation, whose entry is not written.
func (r *restartableServer) run(server *standin.Server) {
	if r.httpServer != nil {
		_ = r.httpServer.Close()
	}
	listen := r.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", listen)
	require.NoError(r.fixture.t, err)
	r.address = listener.Addr().String()
	r.server = server
	r.server.Born = time.Now().UnixMilli()
	r.httpServer = &http.Server{Handler: r.server}
	go func(httpServer *http.Server) { _ = httpServer.Serve(listener) }(r.httpServer)
	r.fixture.t.Cleanup(func() { _ = r.httpServer.Close() })
}

// waitForServers writes a declaration, and waits until the node knows a number of servers.
func (fixture *fixture) waitForServers(servers int) {
	fixture.declare(key)
	fixture.waitUntil(func() bool { return len(fixture.process.serverSet.Servers(time.Now())) == servers })
}

func TestRestartedServerIsNewIncarnation(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t)
			restartable := &restartableServer{fixture: fixture}
			servedModel, version := "", int64(0)
			if c.prompted {
				servedModel, version = model, 1
			}
			first := restartable.start(servedModel, version, succeeds(c))
			fixture.addServer(newInstance(c, "i-2", succeeds(c)))
			fixture.waitForServers(2)
			first.AnnounceDraining()
			fixture.requestUntilReached(c, first)
			fixture.requireNoneReached(c, first, true)
			time.Sleep(2 * time.Millisecond)
			second := restartable.start(servedModel, version, succeeds(c))
			fixture.requestUntilReached(c, second)
			fixture.waitUntil(func() bool { return len(fixture.process.serverSet.Servers(time.Now())) == 2 })
		})
	}
	t.Run("orders to a server that has lost its order count", func(t *testing.T) {
		t.Parallel()
		fixture := newFixture(t)
		restartable := &restartableServer{fixture: fixture}
		restartable.start(model, 1, succeeds(plainStream))
		fixture.waitForServers(1)
		for version := int64(2); version < 5; version++ {
			fixture.store.ReleaseVersion(model, version)
			fixture.waitUntil(func() bool { return restartable.server.Version() == version })
			restartedAt := time.Now()
			restartable.start(model, version, succeeds(plainStream))
			fixture.store.ReleaseVersion(model, version+1)
			fixture.waitUntil(func() bool { return restartable.server.Version() == version+1 })
			require.Less(t, time.Since(restartedAt), propagationTime, fmt.Sprint(version))
		}
	})
}
