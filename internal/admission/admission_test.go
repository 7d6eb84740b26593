package admission

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestQueueServesHigherPrioritiesFirst(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		queue := NewQueue()
		waiting := map[uint64]Ticket{}
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			switch rapid.SampledFrom([]string{"push", "push", "pop", "remove"}).Draw(t, "step") {
			case "push":
				ticket := Ticket{ID: id, Tenant: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"), Weight: 1,
					Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Cost: 1}
				queue.Push(ticket)
				waiting[id] = ticket
			case "pop":
				next, found := queue.Pop()
				require.Equal(t, len(waiting) > 0, found)
				for _, other := range waiting {
					require.LessOrEqual(t, other.Priority, next.Priority)
				}
				delete(waiting, next.ID)
			case "remove":
				target := rapid.Uint64Range(0, id).Draw(t, "target")
				_, held := waiting[target]
				require.Equal(t, held, queue.Remove(target))
				delete(waiting, target)
			}
			require.Equal(t, len(waiting), queue.Len())
		}
	})
}

func TestQueueServesBackloggedTenantsByWeight(t *testing.T) {
	queue := NewQueue()
	for id := range uint64(300) {
		queue.Push(Ticket{ID: 2 * id, Tenant: "light", Weight: 1, Cost: 1})
		queue.Push(Ticket{ID: 2*id + 1, Tenant: "heavy", Weight: 3, Cost: 1})
	}
	served := map[string]int{}
	for range 200 {
		next, _ := queue.Pop()
		served[next.Tenant]++
	}
	require.InDelta(t, 150, served["heavy"], 2)
}

func TestTokenIssuerStaysWithinRate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		start := now
		issuer := NewTokenIssuer()
		limit := Rate{PerSecond: 10, Burst: 5}
		issued := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			issued += issuer.Issue(now, "t", limit, rapid.IntRange(1, 8).Draw(t, "want"))
			require.LessOrEqual(t, float64(issued), float64(limit.Burst)+limit.PerSecond*now.Sub(start).Seconds()+1e-6)
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
		}
	})
}

func TestFallbackStaysWithinFleetRate(t *testing.T) {
	const nodes = 10
	limit := Rate{PerSecond: 20, Burst: 5}
	now := time.Unix(0, 0)
	leases := []*TokenLease{}
	for range nodes {
		leases = append(leases, NewTokenLease())
	}
	granted := 0
	for range 1000 {
		for _, lease := range leases {
			if lease.SpendFallback(now, limit, nodes) {
				granted++
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	// Each node's fallback bucket starts with one token, so the bound is the rate plus one
	// token per node.
	require.LessOrEqual(t, granted, nodes+int(limit.PerSecond*10))
}

// Guards against requests within a tenant's rate that are refused because the token issuer did not answer them in
// time, all at the same moment.
func TestFallbackAdmitsRequestsThatWaitedTogether(t *testing.T) {
	const nodes, waiting = 2, 12
	limit := Rate{PerSecond: 10_000, Burst: 10_000}
	now := time.Unix(0, 0)
	leases := []*TokenLease{NewTokenLease(), NewTokenLease()}
	for range waiting {
		require.True(t, leases[0].SpendFallback(now, limit, nodes))
	}
	granted, start := waiting, now
	for range 1000 {
		for _, lease := range leases {
			for lease.SpendFallback(now, limit, nodes) {
				granted++
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, float64(granted), limit.PerSecond*(now.Sub(start).Seconds()+fallbackSeconds)+nodes)
}

// p99Latency simulates tenants' arrivals at the rate limit and the fair queue of a pool in
// virtual time, where the first tenant sends factor times its rate. It returns the 99th
// percentile of the other tenants' latencies.
func p99Latency(factor float64) time.Duration {
	const (
		tenants  = 8
		places   = 24
		service  = 200 * time.Millisecond
		duration = 2 * time.Minute
		step     = time.Millisecond
		rate     = 9.0
	)
	random := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(0, 0)
	issuer := NewTokenIssuer()
	queue := NewQueue()
	arrivedAt := map[uint64]time.Time{}
	latencies := []time.Duration{}
	ends := []time.Time{}
	id := uint64(0)
	for end := now.Add(duration); now.Before(end); now = now.Add(step) {
		for tenant := range tenants {
			arrivals := rate * step.Seconds()
			if tenant == 0 {
				arrivals *= factor
			}
			name := string(rune('a' + tenant))
			if random.Float64() < arrivals && issuer.Issue(now, name, Rate{PerSecond: 1.2 * rate, Burst: 12}, 1) == 1 {
				id++
				arrivedAt[id] = now
				queue.Push(Ticket{ID: id, Tenant: name, Weight: 1, Cost: service.Seconds()})
			}
		}
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
		}
		for len(ends) < places {
			next, found := queue.Pop()
			if !found {
				break
			}
			ends = append(ends, now.Add(service))
			if next.Tenant != "a" {
				latencies = append(latencies, now.Sub(arrivedAt[next.ID])+service)
			}
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[len(latencies)*99/100]
}

func TestOverloadingTenantBarelyAffectsOthers(t *testing.T) {
	baseline, overloaded := p99Latency(1), p99Latency(10)
	t.Logf("p99 of the others: %s alone, %s beside a tenant at ten times its rate", baseline, overloaded)
	require.LessOrEqual(t, float64(overloaded), 1.1*float64(baseline))
}
