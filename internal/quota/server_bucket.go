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
	serverWindow = 4 * time.Second
	serverFactor = 1.5
	serverSlack  = 5.0
	beyondPart   = 0.3
	// targetUtilization is the fraction of a limit that nodes use. The margin covers the
	// variance of the random draws that nodes make for shares of less than one request.
	spentPart = 0.95
	// minServerLimit is the lowest limit applied to a server, in requests per second: one
	// request in 50 s from the whole fleet. With no requests at all, nobody would learn that the
	// server accepts more again.
	leastLimit = 0.02
	// burstTime is the time for which unused capacity accumulates, and burstSlack a number of
	// requests in addition, both for the whole fleet. A full burst together with the regular
	// rate stays within the server's tolerance per window.
	savedTime  = 1500 * time.Millisecond
	savedSlack = 1.5
	// quantumFraction is the fraction of the bucket's capacity at which a node may draw for a
	// request. A higher value wastes the refill while no request arrives; a lower value
	// increases the variance of the summed draws of all nodes.
	quantumPart = 0.3
	// sentDecay is the decay time constant of the reported send rate.
	sentMemory = 300 * time.Millisecond
	// maxDebt bounds the deficit, in requests, caused by the node's own calls, which are sent
	// regardless of the level.
	mostDebt = 2.0
	// slowStartDoubling is the time in which the assumed limit of a server doubles after it has
	// stopped advertising one. After slowStartTime the server counts as unlimited. The ramp
	// keeps held-back callers from arriving all at once.
	easing   = time.Second
	easeTime = 10 * time.Second
)

// serverBucket is this node's share of one server's limit.
type allowance struct {
	// perSecond is the limit last advertised by the server, to this node or to a peer.
	perSecond float64
	// advertisedAt is when the server last advertised the limit to this node, and heardAt when
	// an answer from the server last told this node whether it has a limit. Both are zero if
	// that never happened.
	namedAt time.Time
	heardAt time.Time
	// loweredAt is when the server advertised a lower limit to this node than before; zero if it
	// did not.
	fellAt time.Time
	// liftedAt is when this node learned that the server no longer advertises a limit; zero
	// while it does.
	endedAt time.Time
	// level is the number of requests that may be sent, as of at. It is negative if more were
	// sent.
	level float64
	at    time.Time
	// sentRate is this node's send rate. ownSent and peersSent are the numbers of requests sent
	// within the window by this node and, as far as reported, by its peers.
	sent       flow
	ownSent    window
	othersSent window
	// peersRate is the send rate last reported by peers, in requests per second, included in
	// peersSent up to peersAt.
	others   float64
	othersAt time.Time
	// server is the full hash of the server, or 0 while this node knows it only from peer
	// reports.
	server uint64
}

func newAllowance(perSecond float64, now time.Time) *allowance {
	return &allowance{
		perSecond:  perSecond,
		at:         now,
		othersAt:   now,
		sent:       flow{memory: sentMemory},
		ownSent:    window{length: serverWindow},
		othersSent: window{length: serverWindow},
	}
}

// noteLimitChange records whether a limit advertised to this node is lower or higher than the
// known one.
func (a *allowance) follow(perSecond float64, now time.Time) {
	switch {
	case a.lower(perSecond):
		a.fellAt = now
	case perSecond > a.perSecond:
		a.fellAt = time.Time{}
	}
}

// isLower reports whether a limit is lower than the known one.
func (a *allowance) lower(perSecond float64) bool {
	return a.endedAt.IsZero() && perSecond < a.perSecond*(1-sameLimit)
}

// limit returns the limit assumed for the server now, in requests per second.
func (a *allowance) limit(now time.Time) float64 {
	limit := max(a.perSecond, leastLimit)
	if a.endedAt.IsZero() {
		return limit
	}
	return max(limit, 1) * math.Exp2(now.Sub(a.endedAt).Seconds()/easing.Seconds())
}

// slowStartDone reports whether the ramp after a lifted limit is over, so that the server counts
// as unlimited.
func (a *allowance) over(now time.Time) bool {
	return !a.endedAt.IsZero() && now.Sub(a.endedAt) >= easeTime
}

// capacity returns the number of requests that a node with the given share may accumulate.
func (a *allowance) capacity(s share, now time.Time) float64 {
	return s.part * (spentPart*a.limit(now)*savedTime.Seconds() + savedSlack)
}

// rate returns the number of requests per second that a node with the given share may send.
func (a *allowance) rate(s share, now time.Time) float64 {
	return s.part * spentPart * a.limit(now)
}

// advance refills the bucket up to now for a node with the given share.
func (a *allowance) advance(s share, now time.Time) {
	elapsed := max(0, now.Sub(a.at).Seconds())
	a.at = now
	a.level = min(a.level+a.rate(s, now)*elapsed, a.capacity(s, now))
	// A node with little demand cannot accumulate its share for its next request, since that
	// would add up to a lot over all nodes. It gets its part of a single request among all those
	// requested.
	if elapsed >= a.fillTime(now).Seconds() && s.asked > 0 {
		a.level = max(a.level, min(1, spentPart*a.limit(now)/s.asked))
	}
}

// fillTime returns the time in which an empty bucket fills.
func (a *allowance) fillTime(now time.Time) time.Duration {
	return savedTime + seconds(savedSlack/(spentPart*a.limit(now)))
}

// quantum returns the level at which a request may be sent. Nodes whose capacity is below one
// request draw at random for it.
func (a *allowance) quantum(s share, now time.Time) float64 {
	if capacity := a.capacity(s, now); capacity < 1 {
		return quantumPart * capacity
	}
	return 1
}

// wait returns the estimated time until a request may be sent; 0 if it may be sent now.
func (a *allowance) wait(s share, now time.Time) time.Duration {
	a.advance(s, now)
	if a.crowded(now) {
		return serverWindow / windowSlots
	}
	missing := a.quantum(s, now) - a.level
	// Ignore shortfalls caused by rounding.
	if missing <= 1e-9 {
		return 0
	}
	return max(time.Millisecond, seconds(missing/a.rate(share{part: max(s.part, s.coming)}, now)))
}

// windowFull reports whether the known nodes have sent as much within the window as the server
// is deliberately given.
func (a *allowance) crowded(now time.Time) bool {
	limit := a.limit(now) * serverWindow.Seconds()
	beyond := (serverFactor-1)*limit + serverSlack
	return a.sentInWindow(now)+1 > limit+beyondPart*beyond
}

// sentInWindow returns the number of requests sent within the window by all known nodes.
func (a *allowance) sentInWindow(now time.Time) float64 {
	a.hear(a.others, now)
	return a.ownSent.at(now) + a.othersSent.at(now)
}

// setPeersRate sets the current send rate of the peers, in requests per second.
func (a *allowance) hear(others float64, now time.Time) {
	a.othersSent.add(a.others*max(0, now.Sub(a.othersAt).Seconds()), now)
	a.others, a.othersAt = others, now
}

// tryAcquire takes one request from the bucket if the level allows it. With a level below one,
// it compares draw, from 0 to 1, with the level. The draw empties the bucket whatever its
// outcome, so that the mean send rate matches the allowed rate.
func (a *allowance) take(s share, draw float64, now time.Time) bool {
	if a.wait(s, now) > 0 {
		return false
	}
	if a.level >= 1 {
		a.level--
	} else if draw >= a.level {
		a.level = 0
		return false
	} else {
		a.level = 0
	}
	a.note(now)
	return true
}

// charge counts a call that is sent regardless of the level.
func (a *allowance) pay(s share, now time.Time) {
	a.advance(s, now)
	a.level = max(a.level-1, -mostDebt)
	a.note(now)
}

func (a *allowance) note(now time.Time) {
	a.sent.add(1, now)
	a.ownSent.add(1, now)
}

// cappedSeconds converts seconds to a duration of at most one hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
