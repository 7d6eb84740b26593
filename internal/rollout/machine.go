// Package rollout updates servers to the newest released weights. It decides when each server is
// ordered to load them. One node at a time executes these decisions, under a lease whose fencing
// token is sent with every order.
//
// Machine makes the decisions. It is a pure state machine: it reads no clock and sends nothing.
// Controller executes them.
package rollout

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
)

// Result is the outcome of an order.
type Result int

// The outcomes of orders.
const (
	// ResultUnknown means that the order may or may not be carried out.
	ResultUnknown Result = iota
	// ResultAccepted means that the server carries out the order.
	ResultAccepted
	// ResultAlreadyLoaded means that the server already has the version.
	ResultAlreadyLoaded
	// ResultConflict means that another order is in progress, or that the server has accepted
	// orders that are not known here.
	ResultConflict
	// ResultRejected means that the server refuses the order as it is.
	ResultRejected
	// ResultFenced means that the server has seen a higher fencing token.
	ResultFenced
	// ResultUnreachable means that the order did not reach the server.
	ResultUnreachable
)

// Order is the action of ordering a server to load a version. The server accepts it only in the
// same incarnation and with the same count of orders, so that a duplicate that arrives late has
// no effect.
type Order struct {
	Server  backend.Server
	Model   string
	Version int64
	// Expected is the number of orders that the server must have accepted before this one.
	Expected int64
	// InFlight determines the treatment of requests that are in flight.
	InFlight InFlightPolicy
	// Waited is how long the order was held back until the queue of the server had drained. It is 0
	// for a repeated order.
	Waited time.Duration
}

// InFlightPolicy is the treatment of requests in flight at a server that loads weights.
type InFlightPolicy int

const (
	// AwaitInFlight lets them finish first. The server accepts no new requests meanwhile.
	AwaitInFlight InFlightPolicy = iota
	// ContinueInFlight continues them with the new weights. The output generated from then on is
	// worthless.
	//
	// The rollout always uses this policy, since it costs less. With n requests in flight, it
	// loses about half of each of n answers. AwaitInFlight blocks new requests until the longest
	// of the n has finished. In the mean duration of a request the server answers n requests, so
	// that at least n answers are lost.
	ContinueInFlight
)

// Inspect is the action of querying the status of a server.
type Inspect struct{ Server backend.Server }

// Loaded reports, for the log, that an order has taken effect.
type Loaded struct {
	Order Order
	Took  time.Duration
}

// Report is the status reported by a server.
type Report struct {
	Busy     bool
	Versions map[string]int64
	Sequence int64
	// Born is the start time of the answering server, or 0 if it does not report it.
	Born int64
}

// Action is an action that the leader must execute.
type Action interface{ action() }

func (Order) action()   {}
func (Inspect) action() {}
func (Loaded) action()  {}

const (
	inspectInterval = 200 * time.Millisecond
	// resendAfter is the time after which an order without an answer or an effect is repeated.
	// The repetition expects the same count of orders, so that at most one of the two is carried
	// out.
	resendAfter = time.Second
	// failureBackoff is how long a server is skipped after an order or a query to it has failed.
	failureBackoff = 500 * time.Millisecond
	// defaultLoadTime is the assumed duration of a load before any was observed, and
	// loadTimeGain the weight of each observed one in the moving average.
	defaultLoadTime = time.Second
	loadTimeGain    = 0.3
	// overdueFactor is the multiple of the usual load time after which other servers no longer
	// wait for a load.
	overdueFactor = 3
	// Of a service's servers, one in minConcurrencyDivisor loads at a time if there is enough
	// time, and one in maxConcurrencyDivisor if there is none.
	minConcurrencyDivisor = 6
	maxConcurrencyDivisor = 4
)

// Machine is the state of the rollouts.
type Machine struct {
	pending      map[string]*pendingLoad
	backoffUntil map[string]time.Time
	// sequences holds the number of orders that each server has accepted, as far as known, and
	// contactedAt the time of the last order or query to it.
	sequences   map[string]int64
	contactedAt map[string]time.Time
	loadTime    time.Duration
	// queueWait is the moving average of Order.Waited.
	queueWait time.Duration
	// loadLimits holds, by service, the number of servers that may load at the same time when orders
	// are sent after waiting.
	loadLimits map[string]int
	// loaded holds the loads that have finished since the rollout began.
	loaded map[string]backend.Load
}

// pendingLoad is a load that is planned or in progress. Its order is sent at sendAt; sentAt is
// when it was last sent, and firstSentAt when it was first sent.
type pendingLoad struct {
	order       Order
	sendAt      time.Time
	sentAt      time.Time
	firstSentAt time.Time
	// orderBy is the deadline for sending the order.
	orderBy time.Time
	// waitUntil bounds the wait for the queue of the server, and waited is set once there was one.
	waitUntil time.Time
	waited    bool
	accepted  bool
}

// sent reports whether the order has been sent.
func (p *pendingLoad) sent() bool { return !p.firstSentAt.IsZero() }

// sentCount returns 1 if the order has been sent, and else 0.
func (p *pendingLoad) sentCount() int {
	if p.sent() {
		return 1
	}
	return 0
}

// NewMachine returns a machine without orders.
func NewMachine() *Machine {
	return &Machine{
		pending:      map[string]*pendingLoad{},
		backoffUntil: map[string]time.Time{},
		sequences:    map[string]int64{},
		contactedAt:  map[string]time.Time{},
		loadTime:     defaultLoadTime,
		loadLimits:   map[string]int{},
		loaded:       map[string]backend.Load{},
	}
}

// AnyStale reports whether any server that is not draining lacks a released version.
func AnyStale(targets Targets, servers []backend.Server, now time.Time) bool {
	for _, server := range servers {
		if _, outdated := targets.staleness(server, now); outdated && !server.Draining {
			return true
		}
	}
	return false
}

// Idle reports whether no load is planned or in progress.
func (machine *Machine) Idle() bool { return len(machine.pending) == 0 }

// Loads returns the progress of the rollout in a stable order.
func (machine *Machine) Loads() backend.Loads {
	loads := backend.Loads{}
	for _, pending := range machine.pending {
		loads.Loading = append(loads.Loading, backend.Load{Instance: pending.order.Server.Instance, Model: pending.order.Model, Version: pending.order.Version})
	}
	for _, load := range machine.loaded {
		loads.Loaded = append(loads.Loaded, load)
	}
	byInstance := func(first, second backend.Load) int { return strings.Compare(first.Instance, second.Instance) }
	slices.SortFunc(loads.Loading, byInstance)
	slices.SortFunc(loads.Loaded, byInstance)
	return loads
}

// Step returns the actions that are due now.
func (machine *Machine) Step(now time.Time, targets Targets, servers []backend.Server) []Action {
	services := map[string][]backend.Server{}
	present := map[string]bool{}
	for _, server := range servers {
		present[server.Incarnation()] = true
		services[server.Service] = append(services[server.Service], server)
	}
	for instance := range machine.pending {
		if !present[instance] {
			delete(machine.pending, instance)
		}
	}
	actions := []Action{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		actions = append(actions, machine.stepService(now, targets, services[name])...)
	}
	if machine.Idle() && !AnyStale(targets, servers, now) {
		clear(machine.loaded)
	}
	return actions
}

func (machine *Machine) stepService(now time.Time, targets Targets, servers []backend.Server) []Action {
	actions := []Action{}
	loading, sent := 0, 0
	stale, planned := []staleServer{}, []backend.Server{}
	for _, server := range servers {
		if pending := machine.pending[server.Incarnation()]; pending != nil {
			if machine.inProgress(now, pending, server) {
				if !machine.overdue(now, pending) {
					loading++
					sent += pending.sentCount()
				}
				switch {
				case targets.inBackoff(server, pending.orderBy, now):
				case pending.sent():
					actions = append(actions, machine.followUp(now, targets, pending, server)...)
				default:
					planned = append(planned, server)
				}
				continue
			}
			machine.finish(server.Incarnation())
			if pending.sent() {
				actions = append(actions, Loaded{Order: pending.order, Took: now.Sub(pending.firstSentAt)})
			}
		}
		candidate, outdated := targets.staleness(server, now)
		if outdated && !server.Draining && !now.Before(machine.backoffUntil[server.Incarnation()]) && !targets.inBackoff(server, candidate.orderBy, now) {
			stale = append(stale, candidate)
		}
	}
	sortByUrgency(stale, targets.Uses)
	concurrent := machine.concurrency(now, stale, loading, len(servers))
	if len(stale) > 0 {
		machine.loadLimits[stale[0].server.Service] = machine.includingWaits(concurrent, targets.PropagationDelay)
	}
	send := func(server backend.Server) {
		order := machine.sendIfDue(now, targets, server, sent < machine.loadLimits[server.Service])
		sent += len(order)
		actions = append(actions, order...)
	}
	for _, server := range planned {
		send(server)
	}
	slots := machine.includingWaits(concurrent, targets.PropagationDelay+machine.queueWait) - loading
	for _, candidate := range stale {
		expected, reported := machine.sequences[candidate.server.Incarnation()]
		switch {
		case !reported:
			actions = append(actions, machine.inspect(now, targets, candidate.server)...)
		case slots > 0 || !now.Before(candidate.orderBy):
			slots--
			machine.plan(now, targets, candidate, expected)
			send(candidate.server)
		}
	}
	return actions
}

// plan adds a load. It is broadcast from now on, and its order is sent after the propagation
// delay if the deadline permits, and after the queue of the server has drained: at most for as long
// as a load takes, and only while the load can still finish by the deadline for it.
func (machine *Machine) plan(now time.Time, targets Targets, candidate staleServer, expected int64) {
	order := Order{Server: candidate.server, Model: candidate.model, Version: candidate.version, Expected: expected, InFlight: ContinueInFlight}
	sendAt := now.Add(targets.PropagationDelay)
	if sendAt.After(candidate.orderBy) {
		sendAt = now
	}
	waitUntil := sendAt.Add(machine.loadTime)
	if latest := candidate.deadline.Add(-machine.loadTime); latest.Before(waitUntil) {
		waitUntil = latest
	}
	machine.pending[candidate.server.Incarnation()] = &pendingLoad{order: order, sendAt: sendAt, orderBy: candidate.orderBy, waitUntil: waitUntil}
}

// sendIfDue returns the order of a load if it is due. The flag room reports whether fewer servers
// load than may at the same time.
func (machine *Machine) sendIfDue(now time.Time, targets Targets, server backend.Server, room bool) []Action {
	pending := machine.pending[server.Incarnation()]
	if pending.sent() || now.Before(pending.sendAt) || pending.awaitsQueue(now, targets.Uses[server.Incarnation()], room) {
		return nil
	}
	pending.order.Server = server
	if pending.waited {
		pending.order.Waited = now.Sub(pending.sendAt)
	}
	machine.queueWait += time.Duration(loadTimeGain * float64(pending.order.Waited-machine.queueWait))
	pending.sentAt, pending.firstSentAt = now, now
	machine.contactedAt[server.Incarnation()] = now
	return []Action{pending.order}
}

// awaitsQueue reports whether an order is held back because requests wait at the server, which
// refuses these when it begins to load. Orders that have waited for queues that drain at the same
// time are held back further while no more servers may load at the same time. None is held back
// beyond its deadline.
func (p *pendingLoad) awaitsQueue(now time.Time, use backend.Use, room bool) bool {
	if !now.Before(p.orderBy) {
		return false
	}
	if use.QueuedTokens > 0 && now.Before(p.waitUntil) {
		p.waited = true
		return true
	}
	return p.waited && !room
}

// inspect queries the status of a server, unless it was contacted recently.
func (machine *Machine) inspect(now time.Time, targets Targets, server backend.Server) []Action {
	if now.Sub(machine.contactedAt[server.Incarnation()]) < targets.minInterval(server, inspectInterval) {
		return nil
	}
	machine.contactedAt[server.Incarnation()] = now
	return []Action{Inspect{Server: server}}
}

// finish records that an order has taken effect. The finished load is broadcast until the end of
// the rollout: by then the server list shows it.
func (machine *Machine) finish(instance string) {
	order := machine.pending[instance].order
	machine.loaded[instance] = backend.Load{Instance: order.Server.Instance, Model: order.Model, Version: order.Version}
	delete(machine.pending, instance)
}

// inProgress reports whether an order has not taken effect yet. If a sent one has, the moving
// average of the load time is updated with its duration.
func (machine *Machine) inProgress(now time.Time, pending *pendingLoad, server backend.Server) bool {
	if server.Versions[pending.order.Model] < pending.order.Version {
		return true
	}
	if !pending.sent() {
		return false
	}
	took := now.Sub(pending.firstSentAt)
	machine.loadTime += time.Duration(loadTimeGain * float64(took-machine.loadTime))
	return false
}

// overdue reports whether a load takes so long that others should no longer wait for it.
func (machine *Machine) overdue(now time.Time, pending *pendingLoad) bool {
	return pending.sent() && now.Sub(pending.firstSentAt) > overdueFactor*machine.loadTime
}

// followUp queries the status of the server, and repeats an order that seems lost.
func (machine *Machine) followUp(now time.Time, targets Targets, pending *pendingLoad, server backend.Server) []Action {
	if !pending.sent() {
		return nil
	}
	if !pending.accepted && now.Sub(pending.sentAt) >= targets.minInterval(server, resendAfter) {
		pending.sentAt = now
		pending.order.Server, pending.order.Waited = server, 0
		return []Action{pending.order}
	}
	return machine.inspect(now, targets, server)
}

// concurrency returns the number of servers that should load concurrently to meet the deadline.
// It starts low, because loads slow each other down.
func (machine *Machine) concurrency(now time.Time, stale []staleServer, loading, all int) int {
	if len(stale) == 0 {
		return 0
	}
	least, most := max(1, all/minConcurrencyDivisor), max(1, all/maxConcurrencyDivisor)
	rounds := stale[0].deadline.Sub(now).Seconds() / machine.loadTime.Seconds()
	if rounds < 1 {
		return most
	}
	wanted := int(math.Ceil(float64(len(stale)+loading) / math.Floor(rounds)))
	return min(max(least, wanted), most)
}

// includingWaits returns the number of planned and ongoing loads that keep the given number of
// servers loading. It is higher, since a planned load waits for its propagation delay and for the
// queue of its server before its order is sent.
func (machine *Machine) includingWaits(loading int, wait time.Duration) int {
	return int(float64(loading) * (1 + wait.Seconds()/machine.loadTime.Seconds()))
}

// OrderAnswered records a server's answer to an order.
func (machine *Machine) OrderAnswered(now time.Time, instance string, result Result) {
	pending := machine.pending[instance]
	if pending == nil {
		return
	}
	switch result {
	case ResultAccepted:
		pending.accepted = true
		machine.sequences[instance] = pending.order.Expected + 1
	case ResultAlreadyLoaded:
		// The next report shows it.
	case ResultConflict, ResultRejected, ResultFenced, ResultUnreachable:
		delete(machine.pending, instance)
		delete(machine.sequences, instance)
		machine.backoffUntil[instance] = now.Add(failureBackoff)
	}
}

// InspectFailed records that a server did not answer a query. Others must not wait for a server
// that may be gone; if it accepted an order nevertheless, that shows later.
func (machine *Machine) InspectFailed(now time.Time, instance string) {
	delete(machine.pending, instance)
	machine.backoffUntil[instance] = now.Add(failureBackoff)
}

// Inspected records a server's report. The caller has already updated the server set with its
// versions. Reports may be delayed, so they never lower the count of orders.
func (machine *Machine) Inspected(now time.Time, instance string, report Report) {
	pending := machine.pending[instance]
	machine.sequences[instance] = max(report.Sequence, machine.sequences[instance])
	if pending == nil || report.Versions[pending.order.Model] >= pending.order.Version {
		return
	}
	if pending.accepted && !report.Busy && now.Sub(pending.sentAt) >= resendAfter {
		// The server accepted the order but lost it, since it is not busy any more.
		delete(machine.pending, instance)
	}
}
