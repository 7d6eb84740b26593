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

// Delta is what the asker lacks of what a node knows.
type Delta struct {
	// Feed names the process of the node that tells. Place is from where to read on in the
	// list of servers, with whichever node. A place without an era is that of a former build.
	Feed  string
	Place coordination.Position
	// Whole says that Changed is the whole list.
	Whole   bool
	Changed []backend.Server
	Gone    []string
	// Sum is that of all servers at the place, or 0 if the teller does not reach it.
	Sum uint64
	// Loads is how far the roll-out of weights is; nil says that the asker knows it.
	Loads *backend.Loads
	// Age is how old that node's list of servers is, and BeliefAge how long ago the
	// call was sent that proved its declaration and weights current. It is negative
	// if there was none.
	Age       time.Duration
	BeliefAge time.Duration
	// DisturbedAgo is how long ago the store last counted as unsound; negative if
	// none did.
	DisturbedAgo time.Duration
	// Declaration is nil if it is not newer than the follower's. Weights holds the
	// newest named version of each model.
	Declaration *catalog.Declaration
	Weights     map[string]int64
	// Fleet is what the asker needs to know of the fleet, or nil if it does. Nodes is how
	// many there are, or 0 if that is not known.
	Fleet *fleet.View
	Nodes int
	// Duties holds the entries of the duties, for other readers.
	Duties []coordination.Entry
	// Others is what all nodes but the follower have under way and use.
	Others workshare.Report
	// Kept is the news of cached parts, or nil if there is none.
	Kept []byte
	// Suspicions is what requests have done to servers, as far as the follower lacks it, and
	// SuspicionsPlace from where to read on. The place is 0 if there is nothing new.
	Suspicions      []quarantine.Item
	SuspicionsPlace int64
}

// Question asks a node for what has changed since a place in the list of servers.
type Question struct {
	// Feed is that of the last answer.
	Feed  string
	Place coordination.Position
	Wait  time.Duration
	// Loads is how far the asker knows the roll-out of weights.
	Loads backend.LoadsMark
	// Node names who asks.
	Node string
	// Declaration is the version that the follower has, and Fleet the digest of its
	// fleet.
	Declaration int64
	Fleet       uint64
	// Relay says that the asker is a relay: it is told neither of work nor of cached
	// parts, which relays ask each other for.
	Relay bool
	// Reader says that the asker is a reader: it may take duties over.
	Reader bool
	// Own is what the follower has under way and uses.
	Own workshare.Report
	// Kept is up to where the follower has heard the other's news of cached parts.
	Kept residency.Place
	// Suspicions is what the follower found out of requests and has not told yet, and
	// SuspicionsPlace up to where it has heard the feed's.
	Suspicions      []quarantine.Item
	SuspicionsPlace int64
}

// Feed passes what a node knows on to nodes that do not read the store. What a
// server writes anew without a change is not passed on, which is nearly all.
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

// NewFeed returns an empty feed with a name that no other has.
func NewFeed(name string, belief *catalog.Holder, registry *fleet.Registry, work *workshare.Board, kept *residency.Ledger, requests *quarantine.Ledger) *Feed {
	f := &Feed{
		name: name, belief: belief, registry: registry, work: work, kept: kept, requests: requests,
		changed: make(chan struct{}), servers: newDirectory(),
	}
	requests.Changed = f.Wake
	return f
}

// take takes a listing of servers, and returns what it changes.
func (f *Feed) take(l listing) (changed []*backend.Server, gone []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed, gone = f.servers.take(l)
	if len(changed)+len(gone) > 0 {
		f.wake()
	}
	return changed, gone
}

// place is from where this node is to be told of servers, and readAt when its list was
// certainly not in the past.
func (f *Feed) place() (place coordination.Position, readAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers.place(), f.servers.readAt
}

// Servers returns how many servers this node knows, and how old its list is; the age is
// negative if it has none.
func (f *Feed) Servers(now time.Time) (servers int, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.servers.readAt.IsZero() {
		return 0, -1
	}
	return len(f.servers.servers), now.Sub(f.servers.readAt)
}

// TakeLoads takes how far the roll-out of weights is, and reports whether that is newer
// than what was known.
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

// LoadsMark says how far the roll-out of weights is known.
func (f *Feed) LoadsMark() backend.LoadsMark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.loads.Mark
}

// Group returns what another relay asks for.
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

// listing is what a delta tells of servers, by an answer to a question sent at a time.
func (d *Delta) listing(sentAt time.Time) listing {
	return listing{whole: d.Whole, changed: d.Changed, gone: d.Gone, at: d.Place, readAt: sentAt.Add(-d.Age), sum: d.Sum}
}

// Wake lets waiting questions look again, after a change of the belief.
func (f *Feed) Wake() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wake()
}

// wake lets waiting questions look again.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Answer returns what has changed since the question's place, and waits for it if
// nothing has.
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

// everybody is who may hear all that a feed knows: also a follower hears what it told, since
// it may have started anew.
const everybody = ""

// addSuspicions adds what requests have done to servers.
func (f *Feed) addSuspicions(delta *Delta, question Question, now time.Time) {
	items, next := f.requests.Since(question.SuspicionsPlace, everybody, quarantine.All, now)
	if next != question.SuspicionsPlace {
		delta.Suspicions, delta.SuspicionsPlace = items, next
	}
}

// addBelief adds what this node believes.
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

// await returns what has changed in the list of servers and in the roll-out, at once if
// there is other news.
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

// declares reports whether this node knows a newer declaration than the asker.
func (f *Feed) declares(question Question) bool {
	belief := f.belief.Load()
	return belief != nil && belief.Snapshot != nil && belief.Snapshot.Version > question.Declaration
}

// bare reports whether a delta tells of no server and no load.
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
