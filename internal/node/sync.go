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
func (node *Node) join(ctx context.Context) {
	started := boottime.Now()
	for ctx.Err() == nil {
		node.synchronize(ctx)
		node.acquainted()
		pause := resyncInterval
		if node.catalog.revision() == 0 {
			// The zone's watchers read the key-value service, and all other nodes get
			// the configuration from them. A node reads it itself only if that takes
			// longer than directReadDelay.
			if boottime.Since(started) > ownReadAfter {
				_ = node.catalog.read(ctx)
			}
			pause = startInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// synchronize exchanges membership views with a few peers and fetches a higher
// configuration revision from them.
func (node *Node) synchronize(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	self, digest := node.gossip.view()
	addresses := node.syncPartners()
	answers := make(chan wire.SyncAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := call[wire.SyncAnswer](ctx, node, address, wire.SyncRequest{Self: self, Digest: digest})
			if err != nil {
				answer = wire.SyncAnswer{}
			}
			if !answer.Same {
				node.gossip.merge(answer.Members, answer.Items)
			}
			if answer.Revision > node.catalog.revision() {
				node.fetch(ctx, address)
			}
			answers <- answer
		}()
	}
	for range addresses {
		select {
		case <-answers:
		case <-ctx.Done():
			return
		}
	}
}

// syncPeers returns all seeds while no other member is known, and otherwise one
// random seed and one random member. Seeds heal network partitions; members repair
// lost gossip even if all seeds are gone.
func (node *Node) syncPartners() []string {
	seeds := node.others(node.settings.Seeds)
	members := node.others(node.gossip.addresses())
	if len(members) == 0 {
		return seeds
	}
	partners := members[:1]
	if len(seeds) > 0 && seeds[0] != partners[0] {
		partners = append(partners, seeds[0])
	}
	return partners
}

// otherAddresses returns the addresses other than this node's in random order.
func (node *Node) others(addresses []string) []string {
	others := []string{}
	for _, index := range rand.Perm(len(addresses)) {
		if addresses[index] != node.settings.PeerAddress {
			others = append(others, addresses[index])
		}
	}
	return others
}
