package node

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/wire"
)

// lookupTimeout bounds the wait of a placement for a lookup on another node. After
// it, the placement proceeds without prefix information.
const lookupTimeout = 20 * time.Millisecond

// updateStream is the position in the updates of one observer about one endpoint.
type updateStream struct {
	reader   string
	sequence uint64
}

// loadReport is an engine's load and the time at which it was received.
type loadReport struct {
	load engineapi.Load
	at   time.Time
}

// indexPartition holds this node's partition of the prefix index.
type home struct {
	mutex   sync.Mutex
	index   *prefixindex.Index
	streams map[string]updateStream
	loads   map[string]loadReport
}

func newHome() *home {
	return &home{index: prefixindex.New(), streams: map[string]updateStream{}, loads: map[string]loadReport{}}
}

// apply applies an update. An update that does not continue the last one is rejected
// with a request for a full update, unless it is one.
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
	home.loads[endpoint] = loadReport{load: update.Load, at: now}
	return wire.IndexAnswer{}
}

// lookup returns at most limit holders of a chain, preferring those that hold most
// blocks.
func (home *home) lookup(chain []prefix.Hash, now time.Time, limit int) wire.LookupAnswer {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	depths := home.index.Lookup(nil, chain)
	if len(depths) > limit {
		sort.Slice(depths, func(i, j int) bool { return depths[i].Blocks > depths[j].Blocks })
		depths = depths[:limit]
	}
	answer := wire.LookupAnswer{}
	for _, depth := range depths {
		report := home.loads[depth.Holder.Endpoint]
		answer.Holdings = append(answer.Holdings, wire.Holding{Depth: depth, Load: report.load, LoadAge: now.Sub(report.at)})
	}
	return answer
}

// depths returns all holders of a chain.
func (home *home) depths(chain []prefix.Hash) []prefixindex.Depth {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	return home.index.Lookup(nil, chain)
}

// reset discards the index, for example after a pause of the process.
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

// indexReplicated reports whether every node holds the whole index.
func (node *Node) replicated(nodes int) bool { return nodes <= node.settings.ReplicateUpTo }

// lookupPrefix returns the holders of the chain. If the owner of the partition does
// not respond, it returns none, and rendezvous hashing decides the placement.
func (node *Node) lookup(ctx context.Context, chain []prefix.Hash) []prefixindex.Depth {
	if len(chain) == 0 {
		return nil
	}
	addresses := node.gossip.addresses()
	if node.replicated(len(addresses)) {
		return node.home.depths(chain)
	}
	owner := prefix.Owner(chain[0], addresses)
	answer := node.ask(ctx, owner, wire.LookupRequest{Chain: prefixindex.Anchors(chain)})
	depths := make([]prefixindex.Depth, 0, len(answer.Holdings))
	now := boottime.Now()
	for _, holding := range answer.Holdings {
		depths = append(depths, prefixindex.Depth{Holder: holding.Holder, Blocks: prefixindex.AnchorDepth(holding.Blocks)})
		if owner != node.settings.PeerAddress {
			node.table.Report(holding.Holder.Endpoint, holding.Load, now.Add(-holding.LoadAge))
		}
	}
	return depths
}

// queryPartition looks up anchors at the node that owns their partition.
func (node *Node) ask(ctx context.Context, owner string, request wire.LookupRequest) wire.LookupAnswer {
	if owner == node.settings.PeerAddress {
		return node.serveLookup(request)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answer, err := call[wire.LookupAnswer](ctx, node, owner, request)
	if err != nil {
		node.metrics.LookupFallbacks.Inc()
		return wire.LookupAnswer{}
	}
	return answer
}

// serveLookup handles a lookup in this node's partition.
func (node *Node) serveLookup(request wire.LookupRequest) wire.LookupAnswer {
	return node.home.lookup(request.Chain, boottime.Now(), wire.MaximumHoldings)
}

// applyUpdate applies an observer's update to this node's partition.
func (node *Node) applyUpdate(update wire.IndexUpdate) wire.IndexAnswer {
	now := boottime.Now()
	node.table.Report(update.Update.Holder.Endpoint, update.Load, now)
	return node.home.apply(update, now)
}
