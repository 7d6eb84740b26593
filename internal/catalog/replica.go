package catalog

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

// Release is a version of a model's weights that operators released by naming it in the store.
type Naming struct {
	Version int64
	// UnreleasedAt is the latest time at which the version was known not to be released yet. It
	// is zero if the first read already returned the version.
	NotNamedAt time.Time
}

// EffectiveAt returns the time from which a release counts: no node could follow it while the
// store was disrupted. It is zero if unknown.
func (naming Naming) Since(disturbed time.Time) time.Time {
	if !naming.NotNamedAt.IsZero() && naming.NotNamedAt.Before(disturbed) {
		return disturbed
	}
	return naming.NotNamedAt
}

// maxReleases bounds the releases kept for each model.
const mostNamings = 32

// Releases are the released versions of one model's weights, in the order of both release and
// version.
type Namings []Naming

// Newest returns the newest version, or 0 if none was released.
func (namings Namings) Newest() int64 {
	if len(namings) == 0 {
		return 0
	}
	return namings[len(namings)-1].Version
}

// After returns the first release that a server with the given version lacks.
func (namings Namings) After(version int64) (Naming, bool) {
	for _, naming := range namings {
		if naming.Version > version {
			return naming, true
		}
	}
	return Naming{}, false
}

// Required returns the oldest version that may still serve: the newest one that may have been
// released before the given time. A version returned by the first read counts as released at
// firstReadAt.
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

// withRelease returns the releases with one more, if it is newer than all of them.
func (namings Namings) with(naming Naming) Namings {
	if naming.Version <= namings.Newest() {
		return namings
	}
	next := append(Namings(nil), namings...)
	next = append(next, naming)
	return next[max(0, len(next)-mostNamings):]
}

// Replica is a node's copy of the declaration and the releases, with the time at which it was
// current.
type Belief struct {
	Snapshot *Snapshot
	// Weights holds the releases of each model.
	Weights map[string]Namings
	// AsOf is when the request was sent whose answer proved the replica current. Anything
	// acknowledged to an operator later may be missing.
	AsOf time.Time
	// DisruptedAt is when a read last failed: the store or the connection to it was unavailable
	// then, so nothing due since an earlier time could be done until then.
	Disturbed time.Time
}

// ReadResult is the result of one linearizable read.
type Reading struct {
	// SentAt is when the first request of the read was sent.
	SentAt time.Time
	// At is the position of the store at the read, or zero if unknown.
	At coordination.Position
	// Declaration is nil if it has not changed since the previous read.
	Declaration *Declaration
	// Weights holds the released version of each model.
	Weights map[string]int64
}

// Advance returns the replica updated with a read. Versions never decrease: a declaration older
// than the known one is ignored.
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

// MarkDisrupted returns the replica updated with a failed read. Before the first read this is a
// replica without a snapshot.
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

// SameNewestVersions reports whether both replicas have the same newest version of each model.
func (belief *Belief) SameWeights(other *Belief) bool {
	return maps.EqualFunc(belief.Weights, other.Weights, func(a, b Namings) bool { return a.Newest() == b.Newest() })
}

// AtomicReplica holds a node's replica. Readers load it as a whole.
type Holder struct {
	belief atomic.Pointer[Belief]
}

// Load returns the replica, or nil before the first read.
func (holder *Holder) Load() *Belief { return holder.belief.Load() }

// Store sets the replica.
func (holder *Holder) Store(belief *Belief) { holder.belief.Store(belief) }

// Fresh reports whether the replica was current no longer than bound ago.
func (belief *Belief) Fresh(now time.Time, bound time.Duration) bool {
	return now.Sub(belief.AsOf) <= bound
}
