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
	refusalBackoff = 100 * time.Millisecond
	// failureHalfLife is the half-life of an observed failure in the failure rate.
	failureHalfLife = 3 * time.Second
	// unlistedRetention is how long a server that was removed from the list remains usable as a
	// last resort. The list loses entries while the store is down.
	unlistedRetention = 15 * time.Second
	// replacedRetention is how long a server is excluded after another incarnation answered at its
	// address. By then its entry has expired; if it is still listed, the answer may have been wrong and the
	// server becomes eligible again. Each further such answer doubles it, up to maxReplacedRetention: an entry
	// of another writer may name the address of another server for as long as it likes.
	replacedRetention    = 10 * time.Second
	maxReplacedRetention = time.Hour
)

var (
	// connectBreaker opens on the first failed connection, since most such servers are gone and
	// restart under another name. The open interval exceeds the time a suspicion needs to reach all
	// nodes, three polls, so that all nodes share it while it lasts.
	connectBreaker = retry.BreakerConfig{Failures: 1, OpenDuration: 1500 * time.Millisecond, MaxOpenDuration: 4 * time.Second}
	// responseBreaker opens after repeated failures of requests on established connections.
	responseBreaker = retry.BreakerConfig{Failures: 3, OpenDuration: 400 * time.Millisecond, MaxOpenDuration: 4 * time.Second}
)

// Set holds all known servers. It is safe for concurrent use.
type Set struct {
	mutex sync.Mutex
	// servers maps incarnation names to entries, and latest maps each instance ID to its latest
	// incarnation.
	servers map[string]*entry
	latest  map[string]*entry
	// rings holds the servers of each service, ordered by key.
	rings map[string]ring
	byKey map[uint64]*entry
	// unlisted holds the servers that have been removed from the list, withLocalState those that
	// this node has contacted, and withPeerWork those on which other nodes report work. The
	// separate indexes avoid scanning all servers, since a node contacts only a few of them.
	unlisted       map[*entry]bool
	withLocalState map[*entry]bool
	withPeerWork   []*entry
	// recentlyUsed holds the servers on which any node recently had work.
	recentlyUsed map[*entry]bool
	// drainingServers holds the incarnations that have announced that they are shutting down.
	drainingServers drainingSet
	// brokenPaths, suspectedPaths and probedPaths hold the servers whose paths are broken, to be probed, or being
	// probed since that was requested, and connectedAt is when the last connection that brought a response was begun.
	brokenPaths    map[*entry]bool
	suspectedPaths map[*entry]bool
	probedPaths    map[*entry]bool
	connectedAt    time.Time
	// heardAt is when any server last responded to this node on a connection of its own.
	heardAt time.Time
	// noDetourUntil is until when no other node is available for servers with broken paths.
	noDetourUntil time.Time
	// isolatedSince is when this node became isolated; zero if it is not.
	isolatedSince time.Time
	// random returns a random number from 0 to 1.
	random func() float64
	// vote is nil if this node does not vote.
	vote Vote
	// software is the history of the servers' software versions, and listReadAt a time at which the
	// list of servers was still current.
	software   softwareHistory
	listReadAt time.Time
	// entriesMissingUntil is until when the list may lack servers that live, after a disruption of the store.
	entriesMissingUntil time.Time
	// peerWorkUntil is when the work reported by other nodes expires, and loadingUntil when the
	// loading state reported by the rollout holder expires.
	peerWorkUntil time.Time
	loading       []*entry
	loadingUntil  time.Time
}

// entry is the state of one server incarnation in a Set.
type entry struct {
	server *Server
	// name is the incarnation name, and key its ServerKey.
	name string
	key  uint64
	// peers is what other nodes have reported of the server, or nil. It is allocated only for servers
	// that they use.
	peers *peerState
	// listed is false once the server has been removed from the list, at unlistedAt.
	listed     bool
	unlistedAt time.Time
	// mayReturn is set if the server was removed from the list while entries of live servers could be
	// missing.
	mayReturn bool
	// draining is set once the server has announced to any node that it is shutting down.
	draining bool
	// load is the model load in progress, or nil.
	load *Load
	// lastUsedAt is when any node was last known to have work on the server.
	lastUsedAt time.Time
	// localState is nil until this node has contacted the server.
	*localState
}

// localState is what this node has observed of one server first-hand. It makes up most of the
// memory of an entry and is allocated only for the few servers that the node contacts.
type localState struct {
	// replacedUntil is until when the server is excluded because another incarnation answered at
	// its address or took over its instance ID; zero if neither has happened.
	replacedUntil time.Time
	// replacedFor is how long the server was last excluded because another incarnation answered; zero if it has
	// served a request since.
	replacedFor time.Duration
	inFlight    int
	// deferred counts the attempts in flight that yield to all others and have not started.
	deferred int
	// lastResponseAt is when the server last responded to any attempt, and lastAnsweredSentAt the
	// send time of the most recently sent attempt that it answered.
	lastResponseAt     time.Time
	lastAnsweredSentAt time.Time
	// heardAt is when the server last responded to an attempt on a connection of this node's own.
	heardAt time.Time
	// lastConnectFailureAt is when a connection to the server last failed to establish.
	lastConnectFailureAt time.Time
	queuedTokens         int
	residents            residents
	// lastRefusedAt is when the server last refused an attempt for lack of capacity, and
	// lastAcceptedAt when it last began or completed a response to one.
	lastRefusedAt  time.Time
	lastAcceptedAt time.Time
	refusedUntil   time.Time
	backoff        backoff
	// confirmedAt is when this incarnation certainly still ran: the server gave its start time in answer
	// to a later request, or answered a later attempt on a connection to this incarnation.
	confirmedAt time.Time
	// otherProcessUntil is until when the server counts as replaced by a process that the list lacks: it reported
	// another start time. Zero if it did not.
	otherProcessUntil time.Time
	// drainingAnnounced reports that the server told this node directly that it is shutting down.
	drainingAnnounced bool
	breaker           retry.Breaker
	path              path
	// silentSince is when the first attempt was given up as silent since the last sign of life of the server; zero if
	// there is none. aliveAt is when the server last showed otherwise than by a response to an attempt that it runs,
	// and livenessCheckedAt when its liveness was last checked.
	silentSince       time.Time
	aliveAt           time.Time
	livenessCheckedAt time.Time
	// unansweredSince is when the first attempt was sent since the last response of the server; zero if
	// there is none.
	unansweredSince time.Time
	// failures is the rate of attempts that failed, and refusals of those that the server declined
	// to run.
	failures failureRate
	refusals failureRate
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		servers: map[string]*entry{}, latest: map[string]*entry{}, rings: map[string]ring{}, byKey: map[uint64]*entry{},
		unlisted: map[*entry]bool{}, withLocalState: map[*entry]bool{}, recentlyUsed: map[*entry]bool{},
		brokenPaths: map[*entry]bool{}, suspectedPaths: map[*entry]bool{}, probedPaths: map[*entry]bool{},
		software: newSoftwareHistory(),
		random:   rand.Float64,
	}
}

// lookup returns the entry of an incarnation name, or the latest incarnation of an instance ID;
// nil if there is none.
func (set *Set) lookup(name string) *entry {
	if e := set.servers[name]; e != nil {
		return e
	}
	return set.latest[name]
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
	for name, e := range set.servers {
		if e.listed && !seen[name] {
			gone = append(gone, name)
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
	var added []*entry
	for _, server := range changed {
		name := server.Incarnation()
		e, found := set.servers[name]
		if previous := set.latest[server.Instance]; !found && previous != nil {
			if server.Born < previous.server.Born {
				// A delayed update of a former incarnation.
				continue
			}
			changes = append(changes, set.markUnlisted(previous, now)...)
			// The former incarnation stays excluded until its unlisted entry is removed.
			set.ensureLocalState(previous).replacedUntil = now.Add(unlistedRetention + replacedRetention)
		}
		if !found {
			key := ServerKey(name)
			e = &entry{name: name, key: key, draining: set.drainingServers.has(key)}
			set.servers[name], set.latest[server.Instance] = e, e
			set.byKey[e.key] = e
			added = append(added, e)
		}
		drained := found && e.isDraining()
		listed := e.listedServer()
		e.update(server)
		// Without a start time, a later process of the same ID would count as draining too.
		if server.Draining && server.Born != 0 {
			set.markDraining(e.key)
		}
		if draining := e.isDraining(); !found || draining != drained {
			change := Change{Server: *server}
			change.Server.Draining = draining
			changes = append(changes, change)
		}
		set.software.change(listed, e.server, now)
		delete(set.unlisted, e)
	}
	set.addToRings(added)
	for _, instance := range gone {
		if e := set.lookup(instance); e != nil {
			changes = append(changes, set.markUnlisted(e, now)...)
		}
	}
	set.removeExpired(now)
	return changes
}

// ObserveRestart records that the server has restarted as a new incarnation, as its own answer
// shows, with the model versions that it reports. The list will include the new incarnation
// later, and show which software version it has.
func (set *Set) ObserveRestart(former Server, born int64, versions map[string]int64, now time.Time) []Change {
	next := former
	next.Born, next.Versions, next.Draining, next.Software = born, versions, false, ""
	return set.Apply([]*Server{&next}, nil, now)
}

// markUnlisted records that a server was removed from the list. It returns a change unless that
// was known.
func (set *Set) markUnlisted(e *entry, now time.Time) []Change {
	if !e.listed {
		return nil
	}
	set.software.change(e.server, nil, now)
	e.listed, e.unlistedAt, e.mayReturn = false, now, set.mayMissEntries(now)
	set.unlisted[e] = true
	return []Change{{Server: *e.server, Gone: true}}
}

// removeExpired removes servers that have been unlisted for longer than unlistedRetention and
// have no attempts in flight.
func (set *Set) removeExpired(now time.Time) {
	var expired []*entry
	for e := range set.unlisted {
		if now.Sub(e.unlistedAt) > unlistedRetention && e.attempts() == 0 {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		delete(set.unlisted, e)
		delete(set.withLocalState, e)
		delete(set.recentlyUsed, e)
		delete(set.brokenPaths, e)
		delete(set.suspectedPaths, e)
		delete(set.probedPaths, e)
		delete(set.servers, e.name)
		if set.latest[e.server.Instance] == e {
			delete(set.latest, e.server.Instance)
		}
		delete(set.byKey, e.key)
	}
	set.removeFromRings(expired)
}

// listedServer returns the server if it is listed, or nil.
func (entry *entry) listedServer() *Server {
	if !entry.listed {
		return nil
	}
	return entry.server
}

// attempts returns the number of this node's attempts in flight on the server.
func (entry *entry) attempts() int {
	if entry.localState == nil {
		return 0
	}
	return entry.inFlight
}

// update replaces the description of the server. Model versions that its answers have already
// shown are kept if newer: the list lags behind, and the versions of one incarnation never
// decrease.
func (entry *entry) update(server *Server) {
	previous := entry.server
	entry.server, entry.listed = server, true
	if previous == nil {
		return
	}
	if entry.localState != nil && server.Address != previous.Address {
		entry.limitExclusion()
	}
	if server.Software == "" {
		entry.keepSoftware(previous.Software)
	}
	for model, version := range previous.Versions {
		entry.observeVersion(model, version)
	}
}

// limitExclusion limits the exclusion of a replaced server to replacedRetention: what answers at its former address says
// nothing of another one.
func (local *localState) limitExclusion() {
	if excess := local.replacedFor - replacedRetention; excess > 0 {
		local.replacedUntil = local.replacedUntil.Add(-excess)
	}
	local.replacedFor = 0
}

// keepSoftware sets the software version of a server if it is unknown: nodes of former builds do not
// pass it on.
func (entry *entry) keepSoftware(software string) {
	if entry.server.Software != "" || software == "" {
		return
	}
	server := *entry.server
	server.Software = software
	entry.server = &server
}

// observeVersion records a model version that the server has loaded, unless it is known to have
// a newer one. It resets the refusal rate, since earlier refusals may have been due to loading.
func (entry *entry) observeVersion(model string, version int64) {
	if entry.server.Versions[model] >= version {
		return
	}
	if entry.localState != nil {
		entry.refusals = failureRate{}
	}
	server := entry.server.clone()
	server.Versions[model] = version
	entry.server = &server
}

// ensureLocalState returns the local state of a server for modification, allocating it if
// necessary.
func (set *Set) ensureLocalState(e *entry) *localState {
	if e.localState == nil {
		e.localState = &localState{}
		set.withLocalState[e] = true
	}
	return e.localState
}

// emptyLocalState is the shared read-only state of servers that this node has not contacted. It
// must not be modified.
var emptyLocalState localState

// local returns the local state for reading only.
func (entry *entry) local() *localState {
	if entry.localState == nil {
		return &emptyLocalState
	}
	return entry.localState
}

// Servers returns the listed servers, without those that are known to be replaced.
func (set *Set) Servers(now time.Time) []Server {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	servers := make([]Server, 0, len(set.servers))
	for _, e := range set.servers {
		if e.listed && !now.Before(e.local().replacedUntil) {
			server := *e.server
			server.Draining = e.isDraining()
			servers = append(servers, server)
		}
	}
	return servers
}

// ServiceSize returns the number of servers of a service.
func (set *Set) ServiceSize(service string) int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return len(set.rings[service])
}

// InService reports whether a server is listed and not draining.
func (set *Set) InService(instance string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.lookup(instance)
	return e != nil && e.listed && !e.isDraining()
}

// Listed reports whether the server with the given ServerKey is in the list.
func (set *Set) Listed(key uint64) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.byKey[key]
	return e != nil && e.listed
}

// Terminated reports whether there is evidence that a server has terminated: it is not in the
// list, another incarnation answered at its address, or a connection to it failed to establish
// after the given time.
func (set *Set) Terminated(key uint64, since time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.byKey[key]
	if e == nil || !e.listed {
		return true
	}
	local := e.local()
	return !local.replacedUntil.IsZero() || !set.failsByPath(e) && local.lastConnectFailureAt.After(since)
}

// Gone records that another incarnation answered at the address of a server. The server
// is excluded for replacedRetention or longer, since the list includes it until its entry expires.
func (set *Set) Gone(instance string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if e := set.lookup(instance); e != nil {
		set.exclude(e, now)
	}
}

// ObserveOtherInstance records that another instance answered at the address of a server, like Gone. If it named itself,
// the servers with other instance IDs that are listed at the address are excluded too, none of which lives there.
func (set *Set) ObserveOtherInstance(name, responding string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.lookup(name)
	if e == nil || !set.exclude(e, now) || responding == "" {
		return
	}
	for _, twin := range set.servers {
		if twin.listed && twin.server.Address == e.server.Address && twin.server.Instance != responding {
			set.exclude(twin, now)
		}
	}
}

// exclude excludes a server at whose address another incarnation answered, for longer each time. It reports whether the
// server was not excluded already: attempts that were sent together are answered together.
func (set *Set) exclude(e *entry, now time.Time) bool {
	local := set.ensureLocalState(e)
	if now.Before(local.replacedUntil) {
		return false
	}
	local.replacedFor = min(max(replacedRetention, 2*local.replacedFor), maxReplacedRetention)
	local.replacedUntil = now.Add(local.replacedFor)
	return true
}

// ObserveVersions records the model versions that a server's own answer has shown.
func (set *Set) ObserveVersions(instance string, versions map[string]int64) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for model, version := range versions {
		set.observeVersion(instance, model, version)
	}
}

func (set *Set) observeVersion(instance, model string, version int64) {
	if e := set.lookup(instance); e != nil {
		e.observeVersion(model, version)
	}
}
