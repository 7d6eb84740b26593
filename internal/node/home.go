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

// lookupTimeout is what a placement waits for a home before it goes without.
const lookupTimeout = 20 * time.Millisecond

// stream of updates from one reader about one endpoint.
type updateStream struct {
	reader   string
	sequence uint64
}

// loadReport is an engine's load and when this node heard of it.
type loadReport struct {
	load engineapi.Load
	at   time.Time
}

// home keeps this node's part of the index.
type home struct {
	mutex   sync.Mutex
	index   *prefixindex.Index
	streams map[string]updateStream
	loads   map[string]loadReport
}

func newHome() *home {
	return &home{index: prefixindex.New(), streams: map[string]updateStream{}, loads: map[string]loadReport{}}
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
	home.loads[endpoint] = loadReport{load: update.Load, at: now}
	return wire.IndexAnswer{}
}

// lookup lists the deepest holders of a chain first.
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

// depths lists all holders of a chain.
func (home *home) depths(chain []prefix.Hash) []prefixindex.Depth {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	return home.index.Lookup(nil, chain)
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
func (node *Node) replicated(nodes int) bool { return nodes <= node.settings.ReplicateUpTo }

// lookup asks who holds the chain. The fallback without an answer is an empty
// one: the request then goes where rendezvous sends it.
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

// ask looks anchors up at their home.
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

// serveLookup answers for the chains whose home is here.
func (node *Node) serveLookup(request wire.LookupRequest) wire.LookupAnswer {
	return node.home.lookup(request.Chain, boottime.Now(), wire.MaximumHoldings)
}

// applyUpdate takes a reader's update for this node's part of the index.
func (node *Node) applyUpdate(update wire.IndexUpdate) wire.IndexAnswer {
	now := boottime.Now()
	node.table.Report(update.Update.Holder.Endpoint, update.Load, now)
	return node.home.apply(update, now)
}
