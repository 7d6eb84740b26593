package origin

import (
	"slices"

	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// holder is a node with its rendezvous weight for a stream.
type holder struct {
	node   *fleet.Node
	weight uint64
}

// before reports whether h ranks before another holder.
func (h holder) before(other holder) bool {
	if h.weight != other.weight {
		return h.weight > other.weight
	}
	return h.node.Name < other.node.Name
}

// rankHolders returns the nodes in the order in which they hold the record of a stream, up to a limit.
// Nodes that know the same others agree on it. The second one is in another zone than the first, if
// there is one, so that the loss of a zone leaves a record.
func rankHolders(key Key, nodes []fleet.Node, limit int) []fleet.Node {
	weighed := make([]holder, len(nodes))
	first := make([]holder, 0, limit+1)
	for i := range nodes {
		weighed[i] = holder{&nodes[i], prefix.Weight(prefix.Hash(key), nodes[i].Name)}
		first = insertHolder(first, weighed[i], limit)
	}
	if len(first) > 1 && first[1].node.Zone == first[0].node.Zone {
		first = preferOtherZone(first, weighed, limit)
	}
	ranked := make([]fleet.Node, len(first))
	for i, h := range first {
		ranked[i] = *h.node
	}
	return ranked
}

// insertHolder inserts a holder into a list in rank order, and cuts the list to a limit.
func insertHolder(list []holder, h holder, limit int) []holder {
	if len(list) == limit && !h.before(list[limit-1]) {
		return list
	}
	at := len(list)
	for at > 0 && h.before(list[at-1]) {
		at--
	}
	list = slices.Insert(list, at, h)
	return list[:min(len(list), limit)]
}

// preferOtherZone moves the best holder of another zone than the first one's to the second place.
func preferOtherZone(first, all []holder, limit int) []holder {
	best := holder{}
	for _, h := range all {
		if h.node.Zone != first[0].node.Zone && (best.node == nil || h.before(best)) {
			best = h
		}
	}
	if best.node == nil {
		return first
	}
	first = slices.DeleteFunc(first, func(h holder) bool { return h == best })
	first = slices.Insert(first, 1, best)
	return first[:min(len(first), limit)]
}
