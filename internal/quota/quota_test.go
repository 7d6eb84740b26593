package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func never() float64  { return 0.999 }
func always() float64 { return 0 }

func TestAReportIsReadAsItWasWritten(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		r := Report{Nodes: rapid.IntRange(0, 1000).Draw(t, "nodes")}
		for range rapid.IntRange(0, 20).Draw(t, "uses") {
			r.Uses = append(r.Uses, Use{
				Tenant:   rapid.Uint64().Draw(t, "tenant"),
				Asked:    float64(rapid.Float32Range(0, 1e9).Draw(t, "asked")),
				Admitted: float64(rapid.Float32Range(0, 1e9).Draw(t, "admitted")),
			})
		}
		data := r.Encode()
		read, err := DecodeReport(data)
		require.NoError(t, err)
		require.Equal(t, r, read)
		cut := rapid.IntRange(1, len(data)).Draw(t, "cut")
		if (cut-1)%useBytes != 0 && r.Nodes < 128 {
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

func TestACostIsInTheUnitOfTheLimit(t *testing.T) {
	require.Equal(t, 1.0, Limit{Unit: Requests, PlainTokens: 200}.Cost(900, true))
	require.Equal(t, 900.0, Limit{Unit: Tokens, PlainTokens: 200}.Cost(900, true))
	require.Equal(t, 200.0, Limit{Unit: Tokens, PlainTokens: 200}.Cost(0, false))
}

func TestATenantWithoutALimitIsAdmitted(t *testing.T) {
	l := New(bounds, never, begin)
	for range 1000 {
		require.True(t, l.Admit(tenant, Limit{Unit: Tokens}, 1e6, begin).Admitted)
	}
	require.Empty(t, l.Report(begin).Uses)
}

// newSingleNodeLimiter returns the limiter of a fleet's only node that has run for a while.
func alone(draw func() float64) *Limiter {
	l := New(bounds, draw, begin.Add(-time.Minute))
	l.Resize(1)
	l.Admit(tenant, tokens(10_000), 0, begin.Add(-30*time.Second))
	return l
}

func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	l := alone(always)
	for i := range 1000 {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		require.True(t, l.Admit(tenant, tokens(10_000), 5000, now).Admitted, i)
		l.GiveBack(tenant, 5000, now)
	}
}

func TestWhoIsRefusedIsToldWhenToComeBack(t *testing.T) {
	l := alone(always)
	refused := Decision{Admitted: true}
	for refused.Admitted {
		refused = l.Admit(tenant, tokens(10_000), 5000, begin)
	}
	require.GreaterOrEqual(t, refused.RetryAfter, shortestWait)
	require.LessOrEqual(t, refused.RetryAfter, longestWait*3/2)
	require.True(t, l.Admit(tenant, tokens(10_000), 5000, begin.Add(20*time.Second)).Admitted)
}

// A lowered limit must apply at once to requests that are still to be admitted.
func TestALowerLimitHolds(t *testing.T) {
	l := alone(always)
	require.Equal(t, 1.0, l.Admit(tenant, tokens(1_000_000), 50_000, begin).Share)
	for i := range 2000 {
		l.Admit(tenant, tokens(10_000), 5000, begin.Add(time.Duration(i)*10*time.Millisecond))
	}
	require.Less(t, l.Admit(tenant, tokens(10_000), 5000, begin.Add(20*time.Second)).Share, 0.2)
}

// Peer reports count for a while; after that only this node's own share is left.
func TestWhatIsHeardOfOthersIsForgotten(t *testing.T) {
	l := New(bounds, never, begin.Add(-time.Minute))
	l.Resize(10)
	require.Equal(t, 0.1, l.knowledge(begin).part())
	l.Take(Report{Nodes: 9}, begin)
	require.Equal(t, 1.0, l.knowledge(begin.Add(fresh)).part())
	between := l.knowledge(begin.Add((fresh + trusted) / 2)).part()
	require.Greater(t, between, 0.1)
	require.Less(t, between, 1.0)
	require.InDelta(t, 0.1, l.knowledge(begin.Add(trusted+1)).part(), 1e-9)
}

func TestAccountsThatRestAreForgotten(t *testing.T) {
	l := alone(always)
	require.Len(t, l.accounts, 1)
	l.Report(begin.Add(2 * restForgotten))
	require.Empty(t, l.accounts)
}

func TestAWindowHoldsWhatWasAddedWithinIt(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		w := window{length: 8 * time.Second}
		now := begin
		var added []sample
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			amount := float64(rapid.IntRange(0, 100).Draw(t, "amount"))
			w.add(amount, now)
			added = append(added, sample{now, amount})
			within, around := 0.0, 0.0
			for _, s := range added {
				if now.Sub(s.at) < w.length {
					within += s.cost
				}
				if now.Sub(s.at) < w.length*(windowSlots+1)/(windowSlots-1) {
					around += s.cost
				}
			}
			require.GreaterOrEqual(t, w.at(now), within)
			require.LessOrEqual(t, w.at(now), around)
		}
	})
}
