package reflector

import "time"

// The ages of what a node knows, as parts of the bound, at which it reads the store by
// its part in the fleet. An answer of another node is at most one question older than
// what that node knows: the parts leave room for one each.
const (
	firstReadPart = 0.3
	otherReadPart = 0.45
	relayPart     = 0.55
	followerPart  = 0.65
)

// age is a part of the bound.
func (r *Reflector) age(part float64) time.Duration { return time.Duration(part * float64(r.Bound)) }

// part is the part of the bound at which this node reads.
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

// untilDue is the time after which what this node knows now is due to be read anew. What
// it hears meanwhile puts that off.
func (r *Reflector) untilDue(now time.Time) time.Duration {
	known := r.Belief.Load().AsOf
	if listed := r.listedAt.load(); r.Relays() && listed.Before(known) {
		known = listed
	}
	return min(known.Add(r.age(r.part())).Sub(now)+time.Millisecond, settledPoll)
}

// due reports whether what this node knows is so old that it must read the store.
func (r *Reflector) due(now time.Time) bool {
	return !r.knows(r.age(r.part()), now)
}

// ListedSince reports whether the list of servers was read after a time, and the store has
// been sound since another one: while it is not, entries do not lapse.
func (r *Reflector) ListedSince(read, sound time.Time) bool {
	belief := r.Belief.Load()
	return belief != nil && !belief.Disturbed.After(sound) && r.listedAt.load().After(read)
}

// knows reports whether all that this node has to know is younger than an age. Others
// follow a relay, so it has to know the servers too.
func (r *Reflector) knows(age time.Duration, now time.Time) bool {
	belief := r.Belief.Load()
	if belief == nil || belief.Snapshot == nil || !belief.Fresh(now, age) {
		return false
	}
	return !r.Relays() || now.Sub(r.listedAt.load()) <= age
}
