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

// MayFollowRestore reports whether the store may have been restored before the position.
func (p Position) MayFollowRestore() bool { return p.Era > initialEra }

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
	initialEra = 1
	// revisionBits is the number of bits of a token that hold the revision, enough for 10
	// years of 3,200 writes a second. Above them there is room for 8,192 eras: tokens stay
	// below 2^53, and so exact in JSON parsers that represent numbers as floating point.
	revisionBits = 40
)

// Token returns the fencing token of a position. It increases across eras too. In a store that
// was never restored it is the revision itself, so that servers accept tokens of builds with and
// without eras in any sequence.
func (p Position) Token() int64 {
	return (max(p.Era, initialEra)-initialEra)<<revisionBits + p.Revision
}

// EraTracker tracks the era of the shared store, from the store's responses and from other
// nodes. Its zero value and nil know no era. It is safe for concurrent use.
type EraTracker struct {
	// OnChange, if set, is called for each change of the era, and OnIgnored, if set, for each
	// value that is ignored, with the current era. They must not block.
	OnChange  func(before, after int64)
	OnIgnored func(told string, current int64)

	mutex   sync.Mutex
	current int64
	// lastIgnored is the value that was last ignored since a response was accepted, or nil.
	lastIgnored *string
	// nextChange is closed at the next change.
	nextChange chan struct{}
	// restoredAt is when this node learned that a restore of the store began the current era,
	// or zero.
	restoredAt time.Time
}

// Current returns the era, or 0 if it is not known.
func (e *EraTracker) Current() int64 {
	era, _ := e.State()
	return era
}

// State returns the era, and when this node learned that a restore of the store began it. That
// time is zero if there was no restore since this node first learned an era.
func (e *EraTracker) State() (era int64, restoredAt time.Time) {
	if e == nil {
		return 0, time.Time{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.current, e.restoredAt
}

// NextChange returns a channel that is closed when the era changes.
func (e *EraTracker) NextChange() <-chan struct{} {
	if e == nil {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.nextChange == nil {
		e.nextChange = make(chan struct{})
	}
	return e.nextChange
}

// Ignore reports a value of a response that is not a valid era or is an earlier one. Repetitions
// of the same value are reported once. A missing era is not reported for a store that never sent
// one.
func (e *EraTracker) Ignore(value string) {
	e.mutex.Lock()
	current, isNew := e.current, e.lastIgnored == nil || *e.lastIgnored != value
	e.lastIgnored = &value
	e.mutex.Unlock()
	if isNew && (current != 0 || value != "") && e.OnIgnored != nil {
		e.OnIgnored(value, current)
	}
}

// Observe applies the era of a response, and reports whether the response is acceptable: one
// from an earlier era is outdated. The first observed era does not count as a change.
func (e *EraTracker) Observe(era int64) (accepted bool) {
	if e == nil {
		return true
	}
	e.mutex.Lock()
	previous := e.current
	accepted = era >= previous
	changed := era > previous && previous != 0
	if accepted {
		e.lastIgnored = nil
	}
	e.current = max(previous, era)
	if changed {
		e.restoredAt = boottime.Now()
		if e.nextChange != nil {
			close(e.nextChange)
			e.nextChange = nil
		}
	}
	e.mutex.Unlock()
	switch {
	case changed && e.OnChange != nil:
		e.OnChange(previous, era)
	case !accepted:
		e.Ignore(strconv.FormatInt(era, 10))
	}
	return accepted
}
