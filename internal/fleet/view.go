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

// WireView is the gob encoding of a View.
type WireView struct {
	Nodes int
	Roomy int
	First []coordination.WireEntry
}

// Wire returns the encoding of the view.
func (v View) Wire() WireView {
	return WireView{Nodes: v.Nodes, Roomy: v.Roomy, First: coordination.WireEntries(v.First)}
}

// View returns the decoded view.
func (w WireView) View() View {
	return View{Nodes: w.Nodes, Roomy: w.Roomy, First: coordination.EntriesFromWire(w.First)}
}

// complete reports whether the view contains all nodes.
func (v View) complete() bool { return v.Nodes > 0 && len(v.First) >= v.Nodes }

// updateView builds the view that other nodes receive from the registrations that this node knows. A node that is not
// registered is not in it.
func (r *Registry) updateView(entries map[string]coordination.Entry) {
	r.view = View{Nodes: r.formerNodes, Roomy: r.large}
	for _, name := range r.firstNodes(viewRelayFactor * r.relays()) {
		if entry, registered := entries[name]; registered {
			r.view.First = append(r.view.First, entry)
		}
	}
	r.digest = r.view.digest()
}

// publishIfChanged writes the view to where starting nodes read it, if this is the node of rank
// 0 and the view has changed or a restored store may have lost it. It returns false if it must be
// written and the write failed.
func (r *Registry) publishIfChanged(ctx context.Context) bool {
	era, _ := r.Eras.State()
	r.mutex.Lock()
	view, digest := r.view, r.digest
	changed := digest != r.publishedDigest || era != r.publishedEra
	due := r.bootstrapped && r.ownRank == 0 && view.Nodes > 0 && changed && r.PublishView != nil
	r.mutex.Unlock()
	if !due {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded := bytes.Buffer{}
	if gob.NewEncoder(&encoded).Encode(view.Wire()) != nil || r.PublishView(ctx, encoded.Bytes()) != nil {
		// PublishView reports its own failure, and encoding a view does not fail.
		return false
	}
	r.mutex.Lock()
	r.publishedDigest, r.publishedEra = digest, era
	r.mutex.Unlock()
	return true
}

// ObservePublishedView applies a view that the node of rank 0 published at some time. A node
// that finds itself among its relays relies on its rank; all others learn which nodes to poll. A
// view that cannot be decoded is ignored.
func (r *Registry) ObservePublishedView(encoded []byte, now time.Time) error {
	var wired WireView
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&wired); err != nil {
		return errors.Annotate(err, "cannot decode the published view of the fleet; run the same version on all nodes")
	}
	view := wired.View()
	if view.Nodes <= 0 || len(view.First) == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.bootstrapped {
		return nil
	}
	if r.firstObservedAt.IsZero() {
		r.firstObservedAt = now
	}
	r.applyView(view)
	r.bootstrapped = r.ownRank < r.relays()
	return nil
}

// ObserveFirstPage applies the first page of the list of registrations. It is in key order, in
// which nodes with more processor time come first. It does not show the number of nodes, but a
// larger fleet has no fewer relays: a node that is a relay in a fleet of the page's size can
// rely on being one.
func (r *Registry) ObserveFirstPage(entries []coordination.Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	infos := make(map[string]nodeInfo, len(entries))
	for _, entry := range entries {
		infos[r.nodeName(entry.Key)] = parseNodeInfo(string(entry.Value))
	}
	if !r.bootstrapped {
		// Earlier observations were partial too.
		r.reportedNodes, r.view, r.digest = 0, View{}, 0
	}
	r.updateRanking(infos)
	r.follows = false
	r.ownRank = r.rankOf(r.Name)
	if r.firstObservedAt.IsZero() {
		r.firstObservedAt = now
	}
	r.bootstrapped = r.bootstrapped || r.ownRank < r.relays() || now.Sub(r.firstObservedAt) >= maxBootstrapWait
}

// ObserveView applies what another node sent: a view, or nil if this node has the same one, and
// the number of nodes, or 0 if the other node does not know it. It reports whether the other
// node knew the fleet.
func (r *Registry) ObserveView(view *View, nodes int) bool {
	switch {
	case nodes == 0:
		return false
	case view == nil:
		r.updateNodeCount(nodes)
	case view.complete():
		r.ObserveNodes(view.First, boottime.Now())
	default:
		r.replaceView(*view)
	}
	return true
}

// updateNodeCount applies the number of nodes, unless this node knows all nodes by name.
func (r *Registry) updateNodeCount(nodes int) {
	r.mutex.Lock()
	changed := !r.view.complete() && r.reportedNodes != nodes
	if changed {
		r.reportedNodes = nodes
	}
	r.mutex.Unlock()
	if changed {
		r.OnResize(nodes)
	}
}

// replaceView adopts another node's view, which does not contain the whole fleet.
func (r *Registry) replaceView(view View) {
	r.mutex.Lock()
	r.applyView(view)
	r.bootstrapped, r.settled = true, true
	r.view, r.digest = view, view.digest()
	r.mutex.Unlock()
	r.OnResize(view.Nodes)
}

// applyView takes over the ranks and infos of a view.
func (r *Registry) applyView(view View) {
	ranked := make([]string, 0, len(view.First))
	infos := make(map[string]nodeInfo, len(view.First))
	for _, entry := range view.First {
		name := r.nodeName(entry.Key)
		ranked = append(ranked, name)
		infos[name] = parseNodeInfo(string(entry.Value))
	}
	r.ranked, r.infos, r.reportedNodes, r.large = ranked, infos, view.Nodes, view.Roomy
	r.formerEntries, r.formerNodes, r.follows = r.latestByName(view.First), view.Nodes, false
	r.listed, r.listedSince = false, time.Time{}
	r.ownRank = r.rankOf(r.Name)
}

// digest returns a hash of the view.
func (v View) digest() uint64 {
	digest := uint64(len(v.First)) + uint64(v.Roomy)<<32
	for _, entry := range v.First {
		digest += uint64(prefix.HashName(entry.Key + " " + string(entry.Value)))
	}
	return digest
}

// ViewDigest returns the digest of this node's view.
func (r *Registry) ViewDigest() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.digest
}

// ViewIfChanged returns this node's view if it has another digest than the given one, and the
// number of nodes, or 0 if this node does not know it, for ObserveView on another node.
func (r *Registry) ViewIfChanged(digest uint64) (view *View, nodes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.view.Nodes == 0 {
		return nil, 0
	}
	own := r.view
	if !own.complete() {
		own.Nodes = r.reportedNodes
	}
	if r.digest == digest {
		return nil, own.Nodes
	}
	return &own, own.Nodes
}
