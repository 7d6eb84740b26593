package quota

import (
	"math"
	"time"
)

// surgeDecay is the decay time constant of the demand by which a node notices a surge that peers
// have not reported yet.
const (
	surgeDecay  = 200 * time.Millisecond
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
