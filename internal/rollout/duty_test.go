package rollout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/lease"
)

// fencing is a server that has seen a higher fencing token.
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
		duty := &Duty{Belief: belief, Set: set, Servers: servers, Recorder: unheeded{}, Holder: "n", Bound: 8 * time.Second}
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
