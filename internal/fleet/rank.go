package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// updateRanking ranks the known nodes. All nodes that see the same fleet agree on the ranks.
func (r *Registry) updateRanking(infos map[string]nodeInfo) {
	r.infos = infos
	largest := 0.0
	for _, nodeInfo := range r.infos {
		largest = max(largest, nodeInfo.cores)
	}
	keys := make([]rankKey, 0, len(infos))
	r.large = 0
	for name, nodeInfo := range infos {
		key := rankKey{name: name, hash: prefix.HashName(name), large: nodeInfo.cores >= largeNodeShare*largest}
		if key.large {
			r.large++
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, rankKey.compare)
	r.ranked = make([]string, len(keys))
	for i, key := range keys {
		r.ranked[i] = key.name
	}
}

// rankKey determines a node's rank.
type rankKey struct {
	name  string
	hash  prefix.Hash
	large bool
}

// compare orders large nodes first, and then by hash.
func (r rankKey) compare(other rankKey) int {
	if r.large != other.large {
		if r.large {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.hash, other.hash), strings.Compare(r.name, other.name))
}

// Relays returns the number of relays, which are the first nodes by rank. Relays poll each
// other, and each is polled by its part of the rest: the total is least at the square root of
// the fleet's size. If large nodes are at least half as many, they are the only relays.
func (r *Registry) Relays() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.relays()
}

func (r *Registry) relays() int {
	nodes := r.size()
	count := min(nodes, max(minRelays, int(math.Ceil(math.Sqrt(float64(nodes))))))
	if r.large < count && 2*r.large >= count {
		return r.large
	}
	return count
}

// IsRelay reports whether this node is a relay.
func (r *Registry) IsRelay() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.follows && r.ownRank < r.relays()
}

// IsReader reports whether this node is one of the relays that read the store for the fleet.
func (r *Registry) IsReader() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.follows && r.ownRank < ReaderCount
}

// RelayAddresses returns the addresses of the relays, those of this node's zone first. Each node
// starts at another offset in each group, which spreads the load.
func (r *Registry) RelayAddresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	local, remote := []string{}, []string{}
	for _, name := range r.firstNodes(r.relays()) {
		if info := r.infos[name]; info.zone == r.Zone {
			local = append(local, info.address)
		} else {
			remote = append(remote, info.address)
		}
	}
	offset := r.ownRank
	if offset >= len(r.ranked) {
		// The exact rank is not known, and other nodes would use the same one.
		offset = int(uint32(prefix.HashName(r.Name)))
	}
	return append(rotate(local, offset), rotate(remote, offset)...)
}

// Node is another node of the fleet.
type Node struct {
	Name string
	// Address is where other nodes reach it.
	Address string
	Zone    string
}

// OtherNodes returns the nodes that this node knows by name, except itself: all, or in a large
// fleet the first ones by rank.
func (r *Registry) OtherNodes() []Node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	nodes := make([]Node, 0, len(r.ranked))
	for _, name := range r.ranked {
		if info := r.infos[name]; name != r.Name && info.address != "" {
			nodes = append(nodes, Node{Name: name, Address: info.address, Zone: info.zone})
		}
	}
	return nodes
}

// ParseNodes returns the nodes of a list of registrations, except this one.
func (r *Registry) ParseNodes(entries []coordination.Entry) []Node {
	nodes := make([]Node, 0, len(entries))
	for _, entry := range entries {
		name, info := r.nodeName(entry.Key), parseNodeInfo(string(entry.Value))
		if name != r.Name && info.address != "" {
			nodes = append(nodes, Node{Name: name, Address: info.address, Zone: info.zone})
		}
	}
	return nodes
}

// ReaderAddresses returns the addresses of the readers, in the same order on all nodes: a node
// that polls the first one receives changes over the fewest hops.
func (r *Registry) ReaderAddresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := []string{}
	for _, name := range r.firstNodes(ReaderCount) {
		addresses = append(addresses, r.infos[name].address)
	}
	return addresses
}

// firstNodes returns the names of the first nodes by rank, up to a limit.
func (r *Registry) firstNodes(limit int) []string { return r.ranked[:min(limit, len(r.ranked))] }

// Ownership assigns each key to one of the relays. Nodes that see the same fleet agree on it.
type Ownership struct {
	self string
	// relays holds the names of all relays, and byZone those in each zone.
	relays []string
	byZone map[string][]string
}

// Ownership returns the assignment at the last observation.
func (r *Registry) Ownership() Ownership {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ownership := Ownership{self: r.Name, relays: r.firstNodes(r.relays()), byZone: map[string][]string{}}
	for _, name := range ownership.relays {
		zone := r.infos[name].zone
		ownership.byZone[zone] = append(ownership.byZone[zone], name)
	}
	return ownership
}

// Owns reports whether this node owns a key of a zone. The owner is in that zone if the zone has
// a relay.
func (o Ownership) Owns(key, zone string) bool {
	candidates := o.byZone[zone]
	if len(candidates) == 0 {
		candidates = o.relays
	}
	return prefix.Owner(prefix.HashName(key), candidates) == o.self
}

// Owns reports whether this node owns a key of a zone at the last observation.
func (r *Registry) Owns(key, zone string) bool { return r.Ownership().Owns(key, zone) }

// rotate returns a list rotated left by an offset.
func rotate(list []string, offset int) []string {
	if len(list) == 0 {
		return list
	}
	offset %= len(list)
	return append(slices.Clone(list[offset:]), list[:offset]...)
}

// Rank returns this node's rank, from 0. Nodes that see the same fleet have different ranks.
func (r *Registry) Rank() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank
}
