package reflector

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

// refusing is a store that refuses every reading.
type refusing struct{ err error }

func (refusing refusing) Observe(context.Context, bool) (Observation, error) {
	return Observation{}, refusing.err
}
func (refusing refusing) Declared(context.Context) (catalog.Reading, error) {
	return catalog.Reading{}, refusing.err
}
func (refusing refusing) Nodes(context.Context, bool) ([]coordination.Entry, error) {
	return nil, refusing.err
}
func (refusing refusing) AwaitDeclared(context.Context, int64, time.Duration) (bool, int64, error) {
	return false, 0, refusing.err
}

type silent struct{}

func (silent) Read(time.Duration, error)                 {}
func (silent) Declared(*catalog.Belief, *catalog.Belief) {}
func (silent) Listed([]backend.Change)                   {}
func (silent) Follows(string, error)                     {}
func (silent) Garbled(string, error)                     {}

func TestOnlyAnUnsoundStoreDisturbsTheBelief(t *testing.T) {
	for kind, disturbs := range map[failure.Kind]bool{failure.KindUnavailable: true, failure.KindRateLimited: false} {
		reflector := &Reflector{
			Source:   refusing{err: failure.New(kind, "refused", "wait")},
			Belief:   &catalog.Holder{},
			Registry: &fleet.Registry{Resized: func(int) {}},
			Recorder: silent{},
		}
		reflector.Belief.Store(&catalog.Belief{})
		require.Error(t, reflector.read(context.Background()))
		require.Equal(t, disturbs, !reflector.Belief.Load().Disturbed.IsZero(), kind)
	}
}
