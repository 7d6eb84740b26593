// Package fleet registers a node in the shared store, under a key with a lease, and derives the
// size of the fleet and the roles of its first nodes from the registrations. Only the first
// nodes need to be known by name.
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
	// another one within a second, and until then the shares of fleet-wide budgets are a
	// little smaller. Half this TTL would double the cost of renewals, by 0.005 of the value
	// of the requests of 985 nodes.
	registrationLife = 18 * time.Second
	// renewalsPerTTL gives a node several attempts before its registration expires.
	renewals    = 3
	callTimeout = time.Second
	// bootstrapWait is how long nodes wait for each other when a fleet starts for the first
	// time, and maxBootstrapWait how long a node waits that cannot register.
	gathering        = 500 * time.Millisecond
	longestGathering = 2 * time.Second
	// ReaderCount is the number of nodes that read the store for the whole fleet: one, a
	// standby, and another one in case the store refuses some machines at that time.
	Readers = 3
	// minRelays is the fleet size up to which all nodes poll each other: fewer hops keep the
	// replicas fresher, and 90 polls per 150 ms cost little.
	fewestRelays = 10
	// viewRelayFactor is the number of nodes in the view per relay: the view also contains
	// the nodes that follow when relays are lost.
	viewRelays = 2
	// largeNodeShare is the share of the largest node's processor time from which a node
	// counts as large.
	roomyShare = 0.5
)

// Registry registers this node and tracks the other nodes.
type Registry struct {
	Store coordination.Store
	// Prefix is the prefix of the registration keys.
	Prefix string
	Name   string
	// Incarnation identifies this process of the node.
	Life string
	// Address is where other nodes reach this one, and Zone its availability zone.
	Address string
	Zone    string
	// Cores is this node's processor time in cores, or 0 if it is not known.
	Room float64
	// OnResize is called with the number of nodes after each observation.
	Resized func(nodes int)
	// Eras tracks the era of the store.
	Eras *coordination.Eras
	// PublishView, if set, writes the view of the fleet to where starting nodes read it.
	Publish func(ctx context.Context, view []byte) error

	mutex sync.Mutex
	// ranked holds the names of the known nodes in rank order: the large ones first, and each
	// kind ordered by a hash, which spreads the first ranks over the zones. infos holds what
	// is registered for them. Both contain all nodes or only the first ones.
	names  []string
	places map[string]place
	// reportedNodes is the number of nodes, or 0 if it is not known, and large the number of
	// large ones. ownRank is this node's rank.
	nodes   int
	roomy   int
	ownRank int
	// firstObservedAt is when the fleet was first observed. bootstrapped reports that ranks
	// are reliable.
	begun   time.Time
	settled bool
	// sightings holds the leader-election keys of the last observation, and duties their
	// entries.
	seen map[string]sighting
	// lastEntries holds the registrations at the last observation, by name, and registeredEra
	// the era in which this node's own one was written.
	entries    map[string]coordination.Entry
	registered int64
	duties     []coordination.Entry
	// view is the view of the fleet that other nodes receive, and digest the view's digest.
	view   View
	digest uint64
	// publishedDigest is the digest of the view that this node published last, and
	// publishedEra the era of the store in which it did so.
	published   uint64
	publishedIn int64
}

// keySighting is when a key was first observed at its position.
type sighting struct {
	position coordination.Position
	at       time.Time
}

// ObserveNodes applies the registrations of all nodes, as they were read at a time.
func (r *Registry) ObserveNodes(entries []coordination.Entry, now time.Time) {
	r.observe(entries, now, false)
}

// ObserveStaleNodes applies the registrations of all nodes as they may have been seconds
// earlier. They complete the bootstrap of a restarted node only.
func (r *Registry) ObserveOldNodes(entries []coordination.Entry, now time.Time) {
	r.observe(entries, now, true)
}

func (r *Registry) observe(entries []coordination.Entry, now time.Time, old bool) {
	r.mutex.Lock()
	entries = r.withLost(entries, now)
	r.mutex.Unlock()
	places := make(map[string]place, len(entries)+1)
	byName := make(map[string]coordination.Entry, len(entries))
	for _, entry := range entries {
		name := r.nameOf(entry.Key)
		places[name], byName[name] = parsePlace(string(entry.Value)), entry
	}
	// A registration by an earlier incarnation of this node may have another address.
	places[r.Name] = r.place()
	r.mutex.Lock()
	if r.begun.IsZero() {
		r.begun = now
	}
	if !old || r.fromBefore(entries) {
		r.settle(entries, now)
	}
	r.rank(places)
	r.nodes = len(r.names)
	r.ownRank = slices.Index(r.names, r.Name)
	r.look(byName)
	r.entries = byName
	if old {
		// Stale data is not passed on to other nodes.
		r.view, r.digest = View{}, 0
	}
	nodes := r.nodes
	r.mutex.Unlock()
	r.Resized(nodes)
}

// rankOf returns a node's rank. A node that is not among the known first ones ranks after them.
func (r *Registry) rankOf(name string) int {
	if at := slices.Index(r.names, name); at >= 0 {
		return at
	}
	return max(len(r.names), r.nodes-1)
}

// ObserveDuties applies the leader-election entries.
func (r *Registry) ObserveDuties(entries []coordination.Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := map[string]sighting{}
	for _, entry := range entries {
		known := r.seen[entry.Key]
		if known.position != entry.Position() {
			known = sighting{position: entry.Position(), at: now}
		}
		seen[entry.Key] = known
	}
	r.seen, r.duties = seen, entries
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
func (r *Registry) settle(entries []coordination.Entry, now time.Time) {
	if r.settled {
		return
	}
	own := slices.ContainsFunc(entries, func(entry coordination.Entry) bool { return r.nameOf(entry.Key) == r.Name })
	waited := now.Sub(r.begun)
	r.settled = own && (r.fromBefore(entries) || waited >= gathering) || waited >= longestGathering
}

// hasEarlierIncarnation reports whether the entries contain a registration by an earlier
// incarnation of this node.
func (r *Registry) fromBefore(entries []coordination.Entry) bool {
	return slices.ContainsFunc(entries, func(entry coordination.Entry) bool {
		name, life := r.parseKey(entry.Key)
		return name == r.Name && life != r.Life
	})
}

// Bootstrapped reports whether ranks are reliable.
func (r *Registry) Settled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.settled
}

// Exists reports whether the last observation contained a leader-election key.
func (r *Registry) Exists(key string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.seen[key]
	return found
}

// Nodes returns the number of nodes at the last observation, which is at least the number of
// nodes known by name.
func (r *Registry) Nodes() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.size()
}

func (r *Registry) size() int { return max(1, len(r.names), r.nodes) }

// OutsideView reports whether this node ranks after all nodes of the view: it has relays to
// poll, and won't become one soon.
func (r *Registry) Outer() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank >= viewRelays*r.relays()
}

// FirstSeen returns when a key was first observed at a position, or zero.
func (r *Registry) FirstSeen(key string, position coordination.Position) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.seen[key]; known.position == position {
		return known.at
	}
	return time.Time{}
}
