package reflector

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// Parameters of how a starting node finds its rank in the fleet.
const (
	// bootstrapReadInterval is the wait between reads while the fleet bootstraps. It is
	// longer than the registration of a fleet takes, so that two reads mostly suffice.
	gatherPause = 550 * time.Millisecond
	// staleReads is the number of possibly stale reads, which cost a tenth, before a
	// linearizable one.
	oldReadings = 2
	// relayRankWait bounds the wait for relays that were found in the store to deliver this
	// node's rank.
	hearingPause = 2 * time.Second
	// firstUpstreamWait is how long a starting node waits for another node's state before it
	// reads the store itself. The first reader may have started last, and reads only once
	// the fleet has bootstrapped, which takes longer with more servers. A shorter wait would
	// make every node of a starting fleet read the same from the store.
	firstHearing = 2 * time.Second
)

// bootstrap reads the node registrations until this node knows its rank. A restarted node
// finds its earlier registration in a stale read, or learns of its new one from the relays
// listed there. In a fleet that starts for the first time, nodes find the relays in the
// second stale read; only a node that finds none makes a linearizable one. In a fleet that
// has run before, all nodes find the relays in the published view: that has a few kB, whereas
// a page of registrations for each of 1,000 nodes occupies the store's link for 0.7 s.
func (r *Reflector) gather(ctx context.Context) {
	if err := r.bounded(ctx, r.readView); err == nil && r.Registry.Nodes() > 1 {
		r.hearOfPlace(ctx, hearingPause)
	}
	for readings := 0; ctx.Err() == nil && !r.Registry.Settled(); readings++ {
		begun := boottime.Now()
		rest, old := gatherPause, readings < oldReadings
		err := r.bounded(ctx, func(ctx context.Context) error { return r.readNodes(ctx, old) })
		switch {
		case err != nil:
			rest = r.failurePause()
		case r.Registry.Outer():
			// A node beyond the first ones learns its rank from the relays. If it read the
			// store again instead, so would hundreds of nodes.
			rest = hearingPause
		}
		r.hearOfPlace(ctx, rest-boottime.Since(begun))
	}
}

// awaitRank waits until this node knows its rank in the fleet, or until the timeout.
func (r *Reflector) hearOfPlace(ctx context.Context, longest time.Duration) {
	for begun := boottime.Now(); ctx.Err() == nil && !r.Registry.Settled() && boottime.Since(begun) < longest; {
		pause.For(ctx, startPoll)
	}
}

// readView reads the published view of the fleet.
func (r *Reflector) readView(ctx context.Context) error {
	view, err := r.Source.View(ctx)
	if err != nil || view == nil {
		return err
	}
	return r.Registry.ObservePublished(view, boottime.Now())
}

// awaitUpstream gives the relays time to deliver their state to a starting node.
func (r *Reflector) awaitRelay(ctx context.Context) {
	for begun := boottime.Now(); ctx.Err() == nil && boottime.Since(begun) < firstHearing; {
		if r.leads() || r.knows(r.Bound, boottime.Now()) {
			return
		}
		pause.For(ctx, startPoll)
	}
}

func (r *Reflector) readNodes(ctx context.Context, old bool) error {
	begun := boottime.Now()
	entries, all, err := r.Source.Nodes(ctx, old)
	if err != nil {
		return err
	}
	switch now := boottime.Now(); {
	case !all:
		r.Registry.ObserveFirst(entries, now)
	case old:
		r.Registry.ObserveOldNodes(entries, now)
	default:
		r.Registry.ObserveNodes(entries, now)
	}
	r.nodesAt.store(begun)
	return nil
}
