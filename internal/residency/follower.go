package residency

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/pause"
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

var (
	// ErrBusy says that the holder has enough readers.
	ErrBusy = errors.New("the holder has enough readers; this node goes by what it sends itself")
	// ErrUnheard says that nobody can tell now what the holder has. It may be sound.
	ErrUnheard = errors.New("no node tells what the holder has; this node goes by what it sends itself")
)

const (
	// changesWait is how long a holder keeps a question for changes open, and
	// gatherTime how long changes are left to gather before they are asked for.
	changesWait = 800 * time.Millisecond
	gatherTime  = 150 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
	downPause   = 300 * time.Millisecond
	busyPause   = 5 * time.Second
)

// Recorder hears of holders. Its methods must not block.
type Recorder interface {
	// Unfollowed hears once of a holder that cannot be followed any more, and
	// Followed that it can be.
	Unfollowed(holder string, err error)
	Followed(holder string)
}

// Follower keeps the ledger true to what one holder tells of itself.
type Follower struct {
	holder   string
	source   Source
	ledger   *Ledger
	recorder Recorder

	lost bool
}

// NewFollower returns a follower of one holder.
func NewFollower(holder string, source Source, ledger *Ledger, recorder Recorder) *Follower {
	return &Follower{holder: holder, source: source, ledger: ledger, recorder: recorder}
}

// FollowAll runs a follower for each of the holders, as these come and go.
func FollowAll(ctx context.Context, holders func() []string, follow func(holder string) *Follower) {
	stops := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		present := holders()
		for _, holder := range present {
			if stops[holder] == nil {
				following, stop := context.WithCancel(ctx)
				stops[holder] = stop
				go follow(holder).Run(following)
			}
		}
		for holder, stop := range stops {
			if !slices.Contains(present, holder) {
				stop()
				delete(stops, holder)
			}
		}
		pause.For(ctx, downPause)
	}
	for _, stop := range stops {
		stop()
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		busy := errors.Is(err, ErrBusy)
		f.ledger.Lose(f.holder, err != nil && !busy && !errors.Is(err, ErrUnheard))
		if err != nil && !f.lost && ctx.Err() == nil {
			f.lost = true
			f.recorder.Unfollowed(f.holder, err)
		}
		if busy {
			pause.For(ctx, busyPause)
		} else {
			pause.For(ctx, downPause)
		}
	}
	f.ledger.Lose(f.holder, false)
}

// follow reads all that the holder has and then its changes, until there is a gap
// or no answer.
func (f *Follower) follow(ctx context.Context) error {
	listing, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	all, err := f.source.List(listing, f.holder)
	if err != nil {
		return err
	}
	keys := make([]Key, 0, len(all.Changes))
	for _, change := range all.Changes {
		keys = append(keys, change.Key)
	}
	f.ledger.Replace(f.holder, keys)
	f.lost = false
	f.recorder.Followed(f.holder)
	life, next := all.Life, all.Next
	for ctx.Err() == nil {
		batch, err := f.changes(ctx, next)
		if err != nil {
			return err
		}
		if batch.Gap || batch.Life != life {
			return nil
		}
		f.ledger.Apply(f.holder, batch.Changes)
		next = batch.Next
		pause.For(ctx, gatherTime)
	}
	return nil
}

func (f *Follower) changes(ctx context.Context, after int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, changesWait+askTimeout)
	defer cancel()
	return f.source.Changes(ctx, f.holder, after, changesWait)
}
