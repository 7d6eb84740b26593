package main

import (
	"context"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/telemetry"
)

// delayInterval is the interval between two measurements of the scheduling delay.
const delayInterval = 100 * time.Millisecond

// limitConnections returns a listener of clients' connections that accepts as many as this node can serve, until the
// context ends.
func (process *process) limitConnections(ctx context.Context, listener net.Listener) net.Listener {
	gate := connlimit.NewGate(connlimit.LimitFor(descriptors(process.settings.Descriptors), process.settings.MemoryBytes()))
	process.metrics.Gauge("cloverrail_proxy_client_connections", "Open connections of clients.", func() float64 { return float64(gate.Open()) })
	process.metrics.Gauge("cloverrail_proxy_client_connections_limit", "Connections of clients that this node can hold; 0 if there is no bound.", func() float64 { return float64(gate.Limit()) })
	go process.observeDelay(ctx, gate)
	limited := &connlimit.Listener{Listener: listener, Gate: gate, OnTurnedAway: func(reason connlimit.Reason) {
		process.recorder.ConnectionTurnedAway(string(reason), gate.Open(), gate.Limit())
	}}
	return &clientconn.Listener{Listener: limited}
}

// newClientServer returns the server of clients' connections, which clientconn.Listener must accept.
func (process *process) newClientServer() *http.Server {
	recorder := telemetry.NewClientRecorder(process.recorder)
	return &http.Server{
		Handler:           process.ingress(recorder),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       clientconn.WithConn,
		ErrorLog:          log.New(recorder, "", 0),
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
