package backend

import (
	"cmp"
	"slices"
	"sort"
)

// ring holds the servers of one service, ordered by key, a hash of the incarnation name. The
// servers that follow a point form a sample that is the same on all nodes and changes by at most
// one server when one is added or removed.
type ring []*state

// search returns the index of the first server whose key is not below a point, or len(r) if
// there is none; the ring then continues at index 0.
func (r ring) after(point uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].key >= point })
}

func byKey(a, b *state) int { return cmp.Compare(a.key, b.key) }

// addToRings adds servers to the rings of their services.
func (set *Set) join(joined []*state) {
	changed := map[string]bool{}
	for _, known := range joined {
		service := known.server.Service
		set.rings[service] = append(set.rings[service], known)
		changed[service] = true
	}
	for service := range changed {
		slices.SortFunc(set.rings[service], byKey)
	}
}

// removeFromRings removes servers from the rings of their services.
func (set *Set) part(left []*state) {
	if len(left) == 0 {
		return
	}
	leaves := make(map[*state]bool, len(left))
	services := map[string]bool{}
	for _, known := range left {
		leaves[known] = true
		services[known.server.Service] = true
	}
	for service := range services {
		set.rings[service] = slices.DeleteFunc(set.rings[service], func(s *state) bool { return leaves[s] })
	}
}
