package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// Delta is what a follower lacks of what a reader knows.
type Delta struct {
	// Feed names the reader's process; Place is from where to read on.
	Feed  string
	Place int64
	// Whole says that Changed is the whole list.
	Whole   bool
	Changed []backend.Server
	Gone    []string
	// Loads is how far the roll-out of weights is; nil says that it is as before.
	Loads *backend.Loads
	// Age is how old the reader's list of servers is, and BeliefAge how long ago the
	// call was sent that proved its declaration and weights current. It is negative
	// if there was none.
	Age       time.Duration
	BeliefAge time.Duration
	// DisturbedAgo is how long ago a reading of the reader failed last; negative if
	// none did.
	DisturbedAgo time.Duration
	// Declaration is nil if it is not newer than the follower's. Weights holds the
	// newest named version of each model.
	Declaration *catalog.Declaration
	Weights     map[string]int64
	// Fleet is nil if the follower has it.
	Fleet []coordination.Entry
	// Work is what all nodes but the follower have under way at servers.
	Work []backend.Work
}

// Question asks a reader for what has changed since a place in its feed.
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
	// Work is what the follower has under way at servers.
	Work []backend.Work
}

// goneKept bounds the vanished servers that a feed remembers.
const goneKept = 4096

// Feed passes what a reader knows on to nodes that do not read the store. What a
// server writes anew without a change is not passed on, which is nearly all.
type Feed struct {
	name     string
	belief   *catalog.Holder
	registry *fleet.Registry
	work     *workshare.Board

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
func NewFeed(name string, belief *catalog.Holder, registry *fleet.Registry, work *workshare.Board) *Feed {
	return &Feed{name: name, belief: belief, registry: registry, work: work, changed: make(chan struct{}), servers: map[string]placedServer{}, gone: map[string]int64{}}
}

// Take takes a whole list as it was read at a time.
func (feed *Feed) Take(list []backend.Server, readAt time.Time) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	before := feed.place
	feed.readAt = readAt
	present := make(map[string]bool, len(list))
	for _, server := range list {
		present[server.Instance] = true
		known, found := feed.servers[server.Instance]
		if found && known.server.Equal(server) {
			continue
		}
		feed.place++
		feed.servers[server.Instance] = placedServer{server: server, place: feed.place}
		delete(feed.gone, server.Instance)
	}
	for instance := range feed.servers {
		if !present[instance] {
			feed.place++
			delete(feed.servers, instance)
			feed.gone[instance] = feed.place
		}
	}
	if len(feed.gone) > goneKept {
		feed.gone = map[string]int64{}
		feed.oldest = feed.place
	}
	if feed.place != before {
		feed.wake()
	}
}

// TakeLoads takes how far the roll-out of weights is.
func (feed *Feed) TakeLoads(loads backend.Loads) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.place++
	feed.loads, feed.loadsPlace = loads, feed.place
	feed.wake()
}

// Wake lets waiting questions look again, after a change of the belief.
func (feed *Feed) Wake() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.wake()
}

// wake lets waiting questions look again.
func (feed *Feed) wake() {
	close(feed.changed)
	feed.changed = make(chan struct{})
}

// Answer returns what has changed since the question's place, and waits for it if
// nothing has.
func (feed *Feed) Answer(ctx context.Context, question Question) Delta {
	feed.work.TakeFollower(question.Node, question.Work, time.Now())
	delta := feed.await(ctx, question)
	feed.addBelief(&delta, question, time.Now())
	delta.Fleet = feed.registry.NewerThan(question.Fleet)
	delta.Work = feed.work.Others(question.Node, time.Now())
	return delta
}

// addBelief adds what the reader believes.
func (feed *Feed) addBelief(delta *Delta, question Question, now time.Time) {
	delta.BeliefAge, delta.DisturbedAgo = -1, -1
	belief := feed.belief.Load()
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

// await returns what has changed in the list of servers.
func (feed *Feed) await(ctx context.Context, question Question) Delta {
	delta, changed := feed.since(question)
	if delta.Place != question.Place || delta.Whole {
		return delta
	}
	select {
	case <-changed:
	case <-time.After(question.Wait):
	case <-ctx.Done():
	}
	delta, _ = feed.since(question)
	return delta
}

func (feed *Feed) since(question Question) (Delta, <-chan struct{}) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	delta := Delta{Feed: feed.name, Place: feed.place, Age: time.Since(feed.readAt)}
	delta.Whole = question.Feed != feed.name || question.Place < feed.oldest
	if !delta.Whole && question.Place == feed.place {
		return delta, feed.changed
	}
	for _, known := range feed.servers {
		if delta.Whole || known.place > question.Place {
			delta.Changed = append(delta.Changed, known.server)
		}
	}
	if delta.Whole || feed.loadsPlace > question.Place {
		loads := feed.loads
		delta.Loads = &loads
	}
	for instance, place := range feed.gone {
		if !delta.Whole && place > question.Place {
			delta.Gone = append(delta.Gone, instance)
		}
	}
	return delta, feed.changed
}

// Copy is a follower's copy of a reader's list.
type Copy struct {
	feed    string
	place   int64
	servers map[string]backend.Server
}

// Question asks for what the copy lacks.
func (follower *Copy) Question(wait time.Duration) Question {
	return Question{Feed: follower.feed, Place: follower.place, Wait: wait}
}

// Apply takes a delta and returns the whole list.
func (follower *Copy) Apply(delta Delta) []backend.Server {
	if delta.Whole || follower.servers == nil {
		follower.servers = map[string]backend.Server{}
	}
	follower.feed, follower.place = delta.Feed, delta.Place
	for _, server := range delta.Changed {
		follower.servers[server.Instance] = server
	}
	for _, instance := range delta.Gone {
		delete(follower.servers, instance)
	}
	list := make([]backend.Server, 0, len(follower.servers))
	for _, server := range follower.servers {
		list = append(list, server)
	}
	return list
}
