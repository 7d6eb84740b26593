package rollout

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

var errNotEligible = errors.New("this node hears it from another one")

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 15 * time.Second
	// watchMargin is how much longer its answer may take.
	watchMargin = time.Second
	followPause = 300 * time.Millisecond
)

// Follower hears which servers load weights, as the holder of the duty publishes
// it. What it misses is found out by refusals.
type Follower struct {
	Store coordination.Store
	// Take takes how far the roll-out is.
	Take func(loads backend.Loads)
	// Eligible reports whether this node is to follow.
	Eligible func() bool
	// Key is where the holder publishes.
	Key string
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var revision int64
		err := errNotEligible
		if follower.Eligible() {
			revision, err = follower.read(ctx)
		}
		for err == nil && follower.Eligible() {
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
		follower.Take(state.Loads)
	}
}
