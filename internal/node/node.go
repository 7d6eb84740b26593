// Package node connects the components of one server process. It owns the sockets,
// goroutines and clocks; decisions are made by the packages that it calls.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/dispatch"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/kvservice"
	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/metrics"
	"github.com/cloverrail/cloverrail/internal/peer"
	"github.com/cloverrail/cloverrail/internal/plain"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/internal/wire"
)

const (
	readHeaderTimeout   = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	syncTimeout         = 300 * time.Millisecond
	resyncInterval      = 10 * time.Second
	startupSyncInterval = 100 * time.Millisecond
	directReadDelay     = 5 * time.Second
	// speculativeTTL is how long the blocks of a prompt sent to an engine are assumed to
	// be cached there before a cache event confirms it; events are delayed by at most
	// that.
	speculativeTTL = time.Second
	// callTimeout bounds calls between nodes that set no shorter timeout.
	callTimeout = time.Second
	// lingerTime is how long a stopping node stays reachable after the last request
	// that it rejected, for callers that missed its readiness change; lingerLimit
	// bounds the total.
	lingerTime         = 500 * time.Millisecond
	lingerLimit        = 5 * time.Second
	lingerPollInterval = 20 * time.Millisecond
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = http.DefaultMaxHeaderBytes
	// maxOperatorConnections bounds the connections of operators, of load balancers and of collectors of metrics.
	maxOperatorConnections = 64
	// callerShare and peerShare are the shares of the connections for which a node has descriptors and memory that callers
	// and other nodes may have. A caller's needs two descriptors, a node's one.
	callerShare = 0.75
	peerShare   = 0.5
)

// Node is one server process.
type Node struct {
	settings settings.Settings
	key      []byte
	log      zerolog.Logger
	metrics  *metrics.Set

	gossip            *gossip
	caller            *peer.Client
	peerHealth        *peerHealth
	activeConfig      *activeConfig
	table             *endpoint.Table
	indexPartition    *indexPartition
	claims            *claims
	limits            *limits
	hotPrefixes       *hotPrefixCounter
	speculativeIndex  *prefixindex.SpeculativeIndex
	engines           *engineapi.Client
	driver            *dispatch.Driver
	forwarder         *plain.Forwarder
	retryBudget       *retry.Budget
	lifecycle         *lifecycle
	tasks             chan func(context.Context)
	observersDisabled bool
	// synced is closed after the first synchronization with peers.
	synced     chan struct{}
	markSynced func()

	peers       net.Listener
	credentials *peer.Credentials
	// memory bounds the bytes that bodies of requests hold, and headMemory those of their heads.
	memory     *admission.MemoryBudget
	headMemory *admission.MemoryBudget
}

// Options holds overrides for tests and simulations.
type Options struct {
	// Blocked reports whether the connection to a peer is blocked.
	Blocked func(address string) bool
	// NoObservers disables the observers of backends, as if they had failed together
	// with the backends.
	NoObservers bool
}

// New creates a node and opens its peer sockets. The settings must be validated.
func New(nodeSettings settings.Settings, log zerolog.Logger, options Options) (*Node, error) {
	credentials, err := peer.NewCredentials(nodeSettings.Key())
	if err != nil {
		return nil, err
	}
	set := metrics.New()
	now := boottime.Now()
	node := &Node{
		settings:         nodeSettings,
		key:              nodeSettings.Key(),
		log:              log,
		metrics:          set,
		caller:           peer.NewClient(credentials, options.Blocked),
		peerHealth:       newPeerHealth(),
		table:            endpoint.NewTable(),
		indexPartition:   newIndexPartition(),
		claims:           newClaims(now),
		limits:           newLimits(),
		hotPrefixes:      newHotPrefixCounter(),
		speculativeIndex: prefixindex.NewSpeculativeIndex(speculativeTTL),
		engines:          engineapi.NewClient(),
		retryBudget:      retry.NewBudget(retry.DefaultBudget, now),
		lifecycle:        newLifecycle(),
		tasks:            make(chan func(context.Context), 256),
		credentials:      credentials,
		memory:           admission.NewMemoryBudget(nodeSettings.MemoryBytes()),
	}
	node.headMemory = node.memory.Heads()
	node.observersDisabled = options.NoObservers
	node.synced = make(chan struct{})
	node.markSynced = sync.OnceFunc(func() { close(node.synced) })
	node.driver = dispatch.NewDriver(node.engines, func(count int) { set.LateEvents.Add(float64(count)) })
	node.forwarder = plain.NewForwarder(set.LateEvents.Inc)
	service := kvservice.NewClient(nodeSettings.KeyValueAddress)
	node.activeConfig = &activeConfig{store: configstore.New(service), service: service, minRevision: nodeSettings.RevisionFloor, log: log, metrics: set, beforeActivate: node.configure, afterActivate: node.announce}
	node.gossip, err = newGossip(nodeSettings.PeerAddress, nodeSettings.Zone, nodeSettings.Seeds, credentials, options.Blocked, set)
	if err != nil {
		return nil, err
	}
	node.gossip.onChange = node.memberChanged
	peers, err := net.Listen("tcp", nodeSettings.PeerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "cannot listen on the peer address; choose a free port")
	}
	node.peers = node.limitConnections(peers, "peers", node.connectionLimit(peerShare))
	return node, nil
}

// configure updates the components that depend on the configuration before requests
// see a new snapshot, since the slot pools must exist by then.
func (node *Node) configure(snapshot *configuration.Snapshot) {
	node.table.Configure(snapshot)
	node.limits.configure(snapshot)
	node.claims.configure(snapshot.Declaration.Claims, boottime.Now())
	_, items := node.gossip.membersAndItems()
	node.mergeItems(items)
}

// announce publishes a new revision to the fleet once peers can fetch it here.
func (node *Node) announce(snapshot *configuration.Snapshot) {
	node.gossip.apply(func(machine *membership.Machine) membership.Output { return machine.SetRevision(snapshot.Revision) })
}

// Run serves until the context ends and then shuts down gracefully: it announces
// that it is draining, rejects new requests and waits for open ones.
func (node *Node) Run(ctx context.Context, callers, operators http.Handler) error {
	callerServer, callerListener, err := node.listen(node.settings.CallerAddress, "callers", node.connectionLimit(callerShare), clientconn.Handler(callers, node.logClientEnd))
	if err != nil {
		return err
	}
	operatorServer, _, err := node.listen(node.settings.OperatorAddress, "operators", maxOperatorConnections, operators)
	if err != nil {
		return err
	}
	// Peers are served and gossip continues until the last request has ended.
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go peer.Serve(running, node.peers, node.credentials, node.handle)
	go node.gossip.run(running)
	go node.runTasks(running)
	go node.syncPeriodically(running)
	go node.watchWhileSelected(running)
	if !node.observersDisabled {
		go node.observeOwned(running)
	}
	go node.recoverClaims(running)
	go node.issueOrders(running)
	go node.resizeSlotPools(running)
	node.log.Info().Str("callers", node.settings.CallerAddress).Str("peers", node.settings.PeerAddress).Msg("node started")
	<-ctx.Done()
	node.drain(callerServer, callerListener)
	node.gossip.apply((*membership.Machine).Leave)
	_ = operatorServer.Close()
	_ = callerServer.Close()
	// The sockets are closed here rather than on cancellation, so that the addresses
	// are free when Run returns: a restarted node binds them immediately.
	stop()
	_ = node.peers.Close()
	node.gossip.datagrams.Close()
	node.log.Info().Msg("node stopped")
	return nil
}

// connectionLimit returns the number of connections that an address may have; 0 means no limit.
func (node *Node) connectionLimit(share float64) int {
	return int(share * float64(connlimit.LimitFor(connlimit.Descriptors(node.settings.Descriptors), node.settings.MemoryBytes())))
}

// limitConnections returns a listener of an address that accepts at most limit connections at a time; 0 means no limit.
func (node *Node) limitConnections(listener net.Listener, address string, limit int) *connlimit.Listener {
	return &connlimit.Listener{Listener: listener, Gate: connlimit.NewGate(limit), OnTurnedAway: func(connlimit.Reason, connlimit.Arrival) {
		node.metrics.TurnedAway.WithLabelValues(address).Inc()
	}}
}

// headLimits returns the bounds of the heads of requests.
func (node *Node) headLimits() *clientconn.HeadLimits {
	return &clientconn.HeadLimits{
		MaxBytes: func() int { return maxHeadBytes },
		Memory:   node.headMemory,
		OnRejected: func(rejection clientconn.HeadRejection) {
			bound := admission.BoundHead
			if rejection.Memory != nil {
				bound = admission.BoundMemory
			}
			node.metrics.RejectedHeads.WithLabelValues(bound).Inc()
		},
	}
}

func (node *Node) listen(address, name string, connections int, handler http.Handler) (*clientconn.Server, *connlimit.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "cannot listen on %s; choose a free port", address)
	}
	server := clientconn.NewServer(handler)
	server.ReadHeaderTimeout, server.IdleTimeout = readHeaderTimeout, idleTimeout
	limited := node.limitConnections(listener, name, connections)
	go func() { _ = server.Serve(&clientconn.Listener{Listener: limited, Heads: node.headLimits()}) }()
	return server, limited, nil
}

// logClientEnd logs what became of a caller whose side of the connection ended before its response.
func (node *Node) logClientEnd(end clientconn.End, outcome clientconn.Outcome) {
	node.log.Debug().Str("end", string(end)).Str("client", string(outcome)).Msg("client's side of the connection ended")
}

// runTasks runs the tasks that membership changes enqueue, outside the gossip loop.
func (node *Node) runTasks(ctx context.Context) {
	for {
		select {
		case task := <-node.tasks:
			task(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (node *Node) enqueue(task func(context.Context)) {
	select {
	case node.tasks <- task:
	default:
		// The periodic synchronization compensates for a dropped task.
	}
}

func (node *Node) memberChanged(change membership.Change) {
	switch {
	case change.Resumed:
		node.recoverFromPause()
	case change.Revision > node.activeConfig.revision():
		node.enqueue(func(ctx context.Context) {
			if change.Revision > node.activeConfig.revision() {
				node.fetchConfiguration(ctx, change.From)
			}
		})
	case change.Item != nil:
		node.mergeItems([]membership.Item{*change.Item})
	case change.Member != nil:
		node.log.Info().Str("member", change.Member.Address).Stringer("status", change.Member.Status).
			Bool("draining", change.Member.Draining).Msg("member changed")
	}
}

// recoverFromPause discards state after a pause of this process, since other nodes
// may have taken over what it owned.
func (node *Node) recoverFromPause() {
	node.log.Warn().Msg("process was paused; rejoining the fleet")
	node.lifecycle.suspend()
	node.claims.resetHolder(boottime.Now())
	node.indexPartition.reset()
	go func() {
		node.synchronize(context.Background())
		node.lifecycle.resume()
	}()
}

func (node *Node) mergeItems(items []membership.Item) {
	for _, item := range items {
		if record, ok := decodeRecord(item); ok {
			node.table.Merge(record)
		}
	}
}

// handle handles a peer's call.
func (node *Node) handle(_ context.Context, request any) (any, error) {
	switch request := request.(type) {
	case wire.SyncRequest:
		node.gossip.merge([]membership.Member{request.Self}, nil)
		if _, digest := node.gossip.selfAndDigest(); digest == request.Digest {
			return wire.SyncResponse{Same: true, Revision: node.activeConfig.revision()}, nil
		}
		members, items := node.gossip.membersAndItems()
		return wire.SyncResponse{Members: members, Items: items, Revision: node.activeConfig.revision()}, nil
	case wire.ConfigurationRequest:
		return node.serveConfiguration(request), nil
	case wire.IndexUpdateRequest:
		return node.applyUpdate(request), nil
	case wire.LookupRequest:
		return node.serveLookup(request), nil
	case wire.ClaimRequest:
		return node.claims.answer(request), nil
	case wire.ConcludeRequest:
		node.claims.conclude(request)
		return wire.ConcludeResponse{}, nil
	case wire.ClaimListRequest:
		return node.claims.listClaims(request), nil
	case wire.TokenRequest:
		return node.serveTokenRequest(request), nil
	default:
		return nil, errors.Errorf("unknown request %T; run the same version on all nodes", request)
	}
}
