package backend

import "time"

// Notice holds the signals that a server attaches to a response as headers. The zero value has
// none.
type Notice struct {
	// Leaving reports that the server is shutting down and wants no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this node.
	RetryAfter time.Duration
	// HasRateLimit reports that the server accepts RateLimit requests per second from all nodes
	// together.
	HasRateLimit bool
	RateLimit    float64
	// HasTolerance reports that the server is brittle: it falls over if it has to reject more than
	// Tolerance requests per second for want of room.
	HasTolerance bool
	Tolerance    float64
	// Authoritative reports that the response is the server's own and would include the rate limit
	// if it had one.
	Authoritative bool
	// UnknownHeader is the name of an unrecognized signal header, or empty.
	UnknownHeader string
}

// HasSignals reports whether the notice contains any signal.
func (n Notice) HasSignals() bool { return n != Notice{} && n != Notice{Authoritative: true} }

// Notice applies the signals of a server and returns those that are new.
//
// They take effect at once, ahead of the server list: the list is only as recent as the last
// response of the shared store, and may present a server as ready while the store is down.
func (set *Set) Notice(instance string, notice Notice, now time.Time) Notice {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	changes := Notice{}
	e := set.lookup(instance)
	switch {
	case notice.Leaving && e != nil:
		changes.Leaving = set.markDraining(e.key)
	case notice.Leaving:
		changes.Leaving = set.markDraining(ServerKey(instance))
	}
	if e == nil {
		return changes
	}
	if notice.Leaving {
		set.ensureLocalState(e).drainingAnnounced = true
	}
	if notice.RetryAfter > 0 {
		changes.RetryAfter = set.ensureLocalState(e).backoff.start(notice.RetryAfter, set.random(), now)
	}
	return changes
}

// ServerRef identifies a server in messages and logs.
type ServerRef struct {
	// Key is the ServerKey, and Name the incarnation name.
	Key     uint64
	Name    string
	Service string
}

// Find returns the server with an incarnation name, or the latest incarnation of an instance ID.
func (set *Set) Find(name string) (ref ServerRef, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.lookup(name)
	if e == nil {
		return ServerRef{}, false
	}
	return e.ref(), true
}

// FindByKey returns any server whose ServerKey matches. It scans all servers.
func (set *Set) FindByKey(match func(server uint64) bool) (ref ServerRef, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for key, e := range set.byKey {
		if match(key) {
			return e.ref(), true
		}
	}
	return ServerRef{}, false
}

// FindByAddress returns the listed server at an address. It scans all servers.
func (set *Set) FindByAddress(address string) (ref ServerRef, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, e := range set.byKey {
		if e.listed && e.server.Address == address {
			return e.ref(), true
		}
	}
	return ServerRef{}, false
}

// Contains reports whether a server with the given ServerKey is known.
func (set *Set) Contains(key uint64) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.byKey[key] != nil
}

func (entry *entry) ref() ServerRef {
	return ServerRef{Key: entry.key, Name: entry.name, Service: entry.server.Service}
}

// markDraining records that an incarnation is draining, by its own signal or by the list, and reports whether that
// is new. Later list updates, which may be older, do not revert it: an incarnation that is shutting down does not
// return to service.
func (set *Set) markDraining(key uint64) bool {
	if e := set.byKey[key]; e != nil {
		e.draining = true
	}
	return set.drainingServers.add(key)
}

// isDraining reports whether the server is draining, by its own signal or by the list.
func (entry *entry) isDraining() bool { return entry.draining || entry.server.Draining }

// RejectsTraffic reports whether a server currently wants no requests from this node, since it
// is draining or in backoff.
func (set *Set) RejectsTraffic(instance string, now time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.lookup(instance)
	return e != nil && (e.isDraining() || e.local().backoff.remaining(now) > 0)
}

// NoticeOf returns what is known to be in force of the notices of a server: that it is draining, and
// for how long it wants no requests from this node.
func (set *Set) NoticeOf(instance string, now time.Time) Notice {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.lookup(instance)
	if e == nil {
		return Notice{}
	}
	return Notice{Leaving: e.isDraining(), RetryAfter: e.local().backoff.remaining(now)}
}

// ServersInBackoff returns the servers that have asked this node for a backoff that has not
// ended, with its end.
func (set *Set) ServersInBackoff(now time.Time) map[string]time.Time {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	resting := map[string]time.Time{}
	for e := range set.withLocalState {
		if e.backoff.remaining(now) > 0 {
			resting[e.name] = e.backoff.until
		}
	}
	return resting
}

// CountDraining returns the number of listed servers that have told this node directly that they
// are shutting down.
func (set *Set) CountDraining() int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	count := 0
	for e := range set.withLocalState {
		if e.drainingAnnounced && e.listed {
			count++
		}
	}
	return count
}

// maxDraining bounds the remembered draining incarnations, in two generations: the last 8,192
// are always remembered, which is more than a fleet of 10,000 servers replaces in an hour of
// rolling releases. They take at most 0.6 MB.
const maxDraining = 2 * 8192

// drainingSet is a bounded set of draining incarnations. It outlives the entries of the servers,
// which may expire and be written again while the servers shut down.
type drainingSet struct {
	recent, previous map[uint64]bool
}

// has reports whether an incarnation is in the set.
func (s *drainingSet) has(key uint64) bool { return s.recent[key] || s.previous[key] }

// add adds an incarnation, and reports whether it was absent.
func (s *drainingSet) add(key uint64) bool {
	if s.has(key) {
		return false
	}
	if s.recent == nil || len(s.recent) >= maxDraining/2 {
		s.recent, s.previous = map[uint64]bool{}, s.recent
	}
	s.recent[key] = true
	return true
}
