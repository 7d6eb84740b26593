package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// updateRanking ranks the known nodes. All nodes that see the same fleet agree on the ranks.
func (r *Registry) rank(places map[string]place) {
	r.places = places
	largest := 0.0
	for _, place := range r.places {
		largest = max(largest, place.room)
	}
	ranked := make([]ranking, 0, len(places))
	r.roomy = 0
	for name, place := range places {
		one := ranking{name: name, hash: prefix.KeyOf(name), roomy: place.room >= roomyShare*largest}
		if one.roomy {
			r.roomy++
		}
		ranked = append(ranked, one)
	}
	slices.SortFunc(ranked, ranking.compare)
	r.names = make([]string, len(ranked))
	for i, one := range ranked {
		r.names[i] = one.name
	}
}

// rankKey determines a node's rank.
type ranking struct {
	name  string
	hash  prefix.Hash
	roomy bool
}

// compare orders large nodes first, and then by hash.
func (r ranking) compare(other ranking) int {
	if r.roomy != other.roomy {
		if r.roomy {
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
	wanted := min(nodes, max(fewestRelays, int(math.Ceil(math.Sqrt(float64(nodes))))))
	if r.roomy < wanted && 2*r.roomy >= wanted {
		return r.roomy
	}
	return wanted
}

// IsRelay reports whether this node is a relay.
func (r *Registry) Relaying() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank < r.relays()
}

// IsReader reports whether this node is one of the relays that read the store for the fleet.
func (r *Registry) Reading() bool { return r.Rank() < Readers }

// RelayAddresses returns the addresses of the relays, those of this node's zone first. Each node
// starts at another offset in each group, which spreads the load.
func (r *Registry) RelayAddresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	near, far := []string{}, []string{}
	for _, name := range r.first(r.relays()) {
		if place := r.places[name]; place.zone == r.Zone {
			near = append(near, place.address)
		} else {
			far = append(far, place.address)
		}
	}
	turn := r.ownRank
	if turn >= len(r.names) {
		// The exact rank is not known, and other nodes would use the same one.
		turn = int(uint32(prefix.KeyOf(r.Name)))
	}
	return append(rotate(near, turn), rotate(far, turn)...)
}

// ReaderAddresses returns the addresses of the readers, in the same order on all nodes: a node
// that polls the first one receives changes over the fewest hops.
func (r *Registry) ReaderAddresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := []string{}
	for _, name := range r.first(Readers) {
		addresses = append(addresses, r.places[name].address)
	}
	return addresses
}

// firstNodes returns the names of the first nodes by rank, up to a limit.
func (r *Registry) first(most int) []string { return r.names[:min(most, len(r.names))] }

// Ownership assigns each key to one of the relays. Nodes that see the same fleet agree on it.
type Ownership struct {
	self string
	// relays holds the names of all relays, and byZone those in each zone.
	relays []string
	near   map[string][]string
}

// Ownership returns the assignment at the last observation.
func (r *Registry) Ownership() Ownership {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := Ownership{self: r.Name, relays: r.first(r.relays()), near: map[string][]string{}}
	for _, name := range o.relays {
		zone := r.places[name].zone
		o.near[zone] = append(o.near[zone], name)
	}
	return o
}

// Owns reports whether this node owns a key of a zone. The owner is in that zone if the zone has
// a relay.
func (o Ownership) Owns(thing, zone string) bool {
	candidates := o.near[zone]
	if len(candidates) == 0 {
		candidates = o.relays
	}
	return prefix.Owner(prefix.KeyOf(thing), candidates) == o.self
}

// Owns reports whether this node owns a key of a zone at the last observation.
func (r *Registry) Owns(thing, zone string) bool { return r.Ownership().Owns(thing, zone) }

// rotate returns a list rotated left by an offset.
func rotate(list []string, by int) []string {
	if len(list) == 0 {
		return list
	}
	by %= len(list)
	return append(slices.Clone(list[by:]), list[:by]...)
}

// Rank returns this node's rank, from 0. Nodes that see the same fleet have different ranks.
func (r *Registry) Rank() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank
}
