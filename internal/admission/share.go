package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Rate is a tenant's fleet-wide limit.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Ledger is the home of some tenants' rates: it holds their whole bucket and
// hands out tokens to nodes. It is not safe for concurrent use.
type Ledger struct {
	buckets map[string]*ledgerBucket
}

type ledgerBucket struct {
	limit   Rate
	limiter *rate.Limiter
}

// NewLedger returns a ledger of full buckets.
func NewLedger() *Ledger {
	return &Ledger{buckets: map[string]*ledgerBucket{}}
}

// Take hands out up to want tokens of a tenant; 0 means that the rate is used up.
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

// Share is a node's part of one tenant's rate.
type Share struct {
	tokens   int
	expires  time.Time
	fallback *rate.Limiter
	used     float64
	usedAt   time.Time
}

// The pace of shares.
const (
	// leaseLife is how long tokens may be kept before they lapse.
	leaseLife = time.Second
	// leaseSeconds of recent use are asked for at a time.
	leaseSeconds = 0.2
	useMemory    = 0.2
)

// NewShare returns an empty share.
func NewShare() *Share { return &Share{} }

// Spend uses a token at hand and reports whether there was one.
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

// Want is how many tokens to ask the ledger for.
func (share *Share) Want() int {
	return max(1, int(share.used*leaseSeconds))
}

// Fill adds tokens from the ledger.
func (share *Share) Fill(now time.Time, tokens int) {
	share.tokens += tokens
	share.expires = now.Add(leaseLife)
}

// SpendFallback is used while the ledger does not answer: the node then grants
// its even part of the rate, so that all nodes together stay within it.
func (share *Share) SpendFallback(now time.Time, limit Rate, nodes int) bool {
	part := rate.Limit(limit.PerSecond / float64(max(1, nodes)))
	if share.fallback == nil {
		share.fallback = rate.NewLimiter(part, 1)
	}
	share.fallback.SetLimitAt(now, part)
	return share.fallback.AllowN(now, 1)
}
