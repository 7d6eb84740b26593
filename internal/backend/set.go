// Package backend tracks the servers of proxied services as seen by one node: which servers
// exist, which model versions they have loaded, how much work this and other nodes run on them,
// and how recent attempts on them have fared.
package backend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/retry"
)

const (
	// refusalBackoff is how long a server that refused a request is skipped while others have
	// capacity: about the time in which a full queue advances.
	refusalRest = 100 * time.Millisecond
	// failureHalfLife is the half-life of an observed failure in the failure rate.
	failureHalfLife = 3 * time.Second
	// unlistedRetention is how long a server that was removed from the list remains usable as a
	// last resort. The list loses entries while the store is down.
	unlistedLife = 15 * time.Second
	// replacedRetention is how long a server is excluded after another incarnation answered at its
	// address. By then its entry has lapsed from the list; if it is still listed, the answer was
	// wrong.
	goneLife = 10 * time.Second
)

var (
	// connectBreaker opens on the first failed connection, since most such servers are gone and
	// restart under another name. The open interval exceeds the time a suspicion needs to reach all
	// nodes, three polls, so that all nodes share it while it lasts.
	unreachedBreaker = retry.BreakerConfig{Failures: 1, Rest: 1500 * time.Millisecond, MaximumRest: 4 * time.Second}
	// responseBreaker opens after repeated failures of requests on established connections.
	brokenBreaker = retry.BreakerConfig{Failures: 3, Rest: 400 * time.Millisecond, MaximumRest: 4 * time.Second}
)

// Set holds all known servers. It is safe for concurrent use.
type Set struct {
	mutex sync.Mutex
	// servers maps incarnation names to entries, and latest maps each instance ID to its latest
	// incarnation.
	servers map[string]*state
	lives   map[string]*state
	// rings holds the servers of each service, ordered by key.
	rings map[string]ring
	byKey map[uint64]*state
	// unlisted holds the servers that have been removed from the list, withLocalState those that
	// this node has contacted, and withPeerWork those on which other nodes report work. The
	// separate indexes avoid scanning all servers, since a node contacts only a few of them.
	unlisted map[*state]bool
	dealt    map[*state]bool
	told     []*state
	// recentlyUsed holds the servers on which any node recently had work.
	used map[*state]bool
	// drainingServers holds the incarnations that have announced that they are shutting down.
	leavers leavers
	// random returns a random number from 0 to 1.
	draw func() float64
	// peerWorkUntil is when the work reported by other nodes expires, and loadingUntil when the
	// loading state reported by the rollout holder expires.
	othersUntil  time.Time
	loading      []*state
	loadingUntil time.Time
}

// entry is the state of one server incarnation in a Set.
type state struct {
	server *Server
	// name is the incarnation name, and key its ServerKey.
	name string
	key  uint64
	// peerWork is the work that other nodes have in flight on the server.
	others Work
	// listed is false once the server has been removed from the list, at unlistedAt.
	listed     bool
	unlistedAt time.Time
	// draining is set once the server has announced to any node that it is shutting down.
	leaves bool
	// load is the model load in progress, or nil.
	load *Load
	// lastUsedAt is when any node was last known to have work on the server.
	usedAt time.Time
	// localState is nil until this node has contacted the server.
	*dealings
}

// localState is what this node has observed of one server first-hand. It makes up most of the
// memory of an entry and is allocated only for the few servers that the node contacts.
type dealings struct {
	// replacedUntil is until when the server is excluded because another incarnation answered at
	// its address.
	goneUntil time.Time
	inFlight  int
	// deferred counts the attempts in flight that yield to all others and have not started.
	deferred int
	// lastResponseAt is when the server last responded to any attempt, and lastAnsweredSentAt the
	// send time of the most recently sent attempt that it answered.
	heardAt      time.Time
	answeredSent time.Time
	// lastConnectFailureAt is when a connection to the server last failed to establish.
	unreachedAt  time.Time
	queuedTokens int
	busyUntil    time.Time
	rest         rest
	// drainingAnnounced reports that the server told this node directly that it is shutting down.
	saidLeaving bool
	breaker     retry.Breaker
	// failures is the rate of attempts that failed, and refusals of those that the server declined
	// to run.
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

// lookup returns the entry of an incarnation name, or the latest incarnation of an instance ID;
// nil if there is none.
func (set *Set) find(name string) *state {
	if known := set.servers[name]; known != nil {
		return known
	}
	return set.lives[name]
}

// Change is one difference between two server lists, for logging.
type Change struct {
	Server Server
	// Gone reports that the server was removed from the list.
	Gone bool
}

// Update replaces the server list and returns the changes.
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

// Apply adds or updates the changed servers, and unlists those named in gone. It returns the
// changes. It retains the servers, which the caller must not modify afterwards.
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
				// A delayed update of a former incarnation.
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

// ObserveRestart records that the server has restarted as a new incarnation, as its own answer
// shows, with the model versions that it reports. The list will include the new incarnation
// later.
func (set *Set) Begun(former Server, born int64, versions map[string]int64, now time.Time) []Change {
	next := former
	next.Born, next.Versions, next.Draining = born, versions, false
	return set.Apply([]*Server{&next}, nil, now)
}

// markUnlisted records that a server was removed from the list. It returns a change unless that
// was known.
func (set *Set) unlist(known *state, now time.Time) []Change {
	if !known.listed {
		return nil
	}
	known.listed, known.unlistedAt = false, now
	set.unlisted[known] = true
	return []Change{{Server: *known.server, Gone: true}}
}

// removeExpired removes servers that have been unlisted for longer than unlistedRetention and
// have no attempts in flight.
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

// attempts returns the number of this node's attempts in flight on the server.
func (state *state) underWay() int {
	if state.dealings == nil {
		return 0
	}
	return state.inFlight
}

// update replaces the description of the server. Model versions that its answers have already
// shown are kept if newer: the list lags behind, and the versions of one incarnation never
// decrease.
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

// observeVersion records a model version that the server has loaded, unless it is known to have
// a newer one. It resets the refusal rate, since earlier refusals may have been due to loading.
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

// ensureLocalState returns the local state of a server for modification, allocating it if
// necessary.
func (set *Set) deal(known *state) *dealings {
	if known.dealings == nil {
		known.dealings = &dealings{}
		set.dealt[known] = true
	}
	return known.dealings
}

// emptyLocalState is the shared read-only state of servers that this node has not contacted. It
// must not be modified.
var none dealings

// local returns the local state for reading only.
func (state *state) dealt() *dealings {
	if state.dealings == nil {
		return &none
	}
	return state.dealings
}

// Servers returns the listed servers, without those that are known to be replaced.
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

// InService reports whether a server is listed and not draining.
func (set *Set) Stays(instance string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.find(instance)
	return known != nil && known.listed && !known.leaving()
}

// Listed reports whether the server with the given ServerKey is in the list.
func (set *Set) Listed(server uint64) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.byKey[server]
	return known != nil && known.listed
}

// Ended reports whether there is evidence that a server has terminated since a given time: a
// connection to it failed to establish, another incarnation answered at its address, or it was
// removed from the list.
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

// Gone records that another incarnation answered at the address of a server. The list still
// includes the server until its entry lapses.
func (set *Set) Gone(instance string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if known := set.find(instance); known != nil {
		set.deal(known).goneUntil = now.Add(goneLife)
	}
}

// ObserveVersions records the model versions that a server's own answer has shown.
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
