package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/wire"
)

// syncPeriodically synchronizes with peers at once and then periodically, which
// repairs state that gossip has lost.
func (node *Node) syncPeriodically(ctx context.Context) {
	started := boottime.Now()
	for ctx.Err() == nil {
		node.synchronize(ctx)
		node.markSynced()
		delay := resyncInterval
		if node.activeConfig.revision() == 0 {
			// The zone's watchers read the key-value service, and all other nodes get
			// the configuration from them. A node reads it itself only if that takes
			// longer than directReadDelay.
			if boottime.Since(started) > directReadDelay {
				_ = node.activeConfig.refresh(ctx)
			}
			delay = startupSyncInterval
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// synchronize exchanges membership views with a few peers and fetches a higher
// configuration revision from them.
func (node *Node) synchronize(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	self, digest := node.gossip.selfAndDigest()
	addresses := node.syncPeers()
	responses := make(chan wire.SyncResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			response, err := callPeer[wire.SyncResponse](ctx, node, address, wire.SyncRequest{Self: self, Digest: digest})
			if err != nil {
				response = wire.SyncResponse{}
			}
			if !response.Same {
				node.gossip.merge(response.Members, response.Items)
			}
			if response.Revision > node.activeConfig.revision() {
				node.fetchConfiguration(ctx, address)
			}
			responses <- response
		}()
	}
	for range addresses {
		select {
		case <-responses:
		case <-ctx.Done():
			return
		}
	}
}

// syncPeers returns all seeds while no other member is known, and otherwise one
// random seed and one random member. Seeds heal network partitions; members repair
// lost gossip even if all seeds are gone.
func (node *Node) syncPeers() []string {
	seeds := node.otherAddresses(node.settings.Seeds)
	members := node.otherAddresses(node.gossip.addresses())
	if len(members) == 0 {
		return seeds
	}
	peers := members[:1]
	if len(seeds) > 0 && seeds[0] != peers[0] {
		peers = append(peers, seeds[0])
	}
	return peers
}

// otherAddresses returns the addresses other than this node's in random order.
func (node *Node) otherAddresses(addresses []string) []string {
	others := []string{}
	for _, index := range rand.Perm(len(addresses)) {
		if addresses[index] != node.settings.PeerAddress {
			others = append(others, addresses[index])
		}
	}
	return others
}
