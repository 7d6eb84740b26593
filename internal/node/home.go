package node

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/wire"
)

const (
	// DefaultReplicateUpTo is the size of fleet up to which every node keeps the
	// whole index. Above it, each chain has one home. docs/decisions/index.md
	// weighs it.
	DefaultReplicateUpTo = 32
	// lookupTimeout is what a placement waits for a home before it goes without.
	lookupTimeout = 20 * time.Millisecond
)

// stream of updates from one reader about one endpoint.
type updateStream struct {
	reader   string
	sequence uint64
}

// home keeps this node's part of the index.
type home struct {
	mutex   sync.Mutex
	index   *prefixindex.Index
	streams map[string]updateStream
	loads   map[string]wire.HolderLoad
}

func newHome() *home {
	return &home{index: prefixindex.New(), streams: map[string]updateStream{}, loads: map[string]wire.HolderLoad{}}
}

// apply takes an update. One that does not follow on from the last is refused,
// unless it starts afresh.
func (home *home) apply(update wire.IndexUpdate, now time.Time) wire.IndexAnswer {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	endpoint := update.Update.Holder.Endpoint
	last := home.streams[endpoint]
	follows := last.reader == update.Reader && last.sequence+1 == update.Sequence
	if !follows && !update.Update.Clear {
		return wire.IndexAnswer{NeedAll: true}
	}
	home.streams[endpoint] = updateStream{reader: update.Reader, sequence: update.Sequence}
	home.index.Apply(update.Update)
	home.loads[endpoint] = wire.HolderLoad{Endpoint: endpoint, Load: update.Load, At: now}
	return wire.IndexAnswer{}
}

func (home *home) lookup(chain []prefix.Hash) wire.LookupAnswer {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	answer := wire.LookupAnswer{Depths: home.index.Lookup(nil, chain)}
	for _, depth := range answer.Depths {
		answer.Loads = append(answer.Loads, home.loads[depth.Holder.Endpoint])
	}
	return answer
}

// reset forgets everything, as after a pause.
func (home *home) reset() {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	home.index = prefixindex.New()
	home.streams = map[string]updateStream{}
}

func (home *home) blocks() int {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	return home.index.Len()
}

// replicated reports whether every node keeps the whole index.
func (node *Node) replicated(nodes int) bool { return nodes <= node.replicateUpTo }

// lookup asks who holds the chain. The fallback without an answer is an empty
// one: the request then goes where rendezvous sends it.
func (node *Node) lookup(ctx context.Context, chain []prefix.Hash) wire.LookupAnswer {
	if len(chain) == 0 {
		return wire.LookupAnswer{}
	}
	addresses := node.gossip.addresses()
	owner := prefix.Owner(chain[0], addresses)
	if node.replicated(len(addresses)) || owner == node.settings.PeerAddress {
		return node.home.lookup(chain)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answer, err := call[wire.LookupAnswer](ctx, node, owner, wire.LookupRequest{Chain: chain})
	if err != nil {
		node.metrics.LookupFallbacks.Inc()
		return wire.LookupAnswer{}
	}
	for _, load := range answer.Loads {
		node.table.Report(load.Endpoint, load.Load, load.At)
	}
	return answer
}

// applyUpdate takes a reader's update for this node's part of the index.
func (node *Node) applyUpdate(update wire.IndexUpdate) wire.IndexAnswer {
	now := time.Now()
	node.table.Report(update.Update.Holder.Endpoint, update.Load, now)
	return node.home.apply(update, now)
}
