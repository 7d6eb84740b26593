// Package fleet tells a node how many others there are. Each node keeps a key
// under a lease in the shared store; nobody needs to know all others exactly.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// registrationLife is how long a node that died is still counted. Whoever asks it
	// meanwhile goes on to the next one within a second; the count is for shares of a
	// budget, which are smaller for it. Half of it would cost as much again in renewals,
	// 0.005 of what the requests of 985 nodes are worth.
	registrationLife = 18 * time.Second
	// renewals a life gives a node several tries before it is forgotten.
	renewals    = 3
	callTimeout = time.Second
	// gathering is how long nodes wait for each other at the first start, and
	// longestGathering how long a node waits that cannot register.
	gathering        = 500 * time.Millisecond
	longestGathering = 2 * time.Second
	// Readers is how many nodes read the store for the whole fleet: one, one for when
	// it is lost, and one more for a store that refuses some machines at that time.
	Readers = 3
	// fewestRelays is the size up to which all nodes of a fleet ask each other: fewer
	// hops make what they know younger, and 90 questions each 150 ms cost little.
	fewestRelays = 10
	// viewRelays is how many times as many nodes as there are relays are told of: who comes
	// next when relays are lost.
	viewRelays = 2
	// roomyShare is the share of the largest node's processor time from which a node
	// counts as one with room.
	roomyShare = 0.5
)

// Registry registers this node and counts the others.
type Registry struct {
	Store coordination.Store
	// Prefix is that of the nodes' keys.
	Prefix string
	Name   string
	// Life names this life of the node's process.
	Life string
	// Address is where other nodes reach this one, and Zone where it stands.
	Address string
	Zone    string
	// Room is this node's processor time in cores; 0 says that it is not known.
	Room float64
	// Resized hears of the number of nodes after each observation.
	Resized func(nodes int)
	// Eras follows the era of the store.
	Eras *coordination.Eras
	// Publish, if set, writes the view of the fleet where nodes that start find it.
	Publish func(ctx context.Context, view []byte) error

	mutex sync.Mutex
	// names holds the nodes that are known, those with room first and each kind in the
	// order of a hash, which spreads the first ones over the zones; places holds where they
	// are reached. They are all nodes, or the first ones alone.
	names  []string
	places map[string]place
	// nodes is how many nodes there are, or 0 if that is not known, and roomy how many of
	// them have room. ownRank is this node's place among all.
	nodes   int
	roomy   int
	ownRank int
	// begun is when the fleet was first observed; settled, that the places in it
	// may be relied on.
	begun   time.Time
	settled bool
	seen    map[string]sighting
	// entries holds those of all nodes as they were observed last, and registered the era in
	// which this node's own was written.
	entries    map[string]coordination.Entry
	registered int64
	duties     []coordination.Entry
	// view is what other nodes are told of the fleet, and digest is its own.
	view   View
	digest uint64
	// published is the digest of the view that this node has written last, and publishedIn the
	// era of the store in which that was.
	published   uint64
	publishedIn int64
}

// sighting is when a key was first seen where it was written.
type sighting struct {
	position coordination.Position
	at       time.Time
}

// ObserveNodes takes the entries of all nodes as they were read at a time.
func (r *Registry) ObserveNodes(entries []coordination.Entry, now time.Time) {
	r.observe(entries, now, false)
}

// ObserveOldNodes takes the entries of all nodes as they may have been seconds before. They
// settle the place of a node that has started again, and of no other.
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
	// An entry of an earlier life of this node may tell of another place.
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
		// Others are not told what may be old.
		r.view, r.digest = View{}, 0
	}
	nodes := r.nodes
	r.mutex.Unlock()
	r.Resized(nodes)
}

// rankOf returns a node's place among all; who is not among the known first ones comes
// after them.
func (r *Registry) rankOf(name string) int {
	if at := slices.Index(r.names, name); at >= 0 {
		return at
	}
	return max(len(r.names), r.nodes-1)
}

// ObserveDuties notes the keys under which nodes hold duties.
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

// Duties returns the entries of the last observation of duties, for ObserveDuties on
// another node.
func (r *Registry) Duties() []coordination.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.duties
}

// settle decides whether the places in the fleet may be relied on. When all nodes
// start for the first time, the first ones see only few: they wait for the rest.
// A node that finds itself registered in a life before need not.
func (r *Registry) settle(entries []coordination.Entry, now time.Time) {
	if r.settled {
		return
	}
	own := slices.ContainsFunc(entries, func(entry coordination.Entry) bool { return r.nameOf(entry.Key) == r.Name })
	waited := now.Sub(r.begun)
	r.settled = own && (r.fromBefore(entries) || waited >= gathering) || waited >= longestGathering
}

// fromBefore reports whether an entry of this node is not of this life.
func (r *Registry) fromBefore(entries []coordination.Entry) bool {
	return slices.ContainsFunc(entries, func(entry coordination.Entry) bool {
		name, life := r.parseKey(entry.Key)
		return name == r.Name && life != r.Life
	})
}

// Settled reports whether the places in the fleet may be relied on.
func (r *Registry) Settled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.settled
}

// Exists reports whether the last observation showed a key.
func (r *Registry) Exists(key string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.seen[key]
	return found
}

// Nodes returns the number of nodes at the last observation, at least as many as are known
// by name.
func (r *Registry) Nodes() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.size()
}

func (r *Registry) size() int { return max(1, len(r.names), r.nodes) }

// Outer reports whether this node knows relays to ask, and is none of those that may come
// to relay.
func (r *Registry) Outer() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank >= viewRelays*r.relays()
}

// FirstSeen returns when a key was first seen where it was written, or zero.
func (r *Registry) FirstSeen(key string, position coordination.Position) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.seen[key]; known.position == position {
		return known.at
	}
	return time.Time{}
}
