// Package fleet registers a node in the shared store, under a key with a lease, and derives the
// size of the fleet and the roles of its nodes from the registrations. Only the first nodes by
// rank need to be known by name.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// registrationTTL is how long a failed node is still counted. Nodes that poll it go on to
	// another one within a second. While it is counted, each node's share of fleet-wide
	// budgets is a little smaller than it could be. Halving the TTL would double the cost of
	// renewals; for 985 nodes, the addition is 0.005 of the value of all their requests.
	registrationTTL = 18 * time.Second
	// renewalsPerTTL gives a node several attempts before its registration expires.
	renewalsPerTTL = 3
	callTimeout    = time.Second
	// bootstrapWait is how long nodes wait for each other when a fleet starts for the first
	// time, and maxBootstrapWait how long a node waits that cannot register.
	bootstrapWait    = 500 * time.Millisecond
	maxBootstrapWait = 2 * time.Second
	// ReaderCount is the number of nodes that read the store for the whole fleet: one, a
	// standby, and another one in case the store refuses some machines at that time.
	ReaderCount = 3
	// minRelays is the fleet size up to which all nodes poll each other: fewer hops keep the
	// replicas fresher, and 90 polls per 150 ms cost little.
	minRelays = 10
	// viewRelayFactor is the number of nodes in the view per relay: the view also contains
	// the nodes that follow when relays are lost.
	viewRelayFactor = 2
	// largeNodeShare is the share of the largest node's processor time from which a node
	// counts as large. Large nodes rank first, and so become relays.
	largeNodeShare = 0.5
)

// Registry registers this node and tracks the other nodes.
type Registry struct {
	Store coordination.Store
	// Prefix is the prefix of the registration keys.
	Prefix string
	Name   string
	// Incarnation identifies this process of the node.
	Incarnation string
	// Address is where other nodes reach this one, and Zone its availability zone.
	Address string
	Zone    string
	// Cores is this node's processor time in cores, or 0 if it is not known.
	Cores float64
	// OnResize is called with the number of nodes after each observation.
	OnResize func(nodes int)
	// Eras tracks the era of the store.
	Eras *coordination.EraTracker
	// Outage tracks whether the store answers.
	Outage *coordination.Outage
	// PublishView, if set, writes the view of the fleet to where starting nodes read it.
	PublishView func(ctx context.Context, view []byte) error

	mutex sync.Mutex
	// ranked holds the names of the known nodes in rank order: the large ones first, and each
	// kind ordered by a hash, which spreads the first ranks over the zones. infos holds what
	// is registered for them. Both contain all nodes or only the first ones.
	ranked []string
	infos  map[string]nodeInfo
	// reportedNodes is the number of nodes, or 0 if it is not known, and large the number of
	// large ones. ownRank is this node's rank.
	reportedNodes int
	large         int
	ownRank       int
	// firstObservedAt is when the fleet was first observed. bootstrapped reports that ranks
	// are reliable.
	firstObservedAt time.Time
	bootstrapped    bool
	// sightings holds the leader-election keys of the last observation, and duties their
	// entries.
	sightings map[string]keySighting
	// formerEntries holds the registrations at the last observation, by name, and formerNodes the number of nodes.
	formerEntries map[string]coordination.Entry
	formerNodes   int
	// registeredEra is the era in which this node's own registration was written.
	registeredEra coordination.Era
	// leaseEra is the era in which the lease of the registration was granted, and registered reports whether
	// the registration was written under it.
	leaseEra   coordination.Era
	registered bool
	duties     []coordination.Entry
	// standing is that of this node's own registration, and deregistered reports that the node has ended it.
	standing     standing
	deregistered bool
	// listed reports whether the last list contained this node's registration, and listedSince is since when that is so.
	// settled reports that the last list showed the whole fleet, and unsettledSince is since when none has.
	listed         bool
	listedSince    time.Time
	settled        bool
	unsettledSince time.Time
	// follows reports that this node is not registered while others are, so that it has no rank among them.
	follows bool
	// view is the view of the fleet that other nodes receive, and digest the view's digest.
	view   View
	digest uint64
	// publishedDigest is the digest of the view that this node published last, and
	// publishedEra the era of the store in which it did so.
	publishedDigest uint64
	publishedEra    coordination.Era
}

// keySighting is when a key was first observed at its position.
type keySighting struct {
	position coordination.Position
	at       time.Time
}

// ObserveNodes applies the registrations of all nodes, as they were read at a time.
func (r *Registry) ObserveNodes(entries []coordination.Entry, now time.Time) {
	r.observe(entries, now, false)
}

// ObserveStaleNodes applies the registrations of all nodes as they may have been seconds
// earlier. They complete the bootstrap of a restarted node only.
func (r *Registry) ObserveStaleNodes(entries []coordination.Entry, now time.Time) {
	r.observe(entries, now, true)
}

func (r *Registry) observe(entries []coordination.Entry, now time.Time, stale bool) {
	r.mutex.Lock()
	if !stale {
		r.updateSettled(entries, now)
	}
	entries = r.withPreRestoreEntries(entries, now)
	if r.firstObservedAt.IsZero() {
		r.firstObservedAt = now
	}
	if !stale || r.hasEarlierIncarnation(entries) {
		r.updateBootstrapped(entries, now)
	}
	listed := r.latestByName(entries)
	known := listed
	if !r.settled || stale {
		known = r.withFormerEntries(listed)
	}
	r.follows = !stale && !r.deregistered && r.cannotRegister(listed, now)
	r.updateRole(listed, known)
	r.updateView(known)
	nodes := r.reportedNodes
	if stale {
		// Stale data is not passed on to other nodes.
		r.view, r.digest = View{}, 0
	}
	r.mutex.Unlock()
	r.OnResize(nodes)
}

// latestByName returns the latest registration of each node.
func (r *Registry) latestByName(entries []coordination.Entry) map[string]coordination.Entry {
	byName := make(map[string]coordination.Entry, len(entries))
	for _, entry := range entries {
		name := r.nodeName(entry.Key)
		if known, found := byName[name]; found && entry.Position().Before(known.Position()) {
			// The registration of an earlier incarnation, which has not expired yet.
			continue
		}
		byName[name] = entry
	}
	return byName
}

// updateRole ranks this node among the nodes that are known, or behind those that are listed if it follows them, and
// counts the nodes.
func (r *Registry) updateRole(listed, known map[string]coordination.Entry) {
	ranked := known
	if r.follows {
		ranked = listed
	}
	infos := make(map[string]nodeInfo, len(ranked)+1)
	for name, entry := range ranked {
		infos[name] = parseNodeInfo(string(entry.Value))
	}
	if !r.follows {
		// A registration by an earlier incarnation of this node may have another address.
		infos[r.Name] = r.ownInfo()
	}
	r.updateRanking(infos)
	r.rememberFleet(known)
	r.reportedNodes = max(len(r.ranked), r.formerNodes)
	if _, registered := known[r.Name]; !registered {
		r.reportedNodes = max(r.reportedNodes, len(known)+1)
	}
	r.ownRank = r.rankOf(r.Name)
}

// rankOf returns a node's rank. A node that is not among the known first ones ranks after them.
func (r *Registry) rankOf(name string) int {
	if at := slices.Index(r.ranked, name); at >= 0 {
		return at
	}
	return max(len(r.ranked), r.reportedNodes-1)
}

// ObserveDuties applies the leader-election entries.
func (r *Registry) ObserveDuties(entries []coordination.Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sightings := map[string]keySighting{}
	for _, entry := range entries {
		sighting := r.sightings[entry.Key]
		if sighting.position != entry.Position() {
			sighting = keySighting{position: entry.Position(), at: now}
		}
		sightings[entry.Key] = sighting
	}
	r.sightings, r.duties = sightings, entries
}

// Duties returns the leader-election entries of the last observation, for ObserveDuties on
// another node.
func (r *Registry) Duties() []coordination.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.duties
}

// updateBootstrapped decides whether ranks are reliable. When all nodes start for the first
// time, the first ones see only a few registrations and wait for the rest. A node that finds a
// registration by its earlier incarnation need not wait.
func (r *Registry) updateBootstrapped(entries []coordination.Entry, now time.Time) {
	if r.bootstrapped {
		return
	}
	registered := slices.ContainsFunc(entries, func(entry coordination.Entry) bool { return r.nodeName(entry.Key) == r.Name })
	waited := now.Sub(r.firstObservedAt)
	r.bootstrapped = registered && (r.hasEarlierIncarnation(entries) || waited >= bootstrapWait) || waited >= maxBootstrapWait
}

// hasEarlierIncarnation reports whether the entries contain a registration by an earlier
// incarnation of this node.
func (r *Registry) hasEarlierIncarnation(entries []coordination.Entry) bool {
	return slices.ContainsFunc(entries, func(entry coordination.Entry) bool {
		name, incarnation := r.parseKey(entry.Key)
		return name == r.Name && incarnation != r.Incarnation
	})
}

// Bootstrapped reports whether ranks are reliable.
func (r *Registry) Bootstrapped() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.bootstrapped
}

// Exists reports whether the last observation contained a leader-election key.
func (r *Registry) Exists(key string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.sightings[key]
	return found
}

// Nodes returns the number of nodes at the last observation, which is at least the number of
// nodes known by name.
func (r *Registry) Nodes() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.size()
}

func (r *Registry) size() int { return max(1, len(r.ranked), r.reportedNodes) }

// OutsideView reports whether this node ranks after all nodes of the view: it has relays to
// poll, and won't become one soon.
func (r *Registry) OutsideView() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank >= viewRelayFactor*r.relays()
}

// FirstSeen returns when a key was first observed at a position, or zero.
func (r *Registry) FirstSeen(key string, position coordination.Position) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if sighting := r.sightings[key]; sighting.position == position {
		return sighting.at
	}
	return time.Time{}
}
