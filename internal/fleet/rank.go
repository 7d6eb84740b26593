package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// rank orders the nodes alike on all that see the same fleet.
func (r *Registry) rank() {
	largest := 0.0
	for _, place := range r.places {
		largest = max(largest, place.room)
	}
	roomy := func(name string) bool { return r.places[name].room >= roomyShare*largest }
	r.roomy = 0
	for name := range r.places {
		if roomy(name) {
			r.roomy++
		}
	}
	r.names = slices.SortedFunc(maps.Keys(r.places), func(first, second string) int {
		switch {
		case roomy(first) == roomy(second):
			return byHash(first, second)
		case roomy(first):
			return -1
		default:
			return 1
		}
	})
}

// Relays returns how many of the first nodes relay to the others what they know.
// Relays ask each other, and each is followed by its part of the rest: the sum is
// least at the square root of the fleet. Nodes with room relay alone if they are
// half as many.
func (r *Registry) Relays() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	nodes := max(1, len(r.names))
	wanted := min(nodes, max(fewestRelays, int(math.Ceil(math.Sqrt(float64(nodes))))))
	if r.roomy < wanted && 2*r.roomy >= wanted {
		return r.roomy
	}
	return wanted
}

// Relaying reports whether this node is a relay.
func (r *Registry) Relaying() bool { return r.Rank() < r.Relays() }

// Reading reports whether this node is one of the few relays that read the store for
// the fleet.
func (r *Registry) Reading() bool { return r.Rank() < Readers }

// byHash orders names alike on all nodes.
func byHash(first, second string) int {
	if order := cmp.Compare(prefix.KeyOf(first), prefix.KeyOf(second)); order != 0 {
		return order
	}
	return strings.Compare(first, second)
}

// RelayAddresses returns where the relays are reached, those of this node's zone before
// others. Each node begins with another one of them.
func (r *Registry) RelayAddresses() []string {
	relays := r.Relays()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	near, far := []string{}, []string{}
	for _, name := range r.first(relays) {
		if place := r.places[name]; place.zone == r.Zone {
			near = append(near, place.address)
		} else {
			far = append(far, place.address)
		}
	}
	rank := max(0, slices.Index(r.names, r.Name))
	return append(rotate(near, rank), rotate(far, rank)...)
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

// Owns reports whether this node is the one among the relays that does what one must do
// for a thing in a zone: one of that zone if there is any. Nodes that see the same
// fleet agree.
func (r *Registry) Owns(thing, zone string) bool {
	relays := r.Relays()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := r.first(relays)
	near := []string{}
	for _, name := range first {
		if r.places[name].zone == zone {
			near = append(near, name)
		}
	}
	if len(near) == 0 {
		near = first
	}
	return prefix.Owner(prefix.KeyOf(thing), near) == r.Name
}

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
	return max(0, slices.Index(r.names, r.Name))
}
