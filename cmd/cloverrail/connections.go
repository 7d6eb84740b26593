package main

import (
	"context"
	"log"
	"net"
	"time"

	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// stallTimeout is how long a client may take nothing of what is written to it.
const stallTimeout = 2 * time.Second

const (
	// defaultMaxHeadBytes bounds the head of a request where no bound is declared.
	defaultMaxHeadBytes = 1 << 20
	// serverMaxHeadBytes is the bound of http.Server, which is fixed when it starts: the declared one holds instead.
	serverMaxHeadBytes = 1 << 30
)

// delayInterval is the interval between two measurements of the scheduling delay.
const delayInterval = 100 * time.Millisecond

// limitConnections returns a listener of clients' connections that accepts as many as this node can serve, until the
// context ends.
func (process *process) limitConnections(ctx context.Context, listener net.Listener) *connlimit.Listener {
	gate := connlimit.NewGate(connlimit.LimitFor(connlimit.Descriptors(process.settings.Descriptors), process.settings.MemoryBytes()))
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
		Heads: &clientconn.HeadLimits{
			MaxBytes:   process.maxHeadBytes,
			Memory:     process.headMemory,
			OnRejected: process.clients.HeadRejected,
		},
	}
}

// maxHeadBytes returns the bound of the head of a request in bytes.
func (process *process) maxHeadBytes() int {
	limits, unconfigured := process.proxy.Limits()
	if unconfigured != nil || limits.MaxHeaderBytes <= 0 {
		return defaultMaxHeadBytes
	}
	return limits.MaxHeaderBytes
}

// newClientServer returns the server of clients' connections, which observeClients must accept. Its timeouts hold where
// none are declared.
func (process *process) newClientServer() *clientconn.Server {
	server := clientconn.NewServer(process.ingress())
	server.ReadHeaderTimeout, server.IdleTimeout, server.UnusedTimeout = readHeaderTimeout, idleTimeout, shutdownTimeout
	server.MaxHeaderBytes = serverMaxHeadBytes
	server.ErrorLog = log.New(process.clients, "", 0)
	return server
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
