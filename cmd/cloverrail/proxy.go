package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/inbound"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// shutdownTimeout is how long a stopping process waits for its background tasks, and for the first requests of connections.
	shutdownTimeout = 400 * time.Millisecond
	// exitMargin is reserved at the end of the grace period for the end of the process.
	exitMargin      = 300 * time.Millisecond
	logFlushTimeout = 100 * time.Millisecond
	gcPercent       = 50
	// internalHeadBytes bounds the head of a request at an address that is not the clients'. Nodes, load balancers and
	// collectors of metrics send some hundred bytes.
	internalHeadBytes = 8 << 10
	// maxProbeConnections bounds the connections of load balancers, and of collectors of metrics.
	maxProbeConnections = 32
	// goMemoryShare is the share of a node's memory that the runtime keeps within by collecting garbage more often.
	goMemoryShare = 0.75
)

// proxyCommand returns the command that serves opaque services on the platform.
func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "serve the platform's clients",
		Description: `Serves requests of opaque services, as the platform's store declares them.

Example:
  cloverrail proxy --settings proxy.yaml`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars("CLOVERRAIL_SETTINGS")},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			// Without a receiver, the signal would end the process while it starts.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			config, err := settings.ReadProxy(command.String("settings"))
			if err != nil {
				return err
			}
			return runProxy(ctx, config, command.String("settings"), hangups)
		},
	}
}

// serve serves an address that is not the clients', with the connections that limit lets through.
func (process *process) serve(address string, handler http.Handler, limit func(net.Listener) net.Listener) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: inbound.WithBodyTimeout(peerTimeout, handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: internalHeadBytes}
	go func() { _ = server.Serve(limit(listener)) }()
	return nil
}

// limitPeers returns a listener whose connections are those that the gate of other nodes admits.
func (process *process) limitPeers(name string) func(net.Listener) net.Listener {
	return func(listener net.Listener) net.Listener {
		return &connlimit.Listener{Listener: listener, Gate: process.peerGate, OnTurnedAway: func(connlimit.Reason, connlimit.Arrival) {
			process.clients.InternalTurnedAway(name)
		}}
	}
}

// limitProbes returns a listener that prefers new connections: probes are short, and must not wait for those that rest.
func (process *process) limitProbes(name string) func(net.Listener) net.Listener {
	return func(listener net.Listener) net.Listener {
		return &connlimit.NewestListener{Listener: listener, Limit: maxProbeConnections, OnClosed: func() { process.clients.InternalTurnedAway(name) }}
	}
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Annotatef(err, "cannot listen on address %s; choose a free port", address)
}

// serveInternal serves the addresses that are not the clients'.
func (process *process) serveInternal(ready func() bool) error {
	config := process.settings
	if err := process.serve(config.ReadinessAddress, platform.ReadinessHandler(ready), process.limitProbes("readiness")); err != nil {
		return err
	}
	if err := process.serve(config.PeerAddress, process.peerHandler(), process.limitPeers("peers")); err != nil {
		return err
	}
	if config.SeedAddress != "" {
		if err := process.serve(config.SeedAddress, process.peerHandler(), process.limitPeers("seed")); err != nil {
			return err
		}
	}
	if config.MetricsAddress == "" {
		return nil
	}
	metrics := promhttp.HandlerFor(process.metrics.Registry, promhttp.HandlerOpts{})
	return process.serve(config.MetricsAddress, metrics, process.limitProbes("metrics"))
}

// runProxy serves until a stop signal arrives, and then shuts down gracefully. At each hangup it reads the settings file
// again.
func runProxy(ctx context.Context, config settings.Proxy, file string, hangups <-chan os.Signal) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if memory := config.MemoryBytes(); memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(memory)))
	}
	process, err := newProcess(config)
	if err != nil {
		return err
	}
	stopSignal, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	go process.reflector.Run(ctx)
	process.watchHolders(ctx)
	taskContext, stopTasks := context.WithCancel(ctx)
	defer stopTasks()
	tasksDone := process.runBackgroundTasks(taskContext)
	ready := func() bool { return !process.stopping.Load() && process.proxy.Ready(boottime.Now()) }
	if err := process.serveInternal(ready); err != nil {
		return err
	}
	listener, err := listen(config.CallerAddress)
	if err != nil {
		return err
	}
	clients := process.limitConnections(ctx, listener)
	clientServer := process.newClientServer()
	go func() { _ = clientServer.Serve(process.observeClients(clients)) }()
	process.log.Info().Str("zone", config.Zone).Msg("started")
	for running := true; running; {
		select {
		case <-hangups:
			process.reload(file)
		case <-stopSignal.Done():
			running = false
		}
	}
	process.stop(ctx, clients, clientServer, stopTasks, tasksDone)
	process.logWriter.Flush(logFlushTimeout)
	return nil
}

// stop shuts down gracefully. It returns once the connections of clients and the background tasks have ended, or shortly
// before the end of the grace period.
func (process *process) stop(ctx context.Context, clients *connlimit.Listener, clientServer *clientconn.Server, stopTasks func(), tasksDone <-chan struct{}) {
	stoppedAt, grace := boottime.Now(), process.settings.Grace
	process.stopping.Store(true)
	process.log.Info().Int("open", process.proxy.Open()).Msg("stopping")
	// Background tasks continue while open requests drain: a change of leader is more expensive
	// for the fleet than a late one.
	process.proxy.Drain(ctx, grace)
	process.handOverOrigins(ctx)
	stopTasks()
	tasksContext, cancelTasks := context.WithTimeout(ctx, shutdownTimeout)
	defer cancelTasks()
	closeContext, cancelClose := context.WithTimeout(ctx, max(shutdownTimeout, grace-boottime.Since(stoppedAt)-exitMargin))
	defer cancelClose()
	clientServer.Drain(closeContext, clients)
	select {
	case <-tasksDone:
	case <-tasksContext.Done():
	}
	process.log.Info().Int("unfinished", clientServer.Open()).Msg("stopped")
}
