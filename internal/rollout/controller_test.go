package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/lease"
)

// fencedServer is a server that has seen a higher fencing token.
type fencing struct {
	mutex  sync.Mutex
	orders int
}

func (f *fencing) Order(context.Context, Order, string, int64) (Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders++
	return ResultFenced, nil
}

func (f *fencing) Report(context.Context, backend.Server) (Report, error) {
	return Report{Versions: map[string]int64{model: 1}}, nil
}

type unheeded struct{}

func (unheeded) Ordered(Order, int64, Result, error) {}
func (unheeded) Loaded(Loaded)                       {}

func TestARefusalForTheFencingTokenEndsTheTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		set, belief := backend.NewSet(), &catalog.Holder{}
		set.Update([]backend.Server{{Instance: "i", Service: "s", Versions: map[string]int64{model: 1}}}, now)
		belief.Store(&catalog.Belief{Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}}})
		servers := &fencing{}
		duty := &Duty{Belief: belief, Set: set, Servers: servers, Recorder: unheeded{}, Holder: "n", Bound: 8 * time.Second, Tell: func(backend.Loads) {}, Notice: func() time.Duration { return 0 }}
		tenure := lease.NewTenure(7, now, time.Minute, time.Second, now)
		for range 100 {
			_, act := duty.Step()
			act(t.Context(), tenure)
			time.Sleep(50 * time.Millisecond)
		}
		require.True(t, tenure.Superseded())
		require.Equal(t, 1, servers.orders)
	})
}

// busyServer is a server that accepts every order and never finishes one.
type taking struct{}

func (taking) Order(context.Context, Order, string, int64) (Result, error) { return ResultTaken, nil }
func (taking) Report(context.Context, backend.Server) (Report, error) {
	return Report{Busy: true, Versions: map[string]int64{model: 1}}, nil
}

// The store must be written only when the rollout begins and ends, however many servers load.
// Nodes learn of the loads from the leader, whose later broadcasts take precedence.
func TestLoadsAreToldAndTheStoreIsWrittenOnlyWhenTheRollOutBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		set, belief := backend.NewSet(), &catalog.Holder{}
		var servers []backend.Server
		for number := range 240 {
			servers = append(servers, backend.Server{Instance: fmt.Sprint("i-", number), Service: "s", Versions: map[string]int64{model: 1}})
		}
		set.Update(servers, now)
		belief.Store(&catalog.Belief{Weights: map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}}})
		var told []backend.Loads
		var toldAt []time.Time
		duty := &Duty{Belief: belief, Set: set, Servers: taking{}, Recorder: unheeded{}, Holder: "n", Bound: 8 * time.Second,
			Tell: func(loads backend.Loads) { told, toldAt = append(told, loads), append(toldAt, time.Now()) }, Notice: func() time.Duration { return 0 }}
		tenure := lease.NewTenure(7, now, time.Minute, time.Second, now)
		states := map[string]bool{}
		for range 60 {
			state, act := duty.Step()
			states[string(state)] = true
			act(t.Context(), tenure)
			time.Sleep(50 * time.Millisecond)
		}
		require.Len(t, states, 2, "idle and active")
		require.Greater(t, len(told), 1)
		for index := 1; index < len(told); index++ {
			require.True(t, told[index-1].Mark.Before(told[index].Mark))
			if slices.Equal(told[index-1].Loading, told[index].Loading) {
				require.GreaterOrEqual(t, toldAt[index].Sub(toldAt[index-1]), retellAfter, "unchanged loads are not broadcast again immediately")
			}
		}
		require.NotEmpty(t, told[len(told)-1].Loading)

		before := len(told)
		time.Sleep(2 * retellAfter)
		for range 3 {
			_, act := duty.Step()
			act(t.Context(), tenure)
		}
		require.Len(t, told, before+1, "ongoing loads are broadcast again, once")
	})
}

// A server of an undeclared service may belong to another writer and must get no orders.
func TestServersOfNoDeclaredServiceAreNotOrdered(t *testing.T) {
	now := time.Now()
	set, belief := backend.NewSet(), &catalog.Holder{}
	set.Update([]backend.Server{{Instance: "i", Service: "unknown", Versions: map[string]int64{model: 1}}}, now)
	behind := catalog.Belief{
		Snapshot: catalog.New(catalog.Declaration{Version: 1, Services: []catalog.Service{{Name: "s"}}}),
		Weights:  map[string]catalog.Namings{model: {{Version: 1}, {Version: 2, NotNamedAt: now}}},
	}
	belief.Store(&behind)
	duty := &Duty{Belief: belief, Set: set, Notice: func() time.Duration { return 0 }}
	require.False(t, duty.Wanted())
	set.Update([]backend.Server{{Instance: "i", Service: "s", Versions: map[string]int64{model: 1}}, {Instance: "j", Service: "s", Versions: map[string]int64{model: 1}}}, now)
	require.True(t, duty.Wanted())
}
