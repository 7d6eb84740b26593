package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/property"
)

const model = "m"

// simServer is a server in virtual time: it accepts orders, loads for a while, and may receive
// an order late or lose its answer.
type simServer struct {
	name        string
	incarnation int
	version     int64
	loading     int64
	doneAt      time.Time
	sequence    int64
	delayed     []delayedOrder
	downUntil   time.Time
}

type delayedOrder struct {
	order Order
	at    time.Time
}

func (server *simServer) instance() string { return fmt.Sprint(server.name, "-", server.incarnation) }

// handleOrder processes an order as a real server would.
func (server *simServer) handleOrder(now time.Time, order Order) Result {
	switch {
	case order.Server.Instance != server.instance():
		return ResultRejected
	case server.loading != 0 || order.Expected != server.sequence:
		return ResultConflict
	case order.Version == server.version:
		return ResultAlreadyLoaded
	}
	server.sequence++
	server.loading, server.doneAt = order.Version, now.Add(700*time.Millisecond)
	return ResultAccepted
}

func (server *simServer) tick(now time.Time) {
	remaining := server.delayed[:0]
	for _, delayed := range server.delayed {
		if now.Before(delayed.at) {
			remaining = append(remaining, delayed)
			continue
		}
		server.handleOrder(now, delayed.order)
	}
	server.delayed = remaining
	if server.loading != 0 && !now.Before(server.doneAt) {
		server.version, server.loading = server.loading, 0
	}
}

// restart starts a new incarnation of the server with the same weights.
func (server *simServer) restart(now time.Time) {
	server.incarnation++
	server.loading, server.sequence = 0, 0
	server.downUntil = now.Add(time.Second)
}

// simulation is a fleet of servers and the leader.
type simulation struct {
	t       *rapid.T
	now     time.Time
	servers []*simServer
	machine *Machine
	targets Targets
	// observed holds the versions known to the leader, which lag behind.
	observed    map[string]int64
	peakLoading int
}

func (simulation *simulation) list() []backend.Server {
	list := []backend.Server{}
	for _, server := range simulation.servers {
		if simulation.now.Before(server.downUntil) {
			continue
		}
		instance := server.instance()
		if simulation.observed[instance] == 0 {
			simulation.observed[instance] = server.version
		}
		list = append(list, backend.Server{
			Instance: instance, Service: "s", Zone: server.name[:1], Versions: map[string]int64{model: simulation.observed[instance]},
		})
	}
	return list
}

func (simulation *simulation) find(instance string) *simServer {
	for _, server := range simulation.servers {
		if server.instance() == instance && !simulation.now.Before(server.downUntil) {
			return server
		}
	}
	return nil
}

func (simulation *simulation) order(order Order) {
	server := simulation.find(order.Server.Instance)
	if server == nil {
		simulation.machine.OrderAnswered(simulation.now, order.Server.Instance, ResultUnreachable)
		return
	}
	switch rapid.SampledFrom([]string{"fine", "fine", "fine", "late", "lost"}).Draw(simulation.t, "fate") {
	case "fine":
		simulation.machine.OrderAnswered(simulation.now, order.Server.Instance, server.handleOrder(simulation.now, order))
	case "late":
		wait := time.Duration(rapid.IntRange(1000, 8000).Draw(simulation.t, "late")) * time.Millisecond
		server.delayed = append(server.delayed, delayedOrder{order: order, at: simulation.now.Add(wait)})
		simulation.machine.OrderAnswered(simulation.now, order.Server.Instance, ResultUnknown)
	case "lost":
		server.handleOrder(simulation.now, order)
		simulation.machine.OrderAnswered(simulation.now, order.Server.Instance, ResultUnknown)
	}
}

func (simulation *simulation) inspect(inspect Inspect) {
	server := simulation.find(inspect.Server.Instance)
	if server == nil {
		simulation.machine.InspectFailed(simulation.now, inspect.Server.Instance)
		return
	}
	simulation.observed[server.instance()] = server.version
	simulation.machine.Inspected(simulation.now, server.instance(), Report{
		Busy: server.loading != 0, Versions: map[string]int64{model: server.version}, Sequence: server.sequence,
	})
}

func (simulation *simulation) tick() {
	simulation.now = simulation.now.Add(50 * time.Millisecond)
	loading := 0
	for _, server := range simulation.servers {
		server.tick(simulation.now)
		if server.loading != 0 {
			loading++
		}
	}
	simulation.peakLoading = max(simulation.peakLoading, loading)
	for _, action := range simulation.machine.Step(simulation.now, simulation.targets, simulation.list()) {
		switch action := action.(type) {
		case Order:
			simulation.order(action)
		case Inspect:
			simulation.inspect(action)
		}
	}
}

func (simulation *simulation) name(version int64) {
	releases := append(catalog.Releases(nil), simulation.targets.Weights[model]...)
	simulation.targets.Weights = map[string]catalog.Releases{model: append(releases, catalog.Release{Version: version, UnreleasedAt: simulation.now})}
}

func newSimulation(t *rapid.T, servers int) *simulation {
	simulation := &simulation{t: t, now: time.Unix(1000, 0), machine: NewMachine(), observed: map[string]int64{}}
	simulation.targets = Targets{FinishWithin: 6 * time.Second, OrderWithin: 7 * time.Second, Weights: map[string]catalog.Releases{model: {{Version: 1}}}}
	for number := range servers {
		simulation.servers = append(simulation.servers, &simServer{name: fmt.Sprintf("%c%d", 'a'+number%3, number), version: 1})
	}
	return simulation
}

func TestEveryServerConvergesDespiteLostAndDelayedOrders(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, rapid.IntRange(1, 20).Draw(t, "servers"))
		newestVersion := int64(1)
		for range rapid.IntRange(1, 3).Draw(t, "namings") {
			newestVersion++
			simulation.name(newestVersion)
			for range rapid.IntRange(5, 80).Draw(t, "ticks") {
				simulation.tick()
				if rapid.IntRange(0, 60).Draw(t, "crash") == 0 {
					simulation.servers[rapid.IntRange(0, len(simulation.servers)-1).Draw(t, "who")].restart(simulation.now)
				}
			}
		}
		// Longer than the delay of any order still in transit.
		for range 1200 {
			simulation.tick()
		}
		for _, server := range simulation.servers {
			require.Equal(t, newestVersion, server.version, server.name)
		}
		require.False(t, AnyBehind(simulation.targets, simulation.list(), simulation.now))
		require.True(t, simulation.machine.Idle())
	})
}

func TestOldestWeightsAreReplacedFirst(t *testing.T) {
	machine := NewMachine()
	now := time.Unix(1000, 0)
	targets := Targets{FinishWithin: 6 * time.Second, OrderWithin: 7 * time.Second, Weights: map[string]catalog.Releases{model: {
		{Version: 1}, {Version: 2, UnreleasedAt: now.Add(-4 * time.Second)}, {Version: 3, UnreleasedAt: now.Add(-time.Second)},
	}}}
	servers := []backend.Server{
		{Instance: "a", Service: "s", Versions: map[string]int64{model: 2}},
		{Instance: "b", Service: "s", Versions: map[string]int64{model: 1}},
		{Instance: "c", Service: "s", Versions: map[string]int64{model: 3}},
		{Instance: "d", Service: "s", Versions: map[string]int64{model: 1}, Draining: true},
	}
	require.Len(t, machine.Step(now, targets, servers), 2, "both are queried for their count of orders")
	machine.Inspected(now, "a", Report{Versions: servers[0].Versions, Sequence: 4})
	machine.Inspected(now, "b", Report{Versions: servers[1].Versions, Sequence: 2})
	actions := machine.Step(now, targets, servers)
	require.Equal(t, []Action{Order{Server: servers[1], Model: model, Version: 3, Expected: 2, InFlight: ContinueInFlight}}, actions, "directly to the newest version, one server at a time")
}

func TestConcurrencyRisesNearDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := Targets{FinishWithin: time.Minute, OrderWithin: time.Hour, Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}}}
	orders := func(targets Targets) int {
		machine := NewMachine()
		servers := []backend.Server{}
		for number := range 12 {
			instance := fmt.Sprint("i-", number)
			servers = append(servers, backend.Server{Instance: instance, Service: "s", Versions: map[string]int64{model: 1}})
			machine.Inspected(now, instance, Report{Versions: servers[number].Versions})
		}
		return len(machine.Step(now, targets, servers))
	}
	require.Equal(t, 2, orders(targets))
	targets.FinishWithin = 0
	require.Equal(t, 3, orders(targets))
	targets.OrderWithin = 0
	require.Equal(t, 12, orders(targets), "no request may start on the old weights any more")
	targets.FinishWithin, targets.OrderWithin = 6*time.Second, 7*time.Second
	targets.Weights[model][1].UnreleasedAt = now.Add(-10 * time.Second)
	require.Equal(t, 12, orders(targets))
	targets.DisruptedAt = now.Add(-time.Second)
	require.Equal(t, 3, orders(targets), "the time of the store outage does not count")
}

func TestStateRoundTrip(t *testing.T) {
	state := State{Holder: "n", Active: true}
	decoded, err := DecodeState(state.Encode())
	require.NoError(t, err)
	require.Equal(t, state, decoded)
	_, err = DecodeState([]byte("idle"))
	require.Error(t, err)
}

func TestLoadedServersAreReportedUntilRolloutEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := Targets{FinishWithin: time.Minute, OrderWithin: time.Hour, Weights: map[string]catalog.Releases{model: {{Version: 2, UnreleasedAt: now}}}}
	machine := NewMachine()
	at := func(versions ...int64) []backend.Server {
		servers := []backend.Server{}
		for number, version := range versions {
			instance := fmt.Sprint("i-", number)
			servers = append(servers, backend.Server{Instance: instance, Service: "s", Versions: map[string]int64{model: version}})
			machine.Inspected(now, instance, Report{Versions: servers[number].Versions})
		}
		return servers
	}
	first := backend.Load{Instance: "i-0", Model: model, Version: 2}
	second := backend.Load{Instance: "i-1", Model: model, Version: 2}
	machine.Step(now, targets, at(1, 1))
	require.Equal(t, backend.Loads{Loading: []backend.Load{first}}, machine.Loads())
	machine.Step(now, targets, at(2, 1))
	require.Equal(t, backend.Loads{Loading: []backend.Load{second}, Loaded: []backend.Load{first}}, machine.Loads())
	machine.Step(now, targets, at(2, 2))
	require.Equal(t, backend.Loads{}, machine.Loads())
}

func TestLeastLoadedServerOfEachZoneGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	machine := NewMachine()
	targets := Targets{
		FinishWithin: time.Minute, OrderWithin: time.Hour, Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}},
		Uses: map[string]backend.Use{"i-0": {Running: 3}, "i-2": {Running: 1, QueuedTokens: 9}, "i-4": {Running: 1}, "i-1": {Running: 8}, "i-3": {Running: 9}, "i-5": {Running: 7}},
	}
	var servers []backend.Server
	for number := range 12 {
		instance := fmt.Sprint("i-", number)
		if number > 5 {
			targets.Uses[instance] = backend.Use{Running: 20}
		}
		servers = append(servers, backend.Server{Instance: instance, Service: "s", Zone: fmt.Sprint("z", number%2), Versions: map[string]int64{model: 1}})
		machine.Inspected(now, instance, Report{Versions: servers[number].Versions})
	}
	var ordered []string
	for _, action := range machine.Step(now, targets, servers) {
		ordered = append(ordered, action.(Order).Server.Instance)
	}
	require.Equal(t, []string{"i-4", "i-5"}, ordered)
}

func TestOrderWaitsForPropagation(t *testing.T) {
	const notice = 200 * time.Millisecond
	now := time.Unix(1000, 0)
	targets := Targets{
		FinishWithin: time.Minute, OrderWithin: time.Hour, PropagationDelay: notice,
		Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}},
	}
	servers := []backend.Server{{Instance: "i", Service: "s", Versions: map[string]int64{model: 1}}}
	newMachine := func() *Machine {
		machine := NewMachine()
		machine.Inspected(now, "i", Report{Versions: servers[0].Versions})
		return machine
	}
	machine := newMachine()
	require.Empty(t, machine.Step(now, targets, servers))
	require.Len(t, machine.Loads().Loading, 1)
	require.False(t, machine.Idle())
	require.Empty(t, machine.Step(now.Add(notice-1), targets, servers))
	orders := machine.Step(now.Add(notice), targets, servers)
	require.Len(t, orders, 1)
	require.Equal(t, int64(2), orders[0].(Order).Version)
	require.Empty(t, machine.Step(now.Add(notice), targets, servers), "the order is sent once")

	targets.OrderWithin = notice / 2
	require.Len(t, newMachine().Step(now, targets, servers), 1, "there is no time to wait for propagation")
}

// Guards against a slower rollout due to the propagation delay: more loads must be planned, so
// that as many servers load concurrently as without it.
func TestPropagationDelayDoesNotReduceConcurrency(t *testing.T) {
	now := time.Unix(1000, 0)
	planned := func(propagation time.Duration) int {
		targets := Targets{
			FinishWithin: time.Minute, OrderWithin: time.Hour, PropagationDelay: propagation,
			Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}},
		}
		machine := NewMachine()
		var servers []backend.Server
		for number := range 240 {
			instance := fmt.Sprint("i-", number)
			servers = append(servers, backend.Server{Instance: instance, Service: "s", Versions: map[string]int64{model: 1}})
			machine.Inspected(now, instance, Report{Versions: servers[number].Versions})
		}
		machine.Step(now, targets, servers)
		return len(machine.Loads().Loading)
	}
	require.Equal(t, 40, planned(0))
	require.Equal(t, 60, planned(defaultLoadTime/2))
}

func TestServerInBackoffIsOrderedLaterOrAtDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	server := backend.Server{Instance: "i-1", Service: "s", Versions: map[string]int64{model: 1}}
	for name, one := range map[string]struct{ rest, ordered time.Duration }{
		"a short backoff":               {rest: 2 * time.Second, ordered: 2 * time.Second},
		"a backoff beyond the deadline": {rest: time.Hour, ordered: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			machine := NewMachine()
			targets := Targets{
				FinishWithin: 6 * time.Second, OrderWithin: 7 * time.Second, Resting: map[string]time.Time{"i-1": start.Add(one.rest)},
				Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: start}}},
			}
			ordered := time.Time{}
			for now := start; ordered.IsZero() && now.Before(start.Add(10*time.Second)); now = now.Add(50 * time.Millisecond) {
				for _, action := range machine.Step(now, targets, []backend.Server{server}) {
					require.False(t, now.Before(start.Add(one.ordered)), "the server gets neither queries nor orders during its backoff")
					switch action.(type) {
					case Inspect:
						machine.Inspected(now, "i-1", Report{Versions: server.Versions})
					case Order:
						ordered = now
					}
				}
			}
			require.WithinDuration(t, start.Add(one.ordered), ordered, 300*time.Millisecond)
		})
	}
}
