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
type failureRate struct {
	failed   float64
	attempts float64
	last     time.Time
}

// record adds an attempt; failed is 1 for a failure and 0 for a success.
func (rate *failureRate) record(failed float64, now time.Time) {
	decay := rate.decay(now)
	rate.failed = rate.failed*decay + failed
	rate.attempts = rate.attempts*decay + 1
	rate.last = now
}

// estimate returns the failure rate at a given time, from 0 to 1.
func (rate *failureRate) estimate(now time.Time) float64 {
	decay := rate.decay(now)
	return rate.failed * decay / (rate.attempts*decay + priorAttempts)
}

func (rate *failureRate) decay(now time.Time) float64 {
	if rate.last.IsZero() {
		return 1
	}
	return math.Exp2(-now.Sub(rate.last).Seconds() / failureHalfLife.Seconds())
}
