package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/lease"
)

// Servers carries orders and questions to servers.
type Servers interface {
	// Order sends an order under a holder's name and fencing token.
	Order(ctx context.Context, order Order, holder string, fence int64) (Result, error)
	// Report asks a server how far it is.
	Report(ctx context.Context, server backend.Server) (Report, error)
}

// Recorder hears of orders. Its methods must not block.
type Recorder interface {
	Ordered(order Order, fence int64, result Result, err error)
}

const (
	callTimeout = 300 * time.Millisecond
	// finishPart is the part of the bound on weights by which all servers should
	// have been moved.
	finishPart = 0.5
)

// Duty rolls weights out while its node holds the lease.
type Duty struct {
	Belief   *catalog.Holder
	Set      *backend.Set
	Servers  Servers
	Recorder Recorder
	Holder   string
	// Bound is the longest time for which older weights may serve.
	Bound time.Duration

	mutex   sync.Mutex
	machine *Machine
}

// targets returns what operators named, with the time by which it should hold.
func (duty *Duty) targets(now time.Time) map[string]Target {
	belief := duty.Belief.Load()
	targets := map[string]Target{}
	if belief == nil {
		return targets
	}
	for model, named := range belief.Weights {
		since := named.NotNamedAt
		if since.IsZero() {
			since = now
		}
		deadline := since.Add(time.Duration(finishPart * float64(duty.Bound)))
		targets[model] = Target{Version: named.Version, Deadline: deadline}
	}
	return targets
}

// Wanted reports whether a server is behind.
func (duty *Duty) Wanted(now time.Time) bool {
	return Behind(duty.targets(now), duty.Set.Servers())
}

// Lost forgets the orders of a tenure that is over.
func (duty *Duty) Lost() {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.machine = nil
}

// Step sends the orders and questions that are due.
func (duty *Duty) Step(ctx context.Context, tenure *lease.Tenure) bool {
	now := time.Now()
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.machine == nil {
		duty.machine = NewMachine()
	}
	for _, action := range duty.machine.Step(now, duty.targets(now), duty.Set.Servers()) {
		// A freeze may lie between the decision and the sending.
		if !tenure.MayAct(time.Now()) {
			return false
		}
		switch action := action.(type) {
		case Order:
			go duty.order(ctx, action, tenure.Fence)
		case Inspect:
			go duty.inspect(ctx, action)
		}
	}
	return duty.machine.Idle()
}

// do runs a change of the machine, unless the tenure has ended since.
func (duty *Duty) do(change func(machine *Machine)) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.machine != nil {
		change(duty.machine)
	}
}

func (duty *Duty) order(ctx context.Context, order Order, fence int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := duty.Servers.Order(ctx, order, duty.Holder, fence)
	duty.Recorder.Ordered(order, fence, result, err)
	duty.do(func(machine *Machine) { machine.Answered(time.Now(), order.Server.Instance, result) })
}

func (duty *Duty) inspect(ctx context.Context, inspect Inspect) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := duty.Servers.Report(ctx, inspect.Server)
	if err != nil {
		return
	}
	instance := inspect.Server.Instance
	duty.Set.Learn(instance, report.Versions)
	duty.do(func(machine *Machine) { machine.Inspected(time.Now(), instance, report) })
}
