package backend

import (
	"cmp"
	"slices"
	"sort"
)

// ring holds the servers of one service, ordered by key, a hash of the incarnation name. The
// servers that follow a point form a sample that is the same on all nodes and changes by at most
// one server when one is added or removed.
type ring []*entry

// search returns the index of the first server whose key is not below a point, or len(r) if
// there is none; the ring then continues at index 0.
func (r ring) search(point uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].key >= point })
}

func compareKeys(a, b *entry) int { return cmp.Compare(a.key, b.key) }

// addToRings adds servers to the rings of their services.
func (set *Set) addToRings(added []*entry) {
	changed := map[string]bool{}
	for _, e := range added {
		service := e.server.Service
		set.rings[service] = append(set.rings[service], e)
		changed[service] = true
	}
	for service := range changed {
		slices.SortFunc(set.rings[service], compareKeys)
	}
}

// removeFromRings removes servers from the rings of their services.
func (set *Set) removeFromRings(removed []*entry) {
	if len(removed) == 0 {
		return
	}
	isRemoved := make(map[*entry]bool, len(removed))
	services := map[string]bool{}
	for _, e := range removed {
		isRemoved[e] = true
		services[e.server.Service] = true
	}
	for service := range services {
		set.rings[service] = slices.DeleteFunc(set.rings[service], func(s *entry) bool { return isRemoved[s] })
	}
}
