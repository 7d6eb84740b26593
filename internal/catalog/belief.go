package catalog

import (
	"sync/atomic"
	"time"
)

// NamedVersion is the newest version of a model's weights that operators named.
type NamedVersion struct {
	Version int64
	// NotNamedAt is the last time at which it was certainly not named yet; it is
	// zero when the version was found at the first reading.
	NotNamedAt time.Time
}

// Belief is what a node holds for true, and how recently it was true.
type Belief struct {
	Snapshot *Snapshot
	// Weights holds the named version of each model.
	Weights map[string]NamedVersion
	// AsOf is when the call was sent whose answer proved all this current. What
	// was acknowledged to an operator later may be missing.
	AsOf time.Time
}

// Reading is one linearizable look at the declaration.
type Reading struct {
	// SentAt is when the look's first call was sent.
	SentAt time.Time
	// Declaration is nil when it is the one of the reading before.
	Declaration *Declaration
	// Weights holds the named version of each model.
	Weights map[string]int64
}

// Advance returns the belief that follows from a reading. Versions never go
// down: an older declaration than the known one is not taken over.
func Advance(known *Belief, reading Reading) *Belief {
	next := &Belief{AsOf: reading.SentAt, Weights: map[string]NamedVersion{}}
	previous := time.Time{}
	if known != nil {
		next.Snapshot = known.Snapshot
		previous = known.AsOf
		if reading.SentAt.Before(known.AsOf) {
			next.AsOf = known.AsOf
		}
		for model, named := range known.Weights {
			next.Weights[model] = named
		}
	}
	if reading.Declaration != nil && (next.Snapshot == nil || reading.Declaration.Version > next.Snapshot.Version) {
		next.Snapshot = New(*reading.Declaration)
	}
	for model, version := range reading.Weights {
		if version > next.Weights[model].Version {
			next.Weights[model] = NamedVersion{Version: version, NotNamedAt: previous}
		}
	}
	return next
}

// Holder is where a node keeps its belief. Readers take it whole.
type Holder struct {
	belief atomic.Pointer[Belief]
}

// Load returns the belief, or nil before the first reading.
func (holder *Holder) Load() *Belief { return holder.belief.Load() }

// Store replaces the belief.
func (holder *Holder) Store(belief *Belief) { holder.belief.Store(belief) }

// Fresh reports whether the belief was true no longer ago than bound.
func (belief *Belief) Fresh(now time.Time, bound time.Duration) bool {
	return now.Sub(belief.AsOf) <= bound
}
