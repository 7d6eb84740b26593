package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
)

// Delta is what has changed in a reader's list of servers.
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
	// Age is how old the reader's last reading of the store is.
	Age time.Duration
}

// Question asks a reader for what has changed since a place in its feed.
type Question struct {
	Feed  string
	Place int64
	Wait  time.Duration
}

// goneKept bounds the vanished servers that a feed remembers.
const goneKept = 4096

// Feed passes a list of servers on to nodes that do not read the store. What a
// server writes anew without a change is not passed on, which is nearly all.
type Feed struct {
	name string

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
func NewFeed(name string) *Feed {
	return &Feed{name: name, changed: make(chan struct{}), servers: map[string]placedServer{}, gone: map[string]int64{}}
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

// wake lets waiting questions look again.
func (feed *Feed) wake() {
	close(feed.changed)
	feed.changed = make(chan struct{})
}

// Answer returns what has changed since the question's place, and waits for it if
// nothing has.
func (feed *Feed) Answer(ctx context.Context, question Question) Delta {
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
