package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Rate is a tenant's fleet-wide rate limit.
type Rate struct {
	PerSecond float64
	Burst     int
}

// TokenIssuer holds the fleet-wide token buckets of some tenants and issues their tokens
// to nodes. It is not safe for concurrent use.
type TokenIssuer struct {
	buckets map[string]*issuerBucket
}

type issuerBucket struct {
	limit   Rate
	limiter *rate.Limiter
}

// NewTokenIssuer returns an issuer whose buckets start full.
func NewTokenIssuer() *TokenIssuer {
	return &TokenIssuer{buckets: map[string]*issuerBucket{}}
}

// Issue issues up to want tokens of a tenant; 0 means that the rate is exhausted.
func (issuer *TokenIssuer) Issue(now time.Time, tenant string, limit Rate, want int) int {
	bucket, found := issuer.buckets[tenant]
	if !found || bucket.limit != limit {
		bucket = &issuerBucket{limit: limit, limiter: rate.NewLimiter(rate.Limit(limit.PerSecond), limit.Burst)}
		issuer.buckets[tenant] = bucket
	}
	for ; want > 0; want /= 2 {
		if bucket.limiter.AllowN(now, want) {
			return want
		}
	}
	return 0
}

// TokenLease holds the tokens of one tenant that were issued to a node. They expire
// after leaseTTL.
type TokenLease struct {
	tokens  int
	expires time.Time
	// fallback limits SpendFallback; nil until its first call.
	fallback *rate.Limiter
	// usageRate is the moving average of the calls of Spend per second.
	usageRate  float64
	lastUsedAt time.Time
}

const (
	// leaseTTL is how long issued tokens may be used.
	leaseTTL = time.Second
	// leaseSeconds is the span of recent use for which tokens are requested at a time.
	leaseSeconds = 0.2
	// usageGain is the weight of the newest measurement of the usage rate.
	usageGain = 0.2
	// fallbackSeconds is the span of the even share that SpendFallback grants at once: requests that have waited for
	// the issuer together are admitted together.
	fallbackSeconds = 0.05
)

// NewTokenLease returns a lease without tokens.
func NewTokenLease() *TokenLease { return &TokenLease{} }

// Spend uses one token and reports whether there was one.
func (lease *TokenLease) Spend(now time.Time) bool {
	elapsed := math.Max(0.001, now.Sub(lease.lastUsedAt).Seconds())
	lease.lastUsedAt = now
	lease.usageRate += usageGain * (math.Min(1/elapsed, 1e4) - lease.usageRate)
	if lease.tokens <= 0 || now.After(lease.expires) {
		lease.tokens = 0
		return false
	}
	lease.tokens--
	return true
}

// RequestSize returns how many tokens to request from the issuer, at least one.
func (lease *TokenLease) RequestSize() int {
	return max(1, int(lease.usageRate*leaseSeconds))
}

// Refill adds tokens from the issuer.
func (lease *TokenLease) Refill(now time.Time, tokens int) {
	lease.tokens += tokens
	lease.expires = now.Add(leaseTTL)
}

// SpendFallback replaces Spend while the issuer does not answer. It grants the node's even
// share of the rate, so that all nodes together stay within the rate.
func (lease *TokenLease) SpendFallback(now time.Time, limit Rate, nodes int) bool {
	evenShare := rate.Limit(limit.PerSecond / float64(max(1, nodes)))
	if lease.fallback == nil {
		lease.fallback = rate.NewLimiter(evenShare, max(1, int(fallbackSeconds*float64(evenShare))))
	}
	lease.fallback.SetLimitAt(now, evenShare)
	lease.fallback.SetBurstAt(now, max(1, int(fallbackSeconds*float64(evenShare))))
	return lease.fallback.AllowN(now, 1)
}
