package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/appointment"
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
	// maxTenantRows bounds the rows on tenants in a report, so that they leave room for those on
	// servers.
	maxTenantRows = maxRows / 2
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
	book    *appointment.Book

	mutex   sync.Mutex
	buckets map[uint64]*tenantBucket
	refused refusedCallers
	// peerUsage is the last reported usage of all other nodes, by tenant.
	peerUsage map[uint64]Usage
	// peerRanks is the same by rank, for tenants near their limits, by rowSubject.
	peerRanks map[uint64]rankUsage
	// malformedRows is the number of reported rows that were dropped.
	malformedRows int
	// nodes is the size of the fleet, and reportedNodes the number of nodes that the last peer
	// report covers, this one included.
	nodes         int
	reportedNodes int
	recovered     recovered
	heardAt       time.Time
	sweptAt       time.Time
}

// New returns a limiter for a node that has just started. The function draw returns random
// numbers in [0, 1).
func New(bounds Bounds, draw func() float64, now time.Time) *Limiter {
	return &Limiter{bounds: bounds, draw: draw, started: now, buckets: map[uint64]*tenantBucket{}, nodes: defaultFleetSize, book: appointment.New(promisePropagation)}
}

// Decision is the outcome of an admission check, with its inputs.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
	// Returning is set if the request returns at its appointment, and Appointment if RetryAfter is
	// the time of a new one.
	Returning   bool
	Appointment bool
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

// Request is what the admission of a request depends on.
type Request struct {
	// Cost is in the limit's unit.
	Cost float64
	// Rank is the urgency, from 0, the most urgent, to 9.
	Rank int
	// Caller returns a hash of the request that is the same for all of its tries, on all nodes. It
	// is called only if the request may return or is refused. Without it there are no appointments.
	Caller func() uint64
	// Remaining is the time that the caller has left, and AnswerTime the time that an answer takes.
	Remaining  time.Duration
	AnswerTime time.Duration
	// Shortened is set if the caller states less time than others do on their first try.
	Shortened bool
}

// validate returns an error of the type errors.NotValid if the request is malformed.
func (r Request) validate() error {
	if r.Rank < 0 || r.Rank >= rankCount {
		return errors.NotValidf("urgency rank %d; pass one from 0 to %d: it", r.Rank, rankCount-1)
	}
	if !validRate(r.Cost) {
		return errors.NotValidf("cost %v; pass a finite one that is not negative: it", r.Cost)
	}
	return nil
}

// Admit decides whether a request of a tenant is admitted. It returns an error of the type
// errors.NotValid, and admits nothing, if the request is malformed.
func (l *Limiter) Admit(tenant string, limit Limit, request Request, now time.Time) (Decision, error) {
	if err := request.validate(); err != nil {
		return Decision{}, err
	}
	if !limit.Limited() {
		return Decision{Admitted: true, AdmitRatio: 1}, nil
	}
	key := TenantKey(tenant)
	subject := rowSubject(key)
	caller := l.returningCaller(subject, request, now)
	returning := caller != 0 && l.book.Redeem(subject, caller, request.Cost, request.Shortened, now)
	promised := l.book.Outstanding(subject, now) / promiseLife.Seconds()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, v := l.bucket(key, now), l.visibility(now)
	b.idleBefore = l.recovered.idle(key, limit)
	b.limit, b.promisedRate = limit, min(promised, promisedFraction*limit.PerSecond)
	b.advance(v, now)
	// The request itself says nothing about the demand on other nodes.
	decision := Decision{Returning: returning, Requested: b.fleetRequested(v, now), Level: b.available(v, now), VisibleNodes: l.visibleNodes(now), PeersAge: -1}
	if !l.heardAt.IsZero() {
		decision.PeersAge = now.Sub(l.heardAt)
	}
	// A caller counts once in the demand.
	again := returning || request.Shortened && promised > 0 || l.refused.contains(caller, now)
	decision.AdmitRatio = max(b.admitRatio(request.Rank, request.Cost, v, now), l.startRatio(b, key, request.Cost, now))
	if !again {
		b.demand(request.Rank, request.Cost, now)
	}
	if returning {
		// Only the bounds may break a promise.
		decision.Admitted = b.windowRemaining(v, now) >= request.Cost
	} else {
		decision.Admitted = b.ranks.take(request.Rank, decision.AdmitRatio)
	}
	if decision.Admitted {
		b.charge(request.Rank, request.Cost, now)
		return decision, nil
	}
	decision.RetryAfter, decision.Appointment = l.refuse(b, subject, caller, again, request, v, now)
	return decision, nil
}

// returningCaller returns the caller of a request that may be a retry, or 0.
func (l *Limiter) returningCaller(subject uint64, request Request, now time.Time) uint64 {
	if request.Caller == nil {
		return 0
	}
	l.mutex.Lock()
	recent := l.refused.recent(now)
	l.mutex.Unlock()
	if !recent && l.book.Outstanding(subject, now) <= 0 {
		return 0
	}
	return request.Caller()
}

// refuse returns when a refused caller should retry, and whether it is an appointment. A caller
// that was refused before gets none.
func (l *Limiter) refuse(b *tenantBucket, subject, caller uint64, again bool, request Request, v visibility, now time.Time) (time.Duration, bool) {
	if request.Caller == nil {
		// Randomize the delay, so that callers refused together do not retry together.
		wait := time.Duration((0.5 + l.draw()) * float64(b.refillTime(request.Cost, v, now)))
		return max(minRetryAfter, wait), false
	}
	if caller == 0 {
		caller = request.Caller()
	}
	l.refused.add(caller, now)
	wait, follows := l.appointment(b, subject, request, v, now)
	promised := follows && !again && l.book.Promise(subject, caller, request.Cost, now.Add(wait), now)
	return wait, promised
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) Refund(tenant string, request Request, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if b := l.buckets[TenantKey(tenant)]; b != nil && request.validate() == nil {
		b.charge(request.Rank, -request.Cost, now)
	}
}

// MalformedRows returns the number of reported rows that were dropped since the start.
func (l *Limiter) MalformedRows() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.malformedRows
}

// Resize sets the number of nodes in the fleet.
func (l *Limiter) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = max(1, nodes)
	l.recovered.sized = true
}

// bucket returns the bucket of a tenant.
func (l *Limiter) bucket(key uint64, now time.Time) *tenantBucket {
	b := l.buckets[key]
	if b == nil {
		b = newTenantBucket(l.bounds, 1-l.draw(), l.started, now)
		b.peers, b.ranks.peers = l.peerUsage[key], l.peerRanks[rowSubject(key)]
		l.buckets[key] = b
	}
	if l.peersStale(now) {
		b.peers, b.ranks.peers = Usage{}, rankUsage{}
	}
	return b
}

// visibleNodes returns the number of nodes whose usage is known now, this one included.
func (l *Limiter) visibleNodes(now time.Time) int {
	if l.peersStale(now) {
		return 1
	}
	return min(max(1, l.reportedNodes), l.fleetSize(now))
}

// peersStale reports whether the last peer report has expired.
func (l *Limiter) peersStale(now time.Time) bool { return now.Sub(l.heardAt) > peerMaxAge }

// visibility returns how much of the fleet's usage this node knows. Expired peer reports do not
// count.
func (l *Limiter) visibility(now time.Time) visibility {
	v := visibility{ownShare: 1 / float64(l.fleetSize(now)), freshness: 1}
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
	report.Rows = append(l.rankRows(report.Usages, now), l.promiseRows(now)...)
	report.Rows = report.Rows[:min(len(report.Rows), maxTenantRows)]
	return report
}

// rankRows returns the rows by rank of tenants near their limits, in the order of the usages.
func (l *Limiter) rankRows(usages []Usage, now time.Time) []Usage {
	var rows []Usage
	for _, usage := range usages {
		if b := l.buckets[usage.Key]; b.nearLimit(now) {
			rows = append(rows, b.ranks.rows(usage.Key, now)...)
		}
	}
	return rows
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
	l.setPeerRows(peers.Rows)
	l.book.SetPeerRows(promisesOf(peers.Rows), now)
	for key, b := range l.buckets {
		// Until now the previous report applied.
		b.advance(v, now)
		b.setPeers(l.peerUsage[key], now)
		b.ranks.peers = l.peerRanks[rowSubject(key)]
	}
	l.reportedNodes, l.heardAt = peers.Nodes+1, now
}

// setPeerRows replaces the reported usage by rank of all other nodes. Malformed rows are dropped.
func (l *Limiter) setPeerRows(rows []Usage) {
	l.peerRanks = map[uint64]rankUsage{}
	for _, row := range rows {
		kind := rowKind(row.Key) & kindMask
		if !isRankRow(kind, tenantRankRow) {
			continue
		}
		if !validRow(row) {
			l.malformedRows++
			continue
		}
		usage := l.peerRanks[rowSubject(row.Key)]
		usage[kind-tenantRankRow] = row
		l.peerRanks[rowSubject(row.Key)] = usage
	}
}

// TopUsages returns the usages with the highest demand, up to maxReportedTenants, in a stable
// order.
func TopUsages(usages []Usage) []Usage {
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(-cmp.Compare(a.Requested, b.Requested), cmp.Compare(a.Key, b.Key))
	})
	return usages[:min(len(usages), maxReportedTenants)]
}
