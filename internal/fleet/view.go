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

// View is the description of the fleet that nodes send each other. Only the first nodes by rank
// are polled by others, so that no node needs the full list.
type View struct {
	// Nodes is the number of nodes, and Roomy the number of large ones.
	Nodes int
	Roomy int
	// First holds the registrations of the first nodes, in rank order.
	First []coordination.Entry
}

// complete reports whether the view contains all nodes.
func (v View) whole() bool { return v.Nodes > 0 && len(v.First) >= v.Nodes }

// updateView builds the view that other nodes receive from a full list. A node that is not
// registered is not in it.
func (r *Registry) look(entries map[string]coordination.Entry) {
	r.view = View{Nodes: len(entries), Roomy: r.roomy}
	for _, name := range r.first(viewRelays * r.relays()) {
		if entry, registered := entries[name]; registered {
			r.view.First = append(r.view.First, entry)
		}
	}
	r.digest = r.view.digest()
}

// publishIfChanged publishes the view for starting nodes, if this is the node of rank 0 and the
// view has changed or a restored store may have lost it. A failed write is retried with the
// next renewal.
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
		// PublishView reports its own failure, and encoding a view does not fail.
		return
	}
	r.mutex.Lock()
	r.published, r.publishedIn = digest, era
	r.mutex.Unlock()
}

// ObservePublishedView applies a view that the node of rank 0 published at some time. A node
// that finds itself among its relays relies on its rank; all others learn which nodes to poll. A
// view that cannot be decoded is ignored.
func (r *Registry) ObservePublished(encoded []byte, now time.Time) error {
	var view View
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&view); err != nil {
		return errors.Annotate(err, "cannot decode the published view of the fleet; run the same version on all nodes")
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

// ObserveFirstPage applies the first page of the list of registrations. It is in key order, in
// which nodes with more processor time come first. It does not show the number of nodes; a node
// that finds itself among the relays of a fleet of the page's size can rely on being a relay.
func (r *Registry) ObserveFirst(entries []coordination.Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	places := make(map[string]place, len(entries))
	for _, entry := range entries {
		places[r.nameOf(entry.Key)] = parsePlace(string(entry.Value))
	}
	if !r.settled {
		// Earlier observations were partial too.
		r.nodes, r.view, r.digest = 0, View{}, 0
	}
	r.rank(places)
	r.ownRank = r.rankOf(r.Name)
	if r.begun.IsZero() {
		r.begun = now
	}
	r.settled = r.settled || r.ownRank < r.relays() || now.Sub(r.begun) >= longestGathering
}

// ObserveView applies what another node sent: a view, or nil if this node has the same one, and
// the number of nodes, or 0 if the other node does not know it. It reports whether that node
// knew.
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

// updateNodeCount applies the number of nodes, unless this node knows all nodes by name.
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

// replaceView adopts another node's view, which does not contain the whole fleet.
func (r *Registry) adopt(view View) {
	r.mutex.Lock()
	r.follow(view)
	r.settled = true
	r.view, r.digest = view, view.digest()
	r.mutex.Unlock()
	r.Resized(view.Nodes)
}

// applyView takes over the ranks and infos of a view.
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

// digest returns a hash of the view.
func (v View) digest() uint64 {
	digest := uint64(len(v.First)) + uint64(v.Roomy)<<32
	for _, entry := range v.First {
		digest += uint64(prefix.KeyOf(entry.Key + " " + string(entry.Value)))
	}
	return digest
}

// ViewDigest returns the digest of this node's view.
func (r *Registry) Digest() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.digest
}

// ViewIfChanged returns this node's view if it has another digest than the given one, and the
// number of nodes, or 0 if this node does not know it, for ObserveView on another node.
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
