package backend

import "time"

// Notice holds the signals that a server attaches to a response as headers. The zero value has
// none.
type Notice struct {
	// Leaving reports that the server is shutting down and wants no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this node.
	Rest time.Duration
	// HasRateLimit reports that the server accepts RateLimit requests per second from all nodes
	// together.
	Limited bool
	Limit   float64
	// Authoritative reports that the response is the server's own and would include the rate limit
	// if it had one.
	Whole bool
	// UnknownHeader is the name of an unrecognized signal header, or empty.
	Unknown string
}

// HasSignals reports whether the notice contains any signal.
func (n Notice) Says() bool { return n != Notice{} && n != Notice{Whole: true} }

// Notice applies the signals of a server and returns those that are new.
//
// They take effect at once, ahead of the server list: the list is only as recent as the last
// response of the shared store, and may present a server as ready while the store is down.
func (set *Set) Notice(instance string, notice Notice, now time.Time) Notice {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	news := Notice{}
	known := set.find(instance)
	switch {
	case notice.Leaving && known != nil:
		news.Leaving = set.leave(known.key)
	case notice.Leaving:
		news.Leaving = set.leave(ServerKey(instance))
	}
	if known == nil {
		return news
	}
	if notice.Leaving {
		set.deal(known).saidLeaving = true
	}
	if notice.Rest > 0 {
		news.Rest = set.deal(known).rest.ask(notice.Rest, set.draw(), now)
	}
	return news
}

// ServerRef identifies a server in messages and logs.
type Known struct {
	// Key is the ServerKey, and Name the incarnation name.
	Key     uint64
	Name    string
	Service string
}

// Find returns the server with an incarnation name, or the latest incarnation of an instance ID.
func (set *Set) Known(name string) (known Known, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	state := set.find(name)
	if state == nil {
		return Known{}, false
	}
	return state.known(), true
}

// FindByKey returns any server whose ServerKey matches. It scans all servers.
func (set *Set) KnownBy(fits func(server uint64) bool) (known Known, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for key, state := range set.byKey {
		if fits(key) {
			return state.known(), true
		}
	}
	return Known{}, false
}

// FindByAddress returns the listed server at an address. It scans all servers.
func (set *Set) KnownAt(address string) (known Known, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, state := range set.byKey {
		if state.listed && state.server.Address == address {
			return state.known(), true
		}
	}
	return Known{}, false
}

// Contains reports whether a server with the given ServerKey is known.
func (set *Set) Knows(server uint64) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.byKey[server] != nil
}

func (state *state) known() Known {
	return Known{Key: state.key, Name: state.name, Service: state.server.Service}
}

// markDraining records that an incarnation is draining, and reports whether that is new. Later
// list updates, which may be older, do not revert it: an incarnation that is shutting down does
// not return to service.
func (set *Set) leave(server uint64) bool {
	if known := set.byKey[server]; known != nil {
		known.leaves = true
	}
	return set.leavers.add(server)
}

// isDraining reports whether the server is draining, by its own signal or by the list.
func (state *state) leaving() bool { return state.leaves || state.server.Draining }

// RejectsTraffic reports whether a server currently wants no requests from this node, since it
// is draining or in backoff.
func (set *Set) Withdrawn(instance string, now time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.find(instance)
	return known != nil && (known.leaving() || known.dealt().rest.left(now) > 0)
}

// Resting returns the servers that have asked this node for a backoff, with its end.
func (set *Set) Resting(now time.Time) map[string]time.Time {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	resting := map[string]time.Time{}
	for known := range set.dealt {
		if known.rest.left(now) > 0 {
			resting[known.name] = known.rest.until
		}
	}
	return resting
}

// CountDraining returns the number of listed servers that have told this node directly that they
// are shutting down.
func (set *Set) Leaving() int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	count := 0
	for known := range set.dealt {
		if known.saidLeaving && known.listed {
			count++
		}
	}
	return count
}

// maxDraining bounds the remembered draining incarnations, in two generations: the last 8,192
// are always remembered, which is more than a fleet of 10,000 servers replaces in an hour of
// rolling releases. They take at most 0.6 MB.
const mostLeavers = 2 * 8192

// drainingSet is a bounded set of draining incarnations. It outlives the entries of the servers,
// which may lapse and be written again while the servers shut down.
type leavers struct {
	recent, before map[uint64]bool
}

// has reports whether an incarnation is in the set.
func (l *leavers) has(server uint64) bool { return l.recent[server] || l.before[server] }

// add adds an incarnation, and reports whether it was absent.
func (l *leavers) add(server uint64) bool {
	if l.has(server) {
		return false
	}
	if l.recent == nil || len(l.recent) >= mostLeavers/2 {
		l.recent, l.before = map[uint64]bool{}, l.recent
	}
	l.recent[server] = true
	return true
}
