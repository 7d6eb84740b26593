package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// peerFreshAge is the age up to which peer reports count fully. From then on the share of
	// the limit that they cover shrinks, and reaches zero at peerMaxAge. Nodes receive reports
	// every 150 to 400 ms.
	fresh   = 400 * time.Millisecond
	trusted = time.Second
	// minRetryAfter and maxRetryAfter bound the retry time given to refused callers.
	shortestWait = 250 * time.Millisecond
	longestWait  = 5 * time.Second
	// defaultFleetSize is the assumed size of the fleet until it is known.
	unknownFleet = 1000
	// maxReportedTenants bounds the tenants of one report. Those with the highest demand go
	// first.
	mostTold = 256
	// idleExpiry is how long an unused bucket is kept.
	restForgotten = time.Minute
)

// Limiter decides which requests of limited tenants this node admits. It is safe for concurrent
// use.
type Limiter struct {
	bounds Bounds
	// draw returns a random number in [0, 1).
	draw    func() float64
	started time.Time

	mutex    sync.Mutex
	accounts map[uint64]*account
	// peerUsage is the last reported usage of all other nodes, by tenant.
	told map[uint64]Use
	// nodes is the size of the fleet, and reportedNodes the number of nodes that the last peer
	// report covers, this one included.
	nodes   int
	heard   int
	heardAt time.Time
	swept   time.Time
}

// New returns a limiter for a node that has just started. The function draw returns random
// numbers in [0, 1).
func New(bounds Bounds, draw func() float64, now time.Time) *Limiter {
	return &Limiter{bounds: bounds, draw: draw, started: now, accounts: map[uint64]*account{}, nodes: unknownFleet}
}

// Decision is the outcome of an admission check, with its inputs.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
	// AdmitRatio is the fraction of the current demand that is admitted, from 0 to 1. Requested
	// is the demand on all known nodes in the limit's unit per second; Level is the amount that
	// may be admitted at once, in the limit's unit.
	Share float64
	Asked float64
	Level float64
	// VisibleNodes is the number of nodes that these values cover, and PeersAge the age of the
	// peer report; negative if none was received.
	Nodes int
	Age   time.Duration
}

// Admit decides whether a request of a tenant with the given cost is admitted.
func (l *Limiter) Admit(tenant string, limit Limit, cost float64, now time.Time) Decision {
	if !limit.Limited() {
		return Decision{Admitted: true, Share: 1}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a, k := l.account(TenantKey(tenant), now), l.knowledge(now)
	a.limit = limit
	a.advance(k, now)
	a.asked.add(cost, now)
	decision := Decision{Share: a.share(k, now), Asked: a.askedNow(now), Level: a.level, Nodes: l.hears(now), Age: -1}
	if !l.heardAt.IsZero() {
		decision.Age = now.Sub(l.heardAt)
	}
	if l.draw() < decision.Share {
		decision.Admitted = true
		a.admit(cost, now)
		return decision
	}
	// Randomize the delay, so that callers refused together do not retry together.
	wait := time.Duration((0.5 + l.draw()) * float64(a.recovery(cost, k, now)))
	decision.RetryAfter = max(shortestWait, wait)
	return decision
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) GiveBack(tenant string, cost float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.accounts[TenantKey(tenant)]; a != nil {
		a.admit(-cost, now)
	}
}

// Resize sets the number of nodes in the fleet.
func (l *Limiter) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = max(1, nodes)
}

// bucket returns the bucket of a tenant.
func (l *Limiter) account(key uint64, now time.Time) *account {
	a := l.accounts[key]
	if a == nil {
		a = newAccount(l.bounds, l.started, now)
		a.others = l.told[key]
		l.accounts[key] = a
	}
	if l.silent(now) {
		a.others = Use{}
	}
	return a
}

// visibleNodes returns the number of nodes whose usage is known now, this one included.
func (l *Limiter) hears(now time.Time) int {
	if l.silent(now) {
		return 1
	}
	return min(max(1, l.heard), l.nodes)
}

// peersStale reports whether the last peer report has expired.
func (l *Limiter) silent(now time.Time) bool { return now.Sub(l.heardAt) > trusted }

// visibility returns how much of the fleet's usage this node knows. Expired peer reports do not
// count.
func (l *Limiter) knowledge(now time.Time) knowledge {
	k := knowledge{own: 1 / float64(l.nodes), trust: 1}
	k.whole = float64(l.hears(now)) * k.own
	if age := now.Sub(l.heardAt); age > fresh {
		k.trust = (trusted - min(age, trusted)).Seconds() / (trusted - fresh).Seconds()
	}
	return k
}

// Report returns this node's usage, without tenants whose usage is negligible.
func (l *Limiter) Report(now time.Time) Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sweep(now)
	report := Report{Nodes: 1}
	for key, a := range l.accounts {
		use := Use{Tenant: key, Asked: a.asked.estimate(now), Admitted: a.admitted.perSecond(now)}
		if use.Asked >= leastTold*a.limit.PerSecond/float64(l.nodes) {
			report.Uses = append(report.Uses, use)
		}
	}
	report.Uses = Largest(report.Uses)
	return report
}

// evictIdle removes buckets that have not been used for idleExpiry.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < restForgotten {
		return
	}
	l.swept = now
	for key, a := range l.accounts {
		if now.Sub(a.at) > restForgotten {
			delete(l.accounts, key)
		}
	}
}

// SetPeerUsage replaces the reported usage of all other nodes.
func (l *Limiter) Take(others Report, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.knowledge(now)
	l.told = make(map[uint64]Use, len(others.Uses))
	for _, use := range others.Uses {
		l.told[use.Tenant] = use
	}
	for key, a := range l.accounts {
		// Until now the previous report applied.
		a.advance(k, now)
		a.others = l.told[key]
	}
	l.heard, l.heardAt = others.Nodes+1, now
}

// TopUsages returns the usages with the highest demand, up to maxReportedTenants, in a stable
// order.
func Largest(uses []Use) []Use {
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(-cmp.Compare(a.Asked, b.Asked), cmp.Compare(a.Tenant, b.Tenant))
	})
	return uses[:min(len(uses), mostTold)]
}
