// Package backend keeps what a node believes of the servers of opaque services:
// which there are, what weights they hold, this node's own work on them, and
// how they have treated it.
package backend

import (
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Server is one incarnation of a server, as it tells of itself.
type Server struct {
	// Instance names the incarnation; a restart has a new one.
	Instance string
	Service  string
	Address  string
	Zone     string
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// Versions is the loaded version of each model. It is not changed once it is set:
	// a change makes a copy.
	Versions map[string]int64
}

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
	mutex     sync.Mutex
	servers   map[string]*state
	byService map[string][]*state
	byKey     map[uint64]*state
	// othersUntil is how long what other nodes told of their work counts.
	othersUntil time.Time
}

type state struct {
	server Server
	key    uint64
	// others is what other nodes have under way.
	others Work
	// listed is false once the server has vanished from the list.
	listed     bool
	unlistedAt time.Time
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
	// load is the move that it is making, if any.
	load         Load
	loadingUntil time.Time
	breaker      retry.Breaker
	failures     failureShare
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{servers: map[string]*state{}, byService: map[string][]*state{}}
}

// Change is one difference between two lists, for the log.
type Change struct {
	Server Server
	// Gone says that the server has vanished from the list.
	Gone bool
}

// Update takes a whole list of servers, and returns what is new in it.
func (set *Set) Update(list []Server, now time.Time) []Change {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	changes := []Change{}
	seen := make(map[string]bool, len(list))
	for _, server := range list {
		seen[server.Instance] = true
		known, found := set.servers[server.Instance]
		if !found {
			known = &state{key: ServerKey(server.Instance)}
			set.servers[server.Instance] = known
		}
		if !found || known.server.Draining != server.Draining {
			changes = append(changes, Change{Server: server})
		}
		known.take(server.clone())
	}
	for instance, known := range set.servers {
		if seen[instance] {
			continue
		}
		if known.listed {
			known.listed, known.unlistedAt = false, now
			changes = append(changes, Change{Server: known.server, Gone: true})
		}
		if now.Sub(known.unlistedAt) > unlistedLife && known.inFlight == 0 {
			delete(set.servers, instance)
		}
	}
	set.index()
	return changes
}

// take follows the server's word of itself. The list lags behind what answers
// have shown, and the weights of one incarnation only grow newer.
func (state *state) take(server Server) {
	for model, version := range state.server.Versions {
		server.Versions[model] = max(version, server.Versions[model])
	}
	state.server = server
	state.listed = true
}

func (set *Set) index() {
	set.byService = map[string][]*state{}
	set.byKey = make(map[uint64]*state, len(set.servers))
	for _, known := range set.servers {
		set.byKey[known.key] = known
		set.byService[known.server.Service] = append(set.byService[known.server.Service], known)
	}
}

// Servers returns the listed servers that are not known to be gone.
func (set *Set) Servers(now time.Time) []Server {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	servers := make([]Server, 0, len(set.servers))
	for _, known := range set.servers {
		if known.listed && !now.Before(known.goneUntil) {
			servers = append(servers, known.server)
		}
	}
	return servers
}

// Stays reports whether a server is listed and has not said that it leaves.
func (set *Set) Stays(instance string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.servers[instance]
	return known != nil && known.listed && !known.server.Draining
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
	return known == nil || !known.listed || !known.goneUntil.IsZero() || known.unreachedAt.After(since)
}

// Equal reports whether two descriptions say the same.
func (server Server) Equal(other Server) bool {
	same := maps.Equal(server.Versions, other.Versions)
	server.Versions, other.Versions = nil, nil
	return same && reflect.DeepEqual(server, other)
}

func (server Server) clone() Server {
	versions := make(map[string]int64, len(server.Versions))
	maps.Copy(versions, server.Versions)
	server.Versions = versions
	return server
}

// Gone notes that another incarnation answered in a server's place. The list goes on
// to name it until its entry lapses.
func (set *Set) Gone(instance string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if known, found := set.servers[instance]; found {
		known.goneUntil = now.Add(goneLife)
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
	known, found := set.servers[instance]
	if !found || known.server.Versions[model] >= version {
		return
	}
	known.server = known.server.clone()
	known.server.Versions[model] = version
}

// Distance returns how far a server's zone is from here, 0 being the same zone.
type Distance func(zone string) int

// Query says which servers a request may go to.
type Query struct {
	Service string
	// Model is empty for plain services; MinimumVersion is the oldest version of
	// its weights that may still serve.
	Model          string
	MinimumVersion int64
	Distance       Distance
}

// Candidates appends the servers of a service as routing sees them.
func (set *Set) Candidates(candidates []routing.Candidate, query Query, now time.Time) []routing.Candidate {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	anyListed := false
	candidates = slices.Grow(candidates, len(set.byService[query.Service]))
	for _, known := range set.byService[query.Service] {
		anyListed = anyListed || (known.listed && !known.server.Draining)
	}
	for _, known := range set.byService[query.Service] {
		if now.Before(known.goneUntil) || (!known.listed && (anyListed || known.server.Draining)) {
			continue
		}
		candidates = append(candidates, known.candidate(query, set.othersAt(known, now), now))
	}
	return candidates
}

// running counts the attempts that others have to wait for.
func (state *state) running() int { return state.inFlight - state.deferred }

func (state *state) candidate(query Query, others Work, now time.Time) routing.Candidate {
	version := state.server.Versions[query.Model]
	return routing.Candidate{
		Endpoint:     state.server.Instance,
		Address:      state.server.Address,
		Zone:         state.server.Zone,
		Pool:         state.server.Service,
		Epoch:        state.server.Instance,
		Version:      version,
		Ready:        query.Model == "" || (version > 0 && version >= query.MinimumVersion && !state.loads(query.Model, now)),
		Leaving:      state.server.Draining,
		Loading:      state.loads(query.Model, now),
		Resting:      !state.breaker.Allows(now) || others.Suspects >= enoughSuspects,
		Busy:         now.Before(state.busyUntil),
		InFlight:     state.inFlight,
		Running:      state.running() + others.Running,
		Slots:        state.server.Slots,
		QueuedTokens: state.queuedTokens + others.QueuedTokens,
		Distance:     query.Distance(state.server.Zone),
		FailureShare: state.failures.at(now),
	}
}
