// Package inprocess runs nodes and stub servers in a single process, connected by loopback
// sockets, for end-to-end tests.
package inprocess

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/claim"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/gateway"
	"github.com/cloverrail/cloverrail/internal/kvservice"
	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
	"github.com/cloverrail/cloverrail/internal/lab/keptstub"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/lab/machinestub"
	"github.com/cloverrail/cloverrail/internal/lab/plainstub"
	"github.com/cloverrail/cloverrail/internal/lab/weightstub"
	"github.com/cloverrail/cloverrail/internal/node"
	"github.com/cloverrail/cloverrail/internal/operator"
	"github.com/cloverrail/cloverrail/internal/settings"

	"github.com/cloverrail/cloverrail/internal/configstore"
)

// Names and parameters of a test fleet.
const (
	Model          = "oraakeli"
	Version        = "v1"
	Tenant         = "studio"
	OtherTenant    = "rival"
	BlockBytes     = 400
	AtMostOncePath = "/turns"
	fleetKey       = "00112233445566778899aabbccddeeff"
	awaitTimeout   = 15 * time.Second
	loadsAtOnce    = 2
	pollInterval   = 10 * time.Millisecond
)

// Key returns the API key of a tenant or operator.
func Key(name string) string { return "key-of-" + name }

// Config holds the settings of a fleet.
type Config struct {
	Nodes   int
	Engines int
	Servers int
	// StepTime is the step time of the engines.
	StepTime time.Duration
	// PartitionIndex gives each chain of the prefix index a single owner node
	// instead of replicating the index on every node, as in a large fleet.
	PartitionIndex bool
	// Holders is the number of claim holders; 0 makes all nodes holders.
	Holders int
	// NoObservers disables the observers, so that no node watches the engines.
	NoReaders bool
	// MachineListLag delays changes of the machine list.
	MachineListLag time.Duration
}

// Node is a running node.
type Node struct {
	Settings settings.Settings
	*node.Node
	stop context.CancelFunc
	done chan struct{}
	// err is the result of the node's Run, set before done is closed.
	err error
}

// Fleet is a set of running nodes with the stub servers that they use.
type Fleet struct {
	Declaration     *configuration.Declaration
	KeyValue        *kvstub.Server
	Machines        *machinestub.Server
	Engines         []*enginestub.Server
	Servers         []*plainstub.Server
	PrefixStoreStub *keptstub.Server
	Weights         *weightstub.Server
	Nodes           []*Node
	Store           *configstore.Store

	mutex   sync.Mutex
	blocked map[string]bool
	closers []func()
	// engineClosers stop the servers of individual engines.
	engineClosers []func()
	peers         []string
	base          settings.Settings
	options       node.Options
}

// Start starts a fleet, applies its declaration and waits until every node is ready.
func Start(config Config) (*Fleet, error) {
	fleet := &Fleet{blocked: map[string]bool{}, KeyValue: kvstub.New(), Machines: machinestub.New(config.MachineListLag)}
	fleet.options.Blocked = fleet.isBlocked
	fleet.options.NoReaders = config.NoReaders
	fleet.base = settings.Defaults()
	if config.PartitionIndex {
		fleet.base.ReplicateUpTo = 0
	}
	fleet.base.KeyValueAddress = fleet.serve(fleet.KeyValue)
	fleet.base.MachineListAddress = fleet.serve(fleet.Machines)
	fleet.base.FleetKey = fleetKey
	fleet.base.DrainDeadline = 30 * time.Second
	fleet.base.DrainNotice = 200 * time.Millisecond
	for range config.Nodes {
		fleet.peers = append(fleet.peers, address.Free())
	}
	fleet.buildDeclaration(config)
	fleet.Store = configstore.New(kvservice.NewClient(fleet.base.KeyValueAddress))
	if _, err := fleet.Store.Propose(context.Background(), nil, uuid.NewString(), fleet.Declaration); err != nil {
		return nil, err
	}
	for index := range config.Nodes {
		if err := fleet.StartNode(index); err != nil {
			return nil, err
		}
	}
	return fleet, fleet.Await(fleet.allReady)
}

func (fleet *Fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	fleet.closers = append(fleet.closers, func() {
		server.CloseClientConnections()
		server.Config.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func (fleet *Fleet) buildDeclaration(config Config) {
	holders := fleet.peers
	if config.Holders > 0 {
		holders = holders[:config.Holders]
	}
	if len(holders) < claim.HoldersPerKey {
		holders = nil
	}
	declaration := &configuration.Declaration{
		Version: 1, Fleet: "test",
		Zones:   []configuration.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}},
		Routing: configuration.Routing{WaitWeight: 1, WorkWeight: 1},
		Claims:  configuration.Claims{Holders: holders, Window: configuration.DefaultClaimWindow, ClockSkew: 50 * time.Millisecond},
		Classes: []configuration.Class{{Name: "normal", Priority: 3, Deadline: time.Minute, QueueTimeout: 20 * time.Second}},
		Models:  []configuration.Model{{Name: Model, Version: Version}, {Name: "secret", Version: Version}},
	}
	model := enginemodel.StandardConfig(config.StepTime, 20_000)
	model.BlockTokens = BlockBytes / 4
	pool := configuration.Pool{Name: "main", Models: []string{Model}, BlockBytes: BlockBytes, PrefillTokensPerSecond: 20_000, LoadsAtOnce: loadsAtOnce, ConcurrentPerEngine: 16}
	fleet.Weights = weightstub.New(200*time.Millisecond, loadsAtOnce)
	weights := fleet.serve(fleet.Weights)
	fleet.PrefixStoreStub = keptstub.New(10_000)
	pool.PrefixStore = &configuration.PrefixStore{Name: "kept", Address: fleet.serve(fleet.PrefixStoreStub), Zone: "b", TokensPerSecond: 200_000}
	for index := range config.Engines {
		engine := enginestub.New(enginestub.Config{Model: model, BlockBytes: BlockBytes, Weights: map[string]string{Model: Version, "secret": Version}, WeightStore: weights})
		fleet.Engines = append(fleet.Engines, engine)
		pool.Engines = append(pool.Engines, configuration.Backend{Name: fmt.Sprint("engine-", index), Address: fleet.serve(engine), Zone: "a"})
		fleet.engineClosers = append(fleet.engineClosers, fleet.closers[len(fleet.closers)-1])
	}
	closed := configuration.Pool{Name: "closed", Models: []string{"secret"}, BlockBytes: BlockBytes, PrefillTokensPerSecond: 20_000, LoadsAtOnce: loadsAtOnce, ConcurrentPerEngine: 16}
	declaration.Pools = []configuration.Pool{pool, closed}
	service := configuration.Service{Name: "turns", Routes: []configuration.Route{
		{Method: "POST", Path: AtMostOncePath}, {Method: "GET", Path: "/matches", Repeatable: true}}}
	for index := range config.Servers {
		server := plainstub.New(time.Millisecond)
		fleet.Servers = append(fleet.Servers, server)
		service.Servers = append(service.Servers, configuration.Backend{Name: fmt.Sprint("server-", index), Address: fleet.serve(server), Zone: "a"})
	}
	declaration.Services = []configuration.Service{service}
	tenant := func(name, pool string) configuration.Tenant {
		return configuration.Tenant{Name: name, KeyDigests: []string{configuration.Digest(Key(name))}, Pools: []string{pool}, Class: "normal", Weight: 1,
			Limits: configuration.Limits{RequestsPerSecond: 10_000, Burst: 10_000, Streams: 10_000}}
	}
	declaration.Tenants = []configuration.Tenant{tenant(Tenant, "main"), tenant(OtherTenant, "closed")}
	declaration.Operators = []configuration.Operator{{Name: "duty", KeyDigest: configuration.Digest(Key("duty"))}}
	fleet.Declaration = declaration
}

// StartNode starts or restarts a node. It keeps its peer address and gets new caller and
// operator addresses.
func (fleet *Fleet) StartNode(index int) error {
	nodeSettings := fleet.base
	nodeSettings.Zone = string(rune('a' + index%3))
	nodeSettings.PeerAddress = fleet.peers[index]
	nodeSettings.CallerAddress, nodeSettings.OperatorAddress = address.Free(), address.Free()
	nodeSettings.Seeds = fleet.peers
	created, err := node.New(nodeSettings, zerolog.Nop(), fleet.options)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &Node{Settings: nodeSettings, Node: created, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		running.err = created.Run(ctx, gateway.New(created), operator.NewServer(created, ""))
	}()
	if index < len(fleet.Nodes) {
		fleet.Nodes[index] = running
	} else {
		fleet.Nodes = append(fleet.Nodes, running)
	}
	return nil
}

// Shutdown starts a graceful shutdown and returns a channel that is closed when the node
// has stopped.
func (running *Node) Shutdown() <-chan struct{} {
	running.stop()
	return running.done
}

// StopEngine stops the server of an engine permanently.
func (fleet *Fleet) StopEngine(index int) { fleet.engineClosers[index]() }

// SetBlocked blocks or unblocks traffic to the peer address of a node.
func (fleet *Fleet) SetBlocked(address string, blocked bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.blocked[address] = blocked
}

func (fleet *Fleet) isBlocked(address string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.blocked[address]
}

func (fleet *Fleet) allReady() bool {
	for _, running := range fleet.Nodes {
		if !running.Ready() || len(running.Members()) < len(fleet.Nodes) || (!fleet.options.NoReaders && running.UsableEngines("main") < len(fleet.Engines)) {
			return false
		}
	}
	return true
}

// Await polls until the condition holds, or fails after awaitTimeout.
func (fleet *Fleet) Await(condition func() bool) error {
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return errors.Errorf("timed out waiting for the condition; %s", fleet.endedNodes())
		}
	}
	return nil
}

// stoppedNodes describes which nodes have stopped, with their errors.
func (fleet *Fleet) endedNodes() string {
	description := "stopped nodes:"
	for index, running := range fleet.Nodes {
		select {
		case <-running.done:
			description += fmt.Sprintf(" %d (%v)", index, running.err)
		default:
		}
	}
	return description
}

// URL returns the base URL of a node's caller address.
func (fleet *Fleet) URL(index int) string {
	return "http://" + fleet.Nodes[index].Settings.CallerAddress
}

// Stop stops all nodes and stub servers.
func (fleet *Fleet) Stop() {
	for _, running := range fleet.Nodes {
		running.stop()
	}
	for _, closer := range fleet.closers {
		closer()
	}
	for _, running := range fleet.Nodes {
		<-running.done
	}
}
