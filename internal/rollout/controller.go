package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/lease"
)

// Servers sends orders and status queries to servers.
type Servers interface {
	// Order sends an order with the leader's name and fencing token.
	Order(ctx context.Context, order Order, holder string, fence int64) (Result, error)
	// Report queries the status of a server.
	Report(ctx context.Context, server backend.Server) (Report, error)
}

// Recorder is notified about orders. Its methods must not block.
type Recorder interface {
	Ordered(order Order, fence int64, result Result, err error)
	Loaded(loaded Loaded)
}

// errRestarted means that another incarnation of the server than the queried one has answered.
var errRestarted = errors.New("server restarted since it was queried")

const (
	callTimeout = 300 * time.Millisecond
	// finishFraction is the fraction of Controller.MaxStaleness after which all servers should
	// have been updated.
	finishFraction = 0.8
	// orderMargin is the time reserved before MaxStaleness for an order to arrive.
	orderMargin = 700 * time.Millisecond
	// rebroadcastInterval is the time after which ongoing loads are broadcast again: other nodes
	// drop them after a few seconds without a broadcast, because the leader may be lost.
	rebroadcastInterval = time.Second
)

// Controller rolls out weights while its node holds the lease.
type Controller struct {
	Replica  *catalog.AtomicReplica
	Set      *backend.Set
	Servers  Servers
	Recorder Recorder
	// Holder is this node's name, which orders carry as the leader's name.
	Holder string
	// Eras tracks the era of the store.
	Eras *coordination.EraTracker
	// MaxStaleness is the longest time for which older weights may serve.
	MaxStaleness time.Duration
	// PropagationDelay returns the time in which a broadcast reaches all nodes.
	PropagationDelay func() time.Duration
	// MinInterval returns the minimum time between two calls to a server, as set by its rate
	// limit; nil means that there is none.
	MinInterval func(server backend.Server) time.Duration
	// Broadcast sends the progress of the rollout to all nodes. It must not block.
	Broadcast func(loads backend.Loads)

	mutex   sync.Mutex
	machine *Machine
	// lastBroadcast holds the loads broadcast last, and lastBroadcastAt the time.
	lastBroadcast   backend.Loads
	lastBroadcastAt time.Time
}

// targets returns the released versions and the deadlines for them.
func (c *Controller) targets() Targets {
	targets := Targets{MinInterval: c.MinInterval, FinishWithin: time.Duration(finishFraction * float64(c.MaxStaleness)), OrderWithin: c.MaxStaleness - orderMargin}
	if replica := c.Replica.Load(); replica != nil {
		targets.Weights, targets.DisruptedAt = replica.Weights, replica.DisruptedAt
	}
	return targets
}

// HasWork reports whether a server needs an update.
func (c *Controller) HasWork() bool {
	now := boottime.Now()
	return AnyStale(c.targets(), c.servers(now), now)
}

// servers returns the servers of declared services. Servers of other services receive no
// requests; their entries may belong to another writer.
func (c *Controller) servers(now time.Time) []backend.Server {
	servers := c.Set.Servers(now)
	replica := c.Replica.Load()
	if replica == nil || replica.Snapshot == nil {
		return servers
	}
	return slices.DeleteFunc(servers, func(server backend.Server) bool { return replica.Snapshot.Service(server.Service) == nil })
}

// LeadershipLost drops the orders of a leadership that has ended.
func (c *Controller) LeadershipLost() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.machine = nil
}

// Step returns the state to publish and a function that executes the due orders and queries. The
// state must be published before act is called. Before it sends an order, act broadcasts the
// loads, so that nodes send no new requests to servers that are about to load.
func (c *Controller) Step() (state []byte, act func(ctx context.Context, leadership *lease.Leadership)) {
	now := boottime.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine == nil {
		c.machine = NewMachine()
	}
	targets, servers := c.targets(), c.servers(now)
	targets.Uses, targets.PropagationDelay, targets.ServersInBackoff = c.Set.Uses(now), c.PropagationDelay(), c.Set.ServersInBackoff(now)
	actions := c.machine.Step(now, targets, servers)
	loads := c.machine.Loads()
	encoded := State{Holder: c.Holder, Active: !c.machine.Idle(), BeganAtZero: c.Eras.BeganAtZero()}.Encode()
	return encoded, func(ctx context.Context, leadership *lease.Leadership) {
		c.broadcast(loads, leadership.FencingToken)
		c.act(ctx, leadership, actions)
	}
}

// broadcast sends the loads to all nodes if they have changed, or again after
// rebroadcastInterval.
func (c *Controller) broadcast(loads backend.Loads, fence int64) {
	same := slices.Equal(c.lastBroadcast.Loading, loads.Loading) && slices.Equal(c.lastBroadcast.Loaded, loads.Loaded)
	fresh := len(loads.Loading) == 0 || boottime.Since(c.lastBroadcastAt) < rebroadcastInterval
	if same && fresh && c.lastBroadcast.Mark.Fence == fence {
		return
	}
	loads.Mark = backend.LoadsMark{Fence: fence, Sequence: c.lastBroadcast.Mark.Sequence + 1}
	c.lastBroadcast, c.lastBroadcastAt = loads, boottime.Now()
	c.Broadcast(loads)
}

func (c *Controller) act(ctx context.Context, leadership *lease.Leadership, actions []Action) {
	for _, action := range actions {
		// The process may have been suspended since the decision.
		if !leadership.MayAct(boottime.Now()) {
			return
		}
		switch action := action.(type) {
		case Order:
			go c.order(ctx, action, leadership)
		case Inspect:
			go c.inspect(ctx, action)
		case Loaded:
			c.Recorder.Loaded(action)
		}
	}
}

// Idle reports whether a published state says that no order is in progress.
func (c *Controller) Idle(state []byte) bool {
	decoded, err := DecodeState(state)
	return err == nil && !decoded.Active
}

// OwnState reports whether a state was published by this node, before or after a restart.
func (c *Controller) OwnState(state []byte) bool {
	decoded, err := DecodeState(state)
	return err == nil && decoded.Holder == c.Holder
}

// BeganAtZero reports whether a published state says that the first era of the store was 0.
func (c *Controller) BeganAtZero(state []byte) bool {
	decoded, err := DecodeState(state)
	return err == nil && decoded.BeganAtZero
}

// withMachine runs a change of the machine, unless the leadership has ended.
func (c *Controller) withMachine(change func(machine *Machine)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine != nil {
		change(c.machine)
	}
}

func (c *Controller) order(ctx context.Context, order Order, leadership *lease.Leadership) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := c.Servers.Order(ctx, order, c.Holder, leadership.FencingToken)
	c.Recorder.Ordered(order, leadership.FencingToken, result, err)
	if result == ResultFenced {
		leadership.Supersede()
	}
	c.withMachine(func(machine *Machine) { machine.OrderAnswered(boottime.Now(), order.Server.Incarnation(), result) })
}

func (c *Controller) inspect(ctx context.Context, inspect Inspect) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instance := inspect.Server.Incarnation()
	report, err := c.Servers.Report(ctx, inspect.Server)
	if err == nil && report.Born != inspect.Server.Born && report.Born != 0 {
		// A new incarnation answers before the server list contains it.
		c.Set.ObserveRestart(inspect.Server, report.Born, report.Versions, boottime.Now())
		err = errRestarted
	}
	if err != nil {
		c.withMachine(func(machine *Machine) { machine.InspectFailed(boottime.Now(), instance) })
		return
	}
	c.Set.ObserveVersions(instance, report.Versions)
	c.withMachine(func(machine *Machine) { machine.Inspected(boottime.Now(), instance, report) })
}
