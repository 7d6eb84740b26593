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
type Ledger struct {
	buckets map[string]*ledgerBucket
}

type ledgerBucket struct {
	limit   Rate
	limiter *rate.Limiter
}

// NewTokenIssuer returns an issuer whose buckets start full.
func NewLedger() *Ledger {
	return &Ledger{buckets: map[string]*ledgerBucket{}}
}

// Issue issues up to want tokens of a tenant; 0 means that the rate is exhausted.
func (ledger *Ledger) Take(now time.Time, tenant string, limit Rate, want int) int {
	bucket, found := ledger.buckets[tenant]
	if !found || bucket.limit != limit {
		bucket = &ledgerBucket{limit: limit, limiter: rate.NewLimiter(rate.Limit(limit.PerSecond), limit.Burst)}
		ledger.buckets[tenant] = bucket
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
type Share struct {
	tokens   int
	expires  time.Time
	fallback *rate.Limiter
	used     float64
	usedAt   time.Time
}

const (
	// leaseTTL is how long issued tokens may be used.
	leaseLife = time.Second
	// leaseSeconds is the span of recent use for which tokens are requested at a time.
	leaseSeconds = 0.2
	// usageGain is the weight of the newest measurement of the usage rate.
	useMemory = 0.2
)

// NewTokenLease returns a lease without tokens.
func NewShare() *Share { return &Share{} }

// Spend uses one token and reports whether there was one.
func (share *Share) Spend(now time.Time) bool {
	elapsed := math.Max(0.001, now.Sub(share.usedAt).Seconds())
	share.usedAt = now
	share.used += useMemory * (math.Min(1/elapsed, 1e4) - share.used)
	if share.tokens <= 0 || now.After(share.expires) {
		share.tokens = 0
		return false
	}
	share.tokens--
	return true
}

// RequestSize returns how many tokens to request from the issuer.
func (share *Share) Want() int {
	return max(1, int(share.used*leaseSeconds))
}

// Refill adds tokens from the issuer.
func (share *Share) Fill(now time.Time, tokens int) {
	share.tokens += tokens
	share.expires = now.Add(leaseLife)
}

// SpendFallback replaces Spend while the issuer does not answer. It grants the node's even
// share of the rate, so that all nodes together stay within the rate.
func (share *Share) SpendFallback(now time.Time, limit Rate, nodes int) bool {
	part := rate.Limit(limit.PerSecond / float64(max(1, nodes)))
	if share.fallback == nil {
		share.fallback = rate.NewLimiter(part, 1)
	}
	share.fallback.SetLimitAt(now, part)
	return share.fallback.AllowN(now, 1)
}
