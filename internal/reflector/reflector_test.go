package reflector

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

// failingSource fails every read with one error.
type refusing struct{ err error }

func (refusing refusing) Observe(context.Context) (Observation, error) {
	return Observation{}, refusing.err
}
func (refusing refusing) Declared(context.Context) (catalog.Reading, error) {
	return catalog.Reading{}, refusing.err
}
func (refusing refusing) Nodes(context.Context, bool) ([]coordination.Entry, bool, error) {
	return nil, false, refusing.err
}
func (refusing refusing) View(context.Context) ([]byte, error) { return nil, refusing.err }
func (refusing refusing) AwaitDeclared(context.Context, coordination.Position, time.Duration) (bool, coordination.Position, error) {
	return false, coordination.Position{}, refusing.err
}

type silent struct{}

func (silent) Read(time.Duration, error)                 {}
func (silent) Declared(*catalog.Belief, *catalog.Belief) {}
func (silent) Listed([]backend.Change)                   {}
func (silent) Follows(string, error)                     {}
func (silent) Garbled(string, error)                     {}

// The store counts as disrupted once several reads have failed while no other node delivered
// recent state. Neither a single failed read, which may only have been slow, nor a rate-limiting
// store may extend the time for which older weights serve.
func TestOnlyAnUnsoundStoreDisturbsTheBelief(t *testing.T) {
	const bound = 4 * time.Second
	for name, one := range map[string]struct {
		kind     failure.Kind
		readings int
		age      time.Duration
		disturbs bool
	}{
		"unsound":                   {failure.KindUnavailable, enoughFailures, bound, true},
		"one failure":               {failure.KindUnavailable, enoughFailures - 1, bound, false},
		"other nodes deliver state": {failure.KindUnavailable, 5 * enoughFailures, bound / 2, false},
		"rate limited":              {failure.KindRateLimited, 5 * enoughFailures, bound, false},
		"no read for a long time":   {failure.KindUnavailable, enoughFailures, 100 * bound, true},
	} {
		reflector := &Reflector{
			Source:   refusing{err: failure.New(one.kind, "refused", "wait")},
			Belief:   &catalog.Holder{},
			Registry: &fleet.Registry{Resized: func(int) {}},
			Recorder: silent{},
			Bound:    bound,
		}
		reflector.Belief.Store(&catalog.Belief{Snapshot: catalog.New(catalog.Declaration{}), AsOf: time.Now().Add(-one.age)})
		for range one.readings {
			require.Error(t, reflector.read(context.Background()))
		}
		require.Equal(t, one.disturbs, !reflector.Belief.Load().Disturbed.IsZero(), name)
	}
}

// countingFailingSource fails every read, and counts the reads of node registrations.
type downStore struct {
	refusing
	calls int
}

func (d *downStore) Nodes(ctx context.Context, old bool) ([]coordination.Entry, bool, error) {
	d.calls++
	return d.refusing.Nodes(ctx, old)
}

// Hundreds of nodes that start while the store is down must not overload it by retrying.
func TestANodeThatKnowsNobodyAsksAStoreThatIsDownSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &downStore{refusing: refusing{err: failure.New(failure.KindUnavailable, "refused", "wait")}}
		node := newFollower(store, &answering{lost: true})
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		node.gather(ctx)
		require.LessOrEqual(t, store.calls, 26)
		require.Greater(t, store.calls, 20)
	})
}

func TestAListTellsOfAServersLifeOnlyWhileTheStoreIsSound(t *testing.T) {
	at := time.Now()
	read, later := at.Add(5*time.Second), at.Add(6*time.Second)
	reflector := &Reflector{Belief: &catalog.Holder{}}
	require.False(t, reflector.ListedSince(read, at), "nothing was read yet")
	reflector.Belief.Store(&catalog.Belief{Disturbed: at})
	reflector.listedAt.store(read)
	require.False(t, reflector.ListedSince(read, at), "the entry may not have expired before this read")
	reflector.listedAt.store(later)
	require.True(t, reflector.ListedSince(read, at))
	reflector.Belief.Store(&catalog.Belief{Disturbed: at.Add(time.Second)})
	require.False(t, reflector.ListedSince(read, at), "entries do not expire during a disruption")
}
