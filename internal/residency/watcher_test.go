package residency

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/pause"
)

// fakeHolder is a holder that reports its cached pieces. The first entry of its log has the
// number first.
type fakeHolder struct {
	mutex   sync.Mutex
	life    int64
	has     map[Key]bool
	log     []Change
	first   int64
	failure error
	// queries counts the queries for changes.
	queries int
}

func (fakeHolder *fakeHolder) set(change func()) {
	fakeHolder.mutex.Lock()
	defer fakeHolder.mutex.Unlock()
	change()
}

func (fakeHolder *fakeHolder) change(key Key, present bool) {
	fakeHolder.set(func() {
		fakeHolder.has[key] = present
		fakeHolder.log = append(fakeHolder.log, Change{Key: key, Present: present})
	})
}

func (fakeHolder *fakeHolder) List(context.Context, string) (Batch, error) {
	fakeHolder.mutex.Lock()
	defer fakeHolder.mutex.Unlock()
	batch := Batch{Life: fakeHolder.life, Next: fakeHolder.first + int64(len(fakeHolder.log))}
	for key, present := range fakeHolder.has {
		if present {
			batch.Changes = append(batch.Changes, Change{Key: key, Present: true})
		}
	}
	return batch, fakeHolder.failure
}

func (fakeHolder *fakeHolder) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (Batch, error) {
	pause.For(ctx, wait)
	fakeHolder.mutex.Lock()
	defer fakeHolder.mutex.Unlock()
	batch := Batch{Life: fakeHolder.life, Next: fakeHolder.first + int64(len(fakeHolder.log)), Gap: after < fakeHolder.first || after > fakeHolder.first+int64(len(fakeHolder.log))}
	if !batch.Gap {
		batch.Changes = append(batch.Changes, fakeHolder.log[after-fakeHolder.first:]...)
	}
	return batch, fakeHolder.failure
}

type nopRecorder struct{}

func (nopRecorder) WatchLost(string, error) {}
func (nopRecorder) WatchStarted(string)     {}

func TestWatcherTracksHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &fakeHolder{life: 1, has: map[Key]bool{}}
		holder.change(1, true)
		ledger := NewLedger()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go WatchAll(ctx, func() []string { return []string{"store"} }, func(name string) *Watcher {
			return NewWatcher(name, holder, ledger, nopRecorder{})
		})
		cachedTokens := func() int {
			time.Sleep(3 * time.Second)
			return ledger.CachedTokens("store", "", prompt, time.Now())
		}
		require.Equal(t, 800, cachedTokens())
		holder.change(2, true)
		require.Equal(t, 1200, cachedTokens())
		holder.change(1, false)
		require.Zero(t, cachedTokens())
		holder.change(1, true)
		ledger.RecordSent("store", "", prompt, 0, 1, time.Now())
		require.Equal(t, 1200, cachedTokens(), "the holder's own report takes precedence")
		holder.set(func() { holder.first, holder.log = holder.first+9, nil; holder.has[2] = false })
		require.Equal(t, 800, cachedTokens(), "the full list is fetched after a gap")
		holder.set(func() { holder.life, holder.has, holder.log, holder.first = 2, map[Key]bool{}, nil, 0 })
		require.Zero(t, cachedTokens(), "a restart clears the cache")
		holder.set(func() { holder.failure = errors.New("no answer") })
		time.Sleep(time.Second)
		require.True(t, ledger.Down("store"))
		holder.set(func() { holder.failure = ErrBusy })
		time.Sleep(time.Second)
		require.False(t, ledger.Down("store"), "a busy holder is not down")
		ledger.RecordSent("store", "", prompt, 0, 100_000, time.Now())
		require.Equal(t, 1400, ledger.CachedTokens("store", "", prompt, time.Now()), "without reports, sent pieces are assumed to be cached")
	})
}

func TestPollIntervalGrowsWithHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &fakeHolder{life: 1, has: map[Key]bool{}}
		ledger := NewLedger()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		names := []string{}
		for i := range 100 {
			names = append(names, fmt.Sprint("h", i))
		}
		go WatchAll(ctx, func() []string { return names }, func(name string) *Watcher {
			return NewWatcher(name, &alwaysChanged{fakeHolder: holder}, ledger, nopRecorder{})
		})
		time.Sleep(10 * time.Second)
		stop()
		// One initial query for each holder, and then one every 20 ms.
		require.InDelta(t, 100+500, holder.queries, 100)
	})
}

// alwaysChanged is a holder that answers queries for changes without waiting.
type alwaysChanged struct{ *fakeHolder }

func (h *alwaysChanged) Changes(ctx context.Context, holder string, after int64, _ time.Duration) (Batch, error) {
	h.set(func() { h.queries++ })
	return h.fakeHolder.Changes(ctx, holder, after, 0)
}
