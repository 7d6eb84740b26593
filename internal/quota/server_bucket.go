package quota

import (
	"math"
	"time"
)

const (
	// serverWindow, serverOvershootFactor and serverSlack define the tolerance that servers
	// apply when they measure their load: at most 1.5 times the limit plus 5 requests in 4 s.
	// serverOvershootFraction is the fraction of that overshoot that is used deliberately; the
	// rest absorbs usage that nodes have not yet reported to each other.
	serverWindow            = 4 * time.Second
	serverOvershootFactor   = 1.5
	serverSlack             = 5.0
	serverOvershootFraction = 0.3
	// targetUtilization is the fraction of a limit that nodes use. The margin covers the
	// variance of the random draws that nodes make for shares of less than one request.
	targetUtilization = 0.95
	// minServerLimit is the lowest limit applied to a server, in requests per second: one
	// request in 50 s from the whole fleet. With no requests at all, nobody would learn that the
	// server accepts more again.
	minServerLimit = 0.02
	// burstTime is the time for which unused capacity accumulates, and burstSlack a number of
	// requests in addition, both for the whole fleet. A full burst together with the regular
	// rate stays within the server's tolerance per window.
	burstTime  = 1500 * time.Millisecond
	burstSlack = 1.5
	// quantumFraction is the fraction of the bucket's capacity at which a node may draw for a
	// request. A higher value wastes the refill while no request arrives; a lower value
	// increases the variance of the summed draws of all nodes.
	quantumFraction = 0.3
	// sentDecay is the decay time constant of the reported send rate.
	sentDecay = 300 * time.Millisecond
	// maxDebt bounds the deficit, in requests, caused by the node's own calls, which are sent
	// regardless of the level.
	maxDebt = 2.0
	// slowStartDoubling is the time in which the assumed limit of a server doubles after it has
	// stopped advertising one. After slowStartTime the server counts as unlimited. The ramp
	// keeps held-back callers from arriving all at once.
	slowStartDoubling = time.Second
	slowStartTime     = 10 * time.Second
)

// serverBucket is this node's share of one server's limit.
type serverBucket struct {
	// perSecond is the limit last advertised by the server, to this node or to a peer.
	perSecond float64
	// advertisedAt is when the server last advertised the limit to this node, and heardAt when
	// an answer from the server last told this node whether it has a limit. Both are zero if
	// that never happened.
	advertisedAt time.Time
	heardAt      time.Time
	// loweredAt is when the server advertised a lower limit to this node than before; zero if it
	// did not.
	loweredAt time.Time
	// liftedAt is when this node learned that the server no longer advertises a limit; zero
	// while it does.
	liftedAt time.Time
	// level is the number of requests that may be sent, as of at. It is negative if more were
	// sent.
	level float64
	at    time.Time
	// sentRate is this node's send rate. ownSent and peersSent are the numbers of requests sent
	// within the window by this node and, as far as reported, by its peers.
	sentRate  decayingRate
	ownSent   slidingWindow
	peersSent slidingWindow
	// peersRate is the send rate last reported by peers, in requests per second, included in
	// peersSent up to peersAt.
	peersRate float64
	peersAt   time.Time
	// server is the full hash of the server, or 0 while this node knows it only from peer
	// reports.
	server uint64
}

func newServerBucket(perSecond float64, now time.Time) *serverBucket {
	return &serverBucket{
		perSecond: perSecond,
		at:        now,
		peersAt:   now,
		sentRate:  decayingRate{decay: sentDecay},
		ownSent:   newSlidingWindow(serverWindow, serverWindowSlots),
		peersSent: newSlidingWindow(serverWindow, serverWindowSlots),
	}
}

// noteLimitChange records whether a limit advertised to this node is lower or higher than the
// known one.
func (b *serverBucket) noteLimitChange(perSecond float64, now time.Time) {
	switch {
	case b.isLower(perSecond):
		b.loweredAt = now
	case perSecond > b.perSecond:
		b.loweredAt = time.Time{}
	}
}

// isLower reports whether a limit is lower than the known one.
func (b *serverBucket) isLower(perSecond float64) bool {
	return b.liftedAt.IsZero() && perSecond < b.perSecond*(1-limitTolerance)
}

// limit returns the limit assumed for the server now, in requests per second.
func (b *serverBucket) limit(now time.Time) float64 {
	limit := max(b.perSecond, minServerLimit)
	if b.liftedAt.IsZero() {
		return limit
	}
	return max(limit, 1) * math.Exp2(now.Sub(b.liftedAt).Seconds()/slowStartDoubling.Seconds())
}

// slowStartDone reports whether the ramp after a lifted limit is over, so that the server counts
// as unlimited.
func (b *serverBucket) slowStartDone(now time.Time) bool {
	return !b.liftedAt.IsZero() && now.Sub(b.liftedAt) >= slowStartTime
}

// capacity returns the number of requests that a node with the given share may accumulate.
func (b *serverBucket) capacity(s share, now time.Time) float64 {
	return s.fraction * (targetUtilization*b.limit(now)*burstTime.Seconds() + burstSlack)
}

// rate returns the number of requests per second that a node with the given share may send.
func (b *serverBucket) rate(s share, now time.Time) float64 {
	return s.fraction * targetUtilization * b.limit(now)
}

// advance refills the bucket up to now for a node with the given share.
func (b *serverBucket) advance(s share, now time.Time) {
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.at = now
	b.level = min(b.level+b.rate(s, now)*elapsed, b.capacity(s, now))
	// A node with little demand must not accumulate its share for its next request, since that
	// would add up to a lot over all nodes. Once an empty bucket would have filled, it gets the
	// fraction of one request that the allowed rate is of the rate requested of the fleet.
	if elapsed >= b.fillTime(now).Seconds() && s.demandRate > 0 {
		b.level = max(b.level, min(1, targetUtilization*b.limit(now)/s.demandRate))
	}
}

// fillTime returns the time in which an empty bucket fills.
func (b *serverBucket) fillTime(now time.Time) time.Duration {
	return burstTime + cappedSeconds(burstSlack/(targetUtilization*b.limit(now)))
}

// quantum returns the level at which a request may be sent. Nodes whose capacity is below one
// request draw at random for it.
func (b *serverBucket) quantum(s share, now time.Time) float64 {
	if capacity := b.capacity(s, now); capacity < 1 {
		return quantumFraction * capacity
	}
	return 1
}

// wait returns the estimated time until a request may be sent, or 0 if it may be sent now.
func (b *serverBucket) wait(s share, now time.Time) time.Duration {
	b.advance(s, now)
	if b.windowFull(now) {
		return serverWindow / serverWindowSlots
	}
	missing := b.quantum(s, now) - b.level
	// Ignore shortfalls caused by rounding.
	if missing <= 1e-9 {
		return 0
	}
	return max(time.Millisecond, cappedSeconds(missing/b.rate(share{fraction: max(s.fraction, s.upcoming)}, now)))
}

// windowFull reports whether the known nodes have sent as much within the window as is
// deliberately sent: the limit and serverOvershootFraction of the tolerated overshoot.
func (b *serverBucket) windowFull(now time.Time) bool {
	limit := b.limit(now) * serverWindow.Seconds()
	overshoot := (serverOvershootFactor-1)*limit + serverSlack
	return b.sentInWindow(now)+1 > limit+serverOvershootFraction*overshoot
}

// sentInWindow returns the number of requests sent within the window by all known nodes.
func (b *serverBucket) sentInWindow(now time.Time) float64 {
	b.setPeersRate(b.peersRate, now)
	return b.ownSent.at(now) + b.peersSent.at(now)
}

// setPeersRate sets the current send rate of the peers, in requests per second.
func (b *serverBucket) setPeersRate(peersRate float64, now time.Time) {
	b.peersSent.add(b.peersRate*max(0, now.Sub(b.peersAt).Seconds()), now)
	b.peersRate, b.peersAt = peersRate, now
}

// tryAcquire takes one request from the bucket if the level allows it. With a level below one,
// it compares draw, from 0 to 1, with the level. The draw empties the bucket whatever its
// outcome, so that the mean send rate matches the allowed rate.
func (b *serverBucket) tryAcquire(s share, draw float64, now time.Time) bool {
	if b.wait(s, now) > 0 {
		return false
	}
	if b.level >= 1 {
		b.level--
	} else if draw >= b.level {
		b.level = 0
		return false
	} else {
		b.level = 0
	}
	b.countSent(now)
	return true
}

// charge counts a call that is sent regardless of the level.
func (b *serverBucket) charge(s share, now time.Time) {
	b.advance(s, now)
	b.level = max(b.level-1, -maxDebt)
	b.countSent(now)
}

func (b *serverBucket) countSent(now time.Time) {
	b.sentRate.add(1, now)
	b.ownSent.add(1, now)
}

// cappedSeconds converts seconds to a duration of at most one hour.
func cappedSeconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
