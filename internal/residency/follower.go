package residency

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Batch is a part of what a holder tells of its memory.
type Batch struct {
	// Life names the holder's incarnation; Next is from where to read on.
	Life int64
	Next int64
	// Gap says that changes before these are lost.
	Gap     bool
	Changes []Change
}

// Source asks holders what they have.
type Source interface {
	// List returns all that the holder has, as changes.
	List(ctx context.Context, holder string) (Batch, error)
	// Changes waits for changes after a place.
	Changes(ctx context.Context, holder string, after int64, wait time.Duration) (Batch, error)
}

// ErrBusy says that the holder has enough readers.
var ErrBusy = errors.New("the holder has enough readers; this node goes by what it sends itself")

const (
	// changesWait is how long a holder keeps a question for changes open, and
	// gatherTime how long changes are left to gather before they are asked for.
	changesWait = 800 * time.Millisecond
	gatherTime  = 150 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
	downPause   = 300 * time.Millisecond
	busyPause   = 5 * time.Second
)

// Follower keeps the ledger true to what one holder tells of itself.
type Follower struct {
	Source Source
	Ledger *Ledger
	// Holder returns whom to follow, or "".
	Holder func() string
	// Chosen reports whether this node is among those that follow: a holder takes
	// few readers.
	Chosen func() bool
	// Lost hears once of a holder that cannot be followed any more, and Found that
	// it can be. They must not block.
	Lost  func(holder string, err error)
	Found func(holder string)

	lost bool
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		holder := follower.Holder()
		if holder == "" || !follower.Chosen() {
			pause(ctx, downPause)
			continue
		}
		err := follower.follow(ctx, holder)
		busy := errors.Is(err, ErrBusy)
		follower.Ledger.Lose(holder, err != nil && !busy)
		if err != nil && !follower.lost && ctx.Err() == nil {
			follower.lost = true
			follower.Lost(holder, err)
		}
		if busy {
			pause(ctx, busyPause)
		} else {
			pause(ctx, downPause)
		}
	}
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// follow reads all that the holder has and then its changes, until there is a
// gap, another holder to follow, or no answer.
func (follower *Follower) follow(ctx context.Context, holder string) error {
	listing, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	all, err := follower.Source.List(listing, holder)
	if err != nil {
		return err
	}
	keys := make([]Key, 0, len(all.Changes))
	for _, change := range all.Changes {
		keys = append(keys, change.Key)
	}
	follower.Ledger.Replace(holder, keys)
	follower.lost = false
	follower.Found(holder)
	life, next := all.Life, all.Next
	for ctx.Err() == nil && follower.Holder() == holder {
		batch, err := follower.changes(ctx, holder, next)
		if err != nil {
			return err
		}
		if batch.Gap || batch.Life != life {
			return nil
		}
		follower.Ledger.Apply(holder, batch.Changes)
		next = batch.Next
		pause(ctx, gatherTime)
	}
	return nil
}

func (follower *Follower) changes(ctx context.Context, holder string, after int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, changesWait+askTimeout)
	defer cancel()
	return follower.Source.Changes(ctx, holder, after, changesWait)
}
