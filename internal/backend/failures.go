package backend

import (
	"math"
	"time"
)

// priorAttempts is the number of successful attempts assumed for every server as a prior, so
// that a single failure does not rule it out.
const priorAttempts = 3

// failureRate estimates the share of attempts that fail or are refused, with exponential decay.
// The zero value has no observations.
type failureShare struct {
	failed   float64
	attempts float64
	last     time.Time
}

// record adds an attempt; failed is 1 for a failure and 0 for a success.
func (share *failureShare) note(failed float64, now time.Time) {
	decay := share.decay(now)
	share.failed = share.failed*decay + failed
	share.attempts = share.attempts*decay + 1
	share.last = now
}

// estimate returns the failure rate at a given time, from 0 to 1.
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
