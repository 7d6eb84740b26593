package reflector

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// How a node that has just started finds its place in the fleet.
const (
	// gatherPause is the wait between readings while the fleet gathers. It is longer than
	// a fleet takes to gather, so that two readings mostly do.
	gatherPause = 550 * time.Millisecond
	// oldReadings is how many readings of the nodes may be old, which cost a tenth, before a
	// current one.
	oldReadings = 2
	// hearingPause is the longest wait for the word of relays that were found in the store.
	hearingPause = 2 * time.Second
	// firstHearing is how long a node that has just started waits for the word of another
	// one before it reads the store itself: the first reader may have started last, and
	// reads once the fleet has gathered, which takes the longer the more servers there are.
	// Were it shorter than that, each node of a fleet would ask the store for the same.
	firstHearing = 2 * time.Second
)

// gather reads the nodes' entries until this node knows its place among them. A node
// that starts again finds its former entry in an old reading, or hears of its new one
// from the relays that stand in it. One of a fleet that starts for the first time finds the
// relays in the second old reading; only who finds none asks for a current one. In a fleet
// that has run before, all find the relays in what its first node has published: that is some
// kB, where a page of entries for each of 1,000 nodes takes the store's link 0.7 s.
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
			// A node that is none of the first hears from them of its place. Were it to ask
			// the store again, so would hundreds.
			rest = hearingPause
		}
		r.hearOfPlace(ctx, rest-boottime.Since(begun))
	}
}

// hearOfPlace waits until this node knows its place in the fleet, but not for longer than a
// time.
func (r *Reflector) hearOfPlace(ctx context.Context, longest time.Duration) {
	for begun := boottime.Now(); ctx.Err() == nil && !r.Registry.Settled() && boottime.Since(begun) < longest; {
		pause.For(ctx, startPoll)
	}
}

// readView reads what a first node has published of the fleet.
func (r *Reflector) readView(ctx context.Context) error {
	view, err := r.Source.View(ctx)
	if err != nil || view == nil {
		return err
	}
	return r.Registry.ObservePublished(view, boottime.Now())
}

// awaitRelay gives the relays a moment to tell a node that has just started.
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
