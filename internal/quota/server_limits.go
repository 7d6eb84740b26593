package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownReportLife is how long a limit received from the server itself takes precedence over
	// peer reports and is reported to peers.
	ownWordLife = 3 * time.Second
	// limitTolerance is the relative difference up to which two limits count as equal: reported
	// limits are means in single precision.
	sameLimit = 0.01
	// ownCallsFraction is the fraction of a limit that the fleet's own calls to a server may
	// use, and maxCallInterval the longest time between two of them.
	ownCallsPart = 0.1
	longestPace  = 20 * time.Second
	// minServerRetryAfter and maxServerRetryAfter bound the retry time given to refused callers.
	shortestReturn = 50 * time.Millisecond
	longestReturn  = 30 * time.Second
)

// ServerLimits enforces the limits that servers advertise for the whole fleet at this node. It
// is safe for concurrent use. Servers are identified by a hash of their incarnation.
//
// A node does not consult its peers before it sends a request. Its share of each limit is its
// fraction of the service's demand, according to the last peer reports, or an even share if
// these are stale. The shares therefore add up to the limit at any demand, and capacity that few
// nodes need is left to them by the others.
type Servers struct {
	draw func() float64
	// known reports whether a server still exists.
	known func(server uint64) bool
	// active is the number of known limits. While it is zero, no lock is taken.
	active atomic.Int64

	mutex      sync.Mutex
	allowances map[uint64]*allowance
	demands    map[uint64]*demand
	nodes      int
	heardAt    time.Time
	swept      time.Time
}

// NewServerLimits returns an instance without any limits. The function known reports whether a
// server still exists; draw returns random numbers in [0, 1).
func NewServers(known func(server uint64) bool, draw func() float64) *Servers {
	return &Servers{known: known, draw: draw, allowances: map[uint64]*allowance{}, demands: map[uint64]*demand{}, nodes: unknownFleet}
}

// Active reports whether any limit is known.
func (s *Servers) Active() bool { return s.active.Load() > 0 }

// ObserveLimit records a limit that a server advertised to this node, and reports whether it has
// changed.
func (s *Servers) Named(server uint64, perSecond float64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.allowance(server); known != nil {
		known.follow(perSecond, now)
	}
	a, news := s.limit(server, perSecond, now)
	a.server, a.namedAt, a.heardAt = server, now, now
	return news
}

// setLimit records the limit of a server, and reports whether it has changed.
func (s *Servers) limit(server uint64, perSecond float64, now time.Time) (a *allowance, news bool) {
	a = s.allowance(server)
	if a == nil {
		a = newAllowance(perSecond, now)
		// Nodes that learn of the limit at the same moment must not all send their first request
		// at once.
		a.level = -s.draw() * a.quantum(share{part: 1 / float64(s.nodes)}, now)
		s.allowances[subject(server)] = a
		s.active.Store(int64(len(s.allowances)))
		return a, true
	}
	news = !a.endedAt.IsZero() || math.Abs(a.perSecond-perSecond) > sameLimit*perSecond
	a.perSecond, a.endedAt = perSecond, time.Time{}
	return a, news
}

// rowSubject returns the bits of a hash that identify a server or service in a row.
func subject(hash uint64) uint64 { return hash &^ uint64(kindMask) }

func (s *Servers) allowance(server uint64) *allowance { return s.allowances[subject(server)] }

// ObserveNoLimit records an answer of a server without a limit, and reports whether this is a
// change. It is ignored unless the request was sent after the last answer with a limit, because
// answers may overtake each other.
func (s *Servers) Unnamed(server uint64, sentAt, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.allowance(server)
	if a == nil || !sentAt.After(a.namedAt) {
		return false
	}
	a.heardAt = now
	if !a.endedAt.IsZero() {
		return false
	}
	a.endedAt = now
	return true
}

// Requested counts a caller's request for a service.
func (s *Servers) Asked(service string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.demand(ServiceKey(service)).note(now)
}

// ServiceKey returns the hash that identifies a service in reports.
func ServiceKey(service string) uint64 { return xxhash.Sum64String(service) }

func (s *Servers) demand(key uint64) *demand {
	key = rowKey(key, askedRow)
	d := s.demands[key]
	if d == nil {
		d = newDemand()
		s.demands[key] = d
	}
	return d
}

// peersStale reports whether the last peer report has expired.
func (s *Servers) silent(now time.Time) bool { return s.nodes > 1 && now.Sub(s.heardAt) > trusted }

func (s *Servers) share(service string, now time.Time) share {
	return s.demand(ServiceKey(service)).share(s.nodes, s.silent(now), now)
}

// Wait returns the estimated time until this node may send a request to a server of a service; 0
// if it may be sent now.
func (s *Servers) Wait(server uint64, service string, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.allowance(server)
	if a == nil || s.forgetOver(a, server, now) {
		return 0
	}
	return a.wait(s.share(service, now), now)
}

// removeIfSlowStartDone removes a server that counts as unlimited again, and reports whether it
// did.
func (s *Servers) forgetOver(a *allowance, server uint64, now time.Time) bool {
	if !a.over(now) {
		return false
	}
	s.forget(subject(server))
	return true
}

func (s *Servers) forget(key uint64) {
	delete(s.allowances, key)
	s.active.Store(int64(len(s.allowances)))
}

// TryAcquire takes a request to a server of a service from its limit, and reports whether it may
// be sent.
func (s *Servers) Take(server uint64, service string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.allowance(server)
	if a == nil || s.forgetOver(a, server, now) {
		return true
	}
	return a.take(s.share(service, now), s.draw(), now)
}

// Charge counts one of this node's own calls to a server of a service.
func (s *Servers) Pay(server uint64, service string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if a := s.allowance(server); a != nil {
		a.pay(s.share(service, now), now)
	}
}

// MinInterval returns the minimum time between two of the fleet's own calls to a server; 0 if
// the server has no limit.
func (s *Servers) Pace(server uint64, now time.Time) time.Duration {
	if !s.Active() {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.allowance(server)
	if a == nil || a.over(now) {
		return 0
	}
	return min(longestPace, seconds(1/(ownCallsPart*a.limit(now))))
}

// RefusalDelay records that a caller of a service was refused because of its servers' limits,
// and returns when the caller should retry. Retries are staggered at the rate at which the
// servers accept requests from this node.
func (s *Servers) Refused(service string, servers []uint64, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own, rate := s.share(service, now), 0.0
	soonest := longestReturn
	for _, server := range servers {
		if a := s.allowance(server); a != nil {
			soonest = min(soonest, a.wait(own, now))
			rate += a.rate(share{part: own.coming}, now)
		}
	}
	d := s.demand(ServiceKey(service))
	next := d.returning
	if rate > 0 {
		next = next.Add(seconds(1 / rate))
	}
	if first := now.Add(max(soonest, shortestReturn)); next.Before(first) {
		next = first
	}
	if last := now.Add(longestReturn); next.After(last) {
		// Callers beyond the maximum are spread by the time of their refusal.
		next = last
	}
	d.returning = next
	return next.Sub(now)
}

// LimitedCount returns the number of servers that advertise a limit, to this node or to a peer.
func (s *Servers) Limited() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, a := range s.allowances {
		if a.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// Resize sets the number of nodes in the fleet.
func (s *Servers) Resize(nodes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes = max(1, nodes)
}
