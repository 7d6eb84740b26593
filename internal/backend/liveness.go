package backend

import "time"

// LastAliveAt returns when a server certainly ran: it last responded to an attempt of this node or of another one, or
// showed it otherwise. It is zero if nothing is known.
func (set *Set) LastAliveAt(name string) time.Time {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil {
		return time.Time{}
	}
	last := e.local().lastResponseAt
	if at := e.local().aliveAt; at.After(last) {
		last = at
	}
	if e.peers != nil {
		if at := e.peers.answeredAt.Add(-peerEvidenceMargin); at.After(last) {
			last = at
		}
	}
	return last
}

// ObserveAlive records that a server runs, although it has not responded to an attempt: it has ended one that was
// given up, or has passed a liveness check.
func (set *Set) ObserveAlive(name string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if e := set.servers[name]; e != nil && e.localState != nil {
		e.aliveAt, e.silentSince = now, time.Time{}
	}
}

// SilentSince returns when this node first gave up an attempt as silent since the last sign of life of a server; zero if
// it has given up none.
func (set *Set) SilentSince(name string) time.Time {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil {
		return time.Time{}
	}
	return e.local().silentSince
}

// BeginLivenessCheck reports whether a liveness check of a server is due, at most once in an interval.
func (set *Set) BeginLivenessCheck(name string, interval time.Duration, now time.Time) (server Server, due bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil || e.localState == nil || now.Sub(e.livenessCheckedAt) < interval {
		return Server{}, false
	}
	e.livenessCheckedAt = now
	return *e.server, true
}

// Replaced reports whether another incarnation has answered at the address of a server, or has taken over its instance
// ID.
func (set *Set) Replaced(name string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	return e != nil && !e.local().replacedUntil.IsZero()
}
