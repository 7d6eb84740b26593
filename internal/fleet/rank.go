package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// rank orders the nodes that are known, alike on all that see the same fleet.
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

// ranking is what decides on a node's rank.
type ranking struct {
	name  string
	hash  prefix.Hash
	roomy bool
}

// compare orders nodes alike on all: those with room first, and then by hash.
func (r ranking) compare(other ranking) int {
	if r.roomy != other.roomy {
		if r.roomy {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.hash, other.hash), strings.Compare(r.name, other.name))
}

// Relays returns how many of the first nodes relay to the others what they know.
// Relays ask each other, and each is followed by its part of the rest: the sum is
// least at the square root of the fleet. Nodes with room relay alone if they are
// half as many.
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

// Relaying reports whether this node is a relay.
func (r *Registry) Relaying() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank < r.relays()
}

// Reading reports whether this node is one of the few relays that read the store for
// the fleet.
func (r *Registry) Reading() bool { return r.Rank() < Readers }

// RelayAddresses returns where the relays are reached, those of this node's zone before
// others. Each node begins with another one of them.
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
		// Its rank is not known, and another one's may be the same.
		turn = int(uint32(prefix.KeyOf(r.Name)))
	}
	return append(rotate(near, turn), rotate(far, turn)...)
}

// ReaderAddresses returns where the readers are reached, in the same order on all nodes:
// whoever follows the first one hears of a change in the fewest steps.
func (r *Registry) ReaderAddresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := []string{}
	for _, name := range r.first(Readers) {
		addresses = append(addresses, r.places[name].address)
	}
	return addresses
}

// first returns the names of the first nodes.
func (r *Registry) first(most int) []string { return r.names[:min(most, len(r.names))] }

// Ownership says which of the relays does what one must do for a thing in a zone. Nodes
// that see the same fleet agree.
type Ownership struct {
	self string
	// relays are all relays, and near those of each zone.
	relays []string
	near   map[string][]string
}

// Ownership returns who does what at the last observation.
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

// Owns reports whether this node is the one for a thing in a zone: one of that zone if it
// has any relay.
func (o Ownership) Owns(thing, zone string) bool {
	candidates := o.near[zone]
	if len(candidates) == 0 {
		candidates = o.relays
	}
	return prefix.Owner(prefix.KeyOf(thing), candidates) == o.self
}

// Owns is that of the present Ownership.
func (r *Registry) Owns(thing, zone string) bool { return r.Ownership().Owns(thing, zone) }

// rotate moves the first elements of a list behind the others.
func rotate(list []string, by int) []string {
	if len(list) == 0 {
		return list
	}
	by %= len(list)
	return append(slices.Clone(list[by:]), list[:by]...)
}

// Rank returns this node's place among all, from 0. Nodes that see the same fleet
// have different ranks.
func (r *Registry) Rank() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ownRank
}
