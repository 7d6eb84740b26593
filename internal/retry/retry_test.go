package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestRetriesStayWithinBudget(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		begin := now
		budget := NewBudget(DefaultBudget, now)
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"first", "retry", "retry", "retry", "wait"}).Draw(t, "step") {
			case "first":
				budget.Deposit(now)
				first++
			case "retry":
				if budget.Withdraw(now) {
					retries++
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "wait")) * time.Millisecond)
			}
			earned := DefaultBudget.Capacity + DefaultBudget.Ratio*float64(first) + DefaultBudget.PerSecond*now.Sub(begin).Seconds()
			require.LessOrEqual(t, float64(retries), earned+1e-6)
		}
	})
}

func TestBreakerOpensAndProbesOnce(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		breaker := &Breaker{}
		openDuration := DefaultBreaker.OpenDuration
		for range DefaultBreaker.Failures {
			require.True(t, breaker.Allows(now))
			breaker.Failed(DefaultBreaker, now)
		}
		for range rapid.IntRange(1, 8).Draw(t, "openings") {
			require.False(t, breaker.Allows(now.Add(openDuration-time.Millisecond)))
			now = now.Add(openDuration)
			require.True(t, breaker.Allows(now))
			breaker.Sent(now)
			require.False(t, breaker.Allows(now), "only one attempt probes")
			breaker.Failed(DefaultBreaker, now)
			openDuration = min(2*openDuration, DefaultBreaker.MaxOpenDuration)
		}
		breaker.Succeeded()
		require.True(t, breaker.Allows(now))
	})
}

// Guards against an endpoint being excluded for as long as its probe hangs.
func TestHungProbeIsReplaced(t *testing.T) {
	now := time.Unix(0, 0)
	breaker := &Breaker{}
	require.False(t, breaker.Sent(now), "a closed breaker needs no probe")
	for range DefaultBreaker.Failures {
		breaker.Failed(DefaultBreaker, now)
	}
	now = now.Add(DefaultBreaker.OpenDuration)
	require.True(t, breaker.Sent(now))
	require.False(t, breaker.Sent(now.Add(DefaultBreaker.OpenDuration-1)))
	now = now.Add(DefaultBreaker.OpenDuration)
	require.True(t, breaker.Allows(now))
	require.True(t, breaker.Sent(now))
}

func TestAnsweredProbeClosesBreakerUntilNextFailure(t *testing.T) {
	now := time.Unix(0, 0)
	breaker := &Breaker{}
	for range DefaultBreaker.Failures {
		breaker.Failed(DefaultBreaker, now)
	}
	require.True(t, breaker.Sent(now), "an attempt before the end of the open duration is the probe")
	breaker.FailedOutsideProbe(DefaultBreaker, now)
	require.True(t, breaker.Probing(now), "the failure of another attempt does not end the probe")
	breaker.ProbeAnswered()
	require.True(t, breaker.Allows(now))
	breaker.Failed(DefaultBreaker, now)
	require.False(t, breaker.Allows(now))
}

// Guards against a check of the remaining tokens that is separate from their withdrawal: of many
// concurrent withdrawals, exactly one succeeds per token.
func TestConcurrentWithdrawalsSpendEachTokenOnce(t *testing.T) {
	now := time.Unix(0, 0)
	const tokens = 10
	for range 50 {
		budget := NewBudget(BudgetConfig{Capacity: tokens}, now)
		var withdrawn atomic.Int64
		var all sync.WaitGroup
		for range 6 * tokens {
			all.Go(func() {
				if budget.Withdraw(now) {
					withdrawn.Add(1)
				}
			})
		}
		all.Wait()
		require.EqualValues(t, tokens, withdrawn.Load())
	}
}

func TestAllRequiresEveryBudget(t *testing.T) {
	now := time.Unix(0, 0)
	empty := NewBudget(BudgetConfig{}, now)
	full := NewBudget(DefaultBudget, now)
	require.False(t, All{full, empty}.Withdraw(now))
	require.True(t, All{full, full}.Withdraw(now))
}

// Guards against limits that count for the time before they were set.
func TestRaisedLimitsCountFromNowOn(t *testing.T) {
	start := time.Unix(1000, 0)
	budget := NewBudget(BudgetConfig{PerSecond: 0.1, Capacity: 1}, start)
	budget.Drain()
	now := start.Add(5 * time.Second)
	budget.SetLimits(20, 10, now)
	require.False(t, budget.Withdraw(now), "half a retry was earned")
	require.True(t, budget.Withdraw(now.Add(50*time.Millisecond)))
	require.False(t, budget.Withdraw(now.Add(60*time.Millisecond)))
}

// Guards against a budget that is spent on retries which another one denies, such as a tenant's while that of the node is spent.
func TestDeniedRetryCostsNoBudget(t *testing.T) {
	now := time.Unix(0, 0)
	tenant, node := NewBudget(BudgetConfig{Capacity: 2}, now), NewBudget(BudgetConfig{}, now)
	for range 5 {
		require.False(t, All{tenant, node}.Withdraw(now))
	}
	require.True(t, All{tenant}.Withdraw(now))
	require.True(t, All{tenant}.Withdraw(now))
	require.False(t, All{tenant}.Withdraw(now))
}
