package coordination

import (
	"cmp"
	"strconv"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// Position is a place in the history of the shared store: an era, and a revision in it. The
// store may come back from an older copy; then its era rises by one and its revisions go back,
// so that a revision alone says nothing of what was before.
type Position struct {
	Era      int64
	Revision int64
}

// IsZero reports whether the position is that of somebody who knows nothing.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions as the store went through them.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position is an earlier one than another.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Later returns the later one of two positions.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

const (
	// firstEra is that of a store that has never gone back. Stores that do not name their era
	// count as one that has not.
	firstEra = 1
	// revisionBits is how many bits of a token hold the revision: 10 years of 3,200 writes a
	// second. The rest holds 8,192 eras, so that a token is exact also as a number of a JSON
	// reader that knows floating point alone.
	revisionBits = 40
)

// Token returns the fencing token of a position. It rises over eras too, and in a store that
// has never gone back it is the revision alone: servers that have seen tokens of builds that
// know no eras take it, and take those builds' tokens after it.
func (p Position) Token() int64 { return (max(p.Era, firstEra)-firstEra)<<revisionBits + p.Revision }

// Eras follows the era of the shared store, by its own answers and by the word of other nodes.
// The zero value and nil know of none. It is safe for concurrent use.
type Eras struct {
	// Changed, if set, hears of each change, and Ignored of what was told of the era and is
	// passed over. They must not block.
	Changed func(before, after int64)
	Ignored func(told string, current int64)

	mutex   sync.Mutex
	current int64
	// ignored is what was passed over last, since an answer counted; nil if nothing was.
	ignored *string
	// next is closed at the next change.
	next chan struct{}
	// since is when the store was first known to have gone back to the era.
	since time.Time
}

// Current returns the era, or 0 if it is not known.
func (e *Eras) Current() int64 {
	era, _ := e.State()
	return era
}

// State returns the era, and since when this node knows that the store has gone back to it;
// zero if it has not since this node knows it.
func (e *Eras) State() (era int64, since time.Time) {
	if e == nil {
		return 0, time.Time{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current, e.since
}

// Next returns a channel that is closed when the store has gone back the next time.
func (e *Eras) Next() <-chan struct{} {
	if e == nil {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.next == nil {
		e.next = make(chan struct{})
	}
	return e.next
}

// Ignore takes what an answer tells of its era if that is none. A store that never named one
// need not, and one that goes on to tell the same is named once.
func (e *Eras) Ignore(told string) {
	e.mutex.Lock()
	current, news := e.current, e.ignored == nil || *e.ignored != told
	e.ignored = &told
	e.mutex.Unlock()
	if news && (current != 0 || told != "") && e.Ignored != nil {
		e.Ignored(told, current)
	}
}

// Observe takes the era of an answer, and reports whether the answer counts: one of an earlier
// era tells what is not so any more. The first era that is seen is no change.
func (e *Eras) Observe(era int64) (counts bool) {
	if e == nil {
		return true
	}
	e.mutex.Lock()
	before := e.current
	counts = era >= before
	changed := era > before && before != 0
	if counts {
		e.ignored = nil
	}
	e.current = max(before, era)
	if changed {
		e.since = boottime.Now()
		if e.next != nil {
			close(e.next)
			e.next = nil
		}
	}
	e.mutex.Unlock()
	switch {
	case changed && e.Changed != nil:
		e.Changed(before, era)
	case !counts:
		e.Ignore(strconv.FormatInt(era, 10))
	}
	return counts
}
