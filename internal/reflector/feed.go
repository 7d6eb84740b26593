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
	// Feed names the process of the node that tells; Place is from where to read on.
	Feed  string
	Place int64
	// Whole says that Changed is the whole list.
	Whole   bool
	Changed []backend.Server
	Gone    []string
	// Loads is how far the roll-out of weights is; nil says that it is as before.
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
	// Fleet is nil if the follower has it.
	Fleet []coordination.Entry
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

// Question asks a node for what has changed since a place in its feed.
type Question struct {
	Feed  string
	Place int64
	Wait  time.Duration
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

// goneKept bounds the vanished servers that a feed remembers.
const goneKept = 4096

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
	place   int64
	// oldest is the place before which vanished servers are forgotten.
	oldest  int64
	readAt  time.Time
	servers map[string]placedServer
	gone    map[string]int64
	// loads was set at loadsPlace.
	loads      backend.Loads
	loadsPlace int64
}

type placedServer struct {
	server backend.Server
	place  int64
}

// NewFeed returns an empty feed with a name that no other has.
func NewFeed(name string, belief *catalog.Holder, registry *fleet.Registry, work *workshare.Board, kept *residency.Ledger, requests *quarantine.Ledger) *Feed {
	f := &Feed{
		name: name, belief: belief, registry: registry, work: work, kept: kept, requests: requests,
		changed: make(chan struct{}), servers: map[string]placedServer{}, gone: map[string]int64{},
	}
	requests.Changed = f.Wake
	return f
}

// Take takes a whole list as it was read at a time.
func (f *Feed) Take(list []backend.Server, readAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.place
	f.readAt = readAt
	present := make(map[string]bool, len(list))
	for _, server := range list {
		present[server.Instance] = true
		known, found := f.servers[server.Instance]
		if found && known.server.Equal(server) {
			continue
		}
		f.place++
		f.servers[server.Instance] = placedServer{server: server, place: f.place}
		delete(f.gone, server.Instance)
	}
	for instance := range f.servers {
		if !present[instance] {
			f.place++
			delete(f.servers, instance)
			f.gone[instance] = f.place
		}
	}
	if len(f.gone) > goneKept {
		f.gone = map[string]int64{}
		f.oldest = f.place
	}
	if f.place != before {
		f.wake()
	}
}

// Confirm notes that the list was found unchanged by a reading at a time.
func (f *Feed) Confirm(readAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if readAt.After(f.readAt) {
		f.readAt = readAt
	}
}

// TakeLoads takes how far the roll-out of weights is, and reports whether that is newer
// than what was known.
func (f *Feed) TakeLoads(loads backend.Loads) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.loads.Mark.Before(loads.Mark) {
		return false
	}
	f.place++
	f.loads, f.loadsPlace = loads, f.place
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
	f.requests.Take(question.Suspicions, question.Node, boottime.Now())
	delta := f.await(ctx, question)
	f.addSuspicions(&delta, question, boottime.Now())
	f.addBelief(&delta, question, boottime.Now())
	delta.Fleet = f.registry.NewerThan(question.Fleet)
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

// await returns what has changed in the list of servers, at once if there is other news.
func (f *Feed) await(ctx context.Context, question Question) Delta {
	delta, changed := f.since(question)
	if delta.Place != question.Place || delta.Whole || f.requests.Place() != question.SuspicionsPlace {
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

func (f *Feed) since(question Question) (Delta, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delta := Delta{Feed: f.name, Place: f.place, Age: boottime.Since(f.readAt)}
	delta.Whole = question.Feed != f.name || question.Place < f.oldest
	if !delta.Whole && question.Place == f.place {
		return delta, f.changed
	}
	for _, known := range f.servers {
		if delta.Whole || known.place > question.Place {
			delta.Changed = append(delta.Changed, known.server)
		}
	}
	if delta.Whole && f.loadsPlace > 0 || f.loadsPlace > question.Place {
		loads := f.loads
		delta.Loads = &loads
	}
	for instance, place := range f.gone {
		if !delta.Whole && place > question.Place {
			delta.Gone = append(delta.Gone, instance)
		}
	}
	return delta, f.changed
}

// Copy is a follower's copy of the list of servers.
type Copy struct {
	feed    string
	place   int64
	servers map[string]backend.Server
	// asOf is when the list was read that was returned last.
	asOf time.Time
	// pending says that the copy holds what was not returned yet.
	pending bool
}

// Question asks for what the copy lacks.
func (c *Copy) Question(wait time.Duration) Question {
	return Question{Feed: c.feed, Place: c.place, Wait: wait}
}

// Apply takes a delta of a list that was read at a time, and returns the whole list if
// that has changed. The delta's place may be later without that: not every change is
// one of servers. A list of another feed that is older than the one returned last
// waits until it has caught up: servers that have left would be back in it.
func (c *Copy) Apply(delta Delta, readAt time.Time) (list []backend.Server, changed bool) {
	same := c.feed == delta.Feed && !c.pending
	if delta.Whole || c.servers == nil {
		c.servers = map[string]backend.Server{}
	}
	c.feed, c.place = delta.Feed, delta.Place
	c.pending = c.pending || delta.Whole || len(delta.Changed)+len(delta.Gone) > 0
	for _, server := range delta.Changed {
		c.servers[server.Instance] = server
	}
	for _, instance := range delta.Gone {
		delete(c.servers, instance)
	}
	if !same && readAt.Before(c.asOf) {
		return nil, false
	}
	if readAt.After(c.asOf) {
		c.asOf = readAt
	}
	if !c.pending {
		return nil, false
	}
	c.pending = false
	list = make([]backend.Server, 0, len(c.servers))
	for _, server := range c.servers {
		list = append(list, server)
	}
	return list, true
}
