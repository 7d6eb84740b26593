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
type failingSource struct{ err error }

func (failingSource failingSource) Observe(context.Context) (Observation, error) {
	return Observation{}, failingSource.err
}
func (failingSource failingSource) ReadDeclaration(context.Context) (catalog.ReadResult, error) {
	return catalog.ReadResult{}, failingSource.err
}
func (failingSource failingSource) ReadNodes(context.Context, bool) ([]coordination.Entry, bool, error) {
	return nil, false, failingSource.err
}
func (failingSource failingSource) ReadView(context.Context) ([]byte, error) {
	return nil, failingSource.err
}
func (failingSource failingSource) AwaitDeclaration(context.Context, coordination.Position, time.Duration) (bool, coordination.Position, error) {
	return false, coordination.Position{}, failingSource.err
}

type nopRecorder struct{}

func (nopRecorder) ReadDone(time.Duration, error)                           {}
func (nopRecorder) ConfigurationChanged(*catalog.Replica, *catalog.Replica) {}
func (nopRecorder) ServersChanged([]backend.Change)                         {}
func (nopRecorder) UpstreamChanged(string, error)                           {}
func (nopRecorder) UpstreamsLost()                                          {}
func (nopRecorder) SoftwareRecordChanged(backend.SoftwareRecord)            {}
func (nopRecorder) CacheUpdatesRejected(string, error)                      {}

// The store counts as disrupted once several reads have failed while no other node delivered
// recent state. Neither a single failed read, which may only have been slow, nor a rate-limiting
// store may extend the time for which older weights serve.
func TestDisruptionRequiresRepeatedFailures(t *testing.T) {
	const bound = 4 * time.Second
	for name, test := range map[string]struct {
		kind     failure.Kind
		readings int
		age      time.Duration
		disturbs bool
	}{
		"unsound":                   {failure.KindUnavailable, disruptionThreshold, bound, true},
		"one failure":               {failure.KindUnavailable, disruptionThreshold - 1, bound, false},
		"other nodes deliver state": {failure.KindUnavailable, 5 * disruptionThreshold, bound / 2, false},
		"rate limited":              {failure.KindRateLimited, 5 * disruptionThreshold, bound, false},
		"no read for a long time":   {failure.KindUnavailable, disruptionThreshold, 100 * bound, true},
	} {
		reflector := &Reflector{
			Source:       failingSource{err: failure.New(test.kind, "refused", "wait")},
			Replica:      &catalog.AtomicReplica{},
			Registry:     &fleet.Registry{OnResize: func(int) {}},
			Recorder:     nopRecorder{},
			MaxStaleness: bound,
		}
		reflector.Replica.Store(&catalog.Replica{Snapshot: catalog.New(catalog.Declaration{}), AsOf: time.Now().Add(-test.age)})
		for range test.readings {
			require.Error(t, reflector.read(context.Background()))
		}
		require.Equal(t, test.disturbs, !reflector.Replica.Load().DisruptedAt.IsZero(), name)
	}
}

// countingFailingSource fails every read, and counts the reads of node registrations.
type countingFailingSource struct {
	failingSource
	calls int
}

func (d *countingFailingSource) ReadNodes(ctx context.Context, stale bool) ([]coordination.Entry, bool, error) {
	d.calls++
	return d.failingSource.ReadNodes(ctx, stale)
}

// Hundreds of nodes that start while the store is down must not overload it by retrying.
func TestBootstrapBacksOffWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingFailingSource{failingSource: failingSource{err: failure.New(failure.KindUnavailable, "refused", "wait")}}
		node := newFollower(store, &feedPeers{unreachable: true})
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		node.bootstrap(ctx)
		require.LessOrEqual(t, store.calls, 26)
		require.Greater(t, store.calls, 20)
	})
}

func TestServersReadSinceRequiresUndisruptedStore(t *testing.T) {
	at := time.Now()
	read, later := at.Add(5*time.Second), at.Add(6*time.Second)
	reflector := &Reflector{Replica: &catalog.AtomicReplica{}}
	require.False(t, reflector.ServersReadSince(read, at), "nothing was read yet")
	reflector.Replica.Store(&catalog.Replica{DisruptedAt: at})
	reflector.serversReadAt.store(read)
	require.False(t, reflector.ServersReadSince(read, at), "the entry may not have expired before this read")
	reflector.serversReadAt.store(later)
	require.True(t, reflector.ServersReadSince(read, at))
	reflector.Replica.Store(&catalog.Replica{DisruptedAt: at.Add(time.Second)})
	require.False(t, reflector.ServersReadSince(read, at), "entries do not expire during a disruption")
}
