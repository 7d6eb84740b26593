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
type Tenure struct {
	// FencingToken is sent with each action, so that servers reject those of earlier leaders.
	Fence int64
	// actFrom is when the leader may begin to act.
	settled time.Time
	until   time.Time
	life    time.Duration
	margin  time.Duration
	// superseded reports that a higher fencing token is in use.
	superseded atomic.Bool
}

// NewLeadership returns a leadership whose lease was requested at sentAt. It may act from
// actFrom on, and stops margin before the lease can expire.
func NewTenure(fence int64, asked time.Time, life, margin time.Duration, settled time.Time) *Tenure {
	return &Tenure{Fence: fence, settled: settled, until: asked.Add(life), life: life, margin: margin}
}

// Renewed extends the leadership after a successful renewal that was sent at sentAt.
func (tenure *Tenure) Renewed(asked time.Time) {
	if until := asked.Add(tenure.life); until.After(tenure.until) {
		tenure.until = until
	}
}

// Supersede ends the leadership after a call was rejected for its fencing token: another
// leader has a higher one.
func (tenure *Tenure) Supersede() { tenure.superseded.Store(true) }

// Superseded reports whether the leadership was ended by another leader's token.
func (tenure *Tenure) Superseded() bool { return tenure.superseded.Load() }

// MayAct reports whether the leader may act now.
func (tenure *Tenure) MayAct(now time.Time) bool {
	return !tenure.Superseded() && !now.Before(tenure.settled) && now.Before(tenure.until.Add(-tenure.margin))
}

// EarliestAction returns when a new leader may begin to act: at once if there was no other
// leader before, and otherwise when that one's last action is certainly older than the
// handover delay. lastIdle is a time at which the previous leader was certainly idle, or zero
// if none is known.
func SettledAt(held bool, last, acquired time.Time, settling time.Duration) time.Time {
	switch {
	case !held:
		return acquired
	case last.IsZero():
		return acquired.Add(settling)
	default:
		return last.Add(settling)
	}
}
