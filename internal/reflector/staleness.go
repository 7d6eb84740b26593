package reflector

import "time"

// The age of the replica at which a node reads the store, as a fraction of MaxStaleness, for
// each role. The state in a response is older than the upstream's own by at most one poll
// interval; the steps between the fractions leave room for one poll each.
const (
	firstReaderFraction = 0.3
	readerFraction      = 0.45
	relayFraction       = 0.55
	followerFraction    = 0.65
)

// maxAge returns a fraction of MaxStaleness.
func (r *Reflector) maxAge(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.MaxStaleness))
}

// roleFraction returns the fraction of MaxStaleness at which this node reads the store.
func (r *Reflector) roleFraction() float64 {
	switch {
	case r.isFirstReader():
		return firstReaderFraction
	case r.Reads():
		return readerFraction
	case r.Relays():
		return relayFraction
	default:
		return followerFraction
	}
}

// untilReadDue returns the time until the present replica is due for a read of the store.
// Updates that are received in the meantime postpone the read.
func (r *Reflector) untilReadDue(now time.Time) time.Duration {
	asOf := r.Replica.Load().AsOf
	if listed := r.serversReadAt.load(); r.Relays() && listed.Before(asOf) {
		asOf = listed
	}
	return min(asOf.Add(r.maxAge(r.roleFraction())).Sub(now)+time.Millisecond, roleCheckInterval)
}

// readDue reports whether the replica is so old that this node must read the store.
func (r *Reflector) readDue(now time.Time) bool {
	return !r.isFresh(r.maxAge(r.roleFraction()), now)
}

// ServersReadSince reports whether the list of servers was read after readAfter and the store
// was not disrupted after undisruptedSince: entries do not expire during a disruption.
func (r *Reflector) ServersReadSince(readAfter, undisruptedSince time.Time) bool {
	replica := r.Replica.Load()
	return replica != nil && !replica.DisruptedAt.After(undisruptedSince) && r.serversReadAt.load().After(readAfter)
}

// isFresh reports whether the state that this node needs for its role is at most as old as
// the limit. Followers receive the list of servers from a relay, so for a relay its age
// counts too.
func (r *Reflector) isFresh(limit time.Duration, now time.Time) bool {
	replica := r.Replica.Load()
	if replica == nil || replica.Snapshot == nil || !replica.Fresh(now, limit) {
		return false
	}
	return !r.Relays() || now.Sub(r.serversReadAt.load()) <= limit
}
