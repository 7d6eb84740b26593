// Package retry protects failing backends from overload by retries: a budget bounds retries to a
// share of first attempts, a circuit breaker suspends an endpoint that keeps failing, and delays
// are jittered. All state advances only by the time that the caller passes in.
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries earned per first attempt, such as 0.1.
	Ratio float64
	// PerSecond is the number of retries earned per second without any traffic, so that a single
	// request can be retried.
	PerSecond float64
	// Capacity bounds the accumulated retries. It is raised by BurstShare times the retries that
	// first attempts have earned within Window.
	Capacity   float64
	BurstShare float64
	Window     time.Duration
	// Draw returns random numbers in [0, 1). If less than one retry can be accumulated, it decides whether a
	// request may be retried, with the accumulated part of a retry as the probability: many budgets together
	// then grant what they have earned. Without it, such a budget grants none.
	Draw func() float64
}

// DefaultBudget permits one retry per five first attempts, plus two per second.
var DefaultBudget = BudgetConfig{Ratio: 0.2, PerSecond: 2, Capacity: 20}

// Budget is a token bucket that is filled by first attempts. It is safe for concurrent use.
type Budget struct {
	config BudgetConfig
	mutex  sync.Mutex
	tokens float64
	// recentlyEarned is the number of retries earned by first attempts, decaying exponentially with
	// time constant Window.
	recentlyEarned float64
	last           time.Time
	// queue holds the requests that wait for a retry, in the order in which they get one, and borrowed is the number of
	// retries that other nodes have lent to them.
	queue    []*Waiter
	borrowed int
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Capacity, last: now}
}

// Deposit records a first attempt.
func (budget *Budget) Deposit(now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	budget.recentlyEarned += budget.config.Ratio
	budget.tokens = math.Min(budget.capacity(), budget.tokens+budget.config.Ratio)
	budget.wakeWaiters()
}

// capacity returns the current bound of accumulated retries.
func (budget *Budget) capacity() float64 {
	return budget.config.Capacity + budget.config.BurstShare*budget.recentlyEarned
}

// SetLimits changes the Capacity and PerSecond of the budget from a time on.
func (budget *Budget) SetLimits(capacity, perSecond float64, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	budget.config.Capacity, budget.config.PerSecond = capacity, perSecond
	budget.tokens = math.Min(budget.tokens, budget.capacity())
}

// Drain empties the budget.
func (budget *Budget) Drain() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.tokens, budget.recentlyEarned = 0, 0
}

// Withdraw takes one retry from the budget and reports whether one was available. Requests that wait go first.
func (budget *Budget) Withdraw(now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	return budget.take(len(budget.queue))
}

// take takes one retry, unless the budget has no more than the given number of requests that go first.
func (budget *Budget) take(first int) bool {
	if budget.tokens >= float64(first+1) {
		budget.tokens--
		return true
	}
	if first > 0 || budget.config.Draw == nil || budget.capacity() >= 1 {
		return false
	}
	probability := budget.tokens
	budget.tokens = 0
	return budget.config.Draw() < probability
}

func (budget *Budget) refill(now time.Time) {
	elapsed := now.Sub(budget.last)
	if elapsed <= 0 {
		return
	}
	if budget.config.Window > 0 {
		budget.recentlyEarned *= math.Exp(-elapsed.Seconds() / budget.config.Window.Seconds())
	}
	budget.tokens = math.Min(budget.capacity(), budget.tokens+elapsed.Seconds()*budget.config.PerSecond)
	budget.last = now
}

// refund returns a retry that was not made.
func (budget *Budget) refund() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.tokens = math.Min(budget.capacity(), budget.tokens+1)
}

// All combines budgets: a retry is permitted only if every budget permits it.
type All []*Budget

// Withdraw takes one retry from each budget, or none if one of them has none.
func (all All) Withdraw(now time.Time) bool {
	for i, budget := range all {
		if !budget.Withdraw(now) {
			for _, taken := range all[:i] {
				taken.refund()
			}
			return false
		}
	}
	return true
}

// Jitter returns a random delay between half and one and a half times the given one.
func Jitter(delay time.Duration, random *rand.Rand) time.Duration {
	return delay/2 + time.Duration(random.Int64N(int64(delay)+1))
}
