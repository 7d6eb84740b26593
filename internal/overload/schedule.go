package overload

import (
	"math"
	"time"
)

const (
	// maxWaitShare is the share of its remaining time that a caller waits before it returns.
	maxWaitShare = 1.0 / 3
	// promisedShare is the share of the capacity left by more urgent ranks that may be promised.
	// The rest serves new requests, and absorbs errors of the prediction.
	promisedShare = 0.75
	// minSpare is the least share of capacity by which a backlog is assumed to drain: while it
	// exceeds the target, new requests of the rank are refused as well.
	minSpare = 0.1
	// spreadShare is the share of a Retry-After over which the returns of callers that are refused
	// together are spread.
	spreadShare = 0.25
)

// schedule is the order of the promised returns of one rank.
type schedule struct {
	// next is when the next return can be promised, and rate the capacity per second that was
	// promised last, in seconds of the service's whole capacity.
	next time.Time
	rate float64
}

// backlog returns the work that is promised and still due, in seconds of the service's capacity.
func (s *schedule) backlog(now time.Time) float64 {
	return max(0, s.next.Sub(now).Seconds()) * s.rate
}

// work returns the capacity that a request uses, in seconds of the whole service's.
func work(r *Request) float64 {
	seconds := r.Tokens / r.TokensPerSecond
	if r.Slots > 0 {
		seconds = max(seconds, r.SlotTime.Seconds()/float64(r.Slots))
	}
	return seconds
}

// drainTime returns the time after which a new attempt of the request is predicted to meet a full
// target: the backlog beyond the target drains by what more urgent ranks leave.
func (c *Controller) drainTime(r *Request, expected time.Duration, now time.Time) time.Duration {
	spare := max(minSpare, 1-c.moreUrgentLoad(r, false, now))
	return time.Duration(float64(max(0, expected-r.FullTarget/2)) / spare)
}

// appointment returns the delay after which the request can be served on time, and whether the
// caller can follow it. It does not record the promise.
func (c *Controller) appointment(r *Request, expected time.Duration, now time.Time) (delay time.Duration, slot schedule, ok bool) {
	s := c.schedules[r.Rank]
	earliest := max(r.MinRetryAfter, c.drainTime(r, expected, now))
	earliest += time.Duration(spreadShare * seedFraction(r.Seed) * float64(earliest))
	s.rate = promisedShare * c.demand.ownShare() * max(0, 1-c.moreUrgentLoad(r, false, now))
	if s.rate <= 0 || r.Own > r.FullTarget {
		return earliest, s, false
	}
	due := now.Add(earliest)
	if s.next.After(due) {
		due = s.next
	}
	delay = due.Sub(now)
	s.next = due.Add(time.Duration(work(r) / s.rate * float64(time.Second)))
	return delay, s, r.canFollow(delay)
}

// canFollow reports whether the caller would return after a delay with enough time left for a full
// target and the answer.
func (r *Request) canFollow(delay time.Duration) bool {
	return delay <= time.Duration(maxWaitShare*float64(r.Remaining)) && r.Remaining-delay >= r.FullTarget+r.Answer
}

// seedFraction maps a hash to a number from 0 to 1.
func seedFraction(seed uint64) float64 { return float64(seed) / math.MaxUint64 }

// promisedDelay returns the delay by promised returns that are due before the request would start
// and that go before it: those of more urgent ranks and of its own. The fleet's promises are
// assumed to be of the same ranks and times as this node's.
func (c *Controller) promisedDelay(r *Request, now time.Time) time.Duration {
	outstanding := c.promises.Outstanding(c.subject, now)
	if outstanding <= 0 {
		return 0
	}
	before, all, span := 0.0, 0.0, 0.0
	for rank := range c.schedules {
		backlog := c.schedules[rank].backlog(now)
		all += backlog
		if rank <= r.Rank {
			before += backlog
		}
		span = max(span, c.schedules[rank].next.Sub(now).Seconds())
	}
	share := 0.0
	switch {
	case all > 0:
		share = before / all
	case c.leastUrgent(r, now):
		share = 1
	}
	if span > 0 {
		share *= min(1, r.Predicted.Seconds()/span)
	}
	return time.Duration(share * outstanding / r.TokensPerSecond * float64(time.Second))
}

// leastUrgent reports whether no less urgent rank has demand.
func (c *Controller) leastUrgent(r *Request, now time.Time) bool {
	for rank := r.Rank + 1; rank < RankCount; rank++ {
		if c.demand.fleetTokens(rank, now) > 0 {
			return false
		}
	}
	return true
}
