// Package rollout moves servers to the newest weights that operators named. It
// decides which server is ordered when; one node at a time acts on it, under a
// lease whose fencing token goes with every order.
//
// Machine is a pure state machine.
package rollout

import (
	"math"
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
)

// Result is what a server said to an order.
type Result int

// The results of orders.
const (
	// ResultUnknown leaves open whether the order was or will be taken.
	ResultUnknown Result = iota
	// ResultTaken says that the server carries the order out.
	ResultTaken
	// ResultHolds says that the server has the version already.
	ResultHolds
	// ResultConflict says that another order is under way, or that the server has
	// taken orders that are not known here.
	ResultConflict
	// ResultRejected says that the server will not take the order as it is.
	ResultRejected
	// ResultUnreached says that the order did not reach the server.
	ResultUnreached
)

// Order is the action of ordering a server to load a version. The server takes
// it only as the same incarnation and with the same count of orders, so that a
// copy that arrives late does nothing.
type Order struct {
	Server  backend.Server
	Model   string
	Version int64
	// Expected is how many orders the server must have taken before this one.
	Expected int64
}

// Inspect is the action of asking a server how far it is.
type Inspect struct{ Server backend.Server }

// Report is what a server says of itself.
type Report struct {
	Busy     bool
	Versions map[string]int64
	Sequence int64
}

// Target is the named version of a model.
type Target struct {
	Version int64
	// Deadline is when all servers should have it.
	Deadline time.Time
}

const (
	inspectInterval = 200 * time.Millisecond
	// resendAfter is when an order without an answer and without an effect is
	// repeated. The repetition expects the same count of orders, so that at most
	// one of the two is carried out.
	resendAfter = time.Second
	// restAfterFailure is how long a server that took no order is passed over.
	restAfterFailure = 500 * time.Millisecond
	// assumedLoad is how long a load is taken to last before one was seen.
	assumedLoad = time.Second
	loadGain    = 0.3
	// mostAtOnce bounds the part of a service's servers that load together.
	mostAtOnce = 3
)

// Machine is the state of the roll-outs.
type Machine struct {
	pending map[string]*pending
	resting map[string]time.Time
	// sequences holds the count of orders that each server last reported, and
	// asked, when it was asked for it.
	sequences map[string]int64
	asked     map[string]time.Time
	load      time.Duration
}

type pending struct {
	order   Order
	sentAt  time.Time
	begunAt time.Time
	taken   bool
}

// NewMachine returns a machine that knows of no order.
func NewMachine() *Machine {
	return &Machine{
		pending:   map[string]*pending{},
		resting:   map[string]time.Time{},
		sequences: map[string]int64{},
		asked:     map[string]time.Time{},
		load:      assumedLoad,
	}
}

// Behind reports whether any server needs an order.
func Behind(targets map[string]Target, servers []backend.Server) bool {
	for _, server := range servers {
		if _, missing := missing(targets, server); missing && !server.Draining {
			return true
		}
	}
	return false
}

// missing returns the model for which the server lacks the named version.
func missing(targets map[string]Target, server backend.Server) (string, bool) {
	models := make([]string, 0, len(server.Versions))
	for model, version := range server.Versions {
		if target, named := targets[model]; named && version < target.Version {
			models = append(models, model)
		}
	}
	if len(models) == 0 {
		return "", false
	}
	sort.Strings(models)
	return models[0], true
}

// Idle reports whether no order is under way.
func (machine *Machine) Idle() bool { return len(machine.pending) == 0 }

// Step returns what to do now. Actions are Order and Inspect.
func (machine *Machine) Step(now time.Time, targets map[string]Target, servers []backend.Server) []any {
	actions := []any{}
	services := map[string][]backend.Server{}
	present := map[string]bool{}
	for _, server := range servers {
		present[server.Instance] = true
		services[server.Service] = append(services[server.Service], server)
	}
	for instance := range machine.pending {
		if !present[instance] {
			delete(machine.pending, instance)
		}
	}
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		actions = append(actions, machine.stepService(now, targets, services[name])...)
	}
	return actions
}

func (machine *Machine) stepService(now time.Time, targets map[string]Target, servers []backend.Server) []any {
	actions := []any{}
	loading := 0
	behind := []backend.Server{}
	deadline := time.Time{}
	for _, server := range servers {
		if known := machine.pending[server.Instance]; known != nil {
			if machine.follow(now, known, server) {
				loading++
				actions = append(actions, machine.chase(now, known, server)...)
				continue
			}
			delete(machine.pending, server.Instance)
		}
		model, lacks := missing(targets, server)
		if !lacks || server.Draining || now.Before(machine.resting[server.Instance]) {
			continue
		}
		behind = append(behind, server)
		if target := targets[model]; deadline.IsZero() || target.Deadline.Before(deadline) {
			deadline = target.Deadline
		}
	}
	room := machine.atOnce(now, deadline, len(behind)+loading, len(servers)) - loading
	for _, server := range spread(behind) {
		expected, reported := machine.sequences[server.Instance]
		if !reported {
			actions = append(actions, machine.inspect(now, server)...)
			continue
		}
		if room <= 0 {
			continue
		}
		room--
		model, _ := missing(targets, server)
		order := Order{Server: server, Model: model, Version: targets[model].Version, Expected: expected}
		machine.pending[server.Instance] = &pending{order: order, sentAt: now, begunAt: now}
		machine.asked[server.Instance] = now
		actions = append(actions, order)
	}
	return actions
}

// inspect asks a server how far it is, unless it was asked just now.
func (machine *Machine) inspect(now time.Time, server backend.Server) []any {
	if now.Sub(machine.asked[server.Instance]) < inspectInterval {
		return nil
	}
	machine.asked[server.Instance] = now
	return []any{Inspect{Server: server}}
}

// follow reports whether the order is still under way.
func (machine *Machine) follow(now time.Time, known *pending, server backend.Server) bool {
	if server.Versions[known.order.Model] < known.order.Version {
		return true
	}
	took := now.Sub(known.begunAt)
	machine.load += time.Duration(loadGain * float64(took-machine.load))
	return false
}

// chase asks how far the server is, and repeats an order that seems lost.
func (machine *Machine) chase(now time.Time, known *pending, server backend.Server) []any {
	if !known.taken && now.Sub(known.sentAt) >= resendAfter {
		known.sentAt = now
		known.order.Server = server
		return []any{known.order}
	}
	return machine.inspect(now, server)
}

// atOnce is how many servers should load together for all to be done in time.
func (machine *Machine) atOnce(now time.Time, deadline time.Time, remaining, all int) int {
	if remaining == 0 {
		return 0
	}
	rounds := deadline.Sub(now).Seconds() / machine.load.Seconds()
	wanted := remaining
	if rounds >= 1 {
		wanted = int(math.Ceil(float64(remaining) / math.Floor(rounds)))
	}
	most := max(1, all/mostAtOnce)
	return min(max(1, wanted), most)
}

// spread orders servers so that neighbours in the order are in different zones.
func spread(servers []backend.Server) []backend.Server {
	sort.Slice(servers, func(i, j int) bool { return servers[i].Instance < servers[j].Instance })
	place := map[string]int{}
	rank := map[string]int{}
	for _, server := range servers {
		rank[server.Instance] = place[server.Zone]
		place[server.Zone]++
	}
	sort.SliceStable(servers, func(i, j int) bool {
		first, second := servers[i], servers[j]
		if rank[first.Instance] != rank[second.Instance] {
			return rank[first.Instance] < rank[second.Instance]
		}
		return first.Zone < second.Zone
	})
	return servers
}

// Answered takes a server's answer to an order.
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
	case ResultConflict, ResultRejected, ResultUnreached:
		delete(machine.pending, instance)
		delete(machine.sequences, instance)
		machine.resting[instance] = now.Add(restAfterFailure)
	}
}

// Inspected takes a server's report. The caller has told the set of servers of
// its weights already. Reports lag, so one never lowers the count of orders.
func (machine *Machine) Inspected(now time.Time, instance string, report Report) {
	known := machine.pending[instance]
	machine.sequences[instance] = max(report.Sequence, machine.sequences[instance])
	if known == nil || report.Versions[known.order.Model] >= known.order.Version {
		return
	}
	if known.taken && !report.Busy && now.Sub(known.sentAt) >= resendAfter {
		// It was taken and is not under way any more: the server lost it.
		delete(machine.pending, instance)
	}
}
