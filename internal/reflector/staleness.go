package reflector

import "time"

// The age of the replica at which a node reads the store, as a fraction of MaxStaleness, for
// each role. The state in a response is older than the upstream's own by at most one poll
// interval; the steps between the fractions leave room for one poll each.
const (
	firstReadPart = 0.3
	otherReadPart = 0.45
	relayPart     = 0.55
	followerPart  = 0.65
)

// maxAge returns a fraction of MaxStaleness.
func (r *Reflector) age(part float64) time.Duration { return time.Duration(part * float64(r.Bound)) }

// roleFraction returns the fraction of MaxStaleness at which this node reads the store.
func (r *Reflector) part() float64 {
	switch {
	case r.leads():
		return firstReadPart
	case r.Reads():
		return otherReadPart
	case r.Relays():
		return relayPart
	default:
		return followerPart
	}
}

// untilReadDue returns the time until the present replica is due for a read of the store.
// Updates that are received in the meantime postpone the read.
func (r *Reflector) untilDue(now time.Time) time.Duration {
	known := r.Belief.Load().AsOf
	if listed := r.listedAt.load(); r.Relays() && listed.Before(known) {
		known = listed
	}
	return min(known.Add(r.age(r.part())).Sub(now)+time.Millisecond, settledPoll)
}

// readDue reports whether the replica is so old that this node must read the store.
func (r *Reflector) due(now time.Time) bool {
	return !r.knows(r.age(r.part()), now)
}

// ServersReadSince reports whether the list of servers was read after readAfter and the store
// was not disrupted after undisruptedSince: entries do not expire during a disruption.
func (r *Reflector) ListedSince(read, sound time.Time) bool {
	belief := r.Belief.Load()
	return belief != nil && !belief.Disturbed.After(sound) && r.listedAt.load().After(read)
}

// isFresh reports whether the state that this node needs for its role is at most as old as
// the limit. Followers depend on a relay, so for a relay the list of servers counts too.
func (r *Reflector) knows(age time.Duration, now time.Time) bool {
	belief := r.Belief.Load()
	if belief == nil || belief.Snapshot == nil || !belief.Fresh(now, age) {
		return false
	}
	return !r.Relays() || now.Sub(r.listedAt.load()) <= age
}
