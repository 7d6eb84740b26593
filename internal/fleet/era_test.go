package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/lab/storestub"
)

// writeCounter counts the writes in each second.
type writeCounter struct {
	*storestub.Store
	mutex     *sync.Mutex
	perSecond map[int64]int
}

func (w writeCounter) Write(ctx context.Context, key string, value []byte, lease int64) (bool, error) {
	w.mutex.Lock()
	w.perSecond[time.Now().Unix()]++
	w.mutex.Unlock()
	return w.Store.Write(ctx, key, value, lease)
}

// A restore of the store loses the registrations of all nodes at once. Each node registers again
// within the registration TTL, spread over time, even if the backup still has its key under a
// lease that no node renews. Meanwhile no node counts as lost.
func TestFleetReregistersAfterStoreRestore(t *testing.T) {
	for _, nodes := range []int{7, 985} {
		synctest.Test(t, func(t *testing.T) {
			store := storestub.New(time.Now, nil)
			counter := writeCounter{Store: store, mutex: &sync.Mutex{}, perSecond: map[int64]int{}}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var all []*Registry
			start := func(n int) {
				eras := &coordination.EraTracker{}
				eras.Observe(coordination.EraOf(1))
				r := &Registry{Store: counter, Prefix: "nodes/", Name: fmt.Sprint("n", n), Incarnation: "1", Address: "a", Zone: "z", Eras: eras, OnResize: func(int) {}}
				all = append(all, r)
				go r.Run(ctx)
			}
			start(0)
			time.Sleep(time.Second)
			backup := store.Snapshot()
			for n := 1; n < nodes; n++ {
				start(n)
			}
			time.Sleep(10 * time.Second)
			require.Len(t, store.Entries("nodes/"), nodes)
			reader := all[0]
			reader.ObserveNodes(store.Entries("nodes/"), time.Now())
			store.Restore(backup)
			clear(counter.perSecond)
			for _, r := range all {
				r.Eras.Observe(coordination.EraOf(2))
			}
			for restoredAt := time.Now(); time.Since(restoredAt) < registrationTTL-time.Second; time.Sleep(100 * time.Millisecond) {
				reader.ObserveNodes(store.Entries("nodes/"), time.Now())
				require.Equal(t, nodes, reader.Nodes(), "no node counts as lost")
			}
			require.Len(t, store.Entries("nodes/"), nodes, "each node is registered again within the TTL")
			peak := 0
			for _, n := range counter.perSecond {
				peak = max(peak, n)
			}
			require.LessOrEqual(t, peak, 3+2*nodes/int((registrationTTL/renewalsPerTTL).Seconds()), "registrations are spread over time")
			time.Sleep(2 * registrationTTL)
			require.Len(t, store.Entries("nodes/"), nodes, "the registrations are kept")
			// Remove a node other than the reader, without which the list would not show the whole fleet.
			remaining := store.Entries("nodes/")
			lost := slices.IndexFunc(remaining, func(e coordination.Entry) bool { return e.Key != reader.registrationKey() })
			reader.ObserveNodes(slices.Delete(remaining, lost, lost+1), time.Now())
			require.Equal(t, nodes-1, reader.Nodes(), "a node that is lost later is not counted")
		})
	}
}

// After a restore of the store the view is published again, even if it has not changed.
func TestViewIsRepublishedAfterStoreRestore(t *testing.T) {
	eras, published := &coordination.EraTracker{}, 0
	eras.Observe(coordination.EraOf(1))
	r := &Registry{Prefix: "nodes/", Name: "n", Address: "a", Zone: "z", Eras: eras, OnResize: func(int) {}, PublishView: func(context.Context, []byte) error {
		published++
		return nil
	}}
	begin := time.Now()
	entries := []coordination.Entry{{Key: "nodes/n/1", Value: []byte("a z 1")}}
	r.ObserveNodes(entries, begin)
	r.ObserveNodes(entries, begin.Add(time.Minute))
	for range 3 {
		r.publishIfChanged(t.Context())
	}
	require.Equal(t, 1, published)
	eras.Observe(coordination.EraOf(2))
	for range 3 {
		r.publishIfChanged(t.Context())
	}
	require.Equal(t, 2, published)
}
