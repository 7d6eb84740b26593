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

// fakeHolder is a holder that reports its cached pieces.
type told struct {
	mutex   sync.Mutex
	life    int64
	has     map[Key]bool
	log     []Change
	first   int64
	failure error
	// queries counts the queries for changes.
	asked int
}

func (told *told) set(change func()) {
	told.mutex.Lock()
	defer told.mutex.Unlock()
	change()
}

func (told *told) change(key Key, present bool) {
	told.set(func() {
		told.has[key] = present
		told.log = append(told.log, Change{Key: key, Present: present})
	})
}

func (told *told) List(context.Context, string) (Batch, error) {
	told.mutex.Lock()
	defer told.mutex.Unlock()
	batch := Batch{Life: told.life, Next: told.first + int64(len(told.log))}
	for key, present := range told.has {
		if present {
			batch.Changes = append(batch.Changes, Change{Key: key, Present: true})
		}
	}
	return batch, told.failure
}

func (told *told) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (Batch, error) {
	pause.For(ctx, wait)
	told.mutex.Lock()
	defer told.mutex.Unlock()
	batch := Batch{Life: told.life, Next: told.first + int64(len(told.log)), Gap: after < told.first || after > told.first+int64(len(told.log))}
	if !batch.Gap {
		batch.Changes = append(batch.Changes, told.log[after-told.first:]...)
	}
	return batch, told.failure
}

type unheeded struct{}

func (unheeded) Unfollowed(string, error) {}
func (unheeded) Followed(string)          {}

func TestTheLedgerFollowsWhatAHolderTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &told{life: 1, has: map[Key]bool{}}
		holder.change(1, true)
		ledger := NewLedger()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go FollowAll(ctx, func() []string { return []string{"store"} }, func(name string) *Follower {
			return NewFollower(name, holder, ledger, unheeded{})
		})
		held := func() int {
			time.Sleep(3 * time.Second)
			return ledger.Held("store", "", prompt, time.Now())
		}
		require.Equal(t, 800, held())
		holder.change(2, true)
		require.Equal(t, 1200, held())
		holder.change(1, false)
		require.Zero(t, held())
		holder.change(1, true)
		ledger.Note("store", "", prompt, 0, 1, time.Now())
		require.Equal(t, 1200, held(), "the holder's own report takes precedence")
		holder.set(func() { holder.first, holder.log = holder.first+9, nil; holder.has[2] = false })
		require.Equal(t, 800, held(), "the full list is fetched after a gap")
		holder.set(func() { holder.life, holder.has, holder.log, holder.first = 2, map[Key]bool{}, nil, 0 })
		require.Zero(t, held(), "a restart clears the cache")
		holder.set(func() { holder.failure = errors.New("no answer") })
		time.Sleep(time.Second)
		require.True(t, ledger.Down("store"))
		holder.set(func() { holder.failure = ErrBusy })
		time.Sleep(time.Second)
		require.False(t, ledger.Down("store"), "a busy holder is not down")
		ledger.Note("store", "", prompt, 0, 100_000, time.Now())
		require.Equal(t, 1400, ledger.Held("store", "", prompt, time.Now()), "without reports, sent pieces are assumed to be cached")
	})
}

func TestANodeThatAsksManyHoldersAsksEachLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &told{life: 1, has: map[Key]bool{}}
		ledger := NewLedger()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		names := []string{}
		for i := range 100 {
			names = append(names, fmt.Sprint("h", i))
		}
		go FollowAll(ctx, func() []string { return names }, func(name string) *Follower {
			return NewFollower(name, &eager{told: holder}, ledger, unheeded{})
		})
		time.Sleep(10 * time.Second)
		stop()
		// One initial query for each holder, and then one every 20 ms.
		require.InDelta(t, 100+500, holder.asked, 100)
	})
}

// alwaysChanged is a holder that answers queries for changes without waiting.
type eager struct{ *told }

func (p *eager) Changes(ctx context.Context, holder string, after int64, _ time.Duration) (Batch, error) {
	p.set(func() { p.asked++ })
	return p.told.Changes(ctx, holder, after, 0)
}
