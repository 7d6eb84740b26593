package residency

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// Batch is a set of changes reported by a holder.
type Batch struct {
	// Life identifies the holder's incarnation; Next is the position to continue from.
	Life int64
	Next int64
	// Gap is set if changes before these have been lost.
	Gap     bool
	Changes []Change
}

// Source queries holders for their cached pieces.
type Source interface {
	// List returns all pieces that the holder has, as changes.
	List(ctx context.Context, holder string) (Batch, error)
	// Changes waits for changes after a position.
	Changes(ctx context.Context, holder string, after int64, wait time.Duration) (Batch, error)
}

// ErrBusy means that the holder accepts no more readers.
var ErrBusy = errors.New("the holder accepts no more readers; this node relies on the requests that it sends itself")

const (
	// longPollTimeout is how long a holder keeps a query for changes open, and minPollInterval
	// how long changes accumulate between two queries.
	changesWait = 800 * time.Millisecond
	gatherTime  = 150 * time.Millisecond
	// queryInterval is the minimum mean time between a node's queries to all holders: the more
	// holders a node watches, the longer their changes accumulate.
	askInterval = 20 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
	// changeLatency is the delay with which holders report a change, including the query and its
	// answer.
	changesLag = 200 * time.Millisecond
	// resyncInterval is the time after which the full list is fetched again.
	renewAfter = time.Minute
	downPause  = 300 * time.Millisecond
	busyPause  = 5 * time.Second
)

// Recorder is notified about watched holders. Its methods must not block.
type Recorder interface {
	// WatchLost is called once when a holder cannot be watched any more, and WatchStarted when
	// it can be.
	Unfollowed(holder string, err error)
	Followed(holder string)
}

// Watcher keeps the ledger in sync with the changes that one holder reports.
type Follower struct {
	holder   string
	source   Source
	ledger   *Ledger
	recorder Recorder

	// pollInterval returns how long changes accumulate between two queries.
	gather func() time.Duration
	// MinInterval returns the minimum time between two queries to the holder, as set by its rate
	// limit.
	Pace func() time.Duration
	lost bool
	// resync is set if the holder was watched without interruption before.
	renews bool
}

// NewWatcher returns a watcher of one holder.
func NewFollower(holder string, source Source, ledger *Ledger, recorder Recorder) *Follower {
	return &Follower{holder: holder, source: source, ledger: ledger, recorder: recorder, gather: func() time.Duration { return gatherTime }, Pace: func() time.Duration { return 0 }}
}

// pollIntervalFor returns how long changes accumulate at each holder if a node watches the given
// number of them.
func gatherFor(holders int) time.Duration {
	return max(gatherTime, time.Duration(holders)*askInterval)
}

// MaxHolders is the number of holders that a node can watch without a longer poll interval.
const MostHolders = int(gatherTime / askInterval)

// PropagationDelay returns the time in which a change reaches a node that watches the given
// number of holders.
func WordTime(holders int) time.Duration { return gatherFor(holders) + changesLag }

// WatchAll runs a watcher for each of the current holders.
func FollowAll(ctx context.Context, holders func() []string, follow func(holder string) *Follower) {
	stops := map[string]context.CancelFunc{}
	var count atomic.Int64
	for ctx.Err() == nil {
		present := holders()
		count.Store(int64(len(present)))
		for _, holder := range present {
			if stops[holder] == nil {
				following, stop := context.WithCancel(ctx)
				stops[holder] = stop
				follower := follow(holder)
				follower.gather = func() time.Duration { return gatherFor(int(count.Load())) }
				go follower.Run(following)
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

// Run watches the holder until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if f.renews = err == nil; f.renews {
			pause.For(ctx, max(gatherTime, f.Pace()))
			continue
		}
		busy := errors.Is(err, ErrBusy)
		f.ledger.Lose(f.holder, err != nil && !busy && ctx.Err() == nil)
		if err != nil && !f.lost && ctx.Err() == nil {
			f.lost = true
			f.recorder.Unfollowed(f.holder, err)
		}
		rest := downPause
		if busy {
			rest = busyPause
		}
		pause.For(ctx, max(rest, f.Pace()))
	}
	f.ledger.Lose(f.holder, false)
}

// loadInitial fetches all pieces that the holder has. At first it reads the changes from the
// start, if the holder still has them all, because producing the list interrupts the holder's
// work.
func (f *Follower) begin(ctx context.Context) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if !f.renews {
		all, err := f.source.Changes(ctx, f.holder, 0, 0)
		if err != nil || !all.Gap {
			return all, err
		}
	}
	return f.source.List(ctx, f.holder)
}

// watch fetches all pieces that the holder has and then its changes, until there is a gap or an
// error.
func (f *Follower) follow(ctx context.Context) error {
	all, err := f.begin(ctx)
	if err != nil {
		return err
	}
	f.ledger.Replace(f.holder, keysOf(all.Changes))
	f.lost = false
	if !f.renews {
		f.recorder.Followed(f.holder)
	}
	life, next := all.Life, all.Next
	// Lost changes accumulate, so the full list is fetched again after a time.
	pause.For(ctx, f.Pace())
	for begun := boottime.Now(); ctx.Err() == nil && boottime.Since(begun) < renewAfter; {
		batch, err := f.changes(ctx, next)
		if err != nil {
			return err
		}
		if batch.Life != life {
			f.ledger.Replace(f.holder, nil)
		}
		if batch.Gap || batch.Life != life {
			return nil
		}
		f.ledger.Apply(f.holder, batch.Changes)
		next = batch.Next
		pause.For(ctx, max(f.gather(), f.Pace()))
	}
	return nil
}

// presentKeys returns the keys that are present after the changes.
func keysOf(changes []Change) []Key {
	has := map[Key]bool{}
	for _, change := range changes {
		if change.Present {
			has[change.Key] = true
		} else {
			delete(has, change.Key)
		}
	}
	return slices.Collect(maps.Keys(has))
}

func (f *Follower) changes(ctx context.Context, after int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, changesWait+askTimeout)
	defer cancel()
	return f.source.Changes(ctx, f.holder, after, changesWait)
}
