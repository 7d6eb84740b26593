package backend

import (
	"time"
)

// Engines returns the listed servers that have models loaded: all of them, or if there are more
// than limit, those on which any node had work within the given time before now.
func (set *Set) Engines(most int, within time.Duration, now time.Time) []Server {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var servers []Server
	set.eachEngine(most, within, now, func(known *state) { servers = append(servers, *known.server) })
	return servers
}

// CountEngines returns the number of servers that Engines would return.
func (set *Set) CountEngines(most int, within time.Duration, now time.Time) int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	count := 0
	set.eachEngine(most, within, now, func(*state) { count++ })
	return count
}

// eachEngine calls visit for each server that Engines returns.
func (set *Set) eachEngine(most int, within time.Duration, now time.Time, take func(known *state)) {
	var rings []ring
	all := 0
	for _, r := range set.rings {
		// Either all servers of a service have models, or none has.
		if len(r) > 0 && len(r[0].server.Versions) > 0 {
			rings = append(rings, r)
			all += len(r)
		}
	}
	takeListed := func(known *state) {
		if known.listed && !now.Before(known.dealt().goneUntil) && len(known.server.Versions) > 0 {
			take(known)
		}
	}
	if all > most {
		for known := range set.used {
			if now.Sub(known.usedAt) > within {
				delete(set.used, known)
			} else {
				takeListed(known)
			}
		}
		return
	}
	for _, r := range rings {
		for _, known := range r {
			takeListed(known)
		}
	}
}

// markUsed records that a node has work on a server.
func (set *Set) use(known *state, now time.Time) {
	known.usedAt = now
	set.used[known] = true
}
