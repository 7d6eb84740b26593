package proxy

import (
	"fmt"
	"time"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/quota"
)

// cost returns how much of its tenant's rate limit the request uses.
func (admitted *admitted) cost() float64 {
	limit, prompt := admitted.tenant.Limit, admitted.request.Prompt
	if prompt == nil {
		return limit.Cost(0, false)
	}
	return limit.Cost(prompt.Tokens+prompt.Output, true)
}

// quotaRequest returns what the admission within the tenant's limit depends on.
func (admitted *admitted) quotaRequest(shortened bool, now time.Time) quota.Request {
	return quota.Request{
		Cost:       admitted.cost(),
		Rank:       urgency(admitted),
		Caller:     func() uint64 { return uint64(admitted.fingerprint()) },
		Remaining:  admitted.deadline.Sub(now),
		AnswerTime: admitted.route.TargetLatency,
		Shortened:  shortened,
	}
}

// rateLimited reports whether the request counts against a rate limit.
func (admitted *admitted) rateLimited() bool {
	return admitted.tenant != nil && admitted.tenant.Limit.Limited()
}

// checkRateLimit refuses a request that exceeds its tenant's rate limit.
func (proxy *Proxy) checkRateLimit(admitted *admitted, now time.Time) *failure.Failure {
	if !admitted.rateLimited() {
		return nil
	}
	tenant := admitted.tenant
	shortened := proxy.firstTimeouts.observe(admitted.route.Name, admitted.request.CallerTimeout)
	request := admitted.quotaRequest(shortened, now)
	decision, err := proxy.limiter.Admit(tenant.Name, tenant.Limit, request, now)
	if err != nil {
		return failure.New(failure.KindInvalidRequest, err.Error(), "correct the declared size of the request")
	}
	if decision.Admitted {
		return nil
	}
	proxy.recorder.RateLimited(admitted.request, tenant.Name, tenant.Limit, request.Rank, decision)
	problem := fmt.Sprintf("rate limit exceeded: the tenant is limited to %.0f %s per second", tenant.Limit.PerSecond, unitNames[tenant.Limit.Unit])
	return failure.New(failure.KindRateLimited, problem, "retry after the given delay, or ask for a higher limit").
		WithRetryAfter(decision.RetryAfter)
}

var unitNames = map[quota.Unit]string{quota.Requests: "requests", quota.Tokens: "tokens"}

// refundRateLimit returns the cost of a request that did not run to its tenant.
func (proxy *Proxy) refundRateLimit(admitted *admitted, outcome exchange.Outcome, now time.Time) {
	if admitted.rateLimited() && outcome.Failure != nil && outcome.Failure.Outcome == failure.NotRun {
		proxy.limiter.Refund(admitted.tenant.Name, admitted.quotaRequest(false, now), now)
	}
}
