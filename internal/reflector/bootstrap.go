package reflector

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// Intervals and limits of a starting node's search for its rank in the fleet.
const (
	// bootstrapReadInterval is the wait between reads while the fleet bootstraps. It is
	// longer than the registration of a fleet takes, so that two reads mostly suffice.
	bootstrapReadInterval = 550 * time.Millisecond
	// staleReads is the number of possibly stale reads before a linearizable one, which costs
	// the store ten times as much.
	staleReads = 2
	// relayRankWait bounds the wait for relays that were found in the store to deliver this
	// node's rank.
	relayRankWait = 2 * time.Second
	// firstUpstreamWait is how long a starting node waits for another node's state before it
	// reads the store itself. The first reader may have started last, and reads only once
	// the fleet has bootstrapped, which takes longer with more servers. A shorter wait would
	// make every node of a starting fleet read the same from the store.
	firstUpstreamWait = 2 * time.Second
)

// bootstrap reads the node registrations until this node knows its rank. A restarted node
// finds its earlier registration in a stale read, or learns of its new one from the relays
// listed there. In a fleet that starts for the first time, nodes find the relays in the
// second stale read; only a node that finds none makes a linearizable one. In a fleet that
// has run before, all nodes find the relays in the published view, which has a few kB. A page
// of registrations for each of 1,000 nodes would occupy the store's link for 0.7 s.
func (r *Reflector) bootstrap(ctx context.Context) {
	if err := r.readWithTimeout(ctx, r.readView); err == nil && r.Registry.Nodes() > 1 {
		r.awaitRank(ctx, relayRankWait)
	}
	for reads := 0; ctx.Err() == nil && !r.Registry.Bootstrapped(); {
		startedAt := boottime.Now()
		wait, stale := bootstrapReadInterval, reads < staleReads
		err := r.readWithTimeout(ctx, func(ctx context.Context) error { return r.readNodes(ctx, stale) })
		if err == nil {
			reads++
		}
		switch {
		case err != nil:
			wait = r.failureDelay()
		case r.Registry.OutsideView():
			// A node beyond the first ones learns its rank from the relays. If it read the
			// store again instead, so would hundreds of nodes.
			wait = relayRankWait
		}
		r.awaitRank(ctx, wait-boottime.Since(startedAt))
	}
}

// awaitRank waits until this node knows its rank in the fleet, or until the timeout.
func (r *Reflector) awaitRank(ctx context.Context, timeout time.Duration) {
	for startedAt := boottime.Now(); ctx.Err() == nil && !r.Registry.Bootstrapped() && boottime.Since(startedAt) < timeout; {
		pause.For(ctx, startupPollInterval)
	}
}

// readView reads the published view of the fleet.
func (r *Reflector) readView(ctx context.Context) error {
	view, err := r.Source.ReadView(ctx)
	if err != nil || view == nil {
		return err
	}
	return r.Registry.ObservePublishedView(view, boottime.Now())
}

// awaitUpstream gives other nodes time to deliver their state to a starting node. A relay does not wait for nodes that
// are gone: its followers depend on it, and relays are few.
func (r *Reflector) awaitUpstream(ctx context.Context) {
	for startedAt := boottime.Now(); ctx.Err() == nil && boottime.Since(startedAt) < r.upstreamWait(); {
		if r.isFresh(r.MaxStaleness, boottime.Now()) {
			return
		}
		if r.Relays() && r.upstreamsLost.Load() {
			r.Recorder.UpstreamsLost()
			return
		}
		pause.For(ctx, startupPollInterval)
	}
}

// upstreamWait returns how long a starting node waits for another node's state. The other readers follow the first one
// as they do when it is lost later: those that live would otherwise wait for each other.
func (r *Reflector) upstreamWait() time.Duration {
	switch {
	case r.isFirstReader():
		return 0
	case r.Reads():
		return r.maxAge(readerFraction - firstReaderFraction)
	default:
		return firstUpstreamWait
	}
}

func (r *Reflector) readNodes(ctx context.Context, stale bool) error {
	sentAt := boottime.Now()
	entries, complete, err := r.Source.ReadNodes(ctx, stale)
	if err != nil {
		return err
	}
	switch now := boottime.Now(); {
	case !complete:
		r.Registry.ObserveFirstPage(entries, now)
	case stale:
		r.Registry.ObserveStaleNodes(entries, now)
	default:
		r.Registry.ObserveNodes(entries, now)
		r.Registry.Confirm(sentAt)
	}
	r.nodesReadAt.store(sentAt)
	return nil
}
