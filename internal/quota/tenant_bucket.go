package quota

import (
	"math"
	"time"
)

const (
	// correctionHorizon is the time over which the remaining capacity is spread once a tenant
	// exceeds its limit. It is several times the age of peer reports, so that nodes do not
	// overshoot alternately.
	correctionHorizon = 1500 * time.Millisecond
	// windowFraction is the fraction of the window's upper bound that is admitted. The rest
	// absorbs usage that nodes have not yet reported to each other.
	windowFraction = 0.93
)

// tenantBucket is one node's view of a tenant's usage of its limit.
type tenantBucket struct {
	limit         Limit
	bounds        Bounds
	requestedRate decayingRate
	admittedRate  decayingRate
	// peers is the last reported usage of all other nodes.
	peers Usage
	// level is the amount that may be admitted at once, as of at. It is negative after
	// over-admission.
	level float64
	at    time.Time
	// ownAdmitted and peersAdmitted are the amounts admitted within the window by this node and,
	// as far as reported, by its peers.
	ownAdmitted   slidingWindow
	peersAdmitted slidingWindow
}

// visibility describes how much of the fleet's usage a node knows.
type visibility struct {
	// ownShare is this node's even share of the fleet, and reportedShare the share of all nodes
	// covered by the last peer reports, this node included. Both range from 0 to 1.
	ownShare   float64
	heardShare float64
	// freshness falls from 1, for fresh peer reports, to 0 once they have expired.
	freshness float64
}

// fraction returns the fraction of the limit that this node accounts for, which belongs to the
// nodes whose usage is known. It shrinks as peer reports age, because peers may use more by
// then.
func (v visibility) fraction() float64 { return v.ownShare + (v.heardShare-v.ownShare)*v.freshness }

// newTenantBucket returns an empty bucket: a node that has just started does not know what its
// peers have admitted. The argument since is the node's start time.
func newTenantBucket(bounds Bounds, since, now time.Time) *tenantBucket {
	return &tenantBucket{
		bounds:        bounds,
		requestedRate: decayingRate{decay: requestedDecay, since: since},
		admittedRate:  decayingRate{decay: admittedDecay},
		at:            now,
		ownAdmitted:   slidingWindow{length: bounds.Window},
		peersAdmitted: slidingWindow{length: bounds.Window},
	}
}

// advance moves the bucket to now. It assumes that peers kept admitting at their last reported
// rate.
func (b *tenantBucket) advance(v visibility, now time.Time) {
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.at = now
	peersCost := b.peers.Admitted * elapsed
	b.peersAdmitted.add(peersCost, now)
	b.level += b.limit.PerSecond*v.fraction()*elapsed - peersCost
	b.level = min(b.level, b.bounds.capacity(b.limit)*v.fraction())
	// Amounts admitted more than a window ago no longer count, so the deficit is bounded by one
	// window.
	b.level = max(b.level, -b.limit.PerSecond*v.fraction()*b.bounds.Window.Seconds())
}

// admitRatio returns the fraction of the current demand that may be admitted, from 0 to 1.
func (b *tenantBucket) admitRatio(v visibility, now time.Time) float64 {
	requested := b.fleetRequested(now)
	if requested <= 0 {
		return 1
	}
	sustained := b.limit.PerSecond*v.fraction() + b.level/correctionHorizon.Seconds()
	admissible := min(sustained, b.windowRemaining(v, now)/correctionHorizon.Seconds())
	return min(1, max(0, admissible/requested))
}

// fleetRequested returns the known demand on all nodes, in the limit's unit per second.
func (b *tenantBucket) fleetRequested(now time.Time) float64 {
	return b.requestedRate.estimate(now) + b.peers.Requested
}

// windowRemaining returns the amount that may still be admitted within the window ending now.
func (b *tenantBucket) windowRemaining(v visibility, now time.Time) float64 {
	admitted := b.ownAdmitted.at(now) + b.peersAdmitted.at(now)*v.freshness
	return windowFraction*b.bounds.allowed(b.limit)*v.fraction() - admitted
}

// charge records an admitted amount; a negative cost refunds it.
func (b *tenantBucket) charge(cost float64, now time.Time) {
	b.admittedRate.add(cost, now)
	b.ownAdmitted.add(cost, now)
	b.level -= cost
}

// refillTime returns the time after which the fleet may admit a request of the given cost again.
func (b *tenantBucket) refillTime(cost float64, v visibility, now time.Time) time.Duration {
	refillRate := b.limit.PerSecond * v.fraction()
	missing := cost + max(0, -b.level, -b.windowRemaining(v, now))
	seconds := math.Min(missing/refillRate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
