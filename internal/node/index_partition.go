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

// updateStream identifies the last update applied for one endpoint: the node that
// observes the endpoint, and the sequence number of its update.
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
type indexPartition struct {
	mutex   sync.Mutex
	index   *prefixindex.Index
	streams map[string]updateStream
	loads   map[string]loadReport
}

func newIndexPartition() *indexPartition {
	return &indexPartition{index: prefixindex.New(), streams: map[string]updateStream{}, loads: map[string]loadReport{}}
}

// apply applies an update. An update that does not continue the last one is rejected
// with a request for a full update, unless it is one.
func (indexPartition *indexPartition) apply(update wire.IndexUpdateRequest, now time.Time) wire.IndexUpdateResponse {
	indexPartition.mutex.Lock()
	defer indexPartition.mutex.Unlock()
	endpoint := update.Update.Holder.Endpoint
	last := indexPartition.streams[endpoint]
	follows := last.reader == update.Reader && last.sequence+1 == update.Sequence
	if !follows && !update.Update.Clear {
		return wire.IndexUpdateResponse{NeedAll: true}
	}
	indexPartition.streams[endpoint] = updateStream{reader: update.Reader, sequence: update.Sequence}
	indexPartition.index.Apply(update.Update)
	indexPartition.loads[endpoint] = loadReport{load: update.Load, at: now}
	return wire.IndexUpdateResponse{}
}

// lookup returns at most limit holders of a chain, preferring those that hold most
// blocks.
func (indexPartition *indexPartition) lookup(chain []prefix.Hash, now time.Time, limit int) wire.LookupResponse {
	indexPartition.mutex.Lock()
	defer indexPartition.mutex.Unlock()
	depths := indexPartition.index.Lookup(nil, chain)
	if len(depths) > limit {
		sort.Slice(depths, func(i, j int) bool { return depths[i].Blocks > depths[j].Blocks })
		depths = depths[:limit]
	}
	response := wire.LookupResponse{}
	for _, depth := range depths {
		report := indexPartition.loads[depth.Holder.Endpoint]
		response.Holdings = append(response.Holdings, wire.Holding{Depth: depth, Load: report.load, LoadAge: now.Sub(report.at)})
	}
	return response
}

// depths returns all holders of a chain.
func (indexPartition *indexPartition) depths(chain []prefix.Hash) []prefixindex.Depth {
	indexPartition.mutex.Lock()
	defer indexPartition.mutex.Unlock()
	return indexPartition.index.Lookup(nil, chain)
}

// reset discards the index, for example after a pause of the process.
func (indexPartition *indexPartition) reset() {
	indexPartition.mutex.Lock()
	defer indexPartition.mutex.Unlock()
	indexPartition.index = prefixindex.New()
	indexPartition.streams = map[string]updateStream{}
}

func (indexPartition *indexPartition) blocks() int {
	indexPartition.mutex.Lock()
	defer indexPartition.mutex.Unlock()
	return indexPartition.index.Len()
}

// indexReplicated reports whether every node holds the whole index.
func (node *Node) indexReplicated(nodes int) bool { return nodes <= node.settings.ReplicateUpTo }

// lookupPrefix returns the holders of the chain. If the owner of the partition does
// not respond, it returns none, and rendezvous hashing decides the placement.
func (node *Node) lookupPrefix(ctx context.Context, chain []prefix.Hash) []prefixindex.Depth {
	if len(chain) == 0 {
		return nil
	}
	addresses := node.gossip.addresses()
	if node.indexReplicated(len(addresses)) {
		return node.indexPartition.depths(chain)
	}
	owner := prefix.Owner(chain[0], addresses)
	response := node.queryPartition(ctx, owner, wire.LookupRequest{Chain: prefixindex.Anchors(chain)})
	depths := make([]prefixindex.Depth, 0, len(response.Holdings))
	now := boottime.Now()
	for _, holding := range response.Holdings {
		depths = append(depths, prefixindex.Depth{Holder: holding.Holder, Blocks: prefixindex.AnchorDepth(holding.Blocks)})
		if owner != node.settings.PeerAddress {
			node.table.ReportLoad(holding.Holder.Endpoint, holding.Load, now.Add(-holding.LoadAge))
		}
	}
	return depths
}

// queryPartition looks up anchors at the node that owns their partition.
func (node *Node) queryPartition(ctx context.Context, owner string, request wire.LookupRequest) wire.LookupResponse {
	if owner == node.settings.PeerAddress {
		return node.serveLookup(request)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	response, err := callPeer[wire.LookupResponse](ctx, node, owner, request)
	if err != nil {
		node.metrics.LookupFallbacks.Inc()
		return wire.LookupResponse{}
	}
	return response
}

// serveLookup handles a lookup in this node's partition.
func (node *Node) serveLookup(request wire.LookupRequest) wire.LookupResponse {
	return node.indexPartition.lookup(request.Chain, boottime.Now(), wire.MaxHoldings)
}

// applyUpdate applies an observer's update to this node's partition.
func (node *Node) applyUpdate(update wire.IndexUpdateRequest) wire.IndexUpdateResponse {
	now := boottime.Now()
	node.table.ReportLoad(update.Update.Holder.Endpoint, update.Load, now)
	return node.indexPartition.apply(update, now)
}
