package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownReportTTL is how long a limit received from the server itself takes precedence over
	// peer reports and is reported to peers.
	ownReportLife = 3 * time.Second
	// limitTolerance is the relative difference up to which two limits count as equal: reported
	// limits are means in single precision.
	limitTolerance = 0.01
	// ownCallsFraction is the fraction of a limit that the fleet's own calls to a server may
	// use, and maxCallInterval the longest time between two of them.
	ownCallsFraction = 0.1
	maxCallInterval  = 20 * time.Second
	// minServerRetryAfter and maxServerRetryAfter bound the retry time given to refused callers.
	minServerRetryAfter = 50 * time.Millisecond
	maxServerRetryAfter = 30 * time.Second
)

// ServerLimits enforces the limits that servers advertise for the whole fleet at this node. It
// is safe for concurrent use. Servers are identified by a hash of their incarnation.
//
// A node does not consult its peers before it sends a request. Its share of each limit is its
// fraction of the service's demand, according to the last peer reports, or an even share if
// these are stale. The shares therefore add up to the limit at any demand, and capacity that few
// nodes need is left to them by the others.
type ServerLimits struct {
	draw func() float64
	// exists reports whether a server still exists.
	known func(server uint64) bool
	// active is the number of known limits. While it is zero, no lock is taken.
	active atomic.Int64

	mutex   sync.Mutex
	buckets map[uint64]*serverBucket
	demands map[uint64]*serviceDemand
	nodes   int
	heardAt time.Time
	sweptAt time.Time
}

// NewServerLimits returns an instance without any limits. The function exists reports whether a
// server still exists; draw returns random numbers in [0, 1).
func NewServerLimits(known func(server uint64) bool, draw func() float64) *ServerLimits {
	return &ServerLimits{known: known, draw: draw, buckets: map[uint64]*serverBucket{}, demands: map[uint64]*serviceDemand{}, nodes: defaultFleetSize}
}

// Active reports whether any limit is known.
func (s *ServerLimits) Active() bool { return s.active.Load() > 0 }

// ObserveLimit records a limit that a server advertised to this node, and reports whether it has
// changed.
func (s *ServerLimits) ObserveLimit(server uint64, perSecond float64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if bucket := s.bucket(server); bucket != nil {
		bucket.noteLimitChange(perSecond, now)
	}
	b, changed := s.setLimit(server, perSecond, now)
	b.server, b.advertisedAt, b.heardAt = server, now, now
	return changed
}

// setLimit records the limit of a server, and reports whether it has changed.
func (s *ServerLimits) setLimit(server uint64, perSecond float64, now time.Time) (b *serverBucket, changed bool) {
	b = s.bucket(server)
	if b == nil {
		b = newServerBucket(perSecond, now)
		// Nodes that learn of the limit at the same moment must not all send their first request
		// at once.
		b.level = -s.draw() * b.quantum(share{fraction: 1 / float64(s.nodes)}, now)
		s.buckets[rowSubject(server)] = b
		s.active.Store(int64(len(s.buckets)))
		return b, true
	}
	changed = !b.liftedAt.IsZero() || math.Abs(b.perSecond-perSecond) > limitTolerance*perSecond
	b.perSecond, b.liftedAt = perSecond, time.Time{}
	return b, changed
}

// rowSubject returns the bits of a hash that identify a server or service in a row.
func rowSubject(hash uint64) uint64 { return hash &^ uint64(kindMask) }

func (s *ServerLimits) bucket(server uint64) *serverBucket { return s.buckets[rowSubject(server)] }

// ObserveNoLimit records an answer of a server without a limit, and reports whether this is a
// change. It is ignored unless the request was sent after the last answer with a limit, because
// answers may overtake each other.
func (s *ServerLimits) ObserveNoLimit(server uint64, sentAt, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.bucket(server)
	if b == nil || !sentAt.After(b.advertisedAt) {
		return false
	}
	b.heardAt = now
	if !b.liftedAt.IsZero() {
		return false
	}
	b.liftedAt = now
	return true
}

// Requested counts a caller's request for a service.
func (s *ServerLimits) Requested(service string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.demand(ServiceKey(service)).countRequest(now)
}

// ServiceKey returns the hash that identifies a service in reports.
func ServiceKey(service string) uint64 { return xxhash.Sum64String(service) }

func (s *ServerLimits) demand(key uint64) *serviceDemand {
	key = rowKey(key, requestedRow)
	d := s.demands[key]
	if d == nil {
		d = newServiceDemand()
		s.demands[key] = d
	}
	return d
}

// peersStale reports whether the last peer report has expired.
func (s *ServerLimits) peersStale(now time.Time) bool {
	return s.nodes > 1 && now.Sub(s.heardAt) > peerMaxAge
}

func (s *ServerLimits) share(service string, now time.Time) share {
	return s.demand(ServiceKey(service)).share(s.nodes, s.peersStale(now), now)
}

// Wait returns the estimated time until this node may send a request to a server of a service,
// or 0 if it may be sent now.
func (s *ServerLimits) Wait(server uint64, service string, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.bucket(server)
	if b == nil || s.removeIfSlowStartDone(b, server, now) {
		return 0
	}
	return b.wait(s.share(service, now), now)
}

// removeIfSlowStartDone removes a server that counts as unlimited again, and reports whether it
// did.
func (s *ServerLimits) removeIfSlowStartDone(b *serverBucket, server uint64, now time.Time) bool {
	if !b.slowStartDone(now) {
		return false
	}
	s.remove(rowSubject(server))
	return true
}

func (s *ServerLimits) remove(key uint64) {
	delete(s.buckets, key)
	s.active.Store(int64(len(s.buckets)))
}

// TryAcquire takes a request to a server of a service from its limit, and reports whether it may
// be sent.
func (s *ServerLimits) TryAcquire(server uint64, service string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.bucket(server)
	if b == nil || s.removeIfSlowStartDone(b, server, now) {
		return true
	}
	return b.tryAcquire(s.share(service, now), s.draw(), now)
}

// Charge counts one of this node's own calls to a server of a service.
func (s *ServerLimits) Charge(server uint64, service string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b := s.bucket(server); b != nil {
		b.charge(s.share(service, now), now)
	}
}

// MinInterval returns the minimum time between two of the fleet's own calls to a server, such as
// status queries, or 0 if the server has no limit.
func (s *ServerLimits) MinInterval(server uint64, now time.Time) time.Duration {
	if !s.Active() {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.bucket(server)
	if b == nil || b.slowStartDone(now) {
		return 0
	}
	return min(maxCallInterval, cappedSeconds(1/(ownCallsFraction*b.limit(now))))
}

// RefusalDelay records that a caller of a service was refused because of its servers' limits,
// and returns when the caller should retry. Retries are staggered at the rate at which the
// servers accept requests from this node.
func (s *ServerLimits) RefusalDelay(service string, servers []uint64, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	nodeShare, rate := s.share(service, now), 0.0
	soonest := maxServerRetryAfter
	for _, server := range servers {
		if b := s.bucket(server); b != nil {
			soonest = min(soonest, b.wait(nodeShare, now))
			rate += b.rate(share{fraction: nodeShare.upcoming}, now)
		}
	}
	d := s.demand(ServiceKey(service))
	next := d.lastRetryAt
	if rate > 0 {
		next = next.Add(cappedSeconds(1 / rate))
	}
	if first := now.Add(max(soonest, minServerRetryAfter)); next.Before(first) {
		next = first
	}
	if last := now.Add(maxServerRetryAfter); next.After(last) {
		// Callers beyond the maximum are spread by the time of their refusal.
		next = last
	}
	d.lastRetryAt = next
	return next.Sub(now)
}

// LimitedCount returns the number of servers that advertise a limit, to this node or to a peer.
func (s *ServerLimits) LimitedCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, b := range s.buckets {
		if b.liftedAt.IsZero() {
			count++
		}
	}
	return count
}

// Resize sets the number of nodes in the fleet.
func (s *ServerLimits) Resize(nodes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes = max(1, nodes)
}
