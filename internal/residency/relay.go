package residency

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/pause"
)

// mostRecent bounds the changes that are kept for nodes that hear of a holder
// from this one. Who has missed more reads the whole list.
const mostRecent = 4096

// relayPoll is how often a waiting question looks for changes.
const relayPoll = 50 * time.Millisecond

// history is the last changes of a holder in order. Its life is a number that no
// other history has.
type history struct {
	life    int64
	first   int64
	changes []Change
}

func newHistory() history { return history{life: rand.Int64()} }

func (h *history) next() int64 { return h.first + int64(len(h.changes)) }

func (h *history) add(changes []Change) {
	h.changes = append(h.changes, changes...)
	if surplus := len(h.changes) - mostRecent; surplus > 0 {
		h.changes = append([]Change(nil), h.changes[surplus:]...)
		h.first += int64(surplus)
	}
}

// since returns the changes after a place, or that there is a gap.
func (h *history) since(after int64) Batch {
	b := Batch{Life: h.life, Next: h.next(), Gap: after < h.first || after > h.next()}
	if !b.Gap {
		b.Changes = append(b.Changes, h.changes[after-h.first:]...)
	}
	return b
}

var errDown = errors.New("the holder does not answer; nothing is fetched from it until it does")

// List returns all that a holder has which this node follows.
func (l *Ledger) List(_ context.Context, holder string) (Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, err := l.heard(holder)
	if err != nil {
		return Batch{}, err
	}
	b := Batch{Life: known.recent.life, Next: known.recent.next()}
	for key := range known.marks {
		b.Changes = append(b.Changes, Change{Key: key, Present: true})
	}
	return b, nil
}

// Changes waits for changes after a place.
func (l *Ledger) Changes(ctx context.Context, holder string, after int64, wait time.Duration) (Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		b, err := l.changes(holder, after)
		if err != nil || b.Gap || len(b.Changes) > 0 || ctx.Err() != nil || !time.Now().Before(deadline) {
			return b, err
		}
		pause.For(ctx, relayPoll)
	}
}

func (l *Ledger) changes(holder string, after int64) (Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, err := l.heard(holder)
	if err != nil {
		return Batch{}, err
	}
	return known.recent.since(after), nil
}

// heard returns what a followed holder told of itself.
func (l *Ledger) heard(holder string) (*holding, error) {
	known := l.holdings[holder]
	switch {
	case known != nil && known.followed:
		return known, nil
	case known != nil && known.down:
		return nil, errDown
	default:
		return nil, ErrUnheard
	}
}
