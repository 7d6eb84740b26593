// Package residency remembers where cached parts of prompts lie, from what this
// node itself sent. It needs no word of other nodes: they choose the same server
// for a part that none of them knows to be cached.
package residency

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Key names one part of a prompt together with all that keeps it apart: wall,
// model and version.
type Key uint64

// NewKey names the part with an id that is kept under a salt.
func NewKey(salt, id string) Key { return Key(prefix.KeyOf(salt + id)) }

// Piece is one part in the order of its prompt.
type Piece struct {
	Key    Key
	Tokens int
}

const (
	// sureShare is the share of a holder's memory that may be written anew before a
	// part counts as given up. Parts unused longest give way first.
	sureShare = 0.6
	// longestLife is how long a part is remembered without being used.
	longestLife = time.Minute
	// sweepAbove is the number of parts of one holder above which old ones are
	// looked for and forgotten.
	sweepAbove = 4096
)

// mark is when a part was used last: the holder's count of written tokens, and
// the time from which it is there.
type mark struct {
	written int64
	from    time.Time
}

type holding struct {
	// followed says that the holder itself tells what it has.
	followed bool
	// down says that the holder did not answer when it was asked last.
	down bool
	// written counts the tokens that this node's requests brought.
	written  int64
	capacity int64
	marks    map[Key]mark
	sweepAt  int
	// recent are the last changes of a followed holder, for nodes that hear of it
	// from this one.
	recent history
}

// Ledger is what one node remembers. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	holdings map[string]*holding
	nodes    int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{holdings: map[string]*holding{}, nodes: 1}
}

// Resize follows the number of nodes: others write about as much as this one.
func (l *Ledger) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = int64(max(1, nodes))
}

// Held returns how many leading tokens of the pieces the holder has.
func (l *Ledger) Held(holder string, pieces []Piece, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holdings[holder]
	if known == nil || known.down {
		return 0
	}
	tokens := 0
	for _, piece := range pieces {
		mark, found := known.marks[piece.Key]
		if !found || now.Before(mark.from) || (!known.followed && l.gone(known, mark, now)) {
			break
		}
		tokens += piece.Tokens
	}
	return tokens
}

// gone reports whether a part has probably given way.
func (l *Ledger) gone(known *holding, mark mark, now time.Time) bool {
	if now.Sub(mark.from) > longestLife {
		return true
	}
	since := (known.written - mark.written) * l.nodes
	return known.capacity > 0 && float64(since) > sureShare*float64(known.capacity)
}

// Note says that the holder has the pieces from a time on, that their use
// brought it written tokens, and how many tokens it has room for.
func (l *Ledger) Note(holder string, pieces []Piece, written, capacity int, from time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holding(holder)
	if known.followed {
		return
	}
	known.written += int64(written)
	known.capacity = int64(capacity)
	for _, piece := range pieces {
		next := mark{written: known.written, from: from}
		if before, found := known.marks[piece.Key]; found && before.from.Before(from) && !l.gone(known, before, from) {
			next.from = before.from
			if from.Sub(before.from) > longestLife/2 {
				next.from = from
			}
		}
		known.marks[piece.Key] = next
	}
	l.sweep(known, from)
}

// sweep forgets old parts when there are many.
func (l *Ledger) sweep(known *holding, now time.Time) {
	if len(known.marks) < known.sweepAt {
		return
	}
	for key, mark := range known.marks {
		if l.gone(known, mark, now) {
			delete(known.marks, key)
		}
	}
	known.sweepAt = max(sweepAbove, 2*len(known.marks))
}

func (l *Ledger) holding(holder string) *holding {
	known := l.holdings[holder]
	if known == nil {
		known = &holding{marks: map[Key]mark{}, sweepAt: sweepAbove}
		l.holdings[holder] = known
	}
	return known
}

// Replace takes the holder's own list of what it has. From then on the holder's
// word counts, and what this node sends there does not.
func (l *Ledger) Replace(holder string, keys []Key) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	marks := make(map[Key]mark, len(keys))
	for _, key := range keys {
		marks[key] = mark{}
	}
	l.holdings[holder] = &holding{followed: true, marks: marks, sweepAt: sweepAbove, recent: newHistory()}
}

// Change is one change of what a followed holder has.
type Change struct {
	Key     Key
	Present bool
}

// Apply takes changes that the holder told of.
func (l *Ledger) Apply(holder string, changes []Change) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holding(holder)
	known.recent.add(changes)
	for _, change := range changes {
		if change.Present {
			known.marks[change.Key] = mark{}
		} else {
			delete(known.marks, change.Key)
		}
	}
}

// Lose says that the holder cannot be followed any more, and whether it is down.
func (l *Ledger) Lose(holder string, down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holdings[holder] = &holding{down: down, marks: map[Key]mark{}, sweepAt: sweepAbove}
}

// Down reports whether the holder did not answer when it was asked last.
func (l *Ledger) Down(holder string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holdings[holder]
	return known != nil && known.down
}
