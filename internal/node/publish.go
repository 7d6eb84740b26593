package node

import (
	"context"
	"slices"
	"sync"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/eventreader"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/wire"
)

// publish sends each node its part of a change. After a change of the fleet, the
// parts of many nodes differ, so all nodes get a full update, a few per round.
func (observer *observer) publish(ctx context.Context, change eventreader.Change, load engineapi.Load) {
	addresses := observer.node.gossip.addresses()
	observer.noteFleet(addresses)
	replicated := observer.node.replicated(len(addresses))
	parts := split(change, addresses, replicated)
	if renewed := observer.takeRenewals(); len(renewed) > 0 {
		whole := split(observer.reader.All(), addresses, replicated)
		for _, address := range renewed {
			parts[address] = whole[address].Cleared()
		}
	}
	updates := map[string]wire.IndexUpdate{}
	for address, part := range parts {
		observer.sequences[address]++
		updates[address] = observer.update(address, part, load)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var mutex sync.Mutex
	var done sync.WaitGroup
	for address, update := range updates {
		done.Go(func() {
			if answer, err := observer.send(ctx, address, update); err == nil && answer.NeedAll {
				// The receiver missed an update or has just started.
				mutex.Lock()
				defer mutex.Unlock()
				observer.renew[address] = true
			}
		})
	}
	done.Wait()
}

// trackNodes schedules a full update for all nodes if the fleet has changed.
func (observer *observer) noteFleet(addresses []string) {
	if slices.Equal(addresses, observer.fleet) {
		return
	}
	observer.fleet = addresses
	observer.renew = map[string]bool{}
	for _, address := range addresses {
		observer.renew[address] = true
	}
}

// takePendingFullUpdates removes and returns the nodes that get a full update in this
// round.
func (observer *observer) takeRenewals() []string {
	picked := []string{}
	for address := range observer.renew {
		if len(picked) == renewalsAtOnce {
			break
		}
		picked = append(picked, address)
		delete(observer.renew, address)
	}
	return picked
}

func (observer *observer) update(address string, part eventreader.Change, load engineapi.Load) wire.IndexUpdate {
	return wire.IndexUpdate{Reader: observer.node.settings.PeerAddress, Sequence: observer.sequences[address], Update: part.Update(observer.reader.Holder()), Load: load}
}

func (observer *observer) send(ctx context.Context, address string, update wire.IndexUpdate) (wire.IndexAnswer, error) {
	if address == observer.node.settings.PeerAddress {
		return observer.node.applyUpdate(update), nil
	}
	return call[wire.IndexAnswer](ctx, observer.node, address, update)
}

// splitByOwner splits a change by receiving node. In a small fleet each node gets the
// whole change, and a load report even if nothing changed; in a large one the anchors
// of each chain go to the node that owns its partition.
func split(change eventreader.Change, addresses []string, replicated bool) map[string]eventreader.Change {
	parts := map[string]eventreader.Change{}
	if replicated {
		for _, address := range addresses {
			parts[address] = change
		}
		return parts
	}
	if change.Clear {
		for _, address := range addresses {
			parts[address] = eventreader.Change{Clear: true}
		}
	}
	for address, anchors := range deal(change.Stored, addresses) {
		part := parts[address]
		part.Stored = anchors
		parts[address] = part
	}
	for address, anchors := range deal(change.Evicted, addresses) {
		part := parts[address]
		part.Evicted = anchors
		parts[address] = part
	}
	return parts
}

// anchorsByOwner groups the anchors of each chain by the node that owns them.
func deal(blocks []eventreader.Placed, addresses []string) map[string][]eventreader.Placed {
	dealt := map[string][]eventreader.Placed{}
	for _, item := range blocks {
		if prefixindex.IsAnchor(item.Depth) {
			owner := prefix.Owner(item.Root, addresses)
			dealt[owner] = append(dealt[owner], item)
		}
	}
	return dealt
}
