package coordination

import (
	"cmp"
	"strconv"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// Position is a point in the history of the shared store: an era and a revision within it. When
// the store is restored from a backup, its era increases by one and its revisions go back, so
// that revisions can only be compared within one era.
type Position struct {
	Era      int64
	Revision int64
}

// IsZero reports whether the position is unset.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions as the store reached them.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position is before another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Later returns the later of two positions.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

const (
	// initialEra is the era of a store that was never restored. A store that sends no era
	// counts as such.
	firstEra = 1
	// revisionBits is the number of bits of a token that hold the revision, enough for 10
	// years of 3,200 writes a second. Above them there is room for 8,192 eras: tokens stay
	// below 2^53, and so exact in JSON parsers that represent numbers as floating point.
	revisionBits = 40
)

// Token returns the fencing token of a position. It increases across eras too. In a store that
// was never restored it is the revision itself, so that servers accept tokens of builds with and
// without eras in any sequence.
func (p Position) Token() int64 { return (max(p.Era, firstEra)-firstEra)<<revisionBits + p.Revision }

// EraTracker tracks the era of the shared store, from the store's responses and from other
// nodes. Its zero value and nil know no era. It is safe for concurrent use.
type Eras struct {
	// OnChange, if set, is called for each change of the era, and OnIgnored for values that
	// are ignored, with the current era. They must not block.
	Changed func(before, after int64)
	Ignored func(told string, current int64)

	mutex   sync.Mutex
	current int64
	// lastIgnored is the value that was last ignored since a response was accepted, or nil.
	ignored *string
	// nextChange is closed at the next change.
	next chan struct{}
	// restoredAt is when this node learned that a restore of the store began the era.
	since time.Time
}

// Current returns the era, or 0 if it is not known.
func (e *Eras) Current() int64 {
	era, _ := e.State()
	return era
}

// State returns the era, and when this node learned that a restore of the store began it. That
// time is zero if there was no restore since this node first learned an era.
func (e *Eras) State() (era int64, since time.Time) {
	if e == nil {
		return 0, time.Time{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current, e.since
}

// NextChange returns a channel that is closed when the era changes.
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

// Ignore reports a value that is not a valid or current era. Repetitions of the same value are
// reported once. A missing era is not reported for a store that never sent one.
func (e *Eras) Ignore(told string) {
	e.mutex.Lock()
	current, news := e.current, e.ignored == nil || *e.ignored != told
	e.ignored = &told
	e.mutex.Unlock()
	if news && (current != 0 || told != "") && e.Ignored != nil {
		e.Ignored(told, current)
	}
}

// Observe applies the era of a response, and reports whether the response is acceptable: one
// from an earlier era is outdated. The first observed era does not count as a change.
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
