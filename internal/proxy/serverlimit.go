package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// markLimited marks the candidates that accept no request of this node now because of the
// fleet-wide request limits that they advertise. It does nothing while no server advertises one.
func (placer *placer) markLimited(candidates []routing.Candidate, now time.Time) {
	limits := placer.proxy.serverLimits
	if !limits.Active() {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		c.LimitWait = limits.Wait(backend.ServerKey(c.Endpoint), placer.admitted.service.Name, now)
	}
}

// countLimited returns the number of candidates that are at their request limits.
func countLimited(candidates []routing.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].LimitWait > 0 {
			count++
		}
	}
	return count
}

// partialLimitRetryDelay is the LimitWait of a candidate whose limit has room for less than one
// request and whose random draw failed. The next request draws again.
const partialLimitRetryDelay = time.Millisecond

// takeFromLimit charges a request to the candidate's limit and reports whether there was room.
// Every placement is charged, since each attempt reaches the server as a new request, including
// retries and resumed streams.
func (placer *placer) takeFromLimit(c *routing.Candidate, now time.Time) bool {
	limits := placer.proxy.serverLimits
	if !limits.Active() || limits.TryAcquire(backend.ServerKey(c.Endpoint), placer.admitted.service.Name, now) {
		return true
	}
	c.LimitWait = partialLimitRetryDelay
	return false
}

// allOverLimit fills in unplaced for the case that all remaining servers are at their limits and
// the first of them accepts a request after the shortest wait. Waiting helps only if that is
// short. The retry time of the caller is set once per request, however many placements follow.
func (placer *placer) allOverLimit(unplaced *exchange.Unplaced, limited []uint64, shortest time.Duration, now time.Time) *exchange.Unplaced {
	if placer.retryAt.IsZero() {
		service := placer.admitted.service.Name
		retryAfter := placer.proxy.serverLimits.RefusalDelay(service, limited, now)
		placer.retryAt = now.Add(retryAfter)
		placer.proxy.recorder.OverLimits(placer.admitted.request, OverLimits{Service: service, Servers: len(limited), Shortest: shortest, RetryAfter: retryAfter})
	}
	unplaced.Reason = "all servers are at their request limits"
	unplaced.RetryAfter = max(0, placer.retryAt.Sub(now))
	unplaced.Permanent = shortest > placer.admitted.route.TargetLatency/placementWaitDivisor
	return unplaced
}
