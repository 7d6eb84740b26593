package main

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// stallTimeout is how long a client may take nothing of what is written to it.
const stallTimeout = 2 * time.Second

// closePollInterval is the interval between checks for open connections while they are closed.
const closePollInterval = 5 * time.Millisecond

// delayInterval is the interval between two measurements of the scheduling delay.
const delayInterval = 100 * time.Millisecond

// limitConnections returns a listener of clients' connections that accepts as many as this node can serve, until the
// context ends.
func (process *process) limitConnections(ctx context.Context, listener net.Listener) *connlimit.Listener {
	gate := connlimit.NewGate(connlimit.LimitFor(descriptors(process.settings.Descriptors), process.settings.MemoryBytes()))
	process.metrics.Gauge("cloverrail_proxy_client_connections", "Open connections of clients.", func() float64 { return float64(gate.Open()) })
	process.metrics.Gauge("cloverrail_proxy_client_connections_limit", "Connections of clients that this node can hold; 0 if there is no bound.", func() float64 { return float64(gate.Limit()) })
	go process.observeDelay(ctx, gate)
	return &connlimit.Listener{Listener: listener, Gate: gate, OnTurnedAway: func(reason connlimit.Reason, arrival connlimit.Arrival) {
		process.recorder.ConnectionTurnedAway(reason, arrival, gate.Open(), gate.Limit())
	}}
}

// observeClients returns a listener whose connections follow the declared timeouts.
func (process *process) observeClients(listener net.Listener) net.Listener {
	return &clientconn.Listener{
		Listener:     listener,
		StallTimeout: stallTimeout,
		Timeouts: func() clientconn.Timeouts {
			limits, unconfigured := process.proxy.Limits()
			if unconfigured != nil {
				return clientconn.Timeouts{}
			}
			return clientconn.Timeouts{Head: limits.HeaderTimeout, Idle: limits.IdleTimeout}
		},
		OnTimeout: process.clients.TimedOut,
	}
}

// clientServer serves clients' connections.
type clientServer struct {
	http.Server
	// unusedTimeout is how long close waits for the first request of a connection.
	unusedTimeout time.Duration
	// open holds the open connections, and count their number.
	open  sync.Map
	count atomic.Int64
}

// newClientServer returns the server of clients' connections, which observeClients must accept. Its timeouts hold where
// none are declared.
func (process *process) newClientServer() *clientServer {
	c := &clientServer{unusedTimeout: shutdownTimeout}
	c.Handler = process.ingress()
	c.ReadHeaderTimeout, c.IdleTimeout = readHeaderTimeout, idleTimeout
	c.ConnContext, c.ConnState = clientconn.WithConn, c.trackState
	c.ErrorLog = log.New(process.clients, "", 0)
	return c
}

// trackState records changes of the state of connections.
func (c *clientServer) trackState(conn net.Conn, state http.ConnState) {
	clientconn.TrackState(conn, state)
	switch state {
	case http.StateNew:
		c.open.Store(conn, nil)
		c.count.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Delete(conn)
		c.count.Add(-1)
	}
}

// endUnread ends the connections that wait for a request, of which nothing has arrived.
func (c *clientServer) endUnread(waiting clientconn.Waiting) {
	c.open.Range(func(key, _ any) bool {
		if conn, isConn := key.(*clientconn.Conn); isConn {
			conn.EndUnread(waiting)
		}
		return true
	})
}

// close stops accepting connections, beyond those that clients have established, and closes idle ones, the others after
// their next response, or after unusedTimeout if they bring no request. It returns once all are closed, or when the context ends.
// Unlike http.Server.Shutdown and SetKeepAlivesEnabled, it drops no request that has been read, or is being read.
func (c *clientServer) close(ctx context.Context, listener *connlimit.Listener) {
	// What remains if the context ends is closed with the process.
	_ = listener.Drain(ctx)
	closedAt := boottime.Now()
	for ctx.Err() == nil && c.count.Load() > 0 {
		c.endUnread(clientconn.WaitingIdle)
		if boottime.Since(closedAt) >= c.unusedTimeout {
			c.endUnread(clientconn.WaitingForHead)
		}
		pause.For(ctx, closePollInterval)
	}
}

// observeDelay measures the scheduling delay until the context ends.
func (process *process) observeDelay(ctx context.Context, gate *connlimit.Gate) {
	meter := connlimit.NewDelayMeter()
	for ctx.Err() == nil {
		pause.For(ctx, delayInterval)
		delay := meter.Median()
		if shed, changed := gate.ObserveDelay(delay, process.registry.Nodes() > 1); changed {
			process.recorder.SheddingChanged(shed, delay, gate.Open())
		}
	}
}

// descriptors returns the number of file descriptors that this process may use, or 0 if it is not known.
func descriptors(configured int) int {
	if configured > 0 {
		return configured
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}
