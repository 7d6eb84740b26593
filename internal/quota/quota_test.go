package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func drawMax() float64  { return 0.999 }
func drawZero() float64 { return 0 }

func TestReportEncodingRoundTrip(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		r := Report{Nodes: rapid.IntRange(0, 1000).Draw(t, "nodes")}
		for range rapid.IntRange(0, 20).Draw(t, "uses") {
			r.Usages = append(r.Usages, Usage{
				Key:       rapid.Uint64().Draw(t, "tenant"),
				Requested: float64(rapid.Float32Range(0, 1e9).Draw(t, "asked")),
				Admitted:  float64(rapid.Float32Range(0, 1e9).Draw(t, "admitted")),
			})
		}
		data := r.Encode()
		decoded, err := DecodeReport(data)
		require.NoError(t, err)
		require.Equal(t, r, decoded)
		cut := rapid.IntRange(1, len(data)).Draw(t, "cut")
		if (cut-1)%usageBytes != 0 && r.Nodes < 128 {
			_, err := DecodeReport(data[:cut])
			require.Error(t, err)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte{1})
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x80, 0x7f, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeReport(data); err != nil {
			require.Zero(t, r)
		}
	})
}

func TestCostUsesLimitUnit(t *testing.T) {
	require.Equal(t, 1.0, Limit{Unit: Requests, PlainTokens: 200}.Cost(900, true))
	require.Equal(t, 900.0, Limit{Unit: Tokens, PlainTokens: 200}.Cost(900, true))
	require.Equal(t, 200.0, Limit{Unit: Tokens, PlainTokens: 200}.Cost(0, false))
}

func TestUnlimitedTenantIsAdmitted(t *testing.T) {
	l := New(bounds, drawMax, start)
	for range 1000 {
		require.True(t, oneRank{l}.Admit(tenant, Limit{Unit: Tokens}, 1e6, start).Admitted)
	}
	require.Empty(t, l.Report(start).Usages)
}

// newSingleNodeLimiter returns the limiter of a fleet's only node that has run for a while.
func newSingleNodeLimiter(draw func() float64) *Limiter {
	l := New(bounds, draw, start.Add(-time.Minute))
	l.Resize(1)
	oneRank{l}.Admit(tenant, tokenLimit(10_000), 0, start.Add(-30*time.Second))
	return l
}

func TestRefundRestoresCapacity(t *testing.T) {
	l := newSingleNodeLimiter(drawZero)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		require.True(t, oneRank{l}.Admit(tenant, tokenLimit(10_000), 5000, now).Admitted, i)
		l.Refund(tenant, Request{Cost: 5000}, now)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	l := newSingleNodeLimiter(drawZero)
	refused := Decision{Admitted: true}
	for refused.Admitted {
		refused = oneRank{l}.Admit(tenant, tokenLimit(10_000), 5000, start)
	}
	require.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	require.LessOrEqual(t, refused.RetryAfter, maxRetryAfter*3/2)
	require.True(t, oneRank{l}.Admit(tenant, tokenLimit(10_000), 5000, start.Add(20*time.Second)).Admitted)
}

// A lowered limit must apply at once to requests that are still to be admitted.
func TestLoweredLimitAppliesImmediately(t *testing.T) {
	l := newSingleNodeLimiter(drawZero)
	require.Equal(t, 1.0, oneRank{l}.Admit(tenant, tokenLimit(1_000_000), 50_000, start).AdmitRatio)
	for i := range 2000 {
		oneRank{l}.Admit(tenant, tokenLimit(10_000), 5000, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	require.Less(t, oneRank{l}.Admit(tenant, tokenLimit(10_000), 5000, start.Add(20*time.Second)).AdmitRatio, 0.2)
}

// Peer reports count for a while; after that only this node's own share is left.
func TestPeerUsageExpires(t *testing.T) {
	l := New(bounds, drawMax, start.Add(-time.Minute))
	l.Resize(10)
	require.Equal(t, 0.1, l.visibility(start).fraction())
	l.SetPeerUsage(Report{Nodes: 9}, start)
	require.Equal(t, 1.0, l.visibility(start.Add(peerFreshAge)).fraction())
	between := l.visibility(start.Add((peerFreshAge + peerMaxAge) / 2)).fraction()
	require.Greater(t, between, 0.1)
	require.Less(t, between, 1.0)
	require.InDelta(t, 0.1, l.visibility(start.Add(peerMaxAge+1)).fraction(), 1e-9)
}

func TestIdleBucketsAreEvicted(t *testing.T) {
	l := newSingleNodeLimiter(drawZero)
	require.Len(t, l.buckets, 1)
	l.Report(start.Add(2 * idleExpiry))
	require.Empty(t, l.buckets)
}

func TestSlidingWindowSumsRecentAmounts(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		w := newSlidingWindow(8*time.Second, tenantWindowSlots)
		now := start
		var added []admission
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			amount := float64(rapid.IntRange(0, 100).Draw(t, "amount"))
			w.add(amount, now)
			added = append(added, admission{now, amount})
			within, withinSlack := 0.0, 0.0
			for _, s := range added {
				if now.Sub(s.at) < w.length {
					within += s.cost
				}
				if now.Sub(s.at) < w.length*(tenantWindowSlots+1)/(tenantWindowSlots-1) {
					withinSlack += s.cost
				}
			}
			require.GreaterOrEqual(t, w.at(now), within)
			require.LessOrEqual(t, w.at(now), withinSlack)
		}
	})
}
