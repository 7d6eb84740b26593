package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

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
// the view has changed, or the store may have lost it. What cannot be written is tried again
// with the next renewal.
func (r *Registry) publish(ctx context.Context) {
	era, _ := r.Eras.State()
	r.mutex.Lock()
	view, digest := r.view, r.digest
	news := digest != r.published || era != r.publishedIn
	due := r.settled && r.ownRank == 0 && view.Nodes > 0 && news && r.Publish != nil
	r.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded := bytes.Buffer{}
	if gob.NewEncoder(&encoded).Encode(view) != nil || r.Publish(ctx, encoded.Bytes()) != nil {
		// Publish tells of its failure, and a view can be encoded.
		return
	}
	r.mutex.Lock()
	r.published, r.publishedIn = digest, era
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
