package proxy

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
)

const (
	// maxLameDuckPeriod is how long a stopping node still accepts new requests at most, so that load balancers see that it
	// is no longer ready before it refuses any. In a short grace period it is a half of it, so that as much is left for them.
	maxLameDuckPeriod = 2500 * time.Millisecond
	// abortMargin is reserved at the end of the grace period for sending final
	// responses to aborted requests.
	abortMargin       = 700 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// serveTimeFactor is how many times the longest time that was seen a request is expected to take at most.
	serveTimeFactor = 1.1
)

// Drain performs a graceful shutdown. For a while it accepts requests that are expected to end in time, then
// refuses new ones as not run and waits for the open ones. Requests that are still
// open abortMargin before the end of the grace period are aborted.
func (proxy *Proxy) Drain(ctx context.Context, grace time.Duration) {
	drainStart := boottime.Now()
	abortsAt, refusesAt := drainStart.Add(grace-abortMargin), drainStart.Add(min(maxLameDuckPeriod, (grace-abortMargin)/2))
	proxy.abortsAt.Store(&abortsAt)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		now := boottime.Now()
		if !now.Before(refusesAt) {
			proxy.refusing.Store(true)
			if proxy.Open() == 0 {
				return
			}
		}
		if !now.Before(abortsAt) {
			proxy.Abort()
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refuseUnfinishable returns why a request is not sent that this node would abort before its response is complete, or nil.
func (proxy *Proxy) refuseUnfinishable(admitted *admitted, now time.Time) *failure.Failure {
	abortsAt := proxy.abortsAt.Load()
	if abortsAt == nil {
		return nil
	}
	expected := time.Duration(serveTimeFactor * float64(proxy.serveTimes.estimate(admitted.route.Name)))
	if now.Add(min(expected, admitted.deadline.Sub(now))).Before(*abortsAt) {
		return nil
	}
	return failure.New(failure.KindStopping, "this node is shutting down, and requests of the route take longer than what is left", "send the request to another node").WithRetryAfter(catchUpRetryAfter)
}

// unplacedInStop returns why a request is not sent by this node, which is shutting down, or nil. A stream that has begun goes
// on for as long as it can.
func (placer *placer) unplacedInStop(now time.Time) *exchange.Unplaced {
	if placer.admitted.origin != nil {
		return nil
	}
	refusal := placer.proxy.refuseUnfinishable(placer.admitted, now)
	if refusal == nil {
		return nil
	}
	return &exchange.Unplaced{Reason: refusal.Problem, Permanent: true, Final: true, Refusal: refusal}
}
