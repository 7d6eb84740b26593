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
type fencedServer struct {
	mutex  sync.Mutex
	orders int
}

func (f *fencedServer) Order(context.Context, Order, string, int64) (Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders++
	return ResultFenced, nil
}

func (f *fencedServer) Report(context.Context, backend.Server) (Report, error) {
	return Report{Versions: map[string]int64{model: 1}}, nil
}

type nopRecorder struct{}

func (nopRecorder) Ordered(Order, int64, Result, error) {}
func (nopRecorder) Loaded(Loaded)                       {}

func TestFencedOrderEndsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		set, replica := backend.NewSet(), &catalog.AtomicReplica{}
		set.Update([]backend.Server{{Instance: "i", Service: "s", Versions: map[string]int64{model: 1}}}, now)
		replica.Store(&catalog.Replica{Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}}})
		servers := &fencedServer{}
		controller := &Controller{Replica: replica, Set: set, Servers: servers, Recorder: nopRecorder{}, Holder: "n", MaxStaleness: 8 * time.Second, Broadcast: func(backend.Loads) {}, PropagationDelay: func() time.Duration { return 0 }}
		leadership := lease.NewLeadership(7, now, time.Minute, time.Second, now)
		for range 100 {
			_, act := controller.Step()
			act(t.Context(), leadership)
			time.Sleep(50 * time.Millisecond)
		}
		require.True(t, leadership.Superseded())
		require.Equal(t, 1, servers.orders)
	})
}

// busyServer is a server that accepts every order and never finishes one.
type busyServer struct{}

func (busyServer) Order(context.Context, Order, string, int64) (Result, error) {
	return ResultAccepted, nil
}
func (busyServer) Report(context.Context, backend.Server) (Report, error) {
	return Report{Busy: true, Versions: map[string]int64{model: 1}}, nil
}

// The store must be written only when the rollout begins and ends, however many servers load.
// Nodes learn of the loads from the leader, whose later broadcasts take precedence.
func TestLoadsAreBroadcastAndStoreIsWrittenOncePerRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		set, replica := backend.NewSet(), &catalog.AtomicReplica{}
		var servers []backend.Server
		for number := range 240 {
			servers = append(servers, backend.Server{Instance: fmt.Sprint("i-", number), Service: "s", Versions: map[string]int64{model: 1}})
		}
		set.Update(servers, now)
		replica.Store(&catalog.Replica{Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}}})
		var broadcasts []backend.Loads
		var broadcastAt []time.Time
		controller := &Controller{Replica: replica, Set: set, Servers: busyServer{}, Recorder: nopRecorder{}, Holder: "n", MaxStaleness: 8 * time.Second,
			Broadcast: func(loads backend.Loads) {
				broadcasts, broadcastAt = append(broadcasts, loads), append(broadcastAt, time.Now())
			}, PropagationDelay: func() time.Duration { return 0 }}
		leadership := lease.NewLeadership(7, now, time.Minute, time.Second, now)
		states := map[string]bool{}
		for range 60 {
			state, act := controller.Step()
			states[string(state)] = true
			act(t.Context(), leadership)
			time.Sleep(50 * time.Millisecond)
		}
		require.Len(t, states, 2, "idle and active")
		require.Greater(t, len(broadcasts), 1)
		for index := 1; index < len(broadcasts); index++ {
			require.True(t, broadcasts[index-1].Mark.Before(broadcasts[index].Mark))
			if slices.Equal(broadcasts[index-1].Loading, broadcasts[index].Loading) {
				require.GreaterOrEqual(t, broadcastAt[index].Sub(broadcastAt[index-1]), rebroadcastInterval, "unchanged loads are not broadcast again immediately")
			}
		}
		require.NotEmpty(t, broadcasts[len(broadcasts)-1].Loading)

		before := len(broadcasts)
		time.Sleep(2 * rebroadcastInterval)
		for range 3 {
			_, act := controller.Step()
			act(t.Context(), leadership)
		}
		require.Len(t, broadcasts, before+1, "ongoing loads are broadcast again, once")
	})
}

// A server of an undeclared service may belong to another writer and must get no orders.
func TestServersOfUndeclaredServicesGetNoOrders(t *testing.T) {
	now := time.Now()
	set, replica := backend.NewSet(), &catalog.AtomicReplica{}
	set.Update([]backend.Server{{Instance: "i", Service: "unknown", Versions: map[string]int64{model: 1}}}, now)
	newReplica := catalog.Replica{
		Snapshot: catalog.New(catalog.Declaration{Version: 1, Services: []catalog.Service{{Name: "s"}}}),
		Weights:  map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: now}}},
	}
	replica.Store(&newReplica)
	controller := &Controller{Replica: replica, Set: set, PropagationDelay: func() time.Duration { return 0 }}
	require.False(t, controller.HasWork())
	set.Update([]backend.Server{{Instance: "i", Service: "s", Versions: map[string]int64{model: 1}}, {Instance: "j", Service: "s", Versions: map[string]int64{model: 1}}}, now)
	require.True(t, controller.HasWork())
}
