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
	longPollTimeout = 800 * time.Millisecond
	minPollInterval = 150 * time.Millisecond
	// queryInterval is the minimum mean time between a node's queries to all holders: the more
	// holders a node watches, the longer their changes accumulate.
	queryInterval = 20 * time.Millisecond
	queryTimeout  = 400 * time.Millisecond
	// changeLatency is the delay with which holders report a change, including the query and its
	// answer.
	changeLatency = 200 * time.Millisecond
	// resyncInterval is the time after which the full list is fetched again.
	resyncInterval = time.Minute
	retryDelay     = 300 * time.Millisecond
	busyRetryDelay = 5 * time.Second
)

// Recorder is notified about watched holders. Its methods must not block.
type Recorder interface {
	// WatchLost is called once when a holder cannot be watched any more, and WatchStarted when
	// it can be.
	WatchLost(holder string, err error)
	WatchStarted(holder string)
}

// Watcher keeps the ledger in sync with the changes that one holder reports.
type Watcher struct {
	holder   string
	source   Source
	ledger   *Ledger
	recorder Recorder

	// pollInterval returns how long changes accumulate between two queries.
	pollInterval func() time.Duration
	// MinInterval returns the minimum time between two queries to the holder, as set by its rate
	// limit.
	MinInterval  func() time.Duration
	lossReported bool
	// resync is set if the holder was watched without interruption before.
	resync bool
}

// NewWatcher returns a watcher of one holder.
func NewWatcher(holder string, source Source, ledger *Ledger, recorder Recorder) *Watcher {
	return &Watcher{holder: holder, source: source, ledger: ledger, recorder: recorder, pollInterval: func() time.Duration { return minPollInterval }, MinInterval: func() time.Duration { return 0 }}
}

// pollIntervalFor returns how long changes accumulate at each holder if a node watches the given
// number of them.
func pollIntervalFor(holders int) time.Duration {
	return max(minPollInterval, time.Duration(holders)*queryInterval)
}

// MaxHolders is the number of holders that a node can watch without a longer poll interval.
const MaxHolders = int(minPollInterval / queryInterval)

// PropagationDelay returns the time in which a change reaches a node that watches the given
// number of holders.
func PropagationDelay(holders int) time.Duration { return pollIntervalFor(holders) + changeLatency }

// WatchAll runs a watcher for each of the current holders.
func WatchAll(ctx context.Context, holders func() []string, newWatcher func(holder string) *Watcher) {
	stops := map[string]context.CancelFunc{}
	var count atomic.Int64
	for ctx.Err() == nil {
		present := holders()
		count.Store(int64(len(present)))
		for _, holder := range present {
			if stops[holder] == nil {
				watchCtx, stop := context.WithCancel(ctx)
				stops[holder] = stop
				watcher := newWatcher(holder)
				watcher.pollInterval = func() time.Duration { return pollIntervalFor(int(count.Load())) }
				go watcher.Run(watchCtx)
			}
		}
		for holder, stop := range stops {
			if !slices.Contains(present, holder) {
				stop()
				delete(stops, holder)
			}
		}
		pause.For(ctx, retryDelay)
	}
	for _, stop := range stops {
		stop()
	}
}

// Run watches the holder until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.watch(ctx)
		if w.resync = err == nil; w.resync {
			pause.For(ctx, max(minPollInterval, w.MinInterval()))
			continue
		}
		busy := errors.Is(err, ErrBusy)
		w.ledger.Drop(w.holder, err != nil && !busy && ctx.Err() == nil)
		if err != nil && !w.lossReported && ctx.Err() == nil {
			w.lossReported = true
			w.recorder.WatchLost(w.holder, err)
		}
		delay := retryDelay
		if busy {
			delay = busyRetryDelay
		}
		pause.For(ctx, max(delay, w.MinInterval()))
	}
	w.ledger.Drop(w.holder, false)
}

// fetchAll fetches all pieces that the holder has. Unless it resyncs, it reads the changes from
// the start if the holder still has them all, because producing the list interrupts the holder's
// work.
func (w *Watcher) loadInitial(ctx context.Context) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if !w.resync {
		all, err := w.source.Changes(ctx, w.holder, 0, 0)
		if err != nil || !all.Gap {
			return all, err
		}
	}
	return w.source.List(ctx, w.holder)
}

// watch fetches all pieces that the holder has and then its changes, until there is a gap or an
// error.
func (w *Watcher) watch(ctx context.Context) error {
	all, err := w.loadInitial(ctx)
	if err != nil {
		return err
	}
	w.ledger.Replace(w.holder, presentKeys(all.Changes))
	w.lossReported = false
	if !w.resync {
		w.recorder.WatchStarted(w.holder)
	}
	epoch, next := all.Life, all.Next
	// Changes that the holder failed to report add up, so the full list is fetched again after
	// resyncInterval.
	pause.For(ctx, w.MinInterval())
	for start := boottime.Now(); ctx.Err() == nil && boottime.Since(start) < resyncInterval; {
		batch, err := w.changes(ctx, next)
		if err != nil {
			return err
		}
		if batch.Life != epoch {
			w.ledger.Replace(w.holder, nil)
		}
		if batch.Gap || batch.Life != epoch {
			return nil
		}
		w.ledger.Apply(w.holder, batch.Changes)
		next = batch.Next
		pause.For(ctx, max(w.pollInterval(), w.MinInterval()))
	}
	return nil
}

// presentKeys returns the keys that are present after the changes.
func presentKeys(changes []Change) []Key {
	present := map[Key]bool{}
	for _, change := range changes {
		if change.Present {
			present[change.Key] = true
		} else {
			delete(present, change.Key)
		}
	}
	return slices.Collect(maps.Keys(present))
}

func (w *Watcher) changes(ctx context.Context, after int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+queryTimeout)
	defer cancel()
	return w.source.Changes(ctx, w.holder, after, longPollTimeout)
}
