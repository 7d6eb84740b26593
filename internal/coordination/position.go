package coordination

import (
	"cmp"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// Position is a point in the history of the shared store: an era and a revision within it. When
// the store is restored from a backup, its era increases by one and its revisions go back, so
// that revisions can only be compared within one era.
type Position struct {
	Era      Era
	Revision int64
}

// IsZero reports whether the position is unset.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions as the store reached them.
func (p Position) Compare(other Position) int {
	return cmp.Or(p.Era.Compare(other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position is before another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// MayFollowRestore reports whether the store may have been restored before the position, if its first
// era is 1 or later.
func (p Position) MayFollowRestore() bool {
	number, _ := p.Era.Number()
	return number > initialEra
}

// Later returns the later of two positions.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

const (
	// initialEra is the first era of a store, unless its first era is known to be 0. A store that
	// sends no era counts as one that is never restored.
	initialEra = 1
	// revisionBits is the number of bits of a token that hold the revision, enough for 10
	// years of 3,200 writes a second. Above them there is room for 8,192 eras: tokens stay
	// below 2^53, and so exact in JSON parsers that represent numbers as floating point.
	revisionBits = 40
	// afterEraZero is added to the tokens of era 1 in a store whose first era is 0. The revisions
	// of its eras 0 and 1 have one bit less.
	afterEraZero = 1 << (revisionBits - 1)
)

// Token returns the fencing token of a position, in a store whose first era is known to be 0 or
// not. It increases across eras too. In a store that was never restored it is the revision itself,
// so that servers accept tokens of builds with and without eras in any sequence.
func (p Position) Token(beganAtZero bool) int64 {
	number, _ := p.Era.Number()
	if number == initialEra && beganAtZero {
		return afterEraZero + p.Revision
	}
	return (max(number, initialEra)-initialEra)<<revisionBits + p.Revision
}

// EraTracker tracks the era of the shared store, from the store's responses and from other
// nodes. Its zero value and nil know no era. It is safe for concurrent use.
type EraTracker struct {
	// OnChange, if set, is called for each change of the era, and OnIgnored, if set, for each
	// value that is ignored, with the current era. They must not block.
	OnChange  func(before, after Era)
	OnIgnored func(told string, current Era)

	mutex   sync.Mutex
	current Era
	// beganAtZero is set once the store is known to have been in era 0.
	beganAtZero bool
	// lastIgnored is the value that was last ignored since a response was accepted, or nil.
	lastIgnored *string
	// nextChange is closed at the next change.
	nextChange chan struct{}
	// restoredAt is when this node learned that a restore of the store began the current era,
	// or zero.
	restoredAt time.Time
}

// Current returns the era.
func (e *EraTracker) Current() Era {
	era, _ := e.State()
	return era
}

// State returns the era, and when this node learned that a restore of the store began it. That
// time is zero if there was no restore since this node first learned an era.
func (e *EraTracker) State() (era Era, restoredAt time.Time) {
	if e == nil {
		return Era{}, time.Time{}
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
	if isNew && (current.IsKnown() || value != "") && e.OnIgnored != nil {
		e.OnIgnored(value, current)
	}
}

// Observe applies the era of a response, and reports whether the response is acceptable: one
// from an earlier era is outdated. The first known era does not count as a change, and an era that is
// not known is acceptable.
func (e *EraTracker) Observe(era Era) (accepted bool) {
	if e == nil || !era.IsKnown() {
		return true
	}
	e.mutex.Lock()
	previous := e.current
	accepted = !era.Before(previous)
	changed := previous.Before(era) && previous.IsKnown()
	if accepted {
		e.lastIgnored = nil
		e.current = era
	}
	e.beganAtZero = e.beganAtZero || era == EraOf(0)
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
		e.Ignore(era.String())
	}
	return accepted
}

// BeganAtZero reports whether the store is known to have been in era 0.
func (e *EraTracker) BeganAtZero() bool {
	if e == nil {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.beganAtZero
}

// ObserveBeganAtZero records that the store has been in era 0.
func (e *EraTracker) ObserveBeganAtZero() {
	if e == nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.beganAtZero = true
}

// WasRestored reports whether the store is known to have been restored before the current era.
func (e *EraTracker) WasRestored() bool {
	era, restoredAt := e.State()
	return !restoredAt.IsZero() || e.BeganAtZero() && EraOf(0).Before(era)
}

// Token returns the fencing token of a position.
func (e *EraTracker) Token(position Position) int64 { return position.Token(e.BeganAtZero()) }
