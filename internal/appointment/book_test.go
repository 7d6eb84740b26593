package appointment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

var start = time.Unix(1000, 0)

const (
	tenant      = 7
	propagation = 500 * time.Millisecond
)

// Guards against a promise that is used before its time, twice, or after it has expired, or for a
// larger request.
func TestPromiseIsRedeemedOnceInItsTime(t *testing.T) {
	due := start.Add(time.Second)
	for name, c := range map[string]struct {
		caller   uint64
		amount   float64
		at       time.Time
		redeemed bool
	}{
		"in time":        {1, 10, due, true},
		"early":          {1, 10, due.Add(-100 * time.Millisecond), false},
		"expired":        {1, 10, due.Add(expiry + 1), false},
		"another caller": {2, 10, due, false},
		"larger":         {1, 11, due, false},
	} {
		b := New(propagation)
		require.True(t, b.Promise(tenant, 1, 10, due, start))
		require.Equal(t, c.redeemed, b.Redeem(tenant, c.caller, c.amount, true, c.at), name)
		require.False(t, b.Redeem(tenant, 2, 10, true, c.at), name)
	}
	b := New(propagation)
	b.Promise(tenant, 1, 10, due, start)
	require.True(t, b.Redeem(tenant, 1, 10, false, due))
	require.False(t, b.Redeem(tenant, 1, 10, true, due), "a promise is consumed")
	require.Equal(t, Counts{Given: 1, Kept: 1}, b.Counts())
}

// Guards against returns to other nodes beyond what the fleet has promised and is due: however many
// requests claim to be returns, those admitted come to no more.
func TestReturnsElsewhereStayWithinDuePromises(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		giver, other := New(propagation), New(propagation)
		promised := 0.0
		for caller := range uint64(rapid.IntRange(0, 20).Draw(t, "promises")) {
			wait := time.Duration(rapid.IntRange(300, 3000).Draw(t, "wait")) * time.Millisecond
			giver.Promise(tenant, caller, 10, start.Add(wait), start)
			if wait <= time.Second+propagation {
				promised += 10
			}
		}
		now := start.Add(time.Second)
		other.SetPeerRows(giver.Rows(now), now)
		redeemed := 0.0
		for range 30 {
			require.False(t, other.Redeem(tenant, 99, 10, false, now), "a caller with the usual time is no return")
			if other.Redeem(tenant, 99, 10, true, now) {
				redeemed += 10
			}
		}
		require.Equal(t, promised, redeemed)
		require.GreaterOrEqual(t, giver.Outstanding(tenant, now), 0.0)
	})
}

// Guards against memory that grows with callers or subjects that never return.
func TestBookIsBounded(t *testing.T) {
	b := New(propagation)
	for i := range uint64(2 * maxPromises) {
		b.Promise(i, i, 1, start.Add(time.Second), start)
	}
	require.LessOrEqual(t, b.promises, maxPromises)
	require.LessOrEqual(t, len(b.subjects), maxSubjects)
	require.Empty(t, b.Rows(start.Add(3*time.Second)))
	require.Empty(t, b.subjects)
}
