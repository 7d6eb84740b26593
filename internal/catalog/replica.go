package catalog

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

// Release is a version of a model's weights that operators released by naming it in the store.
type Release struct {
	Version int64
	// UnreleasedAt is the latest time at which the version was known not to be released yet. It
	// is zero if the first read already returned the version.
	UnreleasedAt time.Time
}

// EffectiveAt returns the time from which a release counts, or zero if that is unknown: no node
// could learn of the release while the store was disrupted.
func (release Release) EffectiveAt(disruptedAt time.Time) time.Time {
	if !release.UnreleasedAt.IsZero() && release.UnreleasedAt.Before(disruptedAt) {
		return disruptedAt
	}
	return release.UnreleasedAt
}

// maxReleases bounds the releases kept for each model.
const maxReleases = 32

// Releases are the released versions of one model's weights, in the order of both release and
// version.
type Releases []Release

// Newest returns the newest version, or 0 if none was released.
func (releases Releases) Newest() int64 {
	if len(releases) == 0 {
		return 0
	}
	return releases[len(releases)-1].Version
}

// After returns the first release that a server with the given version lacks.
func (releases Releases) After(version int64) (Release, bool) {
	for _, release := range releases {
		if release.Version > version {
			return release, true
		}
	}
	return Release{}, false
}

// Required returns the oldest version that may still serve: the newest one that may have been
// released before the given time. A version returned by the first read counts as released at
// firstReadAt.
func (releases Releases) Required(before, firstReadAt time.Time) int64 {
	required := int64(0)
	for _, release := range releases {
		releasedAt := release.UnreleasedAt
		if releasedAt.IsZero() {
			releasedAt = firstReadAt
		}
		if releasedAt.Before(before) {
			required = release.Version
		}
	}
	return required
}

// withRelease returns the releases with one more, if it is newer than all of them.
func (releases Releases) withRelease(release Release) Releases {
	if release.Version <= releases.Newest() {
		return releases
	}
	next := append(Releases(nil), releases...)
	next = append(next, release)
	return next[max(0, len(next)-maxReleases):]
}

// Replica is a node's copy of the declaration and the releases, with the time at which it was
// current.
type Replica struct {
	Snapshot *Snapshot
	// Weights holds the releases of each model.
	Weights map[string]Releases
	// AsOf is when the request was sent whose answer proved the replica current. Anything
	// acknowledged to an operator later may be missing.
	AsOf time.Time
	// DisruptedAt is when the store, or the network path to it, was last known to be disrupted,
	// or zero. What was due before could not be done until then.
	DisruptedAt time.Time
}

// ReadResult is the result of one linearizable read.
type ReadResult struct {
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
func Advance(known *Replica, result ReadResult) *Replica {
	next := &Replica{AsOf: result.SentAt, Weights: map[string]Releases{}}
	previous := time.Time{}
	if known != nil {
		next.Snapshot, next.DisruptedAt = known.Snapshot, known.DisruptedAt
		previous = known.AsOf
		if result.SentAt.Before(known.AsOf) {
			next.AsOf = known.AsOf
		}
		for model, releases := range known.Weights {
			next.Weights[model] = releases
		}
	}
	if result.Declaration != nil && (next.Snapshot == nil || result.Declaration.Version > next.Snapshot.Version) {
		next.Snapshot = New(*result.Declaration)
	}
	for model, version := range result.Weights {
		next.Weights[model] = next.Weights[model].withRelease(Release{Version: version, UnreleasedAt: previous})
	}
	return next
}

// MarkDisrupted returns the replica updated with a disruption of the store at a time. Before the
// first read this is a replica without a snapshot.
func MarkDisrupted(known *Replica, now time.Time) *Replica {
	if known == nil {
		return &Replica{DisruptedAt: now}
	}
	next := *known
	if now.After(next.DisruptedAt) {
		next.DisruptedAt = now
	}
	return &next
}

// SameNewestVersions reports whether both replicas have the same newest version of each model.
func (replica *Replica) SameNewestVersions(other *Replica) bool {
	return maps.EqualFunc(replica.Weights, other.Weights, func(a, b Releases) bool { return a.Newest() == b.Newest() })
}

// AtomicReplica holds a node's replica. Readers load it as a whole.
type AtomicReplica struct {
	replica atomic.Pointer[Replica]
}

// Load returns the replica, or nil before the first read.
func (atomicReplica *AtomicReplica) Load() *Replica { return atomicReplica.replica.Load() }

// Store sets the replica.
func (atomicReplica *AtomicReplica) Store(replica *Replica) { atomicReplica.replica.Store(replica) }

// Fresh reports whether the replica was current no longer than bound ago.
func (replica *Replica) Fresh(now time.Time, bound time.Duration) bool {
	return now.Sub(replica.AsOf) <= bound
}
