package origin

import (
	"cmp"
	"slices"

	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// rankHolders returns the nodes in the order in which they hold the record of a stream, up to a limit.
// Nodes that know the same others agree on it. The second one is in another zone than the first, if
// there is one, so that the loss of a zone leaves a record.
func rankHolders(key Key, nodes []fleet.Node, limit int) []fleet.Node {
	type ranked struct {
		node   fleet.Node
		weight uint64
	}
	all := make([]ranked, len(nodes))
	for i, node := range nodes {
		all[i] = ranked{node: node, weight: prefix.Weight(prefix.Hash(key), node.Name)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node.Name, b.node.Name))
	})
	for i := range all {
		if all[i].node.Zone != all[0].node.Zone {
			other := all[i]
			copy(all[2:i+1], all[1:i])
			all[1] = other
			break
		}
	}
	holders := make([]fleet.Node, min(limit, len(all)))
	for i := range holders {
		holders[i] = all[i].node
	}
	return holders
}
