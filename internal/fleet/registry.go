// Package fleet tells a node how many others there are. Each node keeps a key
// under a lease in the shared store; nobody needs to know all others exactly.
package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/prefix"
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
	duties  []coordination.Entry
	// view is what other nodes are told of the fleet, and digest is its own.
	view   View
	digest uint64
	// published is the digest of the view that this node has written last.
	published uint64
}

// View is what nodes tell each other of the fleet. Only its first nodes are asked by others,
// so that nobody needs to know all.
type View struct {
	// Nodes is how many nodes there are, and Roomy how many of them have room.
	Nodes int
	Roomy int
	// First holds the entries of the first nodes, in the order of their ranks.
	First []coordination.Entry
}

// whole reports whether the view holds all nodes.
func (v View) whole() bool { return v.Nodes > 0 && len(v.First) >= v.Nodes }

// place is where a node is reached, and the processor time that it has, in cores.
type place struct {
	address string
	zone    string
	room    float64
}

// String is the place as it is registered.
func (p place) String() string {
	return strings.Join([]string{p.address, p.zone, strconv.FormatFloat(p.room, 'g', -1, 64)}, " ")
}

// parsePlace reads a registered place. What is missing in it stays empty: a node whose
// room cannot be read is one without room.
func parsePlace(text string) place {
	p := place{}
	address, rest, _ := strings.Cut(text, " ")
	zone, room, _ := strings.Cut(rest, " ")
	p.address, p.zone = address, zone
	if cores, err := strconv.ParseFloat(room, 64); err == nil {
		p.room = cores
	}
	return p
}

// sighting is when a key was first seen at a revision.
type sighting struct {
	revision int64
	at       time.Time
}

// Run keeps this node's key alive, writes it anew if it was lost, and takes it
// back when the context ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(registrationLife / renewals)
	defer ticker.Stop()
	lease := int64(0)
	for {
		lease = r.renew(ctx, lease)
		r.publish(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.leave(lease)
			return
		}
	}
}

func (r *Registry) leave(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = r.Store.End(ctx, lease)
}

// renew returns the lease that keeps the node's key, or 0 if there is none.
func (r *Registry) renew(ctx context.Context, lease int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		alive, err := r.Store.Renew(ctx, lease)
		if err != nil || alive {
			return lease
		}
	}
	granted, err := r.Store.Grant(ctx, registrationLife)
	if err != nil {
		return 0
	}
	if _, _, err := r.Store.Create(ctx, r.key(), []byte(r.place().String()), granted.ID); err != nil {
		return 0
	}
	return granted.ID
}

// place is this node's own.
func (r *Registry) place() place { return place{address: r.Address, zone: r.Zone, room: r.Room} }

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
	nodes := r.nodes
	r.mutex.Unlock()
	r.Resized(nodes)
}

// look makes the view of all nodes that others are told. A node that is not registered
// itself is not in it.
func (r *Registry) look(entries map[string]coordination.Entry) {
	r.view = View{Nodes: len(entries), Roomy: r.roomy}
	for _, name := range r.first(viewRelays * r.relays()) {
		if entry, registered := entries[name]; registered {
			r.view.First = append(r.view.First, entry)
		}
	}
	r.digest = r.view.digest()
}

// publish writes the view of the fleet for nodes that start, if this is the first node and
// the view has changed. What cannot be written is tried again with the next renewal.
func (r *Registry) publish(ctx context.Context) {
	r.mutex.Lock()
	view, digest := r.view, r.digest
	due := r.settled && r.ownRank == 0 && view.Nodes > 0 && digest != r.published && r.Publish != nil
	r.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded := bytes.Buffer{}
	if gob.NewEncoder(&encoded).Encode(view) != nil || r.Publish(ctx, encoded.Bytes()) != nil {
		return
	}
	r.mutex.Lock()
	r.published = digest
	r.mutex.Unlock()
}

// ObservePublished takes a view that a first node has published at some time. A node that
// finds itself among its relays relies on that; all others find whom to ask. A view that
// cannot be read changes nothing.
func (r *Registry) ObservePublished(encoded []byte, now time.Time) error {
	var view View
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&view); err != nil {
		return errors.Annotate(err, "the view of the fleet cannot be read; run the same version on all nodes")
	}
	if view.Nodes <= 0 || len(view.First) == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.settled {
		return nil
	}
	if r.begun.IsZero() {
		r.begun = now
	}
	r.follow(view)
	r.settled = r.ownRank < r.relays()
	return nil
}

// ObserveFirst takes the first entries of a list of nodes that goes on. They stand in the
// order of their keys, in which those with the most room come first. They do not show how
// many nodes there are; a node that finds itself among the first relays of so many can rely
// on that.
func (r *Registry) ObserveFirst(entries []coordination.Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	places := make(map[string]place, len(entries))
	for _, entry := range entries {
		places[r.nameOf(entry.Key)] = parsePlace(string(entry.Value))
	}
	if !r.settled {
		// What it saw before was a part of the fleet, too.
		r.nodes, r.view, r.digest = 0, View{}, 0
	}
	r.rank(places)
	r.ownRank = r.rankOf(r.Name)
	if r.begun.IsZero() {
		r.begun = now
	}
	r.settled = r.settled || r.ownRank < r.relays() || now.Sub(r.begun) >= longestGathering
}

// ObserveView takes what another node told of the fleet: a view, or nil if it is the one
// that this node has, and how many nodes there are. It reports whether that node knew.
func (r *Registry) ObserveView(view *View, nodes int) bool {
	switch {
	case nodes == 0:
		return false
	case view == nil:
		r.count(nodes)
	case view.whole():
		r.ObserveNodes(view.First, boottime.Now())
	default:
		r.adopt(*view)
	}
	return true
}

// count takes how many nodes there are, if others know more of them than this node.
func (r *Registry) count(nodes int) {
	r.mutex.Lock()
	changed := !r.view.whole() && r.nodes != nodes
	if changed {
		r.nodes = nodes
	}
	r.mutex.Unlock()
	if changed {
		r.Resized(nodes)
	}
}

// adopt takes another node's view of a fleet that is larger than it.
func (r *Registry) adopt(view View) {
	r.mutex.Lock()
	r.follow(view)
	r.settled = true
	r.view, r.digest = view, view.digest()
	r.mutex.Unlock()
	r.Resized(view.Nodes)
}

// follow takes the ranks and the places of a view.
func (r *Registry) follow(view View) {
	names := make([]string, 0, len(view.First))
	places := make(map[string]place, len(view.First))
	for _, entry := range view.First {
		name := r.nameOf(entry.Key)
		names = append(names, name)
		places[name] = parsePlace(string(entry.Value))
	}
	r.names, r.places, r.nodes, r.roomy = names, places, view.Nodes, view.Roomy
	r.ownRank = r.rankOf(r.Name)
}

// rankOf returns a node's place among all; who is not among the known first ones comes
// after them.
func (r *Registry) rankOf(name string) int {
	if at := slices.Index(r.names, name); at >= 0 {
		return at
	}
	return max(len(r.names), r.nodes-1)
}

// nameOf returns the name of the node that a key registers.
func (r *Registry) nameOf(key string) string {
	name, _ := r.parseKey(key)
	return name
}

// parseKey returns the name of the node that a key registers, and that of its life. What
// comes before them in the key only gives it its place among all.
func (r *Registry) parseKey(key string) (name, life string) {
	parts := strings.Split(strings.TrimPrefix(key, r.Prefix), "/")
	if len(parts) < 2 {
		return parts[0], ""
	}
	return parts[len(parts)-2], parts[len(parts)-1]
}

// ObserveDuties notes the keys under which nodes hold duties.
func (r *Registry) ObserveDuties(entries []coordination.Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := map[string]sighting{}
	for _, entry := range entries {
		known := r.seen[entry.Key]
		if known.revision != entry.Revision {
			known = sighting{revision: entry.Revision, at: now}
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

// digest returns a number that tells two views apart.
func (v View) digest() uint64 {
	digest := uint64(len(v.First)) + uint64(v.Roomy)<<32
	for _, entry := range v.First {
		digest += uint64(prefix.KeyOf(entry.Key + " " + string(entry.Value)))
	}
	return digest
}

// Digest tells the view that this node has apart from others.
func (r *Registry) Digest() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.digest
}

// NewerThan returns this node's view if its digest is another one, for ObserveView on
// another node, and how many nodes there are. It returns 0 if this node does not know.
func (r *Registry) NewerThan(digest uint64) (view *View, nodes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.view.Nodes == 0 {
		return nil, 0
	}
	own := r.view
	if !own.whole() {
		own.Nodes = r.nodes
	}
	if r.digest == digest {
		return nil, own.Nodes
	}
	return &own, own.Nodes
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

// mostRoom is the processor time, in thousandths of a core, above which nodes are alike in
// the order of keys.
const mostRoom = 999_999

// key registers this node. In the order of keys those with the most room come first, and
// among equals a hash decides: the first page of a long list shows who the relays are.
func (r *Registry) key() string {
	room := min(mostRoom, int(1000*r.Room))
	return fmt.Sprintf("%s%06d-%016x/%s/%s", r.Prefix, mostRoom-room, uint64(prefix.KeyOf(r.Name)), r.Name, r.Life)
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

// FirstSeen returns when a key was first seen at the revision, or zero.
func (r *Registry) FirstSeen(key string, revision int64) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.seen[key]; known.revision == revision {
		return known.at
	}
	return time.Time{}
}
