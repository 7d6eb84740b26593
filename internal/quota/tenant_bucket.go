package quota

import (
	"math"
	"time"
)

const (
	// correctionHorizon is the time over which the remaining capacity is spread once a tenant
	// exceeds its limit. It is several times the age of peer reports, so that nodes do not
	// overshoot alternately.
	horizon = 1500 * time.Millisecond
	// windowFraction is the fraction of the window's upper bound that is admitted. The rest
	// absorbs usage that nodes have not yet reported to each other.
	windowPart = 0.93
)

// tenantBucket is one node's view of a tenant's usage of its limit.
type account struct {
	limit    Limit
	bounds   Bounds
	asked    flow
	admitted flow
	// peers is the last reported usage of all other nodes.
	others Use
	// level is the amount that may be admitted at once, as of at. It is negative after
	// over-admission.
	level float64
	at    time.Time
	// ownAdmitted and peersAdmitted are the amounts admitted within the window by this node and,
	// as far as reported, by its peers.
	ownUsed    window
	othersUsed window
}

// visibility describes how much of the fleet's usage a node knows.
type knowledge struct {
	// ownShare is this node's even share of the fleet, and heardShare the share of all nodes
	// covered by the last peer reports, this node included. Both range from 0 to 1.
	own   float64
	whole float64
	// freshness falls from 1, for fresh peer reports, to 0 once they have expired.
	trust float64
}

// fraction returns the fraction of the limit that this node accounts for, which belongs to the
// nodes whose usage is known. It shrinks as peer reports age, because peers may use more by
// then.
func (k knowledge) part() float64 { return k.own + (k.whole-k.own)*k.trust }

// newTenantBucket returns an empty bucket: a node that has just started does not know what its
// peers have admitted. The argument since is the node's start time.
func newAccount(bounds Bounds, since, now time.Time) *account {
	return &account{
		bounds:     bounds,
		asked:      flow{memory: askedMemory, since: since},
		admitted:   flow{memory: admittedMemory},
		at:         now,
		ownUsed:    window{length: bounds.Window},
		othersUsed: window{length: bounds.Window},
	}
}

// advance moves the bucket to now. It assumes that peers kept admitting at their last reported
// rate.
func (a *account) advance(k knowledge, now time.Time) {
	elapsed := max(0, now.Sub(a.at).Seconds())
	a.at = now
	others := a.others.Admitted * elapsed
	a.othersUsed.add(others, now)
	a.level += a.limit.PerSecond*k.part()*elapsed - others
	a.level = min(a.level, a.bounds.capacity(a.limit)*k.part())
	// Amounts admitted more than a window ago no longer count, so the deficit is bounded by one
	// window.
	a.level = max(a.level, -a.limit.PerSecond*k.part()*a.bounds.Window.Seconds())
}

// admitRatio returns the fraction of the current demand that may be admitted, from 0 to 1.
func (a *account) share(k knowledge, now time.Time) float64 {
	asked := a.askedNow(now)
	if asked <= 0 {
		return 1
	}
	inTime := a.limit.PerSecond*k.part() + a.level/horizon.Seconds()
	mayAdmit := min(inTime, a.windowLeft(k, now)/horizon.Seconds())
	return min(1, max(0, mayAdmit/asked))
}

// fleetRequested returns the known demand on all nodes, in the limit's unit per second.
func (a *account) askedNow(now time.Time) float64 { return a.asked.estimate(now) + a.others.Asked }

// windowRemaining returns the amount that may still be admitted within the window ending now.
func (a *account) windowLeft(k knowledge, now time.Time) float64 {
	used := a.ownUsed.at(now) + a.othersUsed.at(now)*k.trust
	return windowPart*a.bounds.allowed(a.limit)*k.part() - used
}

// charge records an admitted amount; a negative cost refunds it.
func (a *account) admit(cost float64, now time.Time) {
	a.admitted.add(cost, now)
	a.ownUsed.add(cost, now)
	a.level -= cost
}

// refillTime returns the time after which the fleet may admit a request of the given cost again.
func (a *account) recovery(cost float64, k knowledge, now time.Time) time.Duration {
	perSecond := a.limit.PerSecond * k.part()
	missing := cost + max(0, -a.level, -a.windowLeft(k, now))
	seconds := math.Min(missing/perSecond, longestWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
