// Package lease lets one node of the fleet at a time hold a duty. The holder's
// fencing token is that of the position of the key that it created: it only ever grows,
// also when the store has gone back.
package lease

import (
	"sync/atomic"
	"time"
)

// Tenure is one node's hold on the duty. It is pure: all times are given.
//
// Invariant: no two tenures may act at the same moment, and a tenure acts only
// after the one before it has been quiet for the settling time. The holder
// counts its lease from before the call that renewed it, the store from the
// call's arrival, so the holder stops first.
type Tenure struct {
	// Fence is the fencing token.
	Fence int64
	// settled is when the tenure may begin to act.
	settled time.Time
	until   time.Time
	life    time.Duration
	margin  time.Duration
	// superseded says that a higher fencing token is in use.
	superseded atomic.Bool
}

// NewTenure returns a tenure whose lease was asked for at asked. It may act from
// settled on, and stops margin before the lease can lapse.
func NewTenure(fence int64, asked time.Time, life, margin time.Duration, settled time.Time) *Tenure {
	return &Tenure{Fence: fence, settled: settled, until: asked.Add(life), life: life, margin: margin}
}

// Renewed notes a renewal that was asked for at asked.
func (tenure *Tenure) Renewed(asked time.Time) {
	if until := asked.Add(tenure.life); until.After(tenure.until) {
		tenure.until = until
	}
}

// Supersede ends the tenure: somebody was refused for its fencing token, so that
// another holder has a higher one.
func (tenure *Tenure) Supersede() { tenure.superseded.Store(true) }

// Superseded reports whether the tenure was ended by another holder's token.
func (tenure *Tenure) Superseded() bool { return tenure.superseded.Load() }

// MayAct reports whether orders may go out now.
func (tenure *Tenure) MayAct(now time.Time) bool {
	return !tenure.Superseded() && !now.Before(tenure.settled) && now.Before(tenure.until.Add(-tenure.margin))
}

// SettledAt returns when a new holder may begin: at once if no other held the
// duty before, and otherwise when the last order is certainly older than the
// settling time. Last is a time at which the holder before was certainly done; it
// is zero if nobody knows one.
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
