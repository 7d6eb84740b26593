package backend

import (
	"time"
)

// Engines returns the listed servers that have models loaded: all of them, or if there are more
// than limit, those on which any node had work within the given time before now.
func (set *Set) Engines(limit int, within time.Duration, now time.Time) []Server {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var servers []Server
	set.eachEngine(limit, within, now, func(e *entry) { servers = append(servers, *e.server) })
	return servers
}

// CountEngines returns the number of servers that Engines would return.
func (set *Set) CountEngines(limit int, within time.Duration, now time.Time) int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	count := 0
	set.eachEngine(limit, within, now, func(*entry) { count++ })
	return count
}

// eachEngine calls visit for each server that Engines returns.
func (set *Set) eachEngine(limit int, within time.Duration, now time.Time, visit func(e *entry)) {
	var rings []ring
	total := 0
	for _, r := range set.rings {
		// Either all servers of a service have models, or none has.
		if len(r) > 0 && len(r[0].server.Versions) > 0 {
			rings = append(rings, r)
			total += len(r)
		}
	}
	visitListed := func(e *entry) {
		if e.listed && !now.Before(e.local().replacedUntil) && len(e.server.Versions) > 0 {
			visit(e)
		}
	}
	if total > limit {
		for e := range set.recentlyUsed {
			if now.Sub(e.lastUsedAt) > within {
				delete(set.recentlyUsed, e)
			} else {
				visitListed(e)
			}
		}
		return
	}
	for _, r := range rings {
		for _, e := range r {
			visitListed(e)
		}
	}
}

// markUsed records that a node has work on a server.
func (set *Set) markUsed(e *entry, now time.Time) {
	e.lastUsedAt = now
	set.recentlyUsed[e] = true
}
