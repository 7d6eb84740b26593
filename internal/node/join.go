package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/wire"
)

// join looks for the fleet at once, and again from time to time, so that what
// gossip lost is made up for.
func (node *Node) join(ctx context.Context) {
	started := boottime.Now()
	for ctx.Err() == nil {
		node.synchronize(ctx)
		node.acquainted()
		pause := resyncInterval
		if node.catalog.revision() == 0 {
			// The zone's watchers read the service. The others hear from them; only
			// if that takes long does each try for itself.
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

// synchronize exchanges views with a few peers and takes the highest revision.
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

// syncPartners are all seeds while nobody else is known, and after that one seed
// and one member, drawn at random: seeds heal partitions, members repair what
// gossip lost even when all seeds are gone.
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

// others returns the addresses but this node's, in random order.
func (node *Node) others(addresses []string) []string {
	others := []string{}
	for _, index := range rand.Perm(len(addresses)) {
		if addresses[index] != node.settings.PeerAddress {
			others = append(others, addresses[index])
		}
	}
	return others
}
