package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// Delta is the part of a node's state that the sender of a poll request lacks.
type Delta struct {
	// Feed identifies the responding process. Place is the cursor from which to continue in
	// the list of servers, at any node: a position of the store. One without an era comes
	// from a build without eras.
	Feed  string
	Place coordination.Position
	// Whole reports that Changed is the full list.
	Whole   bool
	Changed []backend.Server
	Gone    []string
	// Sum is the checksum of all servers at Place, or 0 if the responding node is behind it.
	Sum uint64
	// Loads is the state of the weight rollout, or nil if it is not newer than the
	// requesting node's.
	Loads *backend.Loads
	// Software is the record of software versions, or nil if the requesting node has the same one.
	Software *backend.SoftwareRecord
	// Age is the age of the responding node's list of servers. BeliefAge is the time since
	// the call was sent that showed its declaration and weights to be current, and negative
	// if there was none.
	Age       time.Duration
	BeliefAge time.Duration
	// DisturbedAgo is the time since the store was last disrupted, and negative if it never
	// was.
	DisturbedAgo time.Duration
	// EntriesMissingFor is for how much longer the list may lack servers that live, since the store could
	// not be read; 0 if it does not.
	EntriesMissingFor time.Duration
	// Declaration is nil if it is not newer than the requesting node's. Weights holds the
	// newest released version of each model.
	Declaration *catalog.Declaration
	Weights     map[string]int64
	// Fleet is the view of the fleet, or nil if the requesting node has the same one. Nodes is
	// the number of nodes, or 0 if it is not known.
	Fleet *fleet.View
	Nodes int
	// Duties holds the leader-election entries, for other readers only.
	Duties []coordination.Entry
	// Others is the work in progress and the quota usage of all nodes but the requesting one.
	Others workshare.Report
	// Kept holds changes of the cached pieces of prompts, in the encoding of the
	// residency package, or nil if there are none.
	Kept []byte
	// Suspicions holds the suspicions that the requesting node lacks, and SuspicionsPlace the
	// cursor from which to continue, or 0 if there is nothing new.
	Suspicions      []quarantine.Item
	SuspicionsPlace int64
	// BeganAtZero reports that the first era of the store was 0.
	BeganAtZero bool
	// eraLeftOut reports that Place has no era although the sender's build knows eras: it leaves out an
	// era of 0.
	eraLeftOut bool
}

// PollRequest requests what has changed at a node since the cursors that it carries.
type PollRequest struct {
	// Feed is that of the last response, and Place the sender's cursor in the list of
	// servers. Wait is how long to keep the request open if nothing has changed.
	Feed  string
	Place coordination.Position
	Wait  time.Duration
	// Loads is the state of the weight rollout that the sender has.
	Loads backend.LoadsMark
	// Node is the sender's name.
	Node string
	// Software is the digest of the sender's record of software versions; 0 if its build has none.
	Software uint64
	// Declaration is the version of the sender's declaration, which may be 0, and NoDeclaration
	// reports that it has none. Former builds do not report that. Fleet is the digest of the
	// sender's view of the fleet.
	Declaration   int64
	NoDeclaration bool
	Fleet         uint64
	// Relay reports that the sender is a relay: it receives neither work nor cache updates,
	// which relays exchange in group requests.
	Relay bool
	// Reader reports that the sender is a reader, which may become leader.
	Reader bool
	// Own is the sender's work in progress and quota usage.
	Own workshare.Report
	// Kept is the sender's cursor in the node's cache updates.
	Kept residency.Place
	// Suspicions holds the suspicions that the sender has not reported to this feed yet, and
	// SuspicionsPlace is its cursor in the feed's suspicions.
	Suspicions      []quarantine.Item
	SuspicionsPlace int64
	// BeganAtZero reports that the first era of the store was 0.
	BeganAtZero bool
	// eraLeftOut reports that Place has no era although the sender's build knows eras: it leaves out an
	// era of 0.
	eraLeftOut bool
}

// Feed serves a node's state to nodes that do not read the store. Rewrites of a server's
// entry without a change are not propagated; nearly all writes are of that kind.
type Feed struct {
	// EntriesMissingUntil, if set, returns until when the list may lack servers that live.
	EntriesMissingUntil func() time.Time
	// Eras, if set, tracks the era of the store.
	Eras *coordination.EraTracker

	name       string
	replica    *catalog.AtomicReplica
	registry   *fleet.Registry
	work       *workshare.Aggregator
	cache      *residency.Ledger
	quarantine *quarantine.Ledger

	mutex   sync.Mutex
	changed chan struct{}
	servers *serverList
	loads   backend.Loads
	// software is the record of software versions, or nil, and digest that of the record.
	software *backend.SoftwareRecord
	digest   uint64
}

// NewFeed returns an empty feed. The name must be unique to this process.
func NewFeed(name string, replica *catalog.AtomicReplica, registry *fleet.Registry, work *workshare.Aggregator, cache *residency.Ledger, suspicions *quarantine.Ledger) *Feed {
	f := &Feed{
		name: name, replica: replica, registry: registry, work: work, cache: cache, quarantine: suspicions,
		changed: make(chan struct{}), servers: newServerList(), digest: backend.NoSoftwareDigest,
	}
	suspicions.Changed = f.Notify
	return f
}

// apply applies an update of the list of servers, and returns the servers that it changes and
// removes.
func (f *Feed) apply(update serverUpdate) (changed []*backend.Server, gone []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed, gone = f.servers.apply(update)
	if len(changed)+len(gone) > 0 {
		f.notifyLocked()
	}
	return changed, gone
}

// cursor returns the position from which this node needs server changes, and readAt a time at
// which its list was still current.
func (f *Feed) cursor() (cursor coordination.Position, readAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers.cursor(), f.servers.readAt
}

// ServerStats returns the number of servers that this node knows and the age of its list,
// which is negative if there is none.
func (f *Feed) ServerStats(now time.Time) (servers int, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.servers.readAt.IsZero() {
		return 0, -1
	}
	return len(f.servers.servers), now.Sub(f.servers.readAt)
}

// ApplyLoads applies the state of the weight rollout, and reports whether it is newer than
// the known one.
func (f *Feed) ApplyLoads(loads backend.Loads) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.loads.Mark.Before(loads.Mark) {
		return false
	}
	f.loads = loads
	f.notifyLocked()
	return true
}

// ApplySoftware applies the record of software versions that this node knows now.
func (f *Feed) ApplySoftware(record *backend.SoftwareRecord) {
	digest := record.Digest()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := f.digest != digest
	f.software, f.digest = record, digest
	if changed {
		f.notifyLocked()
	}
}

// softwareDigest returns the digest of this node's record of software versions.
func (f *Feed) softwareDigest() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.digest
}

// softwareFor returns the record of software versions, or nil if the requesting node has the same one or
// its build has none.
func (f *Feed) softwareFor(request PollRequest) *backend.SoftwareRecord {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if request.Software == 0 || request.Software == f.digest {
		return nil
	}
	return f.software
}

// LoadsMark identifies the known state of the weight rollout.
func (f *Feed) LoadsMark() backend.LoadsMark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.loads.Mark
}

// Group returns the response to another relay's request.
func (f *Feed) Group(request GroupRequest, now time.Time) Group {
	group := Group{Report: f.work.Group(now), Kept: f.cache.Changes(request.Kept, true)}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if request.Loads.Before(f.loads.Mark) {
		loads := f.loads
		group.Loads = &loads
	}
	return group
}

// serverUpdate returns the server changes of a delta whose request was sent at sentAt.
func (d *Delta) serverUpdate(sentAt time.Time) serverUpdate {
	return serverUpdate{whole: d.Whole, changed: d.Changed, gone: d.Gone, position: d.Place, readAt: sentAt.Add(-d.Age), sum: d.Sum}
}

// Notify makes waiting polls check for changes again, after an update of the replica.
func (f *Feed) Notify() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notifyLocked()
}

// notifyLocked makes waiting polls check for changes again. The caller holds the mutex.
func (f *Feed) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Respond returns what has changed since the request's cursors, and waits for changes if there
// are none.
func (f *Feed) Respond(ctx context.Context, request PollRequest) Delta {
	if !request.Relay {
		f.work.SetFollower(request.Node, request.Own, boottime.Now())
	}
	if request.Feed != f.name {
		request.SuspicionsPlace = 0
	}
	if request.BeganAtZero {
		f.Eras.ObserveBeganAtZero()
	}
	if cursor, _ := f.cursor(); !request.Place.Era.IsKnown() && request.Place.Revision != 0 {
		request.Place.Era = impliedEra(request.eraLeftOut, cursor.Era)
	}
	f.quarantine.Apply(request.Suspicions, request.Node, boottime.Now())
	delta := f.awaitChanges(ctx, request)
	// The record is at least as recent as the list of servers.
	delta.Software = f.softwareFor(request)
	f.addSuspicions(&delta, request, boottime.Now())
	f.addReplica(&delta, request, boottime.Now())
	if f.EntriesMissingUntil != nil {
		delta.EntriesMissingFor = max(0, boottime.Until(f.EntriesMissingUntil()))
	}
	delta.BeganAtZero = f.Eras.BeganAtZero()
	delta.Fleet, delta.Nodes = f.registry.ViewIfChanged(request.Fleet)
	if request.Reader {
		delta.Duties = f.registry.Duties()
	}
	if !request.Relay {
		delta.Others = f.work.Others(request.Node, boottime.Now())
		delta.Kept = f.cache.Changes(request.Kept, false)
	}
	return delta
}

// noExclusion makes a feed send all suspicions, also those that it received from the
// requesting node, since that may have restarted and lost them.
const noExclusion = ""

// addSuspicions adds the suspicions that the requesting node lacks.
func (f *Feed) addSuspicions(delta *Delta, request PollRequest, now time.Time) {
	items, next := f.quarantine.Since(request.SuspicionsPlace, noExclusion, quarantine.All, now)
	if next != request.SuspicionsPlace {
		delta.Suspicions, delta.SuspicionsPlace = items, next
	}
}

// addReplica adds this node's replica of the operators' configuration.
func (f *Feed) addReplica(delta *Delta, request PollRequest, now time.Time) {
	delta.BeliefAge, delta.DisturbedAgo = -1, -1
	replica := f.replica.Load()
	if replica == nil || replica.Snapshot == nil {
		return
	}
	delta.BeliefAge = now.Sub(replica.AsOf)
	if !replica.DisruptedAt.IsZero() {
		delta.DisturbedAgo = now.Sub(replica.DisruptedAt)
	}
	delta.Weights = make(map[string]int64, len(replica.Weights))
	for model, releases := range replica.Weights {
		delta.Weights[model] = releases.Newest()
	}
	if request.lacks(replica.Snapshot) {
		delta.Declaration = replica.Snapshot.Declaration()
	}
}

// awaitChanges returns the changes of the list of servers and of the rollout. It does not
// wait if there are other changes to send.
func (f *Feed) awaitChanges(ctx context.Context, request PollRequest) Delta {
	delta, changed := f.changesSince(request)
	if !delta.hasNoServerOrRolloutChanges() || f.quarantine.Position() != request.SuspicionsPlace || f.hasNewerDeclaration(request) || f.softwareFor(request) != nil {
		return delta
	}
	select {
	case <-changed:
	case <-time.After(request.Wait):
	case <-ctx.Done():
	}
	delta, _ = f.changesSince(request)
	return delta
}

// hasNewerDeclaration reports whether this node has a newer declaration than the requesting
// one.
func (f *Feed) hasNewerDeclaration(request PollRequest) bool {
	replica := f.replica.Load()
	return replica != nil && replica.Snapshot != nil && request.lacks(replica.Snapshot)
}

// lacks reports whether the sender has no declaration, or an older one.
func (q PollRequest) lacks(snapshot *catalog.Snapshot) bool {
	return q.NoDeclaration || snapshot.Version > q.Declaration
}

// hasNoServerOrRolloutChanges reports whether a delta contains neither server nor rollout changes.
func (d *Delta) hasNoServerOrRolloutChanges() bool {
	return !d.Whole && len(d.Changed)+len(d.Gone) == 0 && d.Loads == nil
}

func (f *Feed) changesSince(request PollRequest) (Delta, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	update := f.servers.changesSince(request.Place)
	delta := Delta{
		Feed: f.name, Place: update.position, Age: boottime.Since(update.readAt),
		Whole: update.whole, Changed: update.changed, Gone: update.gone, Sum: update.sum,
	}
	if request.Loads.Before(f.loads.Mark) {
		loads := f.loads
		delta.Loads = &loads
	}
	return delta, f.changed
}
