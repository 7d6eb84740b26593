package quota

import (
	"math"
	"time"
)

const (
	// surgeDecay is the decay time constant of the demand by which a node notices a surge that
	// peers have not reported yet.
	surgeDecay = 200 * time.Millisecond
	// surgeMargin is the number of standard deviations by which the demand counts less. With 0.5,
	// 4 % of a demand of 0.75 of a limit in requests of 17,000 tokens is refused, with 0.8 up to 2 %;
	// with 1.2 a surge of such requests to five times a limit overruns it by 15 % more within 6 s.
	surgeMargin = 0.8
)

// surge is a lower estimate of the current demand at this node. It is the demand over a short time
// less its standard deviation, so that single large requests do not count as a surge.
type surge struct {
	sum     decayingRate
	squares decayingRate
}

func newSurge() surge {
	return surge{sum: decayingRate{decay: surgeDecay}, squares: decayingRate{decay: surgeDecay / 2}}
}

func (s *surge) add(cost float64, now time.Time) {
	s.sum.add(cost, now)
	s.squares.add(cost*cost, now)
}

// perSecond returns the estimate in the limit's unit per second.
func (s *surge) perSecond(now time.Time) float64 {
	return max(0, s.sum.remaining(now)-surgeMargin*math.Sqrt(s.squares.remaining(now))) / surgeDecay.Seconds()
}
