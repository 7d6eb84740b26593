package quota

import (
	"math"
	"time"
)

const (
	// reportLag is the time by which reported admissions trail the real ones: the age of reports
	// and the decay time of the reported rate.
	reportLag = 600 * time.Millisecond
	// debtHorizon is the time over which amounts admitted beyond the limit are recovered. It is
	// several times reportLag, so that nodes do not correct alternately.
	debtHorizon = 1000 * time.Millisecond
	// maxDebtTime is the greatest debt, as the time in which the limit's rate amounts to it.
	maxDebtTime = time.Second
	// minRateFraction is the fraction of the limit's rate that is admitted whatever was admitted
	// beyond the limit before, as long as the window has room for it.
	minRateFraction = 0.85
	// unsureBurstFraction is the fraction of the burst that a node which has just started counts on.
	unsureBurstFraction = 0.5
	// windowFraction is the fraction of the window's upper bound that is admitted. The rest
	// absorbs variance of the random draws.
	windowFraction = 0.93
	// windowHorizon is the time over which the rest of a window is spread once it limits admission.
	windowHorizon = time.Second
	// shareReports is the number of reports by which a node's own demand is held back when it is
	// compared with the reported one, and shareGain the weight of one comparison.
	shareReports = 4
	shareGain    = 0.1
)

// tenantBucket is one node's view of a tenant's usage of its limit.
type tenantBucket struct {
	limit         Limit
	bounds        Bounds
	requestedRate decayingRate
	// surge is the demand of this node over a short time.
	surge        surge
	admittedRate decayingRate
	// peers is the last reported usage of all other nodes.
	peers Usage
	// level is the amount that may be admitted at once, as of at, apart from what unreported
	// holds. It is negative after over-admission.
	level float64
	at    time.Time
	// fraction is the fraction of the limit that the level covers.
	fraction float64
	// idleBefore is set if the published demand from before the start was within the limit.
	idleBefore bool
	// unreported is the estimated rate of peers' admissions; over its decay time, which is
	// reportLag, it amounts to what peers have admitted and not reported yet.
	unreported decayingRate
	// ownAdmitted and peersAdmitted are the amounts admitted within the window by this node and,
	// as far as reported, by its peers.
	ownAdmitted   slidingWindow
	peersAdmitted slidingWindow
	// share is the usual fraction of the demand that arrives at this node; 0 if it is not known.
	// Peers report with a delay, so that it compares their demand with an earlier one of this node.
	share   float64
	earlier [shareReports]float64
	ranks   rankDemand
	// promisedRate is the rate at which refused callers are expected to return, in the limit's
	// unit per second.
	promisedRate float64
}

// visibility describes how much of the fleet's usage a node knows.
type visibility struct {
	// ownShare is this node's even share of the fleet, and reportedShare the share of all nodes
	// covered by the last peer reports, this node included. Both range from 0 to 1.
	ownShare      float64
	reportedShare float64
	// freshness falls from 1, for fresh peer reports, to 0 once they have expired.
	freshness float64
}

// fraction returns the fraction of the limit that this node accounts for, which belongs to the
// nodes whose usage is known. It shrinks as peer reports age, because peers may use more by
// then.
func (v visibility) fraction() float64 { return v.ownShare + (v.reportedShare-v.ownShare)*v.freshness }

// newTenantBucket returns a bucket that covers no part of the limit yet. The argument since is the
// node's start time; carry, from 0 to 1, staggers the nodes of a fleet.
func newTenantBucket(bounds Bounds, carry float64, since, now time.Time) *tenantBucket {
	return &tenantBucket{
		bounds:        bounds,
		requestedRate: decayingRate{decay: requestedDecay, since: since},
		surge:         newSurge(),
		admittedRate:  decayingRate{decay: admittedDecay},
		ranks:         newRankDemand(since, carry),
		unreported:    decayingRate{decay: reportLag},
		at:            now,
		ownAdmitted:   newSlidingWindow(bounds.Window, tenantWindowSlots),
		peersAdmitted: newSlidingWindow(bounds.Window, tenantWindowSlots),
	}
}

// advance moves the bucket to now. It assumes that peers kept admitting at their last reported
// rate.
func (b *tenantBucket) advance(v visibility, now time.Time) {
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.cover(v.fraction(), now)
	if elapsed == 0 {
		return
	}
	peersCost := b.peers.Admitted * elapsed
	b.peersAdmitted.add(peersCost, now)
	b.unreported.add(b.peersAdmissible(v, now)*elapsed, now)
	b.at = now
	rate := b.limit.PerSecond * v.fraction()
	b.level += rate*elapsed - peersCost
	b.level = min(b.level, b.bounds.capacity(b.limit)*v.fraction())
	// More debt is forgiven: the window bounds what is admitted, and a long debt would starve callers.
	b.level = max(b.level, b.unreportedAmount(v, now)-maxDebtTime.Seconds()*rate)
}

// cover sets the fraction of the limit that the level covers. Nodes that become visible bring their
// part of the burst, unless the reports show that the limit is in use. Within a window after the
// start of a node the burst may just have been used, before a restart of all nodes: only a part of it
// fits into the window's bound besides.
func (b *tenantBucket) cover(fraction float64, now time.Time) {
	if fraction > b.fraction {
		idle := min(1, max(0, 2-2*b.peers.Admitted/b.limit.PerSecond))
		if !b.idleBefore && now.Sub(b.requestedRate.since) < b.bounds.Window {
			idle *= unsureBurstFraction
		}
		b.level += (fraction - b.fraction) * b.limit.Burst * idle
	}
	b.fraction = fraction
}

// available returns the amount that may be admitted at once: the level less what peers may have
// admitted since their reports.
func (b *tenantBucket) available(v visibility, now time.Time) float64 {
	return b.level - b.unreportedAmount(v, now)
}

// unreportedAmount returns what peers may have admitted and not reported yet.
func (b *tenantBucket) unreportedAmount(v visibility, now time.Time) float64 {
	return b.unreported.remaining(now) * v.freshness
}

// admissibleRate returns the rate at which the known nodes may admit requests, in the limit's
// unit per second. What is available is used up within the time that reports need.
func (b *tenantBucket) admissibleRate(v visibility, now time.Time) float64 {
	rate, available := b.limit.PerSecond*v.fraction(), b.available(v, now)
	sustained := rate + available/reportLag.Seconds()
	if available < 0 {
		sustained = max(minRateFraction*rate, rate+available/debtHorizon.Seconds())
	}
	return max(0, min(sustained, b.windowRemaining(v, now)/windowHorizon.Seconds()))
}

// peersAdmissible returns the estimated rate at which peers admit requests now.
func (b *tenantBucket) peersAdmissible(v visibility, now time.Time) float64 {
	own, peers := b.requestedRate.estimate(now), b.peersRequested(v, now)
	if peers <= 0 {
		return 0
	}
	return min(peers, b.admissibleRate(v, now)*peers/(own+peers))
}

// admitRatio returns the fraction of the current demand of a rank that may be admitted, from 0 to 1,
// for a request of the given cost. More urgent ranks go first.
func (b *tenantBucket) admitRatio(rank int, cost float64, v visibility, now time.Time) float64 {
	peers := b.peersRequested(v, now)
	reserved := (peers + b.ranks.ownBefore(rank, now) + b.promisedRate) * reportLag.Seconds()
	if remaining := min(b.available(v, now), b.windowRemaining(v, now)); remaining >= cost+reserved {
		return 1
	}
	before, same := b.ranks.split(rank, b.peers.Requested, now)
	if before+same <= 0 {
		// A node that knows of no demand keeps to its part of the window.
		return fitRatio(b.windowRemaining(v, now), cost)
	}
	// Estimates by rank follow a surge as the sum does.
	surge := (b.ownRequested(now) + peers) / max(b.requestedRate.estimate(now)+b.peers.Requested, math.SmallestNonzeroFloat32)
	return min(1, max(0, (b.admissibleRate(v, now)-b.promisedRate*v.fraction()-surge*before)/max(surge*same, math.SmallestNonzeroFloat32)))
}

// fleetRequested returns the known demand on all nodes, in the limit's unit per second.
func (b *tenantBucket) fleetRequested(v visibility, now time.Time) float64 {
	return b.ownRequested(now) + b.peersRequested(v, now)
}

// ownRequested returns the demand on this node.
func (b *tenantBucket) ownRequested(now time.Time) float64 {
	return max(b.requestedRate.estimate(now), b.surge.perSecond(now))
}

// peersRequested returns the estimated demand on the other known nodes. A surge at this node
// counts as one at all nodes, in proportion to their demand before: peers report it only later.
func (b *tenantBucket) peersRequested(v visibility, now time.Time) float64 {
	share := max(b.share, v.ownShare/max(v.ownShare, v.fraction()))
	surge := b.surge.perSecond(now) * (1 - share) / share * v.freshness
	return max(b.peers.Requested, surge)
}

// setPeers replaces the reported usage of all other nodes.
func (b *tenantBucket) setPeers(peers Usage, now time.Time) {
	own := b.earlier[0]
	copy(b.earlier[:], b.earlier[1:])
	b.earlier[shareReports-1] = b.requestedRate.estimate(now)
	b.peers = peers
	if own+peers.Requested > 0 {
		b.share += shareGain * (own/(own+peers.Requested) - b.share)
	}
}

// windowRemaining returns the amount that may still be admitted within the window ending now.
func (b *tenantBucket) windowRemaining(v visibility, now time.Time) float64 {
	admitted := b.ownAdmitted.at(now) + b.peersAdmitted.at(now)*v.freshness + b.unreportedAmount(v, now)
	return windowFraction*b.bounds.allowed(b.limit)*v.fraction() - admitted
}

// demand records the demand of a request.
func (b *tenantBucket) demand(rank int, cost float64, now time.Time) {
	b.requestedRate.add(cost, now)
	b.surge.add(cost, now)
	b.ranks.requested[rank].add(cost, now)
}

// charge records an admitted amount; a negative cost refunds it.
func (b *tenantBucket) charge(rank int, cost float64, now time.Time) {
	b.admittedRate.add(cost, now)
	b.ranks.admitted[rank].add(cost, now)
	b.ownAdmitted.add(cost, now)
	b.level -= cost
}

// nearLimit reports whether the known demand comes near the limit.
func (b *tenantBucket) nearLimit(now time.Time) bool {
	return b.ownRequested(now)+b.peers.Requested >= nearLimitFraction*b.limit.PerSecond
}

// refillTime returns the time after which the fleet may admit a request of the given cost again.
func (b *tenantBucket) refillTime(cost float64, v visibility, now time.Time) time.Duration {
	refillRate := b.limit.PerSecond * v.fraction()
	missing := cost + max(0, -b.available(v, now), -b.windowRemaining(v, now))
	seconds := math.Min(missing/refillRate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
