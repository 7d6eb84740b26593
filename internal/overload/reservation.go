package overload

import "time"

const (
	// reserveGrowth and reserveDecline change the factor of a rank's reservation in each part of
	// the window in which the rank misses its target, or does not. Estimates of capacity may be
	// too high, so that a reservation of the mere demand is too small.
	reserveGrowth  = 1.5
	reserveDecline = 0.9
	maxReserve     = 16
	// lendingTension is the predicted time to the first token, as a fraction of the target, below
	// which the capacity reserved for a rank is lent to less urgent ones.
	lendingTension = 0.5
	// tensionGain is the weight of a new request in a rank's tension.
	tensionGain = 0.25
)

// reservation is the capacity that is kept free for one rank, and what that leaves to it.
type reservation struct {
	// factor is the reserved capacity as a multiple of the demand.
	factor float64
	// tension is the mean predicted time to the first token, as a fraction of the target, and
	// tensionAt the time of the last request.
	tension   float64
	tensionAt time.Time
	// credit is the share of a request that may be admitted, from 0 to 1.
	credit float64
}

// observe records the prediction for a request of the rank.
func (v *reservation) observe(expected, target time.Duration, now time.Time) {
	tension := 2.0
	if target > 0 {
		tension = min(tension, expected.Seconds()/target.Seconds())
	}
	if now.Sub(v.tensionAt) > missWindow {
		v.tension = tension
	}
	v.tension += tensionGain * (tension - v.tension)
	v.tensionAt = now
}

// adapt changes the factor at the end of a part of the window. A rank without requests needs no
// more than its demand.
func (v *reservation) adapt(missing bool, now time.Time) {
	switch {
	case missing:
		v.factor = min(maxReserve, max(1, v.factor)*reserveGrowth)
	case now.Sub(v.tensionAt) > missWindow:
		v.factor = 1
	default:
		v.factor = max(1, v.factor*reserveDecline)
	}
}

// lends reports whether the capacity reserved for the rank is lent: its requests are predicted to
// be well on time. A rank that this node has not seen lately lends only what its demand at other
// nodes leaves.
func (v *reservation) lends(now time.Time) bool {
	return now.Sub(v.tensionAt) <= missWindow && v.tension < lendingTension
}

// moreUrgentLoad returns the capacity that more urgent ranks are predicted to use, as a share of
// the service's. With reserved set it is what is reserved for them.
func (c *Controller) moreUrgentLoad(r *Request, reserved bool, now time.Time) float64 {
	load := 0.0
	for rank := range r.Rank {
		factor := 1.0
		if reserved {
			factor = max(1, c.reservations[rank].factor)
		}
		load += factor * c.demand.load(rank, r, now)
	}
	return load
}

// hasRoom reports whether the predicted use by more urgent ranks leaves room for the request. Of a
// rank whose demand exceeds the room, it admits the share that fits. Capacity that is not used at
// the moment is lent.
func (c *Controller) hasRoom(r *Request, now time.Time) bool {
	if r.Waiting == 0 && !c.demand.alone(now) || c.allLend(r, now) {
		return true
	}
	urgent := c.moreUrgentLoad(r, true, now)
	own := c.demand.load(r.Rank, r, now)
	if urgent <= 0 || urgent+own <= 1 {
		return true
	}
	room := 1 - urgent - c.demand.returnedLoad(r.Rank, r, now)
	v := &c.reservations[r.Rank]
	v.credit = min(1, v.credit+max(0, room)/own)
	if v.credit < 1 {
		return false
	}
	v.credit--
	return true
}

// allLend reports whether all more urgent ranks with demand lend their capacity.
func (c *Controller) allLend(r *Request, now time.Time) bool {
	for rank := range r.Rank {
		if c.demand.fleetTokens(rank, now) > 0 && !c.reservations[rank].lends(now) {
			return false
		}
	}
	return true
}
