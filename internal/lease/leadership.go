// Package lease elects one node of the fleet at a time as the leader for a task. The leader's
// fencing token is derived from the position of the key that it created, so that it only ever
// grows, even when the store is restored from a backup.
package lease

import (
	"sync/atomic"
	"time"
)

// Leadership is one node's time as leader. It reads no clock: all times are passed in.
//
// Invariant: no two leaderships may act at the same time, and a new one acts only when
// the previous one has not acted for the handover delay. The leader counts the lease's TTL
// from before it sent the renewal, the store from the arrival, so the leader stops first.
type Leadership struct {
	// FencingToken is sent with each action, so that servers reject those of earlier leaders.
	FencingToken int64
	// actFrom is when the leader may begin to act.
	actFrom   time.Time
	expiresAt time.Time
	ttl       time.Duration
	margin    time.Duration
	// superseded reports that a higher fencing token is in use.
	superseded atomic.Bool
}

// NewLeadership returns a leadership whose lease was requested at sentAt. It may act from
// actFrom on, and stops margin before the lease can expire.
func NewLeadership(token int64, sentAt time.Time, ttl, margin time.Duration, actFrom time.Time) *Leadership {
	return &Leadership{FencingToken: token, actFrom: actFrom, expiresAt: sentAt.Add(ttl), ttl: ttl, margin: margin}
}

// Renewed extends the leadership after a successful renewal that was sent at sentAt.
func (leadership *Leadership) Renewed(sentAt time.Time) {
	if expiresAt := sentAt.Add(leadership.ttl); expiresAt.After(leadership.expiresAt) {
		leadership.expiresAt = expiresAt
	}
}

// Supersede ends the leadership after a call was rejected for its fencing token, which means
// that another leader has a higher one.
func (leadership *Leadership) Supersede() { leadership.superseded.Store(true) }

// Superseded reports whether the leadership was ended by another leader's token.
func (leadership *Leadership) Superseded() bool { return leadership.superseded.Load() }

// MayAct reports whether the leader may act now.
func (leadership *Leadership) MayAct(now time.Time) bool {
	return !leadership.Superseded() && !now.Before(leadership.actFrom) && now.Before(leadership.expiresAt.Add(-leadership.margin))
}

// EarliestAction returns when a new leader may begin to act: at once if there was no other
// leader before, and otherwise when that one's last action is certainly older than the
// handover delay. lastIdle is a time at which the previous leader was certainly idle, or zero
// if none is known.
func EarliestAction(heldByOther bool, lastIdle, acquired time.Time, handoverDelay time.Duration) time.Time {
	switch {
	case !heldByOther:
		return acquired
	case lastIdle.IsZero():
		return acquired.Add(handoverDelay)
	default:
		return lastIdle.Add(handoverDelay)
	}
}
