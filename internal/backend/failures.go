package backend

import (
	"math"
	"time"
)

// priorAttempts is how many attempts without failure a server is taken to have
// served before anything is known of it, so that one failure condemns nobody.
const priorAttempts = 3

// failureShare estimates the share of attempts that fail or are refused, recent ones counting
// more. The zero value has seen none.
type failureShare struct {
	failed   float64
	attempts float64
	last     time.Time
}

// note adds an attempt; failed is 1 for a failure and 0 otherwise.
func (share *failureShare) note(failed float64, now time.Time) {
	decay := share.decay(now)
	share.failed = share.failed*decay + failed
	share.attempts = share.attempts*decay + 1
	share.last = now
}

// at returns the estimate, from 0 to 1.
func (share *failureShare) at(now time.Time) float64 {
	decay := share.decay(now)
	return share.failed * decay / (share.attempts*decay + priorAttempts)
}

func (share *failureShare) decay(now time.Time) float64 {
	if share.last.IsZero() {
		return 1
	}
	return math.Exp2(-now.Sub(share.last).Seconds() / failureHalfLife.Seconds())
}
