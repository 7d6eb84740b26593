package backend

import (
	"cmp"
	"slices"
	"sort"
)

// ring is the servers of one service in the order of their keys, which are hashes of their
// instances. The servers that follow a point are a sample that all nodes draw alike, and
// that changes by one where one server comes or goes.
type ring []*state

// after returns the index of the first server whose key is not below a point; it may be the
// length of the ring, from where it goes on at the beginning.
func (r ring) after(point uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].key >= point })
}

func byKey(a, b *state) int { return cmp.Compare(a.key, b.key) }

// join puts new servers into the rings of their services.
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

// part takes servers out of the rings of their services.
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
