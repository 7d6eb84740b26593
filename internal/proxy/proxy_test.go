package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/property"
)

func TestRetryBudgetHoldsFleetWideWithoutCoordination(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		bounds := RetryBounds{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
		start := time.Unix(1000, 0)
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)).Float64
		nodes := make([]*RetryBudgets, rapid.IntRange(1, 30).Draw(t, "nodes"))
		for index := range nodes {
			nodes[index] = NewRetryBudgets(bounds, draw, start)
			nodes[index].Resize(len(nodes), start)
		}
		step := 100 * time.Millisecond
		// Servers fail either continuously, or intermittently so that retries are saved in between.
		failingEvery := rapid.IntRange(1, 150).Draw(t, "failing every")
		failingFor := rapid.IntRange(1, 30).Draw(t, "failing for")
		requests, retries := []int{}, []int{}
		for tick := range 200 {
			now := start.Add(time.Duration(tick) * step)
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				which := rapid.IntRange(0, len(nodes)-1).Draw(t, "which")
				nodes[which] = NewRetryBudgets(bounds, draw, now)
			}
			requestCount, retryCount := rapid.IntRange(0, 2*len(nodes)).Draw(t, "requests"), 0
			for number := range requestCount {
				nodes[number%len(nodes)].Deposit("s", now)
			}
			failing := tick%failingEvery < failingFor
			for _, node := range nodes {
				node.Resize(len(nodes), now)
				for failing && node.ForService("s").Withdraw(now) {
					retryCount++
				}
			}
			requests, retries = append(requests, requestCount), append(retries, retryCount)
		}
		window := int(bounds.Window / step)
		for end := window; end <= len(requests); end++ {
			allowed := bounds.Ratio*float64(sum(requests[end-window:end])) + bounds.Extra
			// Retries earned in the previous window, or up to half a window ago, may be spent in this one.
			for _, earlier := range []int{window, window / 2} {
				before := requests[max(0, end-window-earlier) : end-earlier]
				allowed = max(allowed, bounds.Ratio*float64(sum(before))+bounds.Extra)
			}
			require.LessOrEqual(t, float64(sum(retries[end-window:end])), allowed)
		}
	})
}

// Guards against the retries that all nodes of a large fleet have saved exceeding the part of the budget that may be
// saved, and against fleets that cannot use it.
func TestSavedRetriesStayWithinFleetsPart(t *testing.T) {
	bounds := RetryBounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	const rounds = 40
	for _, nodes := range []int{1, 8, 340, 985, 2000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			draw := rand.New(rand.NewPCG(uint64(nodes), 1)).Float64
			saved, largest, part := 0, 0, 0.0
			for range rounds {
				inWindow := 0
				for range nodes {
					budgets := NewRetryBudgets(bounds, draw, start)
					budgets.Resize(nodes, start)
					part = budgets.capacity() * float64(nodes)
					// The service is quiet for a minute, and then fails for a window.
					budget := budgets.ForService("s")
					now := start.Add(time.Minute)
					for budget.Withdraw(now) {
						saved++
						inWindow++
					}
					for range bounds.Window / time.Second {
						now = now.Add(time.Second)
						for budget.Withdraw(now) {
							inWindow++
						}
					}
				}
				largest = max(largest, inWindow)
			}
			require.InDelta(t, part, float64(saved)/rounds, part/5, "retries saved, on average")
			require.GreaterOrEqual(t, part, bounds.Extra/4)
			require.LessOrEqual(t, float64(largest), bounds.Extra, "retries within a window")
		})
	}
}

// Guards against a node that spends a share of the fleet's retries which the others do not count: it has what its own
// requests earn.
func TestNodeWithoutShareRetriesByItsOwnRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	budgets := NewRetryBudgets(RetryBounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}, rand.New(rand.NewPCG(1, 1)).Float64, now)
	require.False(t, budgets.ForService("s").Withdraw(now.Add(time.Hour)), "it has earned none")
	const requests = 10_000
	retries := 0
	for range requests {
		now = now.Add(100 * time.Millisecond)
		budgets.Deposit("s", now)
		if budgets.ForService("s").Withdraw(now) {
			retries++
		}
	}
	require.InEpsilon(t, ratioShare*0.2*requests, retries, 0.1)
}

func sum(numbers []int) int {
	total := 0
	for _, number := range numbers {
		total += number
	}
	return total
}

func TestSplitFollowsWeightsOverShortRuns(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		route := &catalog.Route{Name: "r"}
		total := 0
		for index := range rapid.IntRange(1, 4).Draw(t, "services") {
			weight := rapid.IntRange(0, 100).Draw(t, "weight")
			total += weight
			route.Split = append(route.Split, catalog.Share{Service: fmt.Sprint("s", index), Weight: weight})
		}
		if total == 0 || len(route.Split) == 1 {
			return
		}
		splitter := splitter{}
		counts := map[string]int{}
		sent := rapid.IntRange(1, 300).Draw(t, "requests")
		for range sent {
			counts[splitter.next(route)]++
		}
		for _, share := range route.Split {
			expected := float64(sent) * float64(share.Weight) / float64(total)
			require.InDelta(t, expected, counts[share.Service], float64(len(route.Split)))
		}
	})
}

func TestPrefillRateIgnoresShortPrompts(t *testing.T) {
	prefillRate := newPrefillRate()
	prefillRate.observe(10, time.Second)
	require.Equal(t, float64(defaultPrefillRate), prefillRate.tokensPerSecond())
	for range 100 {
		prefillRate.observe(5000, 100*time.Millisecond)
	}
	require.InDelta(t, 50_000, prefillRate.tokensPerSecond(), 500)
}

// newTestProxy returns a proxy whose replica was current at the given time.
func newTestProxy(asOf time.Time, weights catalog.Releases) *Proxy {
	replica := &catalog.AtomicReplica{}
	replica.Store(&catalog.Replica{
		AsOf:    asOf,
		Weights: map[string]catalog.Releases{"m": weights},
		Snapshot: catalog.New(catalog.Declaration{
			Version:  3,
			Routes:   []catalog.Route{{Name: "r", Host: "h", PathPrefix: "/r/", Split: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Second}},
			Services: []catalog.Service{{Name: "s"}},
			Tenants:  []catalog.TenantKeys{{Tenant: catalog.Tenant{Name: "one"}, Keys: []string{"k"}}},
		}),
	})
	return New(Options{Replica: replica, Bounds: Bounds{Revocation: 5 * time.Second, Configuration: 2 * time.Second, Weights: 8 * time.Second, StartupGrace: 3 * time.Second}})
}

func TestStaleConfigurationNeverRejectsAsUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	for age, expected := range map[time.Duration]map[string]string{
		time.Second:             {"k": "", "x": "unauthorized", "/none/": "not_found"},
		3 * time.Second:         {"k": "", "x": "not_configured", "/none/": "not_configured"},
		4600 * time.Millisecond: {"k": "not_configured", "x": "not_configured", "/none/": "not_configured"},
	} {
		proxy := newTestProxy(now.Add(-age), nil)
		for what, kind := range expected {
			request := &Request{Host: "h", Path: "/r/", Key: what, Arrived: now}
			if what == "/none/" {
				request.Path, request.Key = what, "k"
			}
			admitted, refusal := proxy.admit(request, now)
			if kind == "" {
				require.Nil(t, refusal)
				require.Equal(t, now.Add(time.Second), admitted.deadline, "the route's timeout")
				continue
			}
			require.Equal(t, kind, string(refusal.Kind), "%s after %s", what, age)
		}
	}
}

func TestReplacedVersionsExpireWithinWeightsBound(t *testing.T) {
	start := time.Now()
	proxy := newTestProxy(start, catalog.Releases{{Version: 4}, {Version: 5, UnreleasedAt: start}, {Version: 6, UnreleasedAt: start.Add(4 * time.Second)}})
	require.Equal(t, int64(0), proxy.minimumVersion("m", start.Add(time.Second)), "the release time of 4 is unknown")
	require.Equal(t, int64(4), proxy.minimumVersion("m", start.Add(3*time.Second)))
	require.Equal(t, int64(5), proxy.minimumVersion("m", start.Add(7*time.Second)))
	require.Equal(t, int64(6), proxy.minimumVersion("m", start.Add(11*time.Second)))
	require.Zero(t, proxy.minimumVersion("other", start.Add(time.Hour)))
	require.Zero(t, proxy.startDeadline("m", 6), "the newest version has no deadline")
	require.Equal(t, start.Add(12*time.Second-startMargin), proxy.startDeadline("m", 5))
	require.Equal(t, start.Add(8*time.Second-startMargin), proxy.startDeadline("m", 4))
	require.Equal(t, proxy.started.Add(3*time.Second-startMargin), proxy.startDeadline("m", 3))
	proxy.replica.Store(catalog.MarkDisrupted(proxy.replica.Load(), start.Add(9*time.Second)))
	require.Zero(t, proxy.minimumVersion("m", start.Add(11*time.Second)), "a disruption of the store restarts the bound")
	require.Equal(t, int64(6), proxy.minimumVersion("m", start.Add(16*time.Second)))
}

func TestReplacedLossAppliesAfterGrace(t *testing.T) {
	start := time.Now()
	proxy := newTestProxy(start, catalog.Releases{{Version: 4}, {Version: 5, UnreleasedAt: start}, {Version: 6, UnreleasedAt: start.Add(4 * time.Second)}})
	proxy.bounds.ReplacedGrace, proxy.bounds.ReplacedLoss = 1500*time.Millisecond, 0.2
	require.Zero(t, proxy.replacedLoss("m", 4, start.Add(1499*time.Millisecond)))
	require.InDelta(t, 0.2, proxy.replacedLoss("m", 4, start.Add(1500*time.Millisecond)), 1e-9)
	require.Zero(t, proxy.replacedLoss("m", 5, start.Add(5*time.Second)))
	require.InDelta(t, 0.2, proxy.replacedLoss("m", 5, start.Add(5500*time.Millisecond)), 1e-9)
	require.Zero(t, proxy.replacedLoss("m", 6, start.Add(time.Hour)), "the newest version")
	require.InDelta(t, 0.2, proxy.replacedLoss("m", 3, start), 1e-9, "the release time of 4 is unknown")
}

// Guards against selecting a version whose start deadline has already passed, which would cancel
// the request as soon as it is sent.
func TestEligibleVersionsHaveFutureStartDeadline(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		start := time.Now()
		moment := func(name string) time.Time {
			return start.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, name)) * time.Millisecond)
		}
		second := catalog.Release{Version: 2}
		if rapid.Bool().Draw(t, "release observed") {
			second.UnreleasedAt = moment("named")
		}
		proxy := newTestProxy(start, catalog.Releases{{Version: 1}, second})
		proxy.started = start
		if rapid.Bool().Draw(t, "disturbed") {
			proxy.replica.Store(catalog.MarkDisrupted(proxy.replica.Load(), moment("disturbance")))
		}
		now := moment("now")
		if proxy.minimumVersion("m", now) <= 1 {
			require.False(t, proxy.startDeadline("m", 1).Before(now))
		}
	})
}

func TestAwaitConfigurationIsBoundedFromStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &catalog.AtomicReplica{}
		proxy := New(Options{Replica: replica})
		go func() {
			time.Sleep(28 * time.Millisecond)
			replica.Store(newTestProxy(time.Now(), nil).replica.Load())
		}()
		start := time.Now()
		proxy.AwaitConfiguration(t.Context())
		require.Equal(t, 30*time.Millisecond, time.Since(start))
		proxy = New(Options{Replica: &catalog.AtomicReplica{}})
		proxy.AwaitConfiguration(t.Context())
		require.Equal(t, 30*time.Millisecond+maxConfigurationWait, time.Since(start), "the wait is bounded")
		proxy.AwaitConfiguration(t.Context())
		require.Equal(t, 30*time.Millisecond+maxConfigurationWait, time.Since(start), "it waits only after startup")
	})
}

func TestSlotTimeEstimateTracksRecentRuns(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		s := newSlotTime()
		for range rapid.IntRange(0, 100).Draw(t, "before") {
			s.observe(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "took")) * time.Millisecond)
		}
		took := time.Duration(rapid.IntRange(10, 5000).Draw(t, "now")) * time.Millisecond
		for range 400 {
			s.observe(took)
		}
		require.InEpsilon(t, took.Seconds(), s.seconds(), 0.15)
		learned := s.seconds()
		s.observe(20 * time.Second)
		require.Less(t, s.seconds()-learned, 0.51, "a single run changes the estimate little")
	})
}
