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
type lives struct {
	fixture *fixture
	address string
	serving *http.Server
	server  *standin.Server
}

// start starts the next incarnation under the same id and address, and writes its entry.
func (l *lives) begin(model string, version int64, manner standin.Manner) *standin.Server {
	if l.serving != nil {
		_ = l.serving.Close()
	}
	listen := l.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", listen)
	require.NoError(l.fixture.t, err)
	l.address = listener.Addr().String()
	l.server = standin.NewServer("i-1", model, version, manner)
	l.server.Born = time.Now().UnixMilli()
	l.serving = &http.Server{Handler: l.server}
	go func(serving *http.Server) { _ = serving.Serve(listener) }(l.serving)
	l.fixture.t.Cleanup(func() { _ = l.serving.Close() })
	l.fixture.list(l.server, l.address, "ready")
	return l.server
}

// waitForServers writes a declaration, and waits until the node knows a number of servers.
func (fixture *fixture) knows(servers int) {
	fixture.declare(key)
	fixture.until(func() bool { return len(fixture.process.set.Servers(time.Now())) == servers })
}

func TestAServerThatStartsAgainUnderItsNameIsAnother(t *testing.T) {
	for name, c := range allCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t)
			place := &lives{fixture: fixture}
			served, version := "", int64(0)
			if c.prompted {
				served, version = model, 1
			}
			first := place.begin(served, version, soundly(c))
			fixture.add(instanceOf(c, "i-2", soundly(c)))
			fixture.knows(2)
			first.Leave()
			fixture.reach(c, first)
			fixture.leaveNothing(c, first, true)
			time.Sleep(2 * time.Millisecond)
			second := place.begin(served, version, soundly(c))
			fixture.reach(c, second)
			fixture.until(func() bool { return len(fixture.process.set.Servers(time.Now())) == 2 })
		})
	}
	t.Run("orders to a server that has lost its order count", func(t *testing.T) {
		t.Parallel()
		fixture := newFixture(t)
		place := &lives{fixture: fixture}
		place.begin(model, 1, soundly(oneShot))
		fixture.knows(1)
		for version := int64(2); version < 5; version++ {
			fixture.store.NameVersion(model, version)
			fixture.until(func() bool { return place.server.Version() == version })
			begun := time.Now()
			place.begin(model, version, soundly(oneShot))
			fixture.store.NameVersion(model, version+1)
			fixture.until(func() bool { return place.server.Version() == version+1 })
			require.Less(t, time.Since(begun), contact, fmt.Sprint(version))
		}
	})
}
