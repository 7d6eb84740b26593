package admission

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against bytes that are counted twice, never returned or admitted beyond the limit, which would
// end the process or refuse requests forever.
func TestMemoryBudgetCountsHeldBytes(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		budget := NewMemoryBudget(rapid.Int64Range(0, 4000).Draw(t, "memory"))
		now := time.Unix(0, 0)
		var holds []*MemoryHold
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			bytes, before := rapid.Int64Range(0, 500).Draw(t, "bytes"), budget.Held()
			var refusal *MemoryRefusal
			switch which := rapid.IntRange(-1, len(holds)-1).Draw(t, "hold"); {
			case which < 0:
				var hold MemoryHold
				if hold, refusal = budget.Reserve(bytes, now); refusal == nil {
					holds = append(holds, &hold)
				}
			case rapid.Bool().Draw(t, "grow") && holds[which].budget != nil:
				refusal = holds[which].Grow(bytes)
			default:
				holds[which].Release(now)
			}
			if refusal != nil {
				require.Greater(t, before+bytes, budget.Limit(), "refused although there was room")
				require.Equal(t, before, budget.Held())
				require.GreaterOrEqual(t, refusal.RetryAfter, minMemoryRetryAfter)
				require.LessOrEqual(t, refusal.RetryAfter, maxMemoryRetryAfter)
			}
			sum := int64(0)
			for _, hold := range holds {
				sum += hold.bytes
			}
			require.Equal(t, sum, budget.Held())
			require.True(t, budget.Limit() == 0 || sum <= budget.Limit())
		}
		for _, hold := range holds {
			hold.Release(now)
			hold.Release(now)
		}
		require.Zero(t, budget.Held())
	})
}

// simulateArrivals runs requests of a size that arrive at a rate and hold their bytes for a time, for ten seconds of
// virtual time. It returns the largest number of bytes held at a time and the number of refusals.
func simulateArrivals(budget *MemoryBudget, perSecond int, bytes int64, holdTime time.Duration) (peak int64, admitted, refused int) {
	type running struct {
		hold MemoryHold
		ends time.Time
	}
	var requests []running
	start, interval := time.Unix(0, 0), time.Second/time.Duration(perSecond)
	for i := range 10 * perSecond {
		now := start.Add(time.Duration(i) * interval)
		for len(requests) > 0 && !requests[0].ends.After(now) {
			requests[0].hold.Release(now)
			requests = requests[1:]
		}
		if hold, refusal := budget.Reserve(bytes, now); refusal == nil {
			requests = append(requests, running{hold, now.Add(holdTime)})
			admitted++
		} else {
			refused++
		}
		peak = max(peak, budget.Held())
	}
	for _, request := range requests {
		request.hold.Release(request.ends)
	}
	return peak, admitted, refused
}

// Guards against a node that is ended for lack of memory under 700 requests per second with bodies of
// 68 kB (17,020 prompt tokens) that take 5 s each, which is 238 MB on a node of 184 MB. The same load must fit
// once responses take 0.5 s.
func TestMemoryBudgetRefusesBeforeMemoryEnds(t *testing.T) {
	const memory, perSecond, body = 184_000_000, 700, 68_000
	unbounded := NewMemoryBudget(0)
	peak, _, refused := simulateArrivals(unbounded, perSecond, body, 5*time.Second)
	require.Greater(t, peak, int64(memory), "the load exceeds the memory without a budget")
	require.Zero(t, refused)

	budget := NewMemoryBudget(memory)
	peak, admitted, refused := simulateArrivals(budget, perSecond, body, 5*time.Second)
	require.LessOrEqual(t, peak, int64(memory)/4)
	require.Greater(t, peak, int64(memory)/4-body, "the whole budget is used")
	require.Equal(t, 10*perSecond, admitted+refused)
	require.Zero(t, budget.Held())

	_, _, refused = simulateArrivals(NewMemoryBudget(memory), perSecond, body, 500*time.Millisecond)
	require.Zero(t, refused)
}

// Guards against a refusal that does not say what to do: a body that can never fit needs another remedy.
func TestMemoryRefusalNamesRemedy(t *testing.T) {
	budget := NewMemoryBudget(4000)
	now := time.Unix(0, 0)
	hold, refusal := budget.Reserve(900, now)
	require.Nil(t, refusal)
	_, refusal = budget.Reserve(101, now)
	require.NotNil(t, refusal)
	refused := refusal.Failure()
	require.Equal(t, failure.NotRun, refused.Outcome)
	require.Equal(t, failure.KindMemory, refused.Kind)
	require.Equal(t, minMemoryRetryAfter, refused.RetryAfter)
	require.Contains(t, refused.Error(), "holds 900 of the 1000 bytes")
	require.Contains(t, refused.Error(), "retry after the given delay")
	_, refusal = budget.Reserve(1001, now)
	require.Contains(t, refusal.Error(), "memoryMegabytes")
	for range 100 {
		hold.Release(now.Add(time.Minute))
		hold, _ = budget.Reserve(900, now)
	}
	_, refusal = budget.Reserve(900, now)
	require.Equal(t, maxMemoryRetryAfter, refusal.RetryAfter)
}

// Guards against bytes that are lost when requests begin and end concurrently.
func TestMemoryBudgetIsSafeForConcurrentUse(t *testing.T) {
	budget := NewMemoryBudget(4000)
	var requests sync.WaitGroup
	for range 50 {
		requests.Go(func() {
			for range 100 {
				hold, _ := budget.Reserve(100, time.Unix(0, 0))
				_ = hold.Grow(10)
				hold.Release(time.Unix(1, 0))
			}
		})
	}
	requests.Wait()
	require.Zero(t, budget.Held())
}

// Guards against a node without a known memory that refuses requests.
func TestNilMemoryBudgetHasNoBound(t *testing.T) {
	var budget *MemoryBudget
	hold, refusal := budget.Reserve(1<<40, time.Unix(0, 0))
	require.Nil(t, refusal)
	require.Nil(t, hold.Grow(1<<40))
	hold.Release(time.Unix(0, 0))
}

// BenchmarkMemoryBudget measures an admitted request: one reservation and one release.
func BenchmarkMemoryBudget(b *testing.B) {
	budget, now := NewMemoryBudget(1<<30), time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		hold, _ := budget.Reserve(68_000, now)
		hold.Release(now)
	}
}

// BenchmarkMemoryRefusal measures a refused reservation.
func BenchmarkMemoryRefusal(b *testing.B) {
	budget, now := NewMemoryBudget(1000), time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = budget.Reserve(68_000, now)
	}
}
