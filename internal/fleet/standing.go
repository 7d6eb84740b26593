package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// reregistrationTime is the time after an outage of the store in which all nodes that live register again: the
	// failed call is repeated, and a lease is granted and the registration written.
	reregistrationTime = coordination.MaxRetryDelay + 2*callTimeout
	// formerFleetTTL is how long a node that cannot register keeps counting the nodes that it knew before.
	formerFleetTTL = 5 * time.Minute
)

// standing is what a node knows of its own registration.
type standing struct {
	// renewedAt is when the call was sent that last registered the node or renewed its registration, and registeredAt
	// when that was first done of the calls between which the other nodes counted it all the time.
	renewedAt    time.Time
	registeredAt time.Time
	// unseenSince is the time of the first list of registrations since then that may not have shown the node's own:
	// from then on, others may have ceased to list it. Zero if there was none.
	unseenSince time.Time
	// counted reports that the node has read the registrations since all nodes that live could register beside it.
	counted bool
}

// renew records that a call that was sent at a time has registered the node or renewed its registration.
func (s *standing) renew(sentAt, now time.Time) {
	if s.lapsed(now) {
		s.registeredAt, s.counted = now, false
	}
	s.renewedAt, s.unseenSince = sentAt, time.Time{}
}

// confirm records that a list of registrations was current at a time, and whether it shows the node's own.
func (s *standing) confirm(asOf time.Time, listed bool) {
	if !s.registeredAt.IsZero() && asOf.Sub(s.registeredAt) >= reregistrationTime {
		s.counted = true
	}
	switch {
	case listed:
		s.unseenSince = time.Time{}
	case s.unseenSince.IsZero() && asOf.After(s.renewedAt):
		s.unseenSince = asOf
	}
}

// end records that the node has ended its registration.
func (s *standing) end(now time.Time) {
	s.confirm(now, false)
	if ended := now.Add(-registrationTTL); s.renewedAt.After(ended) {
		s.renewedAt = ended
	}
}

// registered reports whether the lease of the registration, which counts from the arrival of the call that renewed it,
// has certainly not ended.
func (s *standing) registered(now time.Time) bool {
	return !s.renewedAt.IsZero() && now.Sub(s.renewedAt) < registrationTTL
}

// lapsed reports whether other nodes may have ceased to count this one: they do so sizeHold after its registration has
// disappeared, which ends with its lease unless the store loses it.
func (s *standing) lapsed(now time.Time) bool {
	return s.renewedAt.IsZero() || now.Sub(s.renewedAt) >= registrationTTL+sizeHold ||
		!s.unseenSince.IsZero() && now.Sub(s.unseenSince) >= sizeHold
}

// holdsShare reports whether all nodes certainly count this one.
func (s *standing) holdsShare(now time.Time) bool { return s.counted && !s.lapsed(now) }

// Registered reports whether the store certainly has this node's registration.
func (r *Registry) Registered(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.standing.registered(now)
}

// HoldsShare reports whether this node may spend its share of a bound that nodes divide among themselves without
// asking: the others certainly count it, and it has counted them. While the store refuses registrations, nodes that
// start do not know each other, and one whose registration has ended is not counted any more.
func (r *Registry) HoldsShare(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.standing.holdsShare(now)
}

// Confirm records that the registrations that this node has were current at a time.
func (r *Registry) Confirm(asOf time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.standing.confirm(asOf, r.listed)
	r.settled = r.settled || r.listed && asOf.Sub(r.listedSince) >= reregistrationTime
}

// Settled reports whether the registrations that this node has show the whole fleet. Otherwise they may lack nodes that
// live, and it counts those that it knew before as well.
func (r *Registry) Settled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.settled
}

// KnowsFleet reports whether this node knows anything of the number of nodes: the store has registered it, or it knows
// others. A list of registrations that is empty because nobody can register says nothing.
func (r *Registry) KnowsFleet(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.size() > 1 || r.settled || r.standing.registered(now)
}

// updateSettled decides whether a list of registrations shows the whole fleet. One without this node's registration
// does not: the store has refused or lost it, and so may have done with those of others. When it contains it again, the
// others may still be about to register.
func (r *Registry) updateSettled(entries []coordination.Entry, now time.Time) {
	if r.deregistered {
		r.settled = true
		return
	}
	listed := slices.ContainsFunc(entries, func(entry coordination.Entry) bool {
		name, incarnation := r.parseKey(entry.Key)
		return name == r.Name && incarnation == r.Incarnation
	})
	if listed != r.listed || r.listedSince.IsZero() {
		r.listed, r.listedSince = listed, now
	}
	wasSettled := r.settled
	r.settled = listed && now.Sub(r.listedSince) >= reregistrationTime
	switch {
	case r.settled:
	case wasSettled || r.unsettledSince.IsZero():
		r.unsettledSince = now
	case now.Sub(r.unsettledSince) >= formerFleetTTL:
		r.formerEntries, r.formerNodes = nil, 0
	}
}

// cannotRegister reports whether others are registered beside this node for longer than it takes to register.
func (r *Registry) cannotRegister(byName map[string]coordination.Entry, now time.Time) bool {
	_, found := byName[r.Name]
	return !found && len(byName) > 0 && !r.listed && now.Sub(r.listedSince) >= reregistrationTime
}

// rememberFleet records the registrations that this node knows, to which it adds those of lists that may lack nodes.
// The number of nodes does not fall by such a list.
func (r *Registry) rememberFleet(known map[string]coordination.Entry) {
	nodes := len(known)
	if !r.settled {
		nodes = max(nodes, r.formerNodes)
	}
	r.formerEntries, r.formerNodes = known, nodes
}

// withFormerEntries adds to the registrations those that this node knew before.
func (r *Registry) withFormerEntries(byName map[string]coordination.Entry) map[string]coordination.Entry {
	all := maps.Clone(r.formerEntries)
	if all == nil {
		all = make(map[string]coordination.Entry, len(byName))
	}
	maps.Copy(all, byName)
	return all
}
