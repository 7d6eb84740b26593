package backend

import (
	"time"
)

// Engines returns the listed servers that hold models: all, or if there are more than most,
// those at which any node had work within a time before now.
func (set *Set) Engines(most int, within time.Duration, now time.Time) []Server {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var servers []Server
	set.eachEngine(most, within, now, func(known *state) { servers = append(servers, *known.server) })
	return servers
}

// CountEngines returns how many servers Engines would.
func (set *Set) CountEngines(most int, within time.Duration, now time.Time) int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	count := 0
	set.eachEngine(most, within, now, func(*state) { count++ })
	return count
}

// eachEngine calls a function for each server that Engines returns.
func (set *Set) eachEngine(most int, within time.Duration, now time.Time, take func(known *state)) {
	var rings []ring
	all := 0
	for _, r := range set.rings {
		// The servers of a service hold models, or none of them does.
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

// use notes that a node has work at a server.
func (set *Set) use(known *state, now time.Time) {
	known.usedAt = now
	set.used[known] = true
}
