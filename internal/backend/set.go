// Package backend keeps what a node believes of the servers of opaque services:
// which there are, what weights they hold, this node's own work on them, and
// how they have treated it.
package backend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/retry"
)

const (
	// refusalRest is how long a server that refused is passed over while others
	// have room. It is about the time in which a full queue moves on.
	refusalRest = 100 * time.Millisecond
	// failureHalfLife is the time in which an observed failure loses half of its
	// weight.
	failureHalfLife = 3 * time.Second
	// unlistedLife is how long a server that vanished from the list is still used
	// if no other is there. The list loses entries while its store is down.
	unlistedLife = 15 * time.Second
	// goneLife is how long a server is passed over after another incarnation answered
	// in its place. By then the list does not name it any more; if it does, the answer
	// was wrong.
	goneLife = 10 * time.Second
)

var (
	// unreachedBreaker rests a server at the first connection that does not come up. Most
	// such servers are gone: they start again under another name. The rest is longer than
	// the way of a suspicion through the fleet, three questions, so that all nodes share
	// it while it lasts.
	unreachedBreaker = retry.BreakerConfig{Failures: 1, Rest: 1500 * time.Millisecond, MaximumRest: 4 * time.Second}
	// brokenBreaker rests a server that fails again and again.
	brokenBreaker = retry.BreakerConfig{Failures: 3, Rest: 400 * time.Millisecond, MaximumRest: 4 * time.Second}
)

// Set holds all servers. It is safe for concurrent use.
type Set struct {
	mutex sync.Mutex
	// servers holds the states by incarnation, and lives that of the latest incarnation of
	// each id.
	servers map[string]*state
	lives   map[string]*state
	// rings holds the servers of each service in the order of their keys.
	rings map[string]ring
	byKey map[uint64]*state
	// unlisted holds the servers that have vanished from the list, dealt those that this
	// node has had to do with, and told those at which others have work under way: a node
	// has to do with few of all servers.
	unlisted map[*state]bool
	dealt    map[*state]bool
	told     []*state
	// used holds the servers at which any node had work of late.
	used map[*state]bool
	// leavers holds the incarnations that have said that they leave.
	leavers leavers
	// draw returns a random number from 0 to 1.
	draw func() float64
	// othersUntil is how long what other nodes told of their work counts, and loadingUntil
	// what the holder of the roll-out told of loads.
	othersUntil  time.Time
	loading      []*state
	loadingUntil time.Time
}

type state struct {
	server *Server
	// name is that of its incarnation, and key its ServerKey.
	name string
	key  uint64
	// others is what other nodes have under way.
	others Work
	// listed is false once the server has vanished from the list.
	listed     bool
	unlistedAt time.Time
	// leaves says that the server has said that it leaves, to this node or another one.
	leaves bool
	// load is the move that it is making, or nil.
	load *Load
	// usedAt is when a node was last known to have work there.
	usedAt time.Time
	// dealings is nil until this node has had to do with the server.
	*dealings
}

// dealings is what this node has had to do with one server. It is most of what is known of
// one, and there for few.
type dealings struct {
	// goneUntil is how long the word counts that another incarnation answers in its
	// place.
	goneUntil time.Time
	inFlight  int
	// deferred counts those of them that let others go first and have not started.
	deferred int
	// heardAt is when the server last answered anything, and answeredSent when the latest
	// attempt was sent that it has answered.
	heardAt      time.Time
	answeredSent time.Time
	// unreachedAt is when a connection to it failed last to come up.
	unreachedAt  time.Time
	queuedTokens int
	busyUntil    time.Time
	rest         rest
	// saidLeaving says that the server has told this node that it leaves.
	saidLeaving bool
	breaker     retry.Breaker
	// failures are attempts that failed, and refusals those that the server did not run.
	failures failureShare
	refusals failureShare
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		servers: map[string]*state{}, lives: map[string]*state{}, rings: map[string]ring{}, byKey: map[uint64]*state{},
		unlisted: map[*state]bool{}, dealt: map[*state]bool{}, used: map[*state]bool{},
		draw: rand.Float64,
	}
}

// find returns the incarnation of a name, or the latest one of an id; nil if there is none.
func (set *Set) find(name string) *state {
	if known := set.servers[name]; known != nil {
		return known
	}
	return set.lives[name]
}

// Change is one difference between two lists, for the log.
type Change struct {
	Server Server
	// Gone says that the server has vanished from the list.
	Gone bool
}

// Update takes a whole list of servers, and returns what is new in it.
func (set *Set) Update(list []Server, now time.Time) []Change {
	seen := make(map[string]bool, len(list))
	changed := make([]*Server, len(list))
	for i := range list {
		seen[list[i].Incarnation()] = true
		changed[i] = &list[i]
	}
	set.mutex.Lock()
	var gone []string
	for instance, known := range set.servers {
		if known.listed && !seen[instance] {
			gone = append(gone, instance)
		}
	}
	set.mutex.Unlock()
	return set.Apply(changed, gone, now)
}

// Apply takes servers that are new or have changed, and the instances of those that have
// vanished from the list. It returns what is new, and keeps the servers, which must not be
// changed any more.
func (set *Set) Apply(changed []*Server, gone []string, now time.Time) []Change {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var changes []Change
	var joined []*state
	for _, server := range changed {
		name := server.Incarnation()
		known, found := set.servers[name]
		if before := set.lives[server.Instance]; !found && before != nil {
			if server.Born < before.server.Born {
				// A word of a life that is over, which came late.
				continue
			}
			changes = append(changes, set.unlist(before, now)...)
			set.deal(before).goneUntil = now.Add(unlistedLife + goneLife)
		}
		if !found {
			key := ServerKey(name)
			known = &state{name: name, key: key, leaves: set.leavers.has(key)}
			set.servers[name], set.lives[server.Instance] = known, known
			set.byKey[known.key] = known
			joined = append(joined, known)
		}
		if !found || known.server.Draining != server.Draining {
			changes = append(changes, Change{Server: *server})
		}
		known.take(server)
		delete(set.unlisted, known)
	}
	set.join(joined)
	for _, instance := range gone {
		if known := set.find(instance); known != nil {
			changes = append(changes, set.unlist(known, now)...)
		}
	}
	set.forget(now)
	return changes
}

// Begun takes that another incarnation of a server began, as its own answer shows, with the
// weights that it has. The list will name it later.
func (set *Set) Begun(former Server, born int64, versions map[string]int64, now time.Time) []Change {
	next := former
	next.Born, next.Versions, next.Draining = born, versions, false
	return set.Apply([]*Server{&next}, nil, now)
}

// unlist notes that a server has vanished from the list, and returns that if it is new.
func (set *Set) unlist(known *state, now time.Time) []Change {
	if !known.listed {
		return nil
	}
	known.listed, known.unlistedAt = false, now
	set.unlisted[known] = true
	return []Change{{Server: *known.server, Gone: true}}
}

// forget drops the servers that vanished long ago and have nothing under way.
func (set *Set) forget(now time.Time) {
	var left []*state
	for known := range set.unlisted {
		if now.Sub(known.unlistedAt) > unlistedLife && known.underWay() == 0 {
			left = append(left, known)
		}
	}
	for _, known := range left {
		delete(set.unlisted, known)
		delete(set.dealt, known)
		delete(set.used, known)
		delete(set.servers, known.name)
		if set.lives[known.server.Instance] == known {
			delete(set.lives, known.server.Instance)
		}
		delete(set.byKey, known.key)
	}
	set.part(left)
}

// underWay counts this node's attempts at the server.
func (state *state) underWay() int {
	if state.dealings == nil {
		return 0
	}
	return state.inFlight
}

// take follows the server's word of itself. The list lags behind what answers
// have shown, and the weights of one incarnation only grow newer.
func (state *state) take(server *Server) {
	before := state.server
	state.server, state.listed = server, true
	if before == nil {
		return
	}
	for model, version := range before.Versions {
		state.learn(model, version)
	}
}

// learn takes a version of a model's weights that the server has, unless it is known to
// have a newer one. What it refused until then it may have refused since it was loading them.
func (state *state) learn(model string, version int64) {
	if state.server.Versions[model] >= version {
		return
	}
	if state.dealings != nil {
		state.refusals = failureShare{}
	}
	server := state.server.clone()
	server.Versions[model] = version
	state.server = &server
}

// deal returns what this node has had to do with a server, for a change.
func (set *Set) deal(known *state) *dealings {
	if known.dealings == nil {
		known.dealings = &dealings{}
		set.dealt[known] = true
	}
	return known.dealings
}

// none is what this node has had to do with servers that it never met. It is not changed.
var none dealings

// dealt returns what this node has had to do with the server, to be read only.
func (state *state) dealt() *dealings {
	if state.dealings == nil {
		return &none
	}
	return state.dealings
}

// Servers returns the listed servers that are not known to be gone.
func (set *Set) Servers(now time.Time) []Server {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	servers := make([]Server, 0, len(set.servers))
	for _, known := range set.servers {
		if known.listed && !now.Before(known.dealt().goneUntil) {
			server := *known.server
			server.Draining = known.leaving()
			servers = append(servers, server)
		}
	}
	return servers
}

// Stays reports whether a server is listed and has not said that it leaves.
func (set *Set) Stays(instance string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.find(instance)
	return known != nil && known.listed && !known.leaving()
}

// Listed reports whether a server, named by its ServerKey, stands in the list.
func (set *Set) Listed(server uint64) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.byKey[server]
	return known != nil && known.listed
}

// Ended reports whether there is a sign that a server has ended since a time: no connection to
// it came up, another incarnation answered in its place, or it vanished from the list.
func (set *Set) Ended(server uint64, since time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.byKey[server]
	if known == nil || !known.listed {
		return true
	}
	dealings := known.dealt()
	return !dealings.goneUntil.IsZero() || dealings.unreachedAt.After(since)
}

// Gone notes that another incarnation answered in a server's place. The list goes on
// to name it until its entry lapses.
func (set *Set) Gone(instance string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if known := set.find(instance); known != nil {
		set.deal(known).goneUntil = now.Add(goneLife)
	}
}

// Learn notes the weights that a server's own answer showed.
func (set *Set) Learn(instance string, versions map[string]int64) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for model, version := range versions {
		set.learn(instance, model, version)
	}
}

func (set *Set) learn(instance, model string, version int64) {
	if known := set.find(instance); known != nil {
		known.learn(model, version)
	}
}
