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
type modelServer struct {
	name     string
	life     int
	version  int64
	loading  int64
	doneAt   time.Time
	sequence int64
	late     []lateOrder
	downTill time.Time
}

type lateOrder struct {
	order Order
	at    time.Time
}

func (server *modelServer) instance() string { return fmt.Sprint(server.name, "-", server.life) }

// handleOrder processes an order as a real server would.
func (server *modelServer) carryOut(now time.Time, order Order) Result {
	switch {
	case order.Server.Instance != server.instance():
		return ResultRejected
	case server.loading != 0 || order.Expected != server.sequence:
		return ResultConflict
	case order.Version == server.version:
		return ResultHolds
	}
	server.sequence++
	server.loading, server.doneAt = order.Version, now.Add(700*time.Millisecond)
	return ResultTaken
}

func (server *modelServer) tick(now time.Time) {
	kept := server.late[:0]
	for _, late := range server.late {
		if now.Before(late.at) {
			kept = append(kept, late)
			continue
		}
		server.carryOut(now, late.order)
	}
	server.late = kept
	if server.loading != 0 && !now.Before(server.doneAt) {
		server.version, server.loading = server.loading, 0
	}
}

// restart starts a new incarnation of the server with the same weights.
func (server *modelServer) restart(now time.Time) {
	server.life++
	server.loading, server.sequence = 0, 0
	server.downTill = now.Add(time.Second)
}

// simulation is a fleet of servers and the leader.
type world struct {
	t       *rapid.T
	now     time.Time
	servers []*modelServer
	machine *Machine
	targets Targets
	// observed holds the versions known to the leader, which lag behind.
	view map[string]int64
	most int
}

func (world *world) list() []backend.Server {
	list := []backend.Server{}
	for _, server := range world.servers {
		if world.now.Before(server.downTill) {
			continue
		}
		instance := server.instance()
		if world.view[instance] == 0 {
			world.view[instance] = server.version
		}
		list = append(list, backend.Server{
			Instance: instance, Service: "s", Zone: server.name[:1], Versions: map[string]int64{model: world.view[instance]},
		})
	}
	return list
}

func (world *world) find(instance string) *modelServer {
	for _, server := range world.servers {
		if server.instance() == instance && !world.now.Before(server.downTill) {
			return server
		}
	}
	return nil
}

func (world *world) order(order Order) {
	server := world.find(order.Server.Instance)
	if server == nil {
		world.machine.Answered(world.now, order.Server.Instance, ResultUnreached)
		return
	}
	switch rapid.SampledFrom([]string{"fine", "fine", "fine", "late", "lost"}).Draw(world.t, "fate") {
	case "fine":
		world.machine.Answered(world.now, order.Server.Instance, server.carryOut(world.now, order))
	case "late":
		wait := time.Duration(rapid.IntRange(1000, 8000).Draw(world.t, "late")) * time.Millisecond
		server.late = append(server.late, lateOrder{order: order, at: world.now.Add(wait)})
		world.machine.Answered(world.now, order.Server.Instance, ResultUnknown)
	case "lost":
		server.carryOut(world.now, order)
		world.machine.Answered(world.now, order.Server.Instance, ResultUnknown)
	}
}

func (world *world) inspect(inspect Inspect) {
	server := world.find(inspect.Server.Instance)
	if server == nil {
		world.machine.Unheard(world.now, inspect.Server.Instance)
		return
	}
	world.view[server.instance()] = server.version
	world.machine.Inspected(world.now, server.instance(), Report{
		Busy: server.loading != 0, Versions: map[string]int64{model: server.version}, Sequence: server.sequence,
	})
}

func (world *world) tick() {
	world.now = world.now.Add(50 * time.Millisecond)
	loading := 0
	for _, server := range world.servers {
		server.tick(world.now)
		if server.loading != 0 {
			loading++
		}
	}
	world.most = max(world.most, loading)
	for _, action := range world.machine.Step(world.now, world.targets, world.list()) {
		switch action := action.(type) {
		case Order:
			world.order(action)
		case Inspect:
			world.inspect(action)
		}
	}
}

func (world *world) name(version int64) {
	namings := append(catalog.Namings(nil), world.targets.Weights[model]...)
	world.targets.Weights = map[string]catalog.Namings{model: append(namings, catalog.Naming{Version: version, NotNamedAt: world.now})}
}

func newWorld(t *rapid.T, servers int) *world {
	world := &world{t: t, now: time.Unix(1000, 0), machine: NewMachine(), view: map[string]int64{}}
	world.targets = Targets{Within: 6 * time.Second, Latest: 7 * time.Second, Weights: map[string]catalog.Namings{model: {{Version: 1}}}}
	for number := range servers {
		world.servers = append(world.servers, &modelServer{name: fmt.Sprintf("%c%d", 'a'+number%3, number), version: 1})
	}
	return world
}

func TestEveryServerReachesTheNewestWeightsWhateverBecomesOfOrders(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		world := newWorld(t, rapid.IntRange(1, 20).Draw(t, "servers"))
		newest := int64(1)
		for range rapid.IntRange(1, 3).Draw(t, "namings") {
			newest++
			world.name(newest)
			for range rapid.IntRange(5, 80).Draw(t, "ticks") {
				world.tick()
				if rapid.IntRange(0, 60).Draw(t, "crash") == 0 {
					world.servers[rapid.IntRange(0, len(world.servers)-1).Draw(t, "who")].restart(world.now)
				}
			}
		}
		// Longer than the delay of any order still in transit.
		for range 1200 {
			world.tick()
		}
		for _, server := range world.servers {
			require.Equal(t, newest, server.version, server.name)
		}
		require.False(t, Behind(world.targets, world.list(), world.now))
		require.True(t, world.machine.Idle())
	})
}

func TestTheOldestWeightsAreReplacedFirst(t *testing.T) {
	machine := NewMachine()
	now := time.Unix(1000, 0)
	targets := Targets{Within: 6 * time.Second, Latest: 7 * time.Second, Weights: map[string]catalog.Namings{model: {
		{Version: 1}, {Version: 2, NotNamedAt: now.Add(-4 * time.Second)}, {Version: 3, NotNamedAt: now.Add(-time.Second)},
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
	require.Equal(t, []Action{Order{Server: servers[1], Model: model, Version: 3, Expected: 2, Runs: ContinueRuns}}, actions, "directly to the newest version, one server at a time")
}

func TestMoreServersLoadTogetherWhenTimeIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := Targets{Within: time.Minute, Latest: time.Hour, Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}}}
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
	targets.Within = 0
	require.Equal(t, 3, orders(targets))
	targets.Latest = 0
	require.Equal(t, 12, orders(targets), "no request may start on the old weights any more")
	targets.Within, targets.Latest = 6*time.Second, 7*time.Second
	targets.Weights[model][1].NotNamedAt = now.Add(-10 * time.Second)
	require.Equal(t, 12, orders(targets))
	targets.Disturbed = now.Add(-time.Second)
	require.Equal(t, 3, orders(targets), "the time of the store outage does not count")
}

func TestTheStateSaysWhoIsAtIt(t *testing.T) {
	state := State{Holder: "n", Active: true}
	decoded, err := DecodeState(state.Encode())
	require.NoError(t, err)
	require.Equal(t, state, decoded)
	_, err = DecodeState([]byte("idle"))
	require.Error(t, err)
}

func TestWhatIsLoadedIsToldUntilTheRolloutIsOver(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := Targets{Within: time.Minute, Latest: time.Hour, Weights: map[string]catalog.Namings{model: {{Version: 2, NotNamedAt: now}}}}
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

func TestOfEachZoneTheServerWithTheLeastWorkLoadsFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	machine := NewMachine()
	targets := Targets{
		Within: time.Minute, Latest: time.Hour, Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}},
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

func TestAServerIsToldOfBeforeItsOrderIfThereIsTime(t *testing.T) {
	const notice = 200 * time.Millisecond
	now := time.Unix(1000, 0)
	targets := Targets{
		Within: time.Minute, Latest: time.Hour, Notice: notice,
		Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}},
	}
	servers := []backend.Server{{Instance: "i", Service: "s", Versions: map[string]int64{model: 1}}}
	begin := func() *Machine {
		machine := NewMachine()
		machine.Inspected(now, "i", Report{Versions: servers[0].Versions})
		return machine
	}
	machine := begin()
	require.Empty(t, machine.Step(now, targets, servers))
	require.Len(t, machine.Loads().Loading, 1)
	require.False(t, machine.Idle())
	require.Empty(t, machine.Step(now.Add(notice-1), targets, servers))
	orders := machine.Step(now.Add(notice), targets, servers)
	require.Len(t, orders, 1)
	require.Equal(t, int64(2), orders[0].(Order).Version)
	require.Empty(t, machine.Step(now.Add(notice), targets, servers), "the order is sent once")

	targets.Latest = notice / 2
	require.Len(t, begin().Step(now, targets, servers), 1, "there is no time to wait for propagation")
}

// Guards against a slower rollout due to the propagation delay: the same number of servers must
// load concurrently as without it.
func TestTheNoticeDoesNotSlowTheRollOut(t *testing.T) {
	now := time.Unix(1000, 0)
	planned := func(notice time.Duration) int {
		targets := Targets{
			Within: time.Minute, Latest: time.Hour, Notice: notice,
			Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}},
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
	require.Equal(t, 60, planned(assumedLoad/2))
}

func TestAServerThatRestsIsOrderedAfterwardsOrWhenItMust(t *testing.T) {
	begin := time.Unix(1000, 0)
	server := backend.Server{Instance: "i-1", Service: "s", Versions: map[string]int64{model: 1}}
	for name, one := range map[string]struct{ rest, ordered time.Duration }{
		"a short backoff":               {rest: 2 * time.Second, ordered: 2 * time.Second},
		"a backoff beyond the deadline": {rest: time.Hour, ordered: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			machine := NewMachine()
			targets := Targets{
				Within: 6 * time.Second, Latest: 7 * time.Second, Resting: map[string]time.Time{"i-1": begin.Add(one.rest)},
				Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: begin}}},
			}
			ordered := time.Time{}
			for now := begin; ordered.IsZero() && now.Before(begin.Add(10*time.Second)); now = now.Add(50 * time.Millisecond) {
				for _, action := range machine.Step(now, targets, []backend.Server{server}) {
					require.False(t, now.Before(begin.Add(one.ordered)), "the server gets neither queries nor orders during its backoff")
					switch action.(type) {
					case Inspect:
						machine.Inspected(now, "i-1", Report{Versions: server.Versions})
					case Order:
						ordered = now
					}
				}
			}
			require.WithinDuration(t, begin.Add(one.ordered), ordered, 300*time.Millisecond)
		})
	}
}
