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
	observer.trackNodes(addresses)
	replicated := observer.node.indexReplicated(len(addresses))
	parts := splitByOwner(change, addresses, replicated)
	if fullUpdates := observer.takePendingFullUpdates(); len(fullUpdates) > 0 {
		full := splitByOwner(observer.reader.FullState(), addresses, replicated)
		for _, address := range fullUpdates {
			parts[address] = full[address].WithClear()
		}
	}
	updates := map[string]wire.IndexUpdateRequest{}
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
			if response, err := observer.send(ctx, address, update); err == nil && response.NeedAll {
				// The receiver missed an update or has just started.
				mutex.Lock()
				defer mutex.Unlock()
				observer.pendingFullUpdates[address] = true
			}
		})
	}
	done.Wait()
}

// trackNodes schedules a full update for all nodes if the fleet has changed.
func (observer *observer) trackNodes(addresses []string) {
	if slices.Equal(addresses, observer.nodes) {
		return
	}
	observer.nodes = addresses
	observer.pendingFullUpdates = map[string]bool{}
	for _, address := range addresses {
		observer.pendingFullUpdates[address] = true
	}
}

// takePendingFullUpdates removes and returns the nodes that get a full update in this
// round.
func (observer *observer) takePendingFullUpdates() []string {
	picked := []string{}
	for address := range observer.pendingFullUpdates {
		if len(picked) == maxFullUpdatesPerRound {
			break
		}
		picked = append(picked, address)
		delete(observer.pendingFullUpdates, address)
	}
	return picked
}

func (observer *observer) update(address string, part eventreader.Change, load engineapi.Load) wire.IndexUpdateRequest {
	return wire.IndexUpdateRequest{Reader: observer.node.settings.PeerAddress, Sequence: observer.sequences[address], Update: part.Update(observer.reader.Holder()), Load: load}
}

func (observer *observer) send(ctx context.Context, address string, update wire.IndexUpdateRequest) (wire.IndexUpdateResponse, error) {
	if address == observer.node.settings.PeerAddress {
		return observer.node.applyUpdate(update), nil
	}
	return callPeer[wire.IndexUpdateResponse](ctx, observer.node, address, update)
}

// splitByOwner splits a change by receiving node. In a small fleet each node gets the
// whole change, and a load report even if nothing changed; in a large one the anchors
// of each chain go to the node that owns its partition.
func splitByOwner(change eventreader.Change, addresses []string, replicated bool) map[string]eventreader.Change {
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
	for address, anchors := range anchorsByOwner(change.Stored, addresses) {
		part := parts[address]
		part.Stored = anchors
		parts[address] = part
	}
	for address, anchors := range anchorsByOwner(change.Evicted, addresses) {
		part := parts[address]
		part.Evicted = anchors
		parts[address] = part
	}
	return parts
}

// anchorsByOwner groups the anchors of each chain by the node that owns them.
func anchorsByOwner(blocks []eventreader.PositionedBlock, addresses []string) map[string][]eventreader.PositionedBlock {
	byOwner := map[string][]eventreader.PositionedBlock{}
	for _, item := range blocks {
		if prefixindex.IsAnchor(item.Depth) {
			owner := prefix.Owner(item.Root, addresses)
			byOwner[owner] = append(byOwner[owner], item)
		}
	}
	return byOwner
}
