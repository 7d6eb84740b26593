package rollout

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 15 * time.Second
	// watchMargin is how much longer its answer may take.
	watchMargin = time.Second
	followPause = 300 * time.Millisecond
)

// Follower tells this node's set of servers which of them load weights, as the
// holder of the duty publishes it. What it misses is found out by refusals.
type Follower struct {
	Store coordination.Store
	Set   *backend.Set
	// Key is where the holder publishes.
	Key string
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := follower.read(ctx)
		for err == nil {
			revision, err = follower.watch(ctx, revision)
		}
		select {
		case <-time.After(followPause):
		case <-ctx.Done():
		}
	}
}

// read takes the state as it is, and returns from where to watch on.
func (follower *Follower) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchMargin)
	defer cancel()
	entry, found, at, err := follower.Store.ReadAt(ctx, follower.Key)
	if err == nil && found {
		follower.take(entry.Value)
	}
	return at, err
}

func (follower *Follower) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	entries, at, err := follower.Store.Watch(ctx, follower.Key, after, watchWait)
	for _, entry := range entries {
		if entry.Key == follower.Key {
			follower.take(entry.Value)
		}
	}
	return at, err
}

func (follower *Follower) take(value []byte) {
	if state, err := DecodeState(value); err == nil {
		follower.Set.Load(state.Loading, time.Now())
	}
}
