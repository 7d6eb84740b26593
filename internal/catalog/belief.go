package catalog

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

// Naming is one version of a model's weights that operators named.
type Naming struct {
	Version int64
	// NotNamedAt is the last time at which it was certainly not named yet; it is
	// zero when the version was found at the first reading.
	NotNamedAt time.Time
}

// Since is the time from which a naming counts: nobody could follow it while the
// shared store was disturbed. It is zero if nobody knows it.
func (naming Naming) Since(disturbed time.Time) time.Time {
	if !naming.NotNamedAt.IsZero() && naming.NotNamedAt.Before(disturbed) {
		return disturbed
	}
	return naming.NotNamedAt
}

// mostNamings bounds the namings that are remembered of one model.
const mostNamings = 32

// Namings are the versions of one model's weights in the order of their naming,
// which is also that of the versions.
type Namings []Naming

// Newest returns the newest version, or 0 if none was named.
func (namings Namings) Newest() int64 {
	if len(namings) == 0 {
		return 0
	}
	return namings[len(namings)-1].Version
}

// After returns the first naming that a server with the given version lacks.
func (namings Namings) After(version int64) (Naming, bool) {
	for _, naming := range namings {
		if naming.Version > version {
			return naming, true
		}
	}
	return Naming{}, false
}

// Required returns the oldest version that may still serve: the newest one that
// may have been named before the given time. A version that was found at the
// first reading counts as named at found.
func (namings Namings) Required(before, found time.Time) int64 {
	required := int64(0)
	for _, naming := range namings {
		named := naming.NotNamedAt
		if named.IsZero() {
			named = found
		}
		if named.Before(before) {
			required = naming.Version
		}
	}
	return required
}

// with returns the namings with one more, if it is newer than all known.
func (namings Namings) with(naming Naming) Namings {
	if naming.Version <= namings.Newest() {
		return namings
	}
	next := append(Namings(nil), namings...)
	next = append(next, naming)
	return next[max(0, len(next)-mostNamings):]
}

// Belief is what a node holds for true, and how recently it was true.
type Belief struct {
	Snapshot *Snapshot
	// Weights holds the named versions of each model.
	Weights map[string]Namings
	// AsOf is when the call was sent whose answer proved all this current. What
	// was acknowledged to an operator later may be missing.
	AsOf time.Time
	// Disturbed is when a reading failed last: the store, or the way to it, was not
	// sound then, and what was to be done since could not be.
	Disturbed time.Time
}

// Reading is one linearizable look at the declaration.
type Reading struct {
	// SentAt is when the look's first call was sent.
	SentAt time.Time
	// At is where the store was at that look, or zero if it is not known.
	At coordination.Position
	// Declaration is nil when it is the one of the reading before.
	Declaration *Declaration
	// Weights holds the named version of each model.
	Weights map[string]int64
}

// Advance returns the belief that follows from a reading. Versions never go
// down: an older declaration than the known one is not taken over.
func Advance(known *Belief, reading Reading) *Belief {
	next := &Belief{AsOf: reading.SentAt, Weights: map[string]Namings{}}
	previous := time.Time{}
	if known != nil {
		next.Snapshot, next.Disturbed = known.Snapshot, known.Disturbed
		previous = known.AsOf
		if reading.SentAt.Before(known.AsOf) {
			next.AsOf = known.AsOf
		}
		for model, namings := range known.Weights {
			next.Weights[model] = namings
		}
	}
	if reading.Declaration != nil && (next.Snapshot == nil || reading.Declaration.Version > next.Snapshot.Version) {
		next.Snapshot = New(*reading.Declaration)
	}
	for model, version := range reading.Weights {
		next.Weights[model] = next.Weights[model].with(Naming{Version: version, NotNamedAt: previous})
	}
	return next
}

// Disturb returns the belief that follows from a reading that failed. Before the
// first reading that is a belief without a snapshot.
func Disturb(known *Belief, now time.Time) *Belief {
	if known == nil {
		return &Belief{Disturbed: now}
	}
	next := *known
	if now.After(next.Disturbed) {
		next.Disturbed = now
	}
	return &next
}

// SameWeights reports whether two beliefs know the same versions to be the newest.
func (belief *Belief) SameWeights(other *Belief) bool {
	return maps.EqualFunc(belief.Weights, other.Weights, func(a, b Namings) bool { return a.Newest() == b.Newest() })
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
