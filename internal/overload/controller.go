package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// biasGain is the weight of a new observation in the bias of predictions.
	biasGain = 0.125
	// biasTTL is how long a bias counts without new observations.
	biasTTL = 2 * time.Second
)

// Controller controls the overload of one service at one node. It is safe for concurrent use.
type Controller struct {
	subject  uint64
	promises Promises

	mutex        sync.Mutex
	demand       demand
	pressure     pressure
	reservations [RankCount]reservation
	schedules    [RankCount]schedule
	// bias is by how much first tokens came later than predicted, in seconds, as of biasAt.
	bias   float64
	biasAt time.Time
	// usedAt is the time of the last request, and nearAt that of the last one that found the
	// service near its capacity.
	usedAt time.Time
	nearAt time.Time
	// invalid counts requests with values out of range.
	invalid int
}

// NewController returns a controller of the service with the given subject, in a fleet of the
// given number of nodes.
func NewController(subject uint64, promises Promises, nodes int) *Controller {
	return &Controller{subject: subject, promises: promises, demand: demand{nodes: max(1, nodes)}}
}

// Promised reports whether callers of the service are promised a return, so that a request may be
// one of them.
func (c *Controller) Promised(now time.Time) bool { return c.promises.Outstanding(c.subject, now) > 0 }

// Admit decides whether a request is sent now.
//
//  1. A request whose first token is predicted after its deadline is refused.
//  2. Under pressure, a request that would miss its target, or whose capacity is reserved for more
//     urgent ones, is refused if its caller can return at a time at which it can be on time.
//     Otherwise it is sent and yields to all others.
//  3. A caller that returns at its appointment is not refused for pressure again.
//
// A request is never refused while the service is idle.
func (c *Controller) Admit(request Request, now time.Time) Verdict {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.clamp(request)
	verdict := Verdict{Returning: c.redeem(&r, now)}
	if !verdict.Returning {
		c.demand.request(&r, now)
	}
	idle := r.Idle() && !c.serversLate(&r, now)
	verdict.Expected = c.expected(&r, verdict.Returning, now)
	verdict.Changed = c.observe(&r, verdict.Expected, idle, now)
	verdict.State = c.pressure.state
	missed := verdict.Expected > r.Target
	switch {
	case idle:
	case verdict.Expected > r.Remaining:
		c.refuse(&verdict, &r, DeadlineMissed, now)
	case verdict.Returning || c.pressure.state == Normal:
	case missed:
		c.refuse(&verdict, &r, TargetMissed, now)
	case !c.hasRoom(&r, now):
		c.refuse(&verdict, &r, Reserved, now)
	}
	if verdict.Refused == 0 {
		c.demand.ranks[r.Rank].admitted.add(r.Tokens, now)
		if verdict.Returning {
			c.demand.ranks[r.Rank].returned.add(r.Tokens, now)
		}
	}
	return verdict
}

// clamp returns the request with its values in their ranges, and counts those that were not.
func (c *Controller) clamp(r Request) Request {
	rank, tokens := min(max(r.Rank, 0), RankCount-1), r.Tokens
	if !(tokens >= 1 && tokens < math.MaxFloat32) {
		tokens = 1
	}
	perSecond := r.TokensPerSecond
	if !(perSecond >= 1 && perSecond < math.MaxFloat32) {
		perSecond = 1
	}
	if rank != r.Rank || r.Tokens < 0 || math.IsNaN(r.Tokens) || perSecond != r.TokensPerSecond || r.SlotsInUse < 0 || r.Slots < 0 || r.Predicted < 0 {
		c.invalid++
	}
	r.Rank, r.Tokens, r.TokensPerSecond = rank, tokens, perSecond
	r.SlotsInUse, r.Slots, r.Waiting = max(0, r.SlotsInUse), max(0, r.Slots), max(0, r.Waiting)
	r.Predicted, r.Own, r.SlotTime = max(0, r.Predicted), max(0, r.Own), max(0, r.SlotTime)
	return r
}

// redeem reports whether the request is a return at its appointment.
func (c *Controller) redeem(r *Request, now time.Time) bool {
	if r.Caller == 0 || !c.Promised(now) {
		return false
	}
	return c.promises.Redeem(c.subject, r.Caller, r.Tokens, r.Shortened, now)
}

// expected returns the predicted time to the first token.
func (c *Controller) expected(r *Request, returning bool, now time.Time) time.Duration {
	expected := r.Predicted
	if !returning {
		expected += c.promisedDelay(r, now)
	}
	if c.demand.alone(now) {
		expected += c.currentBias(now)
	}
	return expected
}

// serversLate reports whether this node hears from no peers and the servers answer too late for
// the target. The slots in use are then only those of this node, and do not show that the service
// is idle.
func (c *Controller) serversLate(r *Request, now time.Time) bool {
	return c.demand.alone(now) && c.currentBias(now) > r.FullTarget/2
}

func (c *Controller) currentBias(now time.Time) time.Duration {
	if now.Sub(c.biasAt) > biasTTL {
		return 0
	}
	return time.Duration(c.bias * float64(time.Second))
}

// Observe records the predicted and the actual time to the first token of a request that was sent.
func (c *Controller) Observe(predicted, actual time.Duration, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.biasAt) > biasTTL {
		c.bias = 0
	}
	c.bias += biasGain * (max(0, (actual-predicted).Seconds()) - c.bias)
	c.biasAt = now
}

// observe updates the state of the service by a request, and reports whether it has changed.
func (c *Controller) observe(r *Request, expected time.Duration, idle bool, now time.Time) bool {
	if c.pressure.advance(now) > 0 {
		for rank := range c.reservations {
			c.reservations[rank].adapt(c.pressure.missShare(rank) >= enterShare, now)
		}
	}
	c.pressure.count(r.Rank, expected > r.Target)
	c.reservations[r.Rank].observe(expected, r.Target, now)
	c.usedAt = now
	if !idle {
		c.nearAt = now
	}
	return c.pressure.update(idle, now)
}

// refuse refuses the request. For pressure it does so only if the caller can return at a time at
// which the request is predicted to be on time.
func (c *Controller) refuse(verdict *Verdict, r *Request, reason Reason, now time.Time) {
	delay, slot, ok := c.appointment(r, verdict.Expected, now)
	switch {
	case ok:
		verdict.Refused, verdict.RetryAfter, verdict.Promised = reason, delay, true
		c.schedules[r.Rank] = slot
		c.promises.Promise(c.subject, r.Caller, r.Tokens, now.Add(delay), now)
	case reason == DeadlineMissed:
		// The caller is told when there will be room, which is later than it waits.
		verdict.Refused = reason
		verdict.RetryAfter = max(delay, time.Duration(maxWaitShare*float64(r.Remaining))+r.MinRetryAfter)
	default:
		verdict.Deferred = true
	}
}
