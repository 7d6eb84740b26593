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

// errRestarted means that the server has restarted since it was queried.
var errBornAgain = errors.New("server restarted since it was queried")

const (
	callTimeout = 300 * time.Millisecond
	// finishFraction is the fraction of the bound on weights by which all servers should have
	// been updated.
	finishPart = 0.8
	// orderMargin is the time reserved below the bound for the order to arrive.
	latestMargin = 700 * time.Millisecond
	// rebroadcastInterval is the time after which ongoing loads are broadcast again: nodes drop
	// them after a few seconds, because the leader may be lost.
	retellAfter = time.Second
)

// Controller rolls out weights while its node holds the lease.
type Duty struct {
	Belief   *catalog.Holder
	Set      *backend.Set
	Servers  Servers
	Recorder Recorder
	Holder   string
	// MaxStaleness is the longest time for which older weights may serve.
	Bound time.Duration
	// PropagationDelay returns the time in which a broadcast reaches all nodes.
	Notice func() time.Duration
	// MinInterval returns the minimum time between two calls to a server, as set by its rate
	// limit; nil means that there is none.
	Pace func(server backend.Server) time.Duration
	// Broadcast sends the progress of the rollout to all nodes. It must not block.
	Tell func(loads backend.Loads)

	mutex   sync.Mutex
	machine *Machine
	// lastBroadcast holds the loads broadcast last, and lastBroadcastAt the time.
	told   backend.Loads
	toldAt time.Time
}

// targets returns the released versions and the deadlines for them.
func (duty *Duty) targets() Targets {
	targets := Targets{Pace: duty.Pace, Within: time.Duration(finishPart * float64(duty.Bound)), Latest: duty.Bound - latestMargin}
	if belief := duty.Belief.Load(); belief != nil {
		targets.Weights, targets.Disturbed = belief.Weights, belief.Disturbed
	}
	return targets
}

// HasWork reports whether a server needs an update.
func (duty *Duty) Wanted() bool {
	now := boottime.Now()
	return Behind(duty.targets(), duty.servers(now), now)
}

// servers returns the servers of declared services. Servers of other services receive no
// requests; their entries may belong to another writer.
func (duty *Duty) servers(now time.Time) []backend.Server {
	servers := duty.Set.Servers(now)
	belief := duty.Belief.Load()
	if belief == nil || belief.Snapshot == nil {
		return servers
	}
	return slices.DeleteFunc(servers, func(server backend.Server) bool { return belief.Snapshot.Service(server.Service) == nil })
}

// LeadershipLost drops the orders of a leadership that has ended.
func (duty *Duty) Lost() {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.machine = nil
}

// Step returns the state to publish and a function that executes the due orders and queries. The
// state must be published before act is called. Before it sends an order, act broadcasts the
// loads, so that nodes send no new requests to servers that are about to load.
func (duty *Duty) Step() (state []byte, act func(ctx context.Context, tenure *lease.Tenure)) {
	now := boottime.Now()
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.machine == nil {
		duty.machine = NewMachine()
	}
	targets, servers := duty.targets(), duty.servers(now)
	targets.Uses, targets.Notice, targets.Resting = duty.Set.Uses(now), duty.Notice(), duty.Set.Resting(now)
	actions := duty.machine.Step(now, targets, servers)
	loads := duty.machine.Loads()
	encoded := State{Holder: duty.Holder, Active: !duty.machine.Idle()}.Encode()
	return encoded, func(ctx context.Context, tenure *lease.Tenure) {
		duty.tell(loads, tenure.Fence)
		duty.act(ctx, tenure, actions)
	}
}

// broadcast sends the loads to all nodes if they have changed, or again after
// rebroadcastInterval.
func (duty *Duty) tell(loads backend.Loads, fence int64) {
	same := slices.Equal(duty.told.Loading, loads.Loading) && slices.Equal(duty.told.Loaded, loads.Loaded)
	fresh := len(loads.Loading) == 0 || boottime.Since(duty.toldAt) < retellAfter
	if same && fresh && duty.told.Mark.Fence == fence {
		return
	}
	loads.Mark = backend.LoadsMark{Fence: fence, Sequence: duty.told.Mark.Sequence + 1}
	duty.told, duty.toldAt = loads, boottime.Now()
	duty.Tell(loads)
}

func (duty *Duty) act(ctx context.Context, tenure *lease.Tenure, actions []Action) {
	for _, action := range actions {
		// The process may have been suspended since the decision.
		if !tenure.MayAct(boottime.Now()) {
			return
		}
		switch action := action.(type) {
		case Order:
			go duty.order(ctx, action, tenure)
		case Inspect:
			go duty.inspect(ctx, action)
		case Loaded:
			duty.Recorder.Loaded(action)
		}
	}
}

// Idle reports whether a published state says that no order is in progress.
func (duty *Duty) Resting(state []byte) bool {
	decoded, err := DecodeState(state)
	return err == nil && !decoded.Active
}

// OwnState reports whether a state was published by this node, before or after a restart.
func (duty *Duty) Own(state []byte) bool {
	decoded, err := DecodeState(state)
	return err == nil && decoded.Holder == duty.Holder
}

// withMachine runs a change of the machine, unless the leadership has ended.
func (duty *Duty) do(change func(machine *Machine)) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.machine != nil {
		change(duty.machine)
	}
}

func (duty *Duty) order(ctx context.Context, order Order, tenure *lease.Tenure) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := duty.Servers.Order(ctx, order, duty.Holder, tenure.Fence)
	duty.Recorder.Ordered(order, tenure.Fence, result, err)
	if result == ResultFenced {
		tenure.Supersede()
	}
	duty.do(func(machine *Machine) { machine.Answered(boottime.Now(), order.Server.Incarnation(), result) })
}

func (duty *Duty) inspect(ctx context.Context, inspect Inspect) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instance := inspect.Server.Incarnation()
	report, err := duty.Servers.Report(ctx, inspect.Server)
	if err == nil && report.Born != inspect.Server.Born && report.Born != 0 {
		// A new incarnation answers before the server list contains it.
		duty.Set.Begun(inspect.Server, report.Born, report.Versions, boottime.Now())
		err = errBornAgain
	}
	if err != nil {
		duty.do(func(machine *Machine) { machine.Unheard(boottime.Now(), instance) })
		return
	}
	duty.Set.Learn(instance, report.Versions)
	duty.do(func(machine *Machine) { machine.Inspected(boottime.Now(), instance, report) })
}
