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
	// the list of servers, at any node. A place without an era comes from a build without
	// eras.
	Feed  string
	Place coordination.Position
	// Whole reports that Changed is the full list.
	Whole   bool
	Changed []backend.Server
	Gone    []string
	// Sum is the checksum of all servers at Place, or 0 if the responding node is behind it.
	Sum uint64
	// Loads is the state of the weight roll-out, or nil if it is not newer than the
	// requesting node's.
	Loads *backend.Loads
	// Age is the age of the responding node's list of servers. BeliefAge is the time since
	// the call was sent that showed its declaration and weights to be current, and negative
	// if there was none.
	Age       time.Duration
	BeliefAge time.Duration
	// DisturbedAgo is the time since the store was last disrupted, and negative if it never
	// was.
	DisturbedAgo time.Duration
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
	// Kept holds cache updates, or nil if there are none.
	Kept []byte
	// Suspicions holds the suspicions that the requesting node lacks, and SuspicionsPlace the
	// cursor from which to continue, or 0 if there is nothing new.
	Suspicions      []quarantine.Item
	SuspicionsPlace int64
}

// PollRequest requests what has changed at a node since the cursors that it carries.
type Question struct {
	// Feed is that of the last response.
	Feed  string
	Place coordination.Position
	Wait  time.Duration
	// Loads is the state of the weight roll-out that the sender has.
	Loads backend.LoadsMark
	// Node is the sender's name.
	Node string
	// Declaration is the version of the sender's declaration, and Fleet the digest of its
	// view of the fleet.
	Declaration int64
	Fleet       uint64
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
}

// Feed serves a node's state to nodes that do not read the store. Rewrites of a server's
// entry without a change are not propagated; nearly all writes are of that kind.
type Feed struct {
	name     string
	belief   *catalog.Holder
	registry *fleet.Registry
	work     *workshare.Board
	kept     *residency.Ledger
	requests *quarantine.Ledger

	mutex   sync.Mutex
	changed chan struct{}
	servers *directory
	loads   backend.Loads
}

// NewFeed returns an empty feed. The name must be unique to this process.
func NewFeed(name string, belief *catalog.Holder, registry *fleet.Registry, work *workshare.Board, kept *residency.Ledger, requests *quarantine.Ledger) *Feed {
	f := &Feed{
		name: name, belief: belief, registry: registry, work: work, kept: kept, requests: requests,
		changed: make(chan struct{}), servers: newDirectory(),
	}
	requests.Changed = f.Wake
	return f
}

// apply applies an update of the list of servers, and returns the servers that it changes and
// removes.
func (f *Feed) take(l listing) (changed []*backend.Server, gone []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed, gone = f.servers.take(l)
	if len(changed)+len(gone) > 0 {
		f.wake()
	}
	return changed, gone
}

// cursor returns the position from which this node needs server changes, and readAt a time at
// which its list was still current.
func (f *Feed) place() (place coordination.Position, readAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers.place(), f.servers.readAt
}

// ServerStats returns the number of servers that this node knows and the age of its list,
// which is negative if there is none.
func (f *Feed) Servers(now time.Time) (servers int, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.servers.readAt.IsZero() {
		return 0, -1
	}
	return len(f.servers.servers), now.Sub(f.servers.readAt)
}

// ApplyLoads applies the state of the weight roll-out, and reports whether it is newer than
// the known one.
func (f *Feed) TakeLoads(loads backend.Loads) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.loads.Mark.Before(loads.Mark) {
		return false
	}
	f.loads = loads
	f.wake()
	return true
}

// LoadsMark identifies the known state of the weight roll-out.
func (f *Feed) LoadsMark() backend.LoadsMark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.loads.Mark
}

// Group returns the response to another relay's request.
func (f *Feed) Group(question GroupQuestion, now time.Time) Group {
	group := Group{Report: f.work.Group(now), Kept: f.kept.News(question.Kept, true)}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if question.Loads.Before(f.loads.Mark) {
		loads := f.loads
		group.Loads = &loads
	}
	return group
}

// serverUpdate returns the server changes of a delta whose request was sent at sentAt.
func (d *Delta) listing(sentAt time.Time) listing {
	return listing{whole: d.Whole, changed: d.Changed, gone: d.Gone, at: d.Place, readAt: sentAt.Add(-d.Age), sum: d.Sum}
}

// Notify makes waiting polls check for changes again, after an update of the replica.
func (f *Feed) Wake() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wake()
}

// notifyLocked makes waiting polls check for changes again. The caller holds the mutex.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Respond returns what has changed since the request's cursors, and waits for changes if there
// are none.
func (f *Feed) Answer(ctx context.Context, question Question) Delta {
	if !question.Relay {
		f.work.TakeFollower(question.Node, question.Own, boottime.Now())
	}
	if question.Feed != f.name {
		question.SuspicionsPlace = 0
	}
	if place, _ := f.place(); question.Place.Era == 0 && question.Place.Revision != 0 {
		question.Place.Era = place.Era
	}
	f.requests.Take(question.Suspicions, question.Node, boottime.Now())
	delta := f.await(ctx, question)
	f.addSuspicions(&delta, question, boottime.Now())
	f.addBelief(&delta, question, boottime.Now())
	delta.Fleet, delta.Nodes = f.registry.NewerThan(question.Fleet)
	if question.Reader {
		delta.Duties = f.registry.Duties()
	}
	if !question.Relay {
		delta.Others = f.work.Others(question.Node, boottime.Now())
		delta.Kept = f.kept.News(question.Kept, false)
	}
	return delta
}

// noExclusion makes a feed send all suspicions, also those that it received from the
// requesting node, since that may have restarted and lost them.
const everybody = ""

// addSuspicions adds the suspicions that the requesting node lacks.
func (f *Feed) addSuspicions(delta *Delta, question Question, now time.Time) {
	items, next := f.requests.Since(question.SuspicionsPlace, everybody, quarantine.All, now)
	if next != question.SuspicionsPlace {
		delta.Suspicions, delta.SuspicionsPlace = items, next
	}
}

// addReplica adds this node's replica of the operators' configuration.
func (f *Feed) addBelief(delta *Delta, question Question, now time.Time) {
	delta.BeliefAge, delta.DisturbedAgo = -1, -1
	belief := f.belief.Load()
	if belief == nil || belief.Snapshot == nil {
		return
	}
	delta.BeliefAge = now.Sub(belief.AsOf)
	if !belief.Disturbed.IsZero() {
		delta.DisturbedAgo = now.Sub(belief.Disturbed)
	}
	delta.Weights = make(map[string]int64, len(belief.Weights))
	for model, namings := range belief.Weights {
		delta.Weights[model] = namings.Newest()
	}
	if belief.Snapshot.Version > question.Declaration {
		delta.Declaration = belief.Snapshot.Declaration()
	}
}

// awaitChanges returns the changes of the list of servers and of the roll-out. It does not
// wait if there are other changes to send.
func (f *Feed) await(ctx context.Context, question Question) Delta {
	delta, changed := f.since(question)
	if !delta.bare() || f.requests.Place() != question.SuspicionsPlace || f.declares(question) {
		return delta
	}
	select {
	case <-changed:
	case <-time.After(question.Wait):
	case <-ctx.Done():
	}
	delta, _ = f.since(question)
	return delta
}

// hasNewerDeclaration reports whether this node has a newer declaration than the requesting
// one.
func (f *Feed) declares(question Question) bool {
	belief := f.belief.Load()
	return belief != nil && belief.Snapshot != nil && belief.Snapshot.Version > question.Declaration
}

// hasNoServerChanges reports whether a delta contains neither server nor roll-out changes.
func (d *Delta) bare() bool { return !d.Whole && len(d.Changed)+len(d.Gone) == 0 && d.Loads == nil }

func (f *Feed) since(question Question) (Delta, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	l := f.servers.since(question.Place)
	delta := Delta{
		Feed: f.name, Place: l.at, Age: boottime.Since(l.readAt),
		Whole: l.whole, Changed: l.changed, Gone: l.gone, Sum: l.sum,
	}
	if question.Loads.Before(f.loads.Mark) {
		loads := f.loads
		delta.Loads = &loads
	}
	return delta, f.changed
}
