// Package rollout updates servers to the newest released weights. It decides when each server is
// ordered to load them. One node at a time executes these decisions, under a lease whose fencing
// token is sent with every order.
//
// Machine is a pure state machine.
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
	ResultTaken
	// ResultAlreadyLoaded means that the server already has the version.
	ResultHolds
	// ResultConflict means that another order is in progress, or that the server has accepted
	// orders that are not known here.
	ResultConflict
	// ResultRejected means that the server refuses the order as it is.
	ResultRejected
	// ResultFenced means that the server has seen a higher fencing token.
	ResultFenced
	// ResultUnreachable means that the order did not reach the server.
	ResultUnreached
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
	Runs Runs
}

// InFlightPolicy is the treatment of requests in flight at a server that loads weights.
type Runs int

const (
	// AwaitInFlight lets them finish first. The server accepts no new requests meanwhile.
	AwaitRuns Runs = iota
	// ContinueInFlight continues them with the new weights. The output generated from then on is
	// worthless.
	//
	// The rollout always uses this policy. With n requests in flight it loses about half of each
	// answer. AwaitInFlight blocks new requests until the longest of them has finished, in which
	// time the server would have answered n or more: it answers n in the mean duration of a
	// request.
	ContinueRuns
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
	restAfterFailure = 500 * time.Millisecond
	// defaultLoadTime is the assumed duration of a load before any was observed.
	assumedLoad = time.Second
	loadGain    = 0.3
	// overdueFactor is the multiple of the usual load time after which other servers no longer
	// wait for a load.
	overdueAfter = 3
	// Of a service's servers, one in minConcurrencyDivisor loads at a time if there is enough
	// time, and one in maxConcurrencyDivisor if there is none.
	leastAtOnce = 6
	mostAtOnce  = 4
)

// Machine is the state of the rollouts.
type Machine struct {
	pending map[string]*pending
	resting map[string]time.Time
	// sequences holds the count of orders that each server last reported, and contactedAt the
	// time of the last order or query to it.
	sequences map[string]int64
	asked     map[string]time.Time
	load      time.Duration
	// loaded holds the loads that have finished since the rollout began.
	loaded map[string]backend.Load
}

// pendingLoad is a load that is planned or in progress. Its order is sent at sendAt; sentAt is
// when it was last sent, and firstSentAt when it was first sent.
type pending struct {
	order   Order
	sendAt  time.Time
	sentAt  time.Time
	begunAt time.Time
	// orderBy is the deadline for sending the order.
	latest time.Time
	taken  bool
}

// sent reports whether the order has been sent.
func (p *pending) sent() bool { return !p.begunAt.IsZero() }

// NewMachine returns a machine without orders.
func NewMachine() *Machine {
	return &Machine{
		pending:   map[string]*pending{},
		resting:   map[string]time.Time{},
		sequences: map[string]int64{},
		asked:     map[string]time.Time{},
		load:      assumedLoad,
		loaded:    map[string]backend.Load{},
	}
}

// AnyBehind reports whether any server needs an order.
func Behind(targets Targets, servers []backend.Server, now time.Time) bool {
	for _, server := range servers {
		if _, lacks := targets.of(server, now); lacks && !server.Draining {
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
	for _, known := range machine.pending {
		loads.Loading = append(loads.Loading, backend.Load{Instance: known.order.Server.Instance, Model: known.order.Model, Version: known.order.Version})
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
	if machine.Idle() && !Behind(targets, servers, now) {
		clear(machine.loaded)
	}
	return actions
}

func (machine *Machine) stepService(now time.Time, targets Targets, servers []backend.Server) []Action {
	actions := []Action{}
	loading := 0
	behind := []lack{}
	for _, server := range servers {
		if known := machine.pending[server.Incarnation()]; known != nil {
			if machine.underWay(now, known, server) {
				if !machine.overdue(now, known) {
					loading++
				}
				if !targets.rests(server, known.latest, now) {
					actions = append(actions, machine.due(now, server)...)
					actions = append(actions, machine.chase(now, targets, known, server)...)
				}
				continue
			}
			machine.finish(server.Incarnation())
			if known.sent() {
				actions = append(actions, Loaded{Order: known.order, Took: now.Sub(known.begunAt)})
			}
		}
		one, lacks := targets.of(server, now)
		if lacks && !server.Draining && !now.Before(machine.resting[server.Incarnation()]) && !targets.rests(server, one.latest, now) {
			behind = append(behind, one)
		}
	}
	sortByUrgency(behind, targets.Uses)
	room := machine.withNotice(machine.atOnce(now, behind, loading, len(servers)), targets.Notice) - loading
	for _, one := range behind {
		expected, reported := machine.sequences[one.server.Incarnation()]
		switch {
		case !reported:
			actions = append(actions, machine.inspect(now, targets, one.server)...)
		case room > 0 || !now.Before(one.latest):
			room--
			machine.plan(now, targets, one, expected)
			actions = append(actions, machine.due(now, one.server)...)
		}
	}
	return actions
}

// plan adds a load. It is broadcast from now on, and its order is sent after the propagation
// delay if the deadline permits.
func (machine *Machine) plan(now time.Time, targets Targets, one lack, expected int64) {
	order := Order{Server: one.server, Model: one.model, Version: one.version, Expected: expected, Runs: ContinueRuns}
	sendAt := now.Add(targets.Notice)
	if sendAt.After(one.latest) {
		sendAt = now
	}
	machine.pending[one.server.Incarnation()] = &pending{order: order, sendAt: sendAt, latest: one.latest}
}

// sendIfDue returns the order of a load if it is due.
func (machine *Machine) due(now time.Time, server backend.Server) []Action {
	known := machine.pending[server.Incarnation()]
	if known.sent() || now.Before(known.sendAt) {
		return nil
	}
	known.order.Server = server
	known.sentAt, known.begunAt = now, now
	machine.asked[server.Incarnation()] = now
	return []Action{known.order}
}

// inspect queries the status of a server, unless it was contacted recently.
func (machine *Machine) inspect(now time.Time, targets Targets, server backend.Server) []Action {
	if now.Sub(machine.asked[server.Incarnation()]) < targets.pace(server, inspectInterval) {
		return nil
	}
	machine.asked[server.Incarnation()] = now
	return []Action{Inspect{Server: server}}
}

// finish records that an order has taken effect. The finished load is broadcast until the end of
// the rollout: by then the server list shows it.
func (machine *Machine) finish(instance string) {
	order := machine.pending[instance].order
	machine.loaded[instance] = backend.Load{Instance: order.Server.Instance, Model: order.Model, Version: order.Version}
	delete(machine.pending, instance)
}

// inProgress reports whether an order has not taken effect yet. Otherwise the load time is
// updated with its duration.
func (machine *Machine) underWay(now time.Time, known *pending, server backend.Server) bool {
	if server.Versions[known.order.Model] < known.order.Version {
		return true
	}
	if !known.sent() {
		return false
	}
	took := now.Sub(known.begunAt)
	machine.load += time.Duration(loadGain * float64(took-machine.load))
	return false
}

// overdue reports whether a load takes so long that others should no longer wait for it.
func (machine *Machine) overdue(now time.Time, known *pending) bool {
	return known.sent() && now.Sub(known.begunAt) > overdueAfter*machine.load
}

// followUp queries the status of the server, and repeats an order that seems lost.
func (machine *Machine) chase(now time.Time, targets Targets, known *pending, server backend.Server) []Action {
	if !known.sent() {
		return nil
	}
	if !known.taken && now.Sub(known.sentAt) >= targets.pace(server, resendAfter) {
		known.sentAt = now
		known.order.Server = server
		return []Action{known.order}
	}
	return machine.inspect(now, targets, server)
}

// concurrency returns the number of servers that should load concurrently to meet the deadline.
// It starts low, because loads slow each other down.
func (machine *Machine) atOnce(now time.Time, behind []lack, loading, all int) int {
	if len(behind) == 0 {
		return 0
	}
	least, most := max(1, all/leastAtOnce), max(1, all/mostAtOnce)
	rounds := behind[0].deadline.Sub(now).Seconds() / machine.load.Seconds()
	if rounds < 1 {
		return most
	}
	wanted := int(math.Ceil(float64(len(behind)+loading) / math.Floor(rounds)))
	return min(max(least, wanted), most)
}

// includingPropagation returns the number of planned and ongoing loads that keep the given
// number of servers loading, since a load in its propagation delay is not yet loading.
func (machine *Machine) withNotice(loading int, notice time.Duration) int {
	return int(float64(loading) * (1 + notice.Seconds()/machine.load.Seconds()))
}

// OrderAnswered records a server's answer to an order.
func (machine *Machine) Answered(now time.Time, instance string, result Result) {
	known := machine.pending[instance]
	if known == nil {
		return
	}
	switch result {
	case ResultTaken:
		known.taken = true
		machine.sequences[instance] = known.order.Expected + 1
	case ResultHolds:
		// The next report shows it.
	case ResultConflict, ResultRejected, ResultFenced, ResultUnreached:
		delete(machine.pending, instance)
		delete(machine.sequences, instance)
		machine.resting[instance] = now.Add(restAfterFailure)
	}
}

// InspectFailed records that a server did not answer a query. Others must not wait for a server
// that may be gone; if it accepted an order nevertheless, that shows later.
func (machine *Machine) Unheard(now time.Time, instance string) {
	delete(machine.pending, instance)
	machine.resting[instance] = now.Add(restAfterFailure)
}

// Inspected records a server's report. The caller has already updated the server set with its
// versions. Reports may be delayed, so they never lower the count of orders.
func (machine *Machine) Inspected(now time.Time, instance string, report Report) {
	known := machine.pending[instance]
	machine.sequences[instance] = max(report.Sequence, machine.sequences[instance])
	if known == nil || report.Versions[known.order.Model] >= known.order.Version {
		return
	}
	if known.taken && !report.Busy && now.Sub(known.sentAt) >= resendAfter {
		// The server accepted the order but lost it, since it is not busy any more.
		delete(machine.pending, instance)
	}
}
