package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// peerFreshAge is the age up to which peer reports count fully. From then on this node uses
	// less of the limit, until only its own even share is left at peerMaxAge. Nodes receive
	// reports every 150 to 400 ms.
	peerFreshAge = 400 * time.Millisecond
	peerMaxAge   = time.Second
	// minRetryAfter and maxRetryAfter bound the retry time given to refused callers.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// defaultFleetSize is the assumed size of the fleet until it is known.
	defaultFleetSize = 1000
	// maxReportedTenants bounds the tenants of one report. Those with the highest demand go
	// first.
	maxReportedTenants = 256
	// idleExpiry is how long an unused bucket is kept.
	idleExpiry = time.Minute
)

// Limiter decides which requests of limited tenants this node admits. It is safe for concurrent
// use.
type Limiter struct {
	bounds Bounds
	// draw returns a random number in [0, 1).
	draw    func() float64
	started time.Time

	mutex   sync.Mutex
	buckets map[uint64]*tenantBucket
	// peerUsage is the last reported usage of all other nodes, by tenant.
	peerUsage map[uint64]Usage
	// nodes is the size of the fleet, and reportedNodes the number of nodes that the last peer
	// report covers, this one included.
	nodes         int
	reportedNodes int
	heardAt       time.Time
	sweptAt       time.Time
}

// New returns a limiter for a node that has just started. The function draw returns random
// numbers in [0, 1).
func New(bounds Bounds, draw func() float64, now time.Time) *Limiter {
	return &Limiter{bounds: bounds, draw: draw, started: now, buckets: map[uint64]*tenantBucket{}, nodes: defaultFleetSize}
}

// Decision is the outcome of an admission check, with its inputs.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
	// AdmitRatio is the fraction of the current demand that is admitted, from 0 to 1. Requested
	// is the demand on all known nodes in the limit's unit per second; Level is the amount that
	// may be admitted at once, in the limit's unit.
	AdmitRatio float64
	Requested  float64
	Level      float64
	// VisibleNodes is the number of nodes that these values cover, and PeersAge the age of the
	// peer report; negative if none was received.
	VisibleNodes int
	PeersAge     time.Duration
}

// Admit decides whether a request of a tenant with the given cost is admitted.
func (l *Limiter) Admit(tenant string, limit Limit, cost float64, now time.Time) Decision {
	if !limit.Limited() {
		return Decision{Admitted: true, AdmitRatio: 1}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, v := l.bucket(TenantKey(tenant), now), l.visibility(now)
	b.limit = limit
	b.advance(v, now)
	// The request itself says nothing about the demand on other nodes.
	decision := Decision{AdmitRatio: b.admitRatio(cost, v, now), Requested: b.fleetRequested(v, now), Level: b.available(v, now), VisibleNodes: l.visibleNodes(now), PeersAge: -1}
	if !l.heardAt.IsZero() {
		decision.PeersAge = now.Sub(l.heardAt)
	}
	b.demand(cost, now)
	if b.take(decision.AdmitRatio) {
		decision.Admitted = true
		b.charge(cost, now)
		return decision
	}
	// Randomize the delay, so that callers refused together do not retry together.
	wait := time.Duration((0.5 + l.draw()) * float64(b.refillTime(cost, v, now)))
	decision.RetryAfter = max(minRetryAfter, wait)
	return decision
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) Refund(tenant string, cost float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if b := l.buckets[TenantKey(tenant)]; b != nil {
		b.charge(-cost, now)
	}
}

// Resize sets the number of nodes in the fleet.
func (l *Limiter) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = max(1, nodes)
}

// bucket returns the bucket of a tenant.
func (l *Limiter) bucket(key uint64, now time.Time) *tenantBucket {
	b := l.buckets[key]
	if b == nil {
		b = newTenantBucket(l.bounds, l.started, now)
		b.peers, b.carry = l.peerUsage[key], 1-l.draw()
		l.buckets[key] = b
	}
	if l.peersStale(now) {
		b.peers = Usage{}
	}
	return b
}

// visibleNodes returns the number of nodes whose usage is known now, this one included.
func (l *Limiter) visibleNodes(now time.Time) int {
	if l.peersStale(now) {
		return 1
	}
	return min(max(1, l.reportedNodes), l.nodes)
}

// peersStale reports whether the last peer report has expired.
func (l *Limiter) peersStale(now time.Time) bool { return now.Sub(l.heardAt) > peerMaxAge }

// visibility returns how much of the fleet's usage this node knows. Expired peer reports do not
// count.
func (l *Limiter) visibility(now time.Time) visibility {
	v := visibility{ownShare: 1 / float64(l.nodes), freshness: 1}
	v.reportedShare = float64(l.visibleNodes(now)) * v.ownShare
	if age := now.Sub(l.heardAt); age > peerFreshAge {
		v.freshness = (peerMaxAge - min(age, peerMaxAge)).Seconds() / (peerMaxAge - peerFreshAge).Seconds()
	}
	return v
}

// Report returns this node's usage, without tenants whose usage is negligible.
func (l *Limiter) Report(now time.Time) Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.evictIdle(now)
	report := Report{Nodes: 1}
	for key, b := range l.buckets {
		usage := Usage{Key: key, Requested: b.requestedRate.estimate(now), Admitted: b.admittedRate.perSecond(now)}
		if usage.Requested >= minReportedFraction*b.limit.PerSecond/float64(l.nodes) {
			report.Usages = append(report.Usages, usage)
		}
	}
	report.Usages = TopUsages(report.Usages)
	return report
}

// evictIdle removes buckets that have not been used for idleExpiry.
func (l *Limiter) evictIdle(now time.Time) {
	if now.Sub(l.sweptAt) < idleExpiry {
		return
	}
	l.sweptAt = now
	for key, b := range l.buckets {
		if now.Sub(b.at) > idleExpiry {
			delete(l.buckets, key)
		}
	}
}

// SetPeerUsage replaces the reported usage of all other nodes.
func (l *Limiter) SetPeerUsage(peers Report, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	v := l.visibility(now)
	l.peerUsage = make(map[uint64]Usage, len(peers.Usages))
	for _, usage := range peers.Usages {
		l.peerUsage[usage.Key] = usage
	}
	for key, b := range l.buckets {
		// Until now the previous report applied.
		b.advance(v, now)
		b.setPeers(l.peerUsage[key], now)
	}
	l.reportedNodes, l.heardAt = peers.Nodes+1, now
}

// TopUsages returns the usages with the highest demand, up to maxReportedTenants, in a stable
// order.
func TopUsages(usages []Usage) []Usage {
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(-cmp.Compare(a.Requested, b.Requested), cmp.Compare(a.Key, b.Key))
	})
	return usages[:min(len(usages), maxReportedTenants)]
}
