package overload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/quota"
)

var begin = time.Unix(1_000_000, 0)

func newTestController(nodes int) *Controller {
	return NewController(quota.ServiceSubject("s"), NewLocalPromises(), nodes)
}

// drawRequest draws a request of any rank at a service in any state.
func drawRequest(t *rapid.T) Request {
	milliseconds := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	target, own := milliseconds("target", 2000), milliseconds("own", 400)
	return Request{
		Rank: rapid.IntRange(0, RankCount-1).Draw(t, "rank"), Predicted: own + milliseconds("queue", 12_000), Own: own,
		Target: target - milliseconds("spent", 1000), FullTarget: target, Remaining: milliseconds("remaining", 10_000), Answer: milliseconds("answer", 300),
		MinRetryAfter: max(50*time.Millisecond, target/4), Tokens: float64(rapid.IntRange(1, 20_000).Draw(t, "tokens")), SlotTime: milliseconds("slot", 500),
		TokensPerSecond: float64(rapid.IntRange(50_000, 3_000_000).Draw(t, "capacity")),
		SlotsInUse:      rapid.IntRange(0, 200).Draw(t, "in use"), Slots: 192, Waiting: rapid.IntRange(0, 20).Draw(t, "waiting"),
		Caller: rapid.Uint64Range(1, 50).Draw(t, "caller"), Seed: rapid.Uint64().Draw(t, "seed"),
	}
}

// overloaded returns a request that would miss its target at a service without free capacity.
func overloaded(rank int, caller uint64) Request {
	return Request{
		Rank: rank, Predicted: 1200 * time.Millisecond, Own: 100 * time.Millisecond, Target: time.Second, FullTarget: time.Second, Remaining: 8 * time.Second,
		Answer: 100 * time.Millisecond, MinRetryAfter: 250 * time.Millisecond, Tokens: 1000, SlotTime: 200 * time.Millisecond,
		TokensPerSecond: 500_000, SlotsInUse: 180, Slots: 192, Waiting: 12, Caller: caller, Seed: caller * 0x9e3779b97f4a7c15,
	}
}

// Guards against a wrong refusal or admission of single requests, whatever came before: rule 1
// holds in every state, an idle service never refuses, a caller is only promised what it can
// follow, and a return at its appointment is not refused for pressure.
func TestRulesHoldForEveryRequest(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		c, now := newTestController(1), begin
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			r := drawRequest(t)
			v := c.Admit(r, now)
			switch {
			case r.Idle():
				require.Zero(t, v.Refused, "an idle service")
			case v.Expected > r.Remaining:
				require.Equal(t, DeadlineMissed, v.Refused, "rule 1")
				require.Positive(t, v.RetryAfter)
			default:
				require.NotEqual(t, DeadlineMissed, v.Refused)
			}
			require.GreaterOrEqual(t, v.Expected, r.Predicted)
			if v.Refused == TargetMissed || v.Refused == Reserved {
				require.Equal(t, Pressure, v.State)
				require.True(t, v.Promised)
				require.False(t, v.Returning, "refused for pressure again")
			}
			if v.Promised {
				require.LessOrEqual(t, v.RetryAfter, r.Remaining/3)
				require.GreaterOrEqual(t, v.RetryAfter, r.MinRetryAfter)
				require.GreaterOrEqual(t, r.Remaining-v.RetryAfter, r.FullTarget+r.Answer)
			}
		}
	})
}

// Guards against a state that alternates: it changes at most twice per second, and not at all
// while the share of missed targets stays between the two thresholds.
func TestStateDoesNotFlap(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		c, now := newTestController(1), begin
		var changes []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			if c.Admit(drawRequest(t), now).Changed {
				changes = append(changes, now)
			}
		}
		for i := 2; i < len(changes); i++ {
			require.GreaterOrEqual(t, changes[i].Sub(changes[i-2]), missWindow)
		}
	})
}

func TestStateHasHysteresis(t *testing.T) {
	c, now := newTestController(1), begin
	states := map[State]int{}
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		r := overloaded(0, uint64(i+1))
		// One in 14 misses: above leaveShare, below enterShare.
		if i%14 != 13 {
			r.Predicted = 200 * time.Millisecond
		}
		states[c.Admit(r, now).State]++
	}
	require.Equal(t, map[State]int{Normal: 2000}, states)
	for i := range 200 {
		now = now.Add(5 * time.Millisecond)
		c.Admit(overloaded(0, uint64(i+1)), now)
	}
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		r := overloaded(0, uint64(i+1))
		if i%14 != 13 {
			r.Predicted = 200 * time.Millisecond
		}
		require.Equal(t, Pressure, c.Admit(r, now).State, "request %d", i)
	}
	for range 400 {
		now = now.Add(5 * time.Millisecond)
		r := overloaded(0, 1)
		r.Predicted = 200 * time.Millisecond
		c.Admit(r, now)
	}
	require.Equal(t, Normal, c.currentState(now))
}

// Guards against promising more than can be served: the work of the returns that are due within
// any time is at most what more urgent ranks leave of the capacity, and returns are spread.
func TestPromisesFitCapacityAndAreSpread(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		c, now := newTestController(1), begin
		var due []time.Time
		last := Request{}
		for i := range rapid.IntRange(20, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "gap")) * time.Millisecond)
			last = overloaded(3, uint64(i+1))
			if v := c.Admit(last, now); v.Promised {
				due = append(due, now.Add(v.RetryAfter))
			}
		}
		require.NotEmpty(t, due)
		requestTime := work(&last) / promisedShare
		for i, first := range due {
			for j, second := range due[i:] {
				// Both ends may fall into the work of a request.
				require.LessOrEqual(t, float64(j-1)*requestTime, math.Abs(second.Sub(first).Seconds())+1e-6)
			}
		}
	})
}

// Guards against appointments that are forgotten, used twice, used early, or kept forever.
func TestReturnAtAppointmentIsAdmittedOnce(t *testing.T) {
	c, now := newTestController(1), begin
	v := c.Admit(overloaded(1, 7), now)
	require.Equal(t, TargetMissed, v.Refused)
	early := now.Add(v.RetryAfter - 2*earlyReturn)
	require.False(t, c.promises.Redeem(c.subject, 7, 1000, false, early))
	now = now.Add(v.RetryAfter)
	back := c.Admit(overloaded(1, 7), now)
	require.True(t, back.Returning)
	require.Zero(t, back.Refused)
	require.False(t, back.Deferred)
	again := c.Admit(overloaded(1, 7), now)
	require.False(t, again.Returning)
	require.NotZero(t, again.Refused)
	require.Positive(t, c.promises.Outstanding(c.subject, now))
	now = now.Add(10 * time.Second)
	require.Zero(t, c.promises.Outstanding(c.subject, now))
	promised, redeemed := c.promises.Totals(c.subject, now)
	require.Zero(t, promised)
	require.Zero(t, redeemed)
}

// Guards against a request that waits where it is not told when to return: under pressure it is
// sent, and yields to others, if its deadline leaves no time for an appointment.
func TestRequestThatCannotReturnIsSent(t *testing.T) {
	c := newTestController(1)
	r := overloaded(1, 7)
	r.Remaining = 1300 * time.Millisecond
	v := c.Admit(r, begin)
	require.Equal(t, Pressure, v.State)
	require.Zero(t, v.Refused)
	require.True(t, v.Deferred)
	r = overloaded(1, 8)
	r.Own, r.Predicted = 1100*time.Millisecond, 1300*time.Millisecond
	v = c.Admit(r, begin)
	require.Zero(t, v.Refused, "its own prompt takes longer than the target, also later")
	require.True(t, v.Deferred)
}

// Guards against less urgent requests that take the capacity that urgent ones need, and against
// capacity that is kept free although nobody needs it.
func TestCapacityIsReservedAndLent(t *testing.T) {
	c, now := newTestController(1), begin
	admitted := func(urgentPerTick int) int {
		count := 0
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			for j := range urgentPerTick {
				c.Admit(overloaded(0, uint64(1000*i+j+1)), now)
			}
			r := overloaded(5, uint64(1_000_000+i))
			r.Predicted = 300 * time.Millisecond
			if v := c.Admit(r, now); v.Refused == 0 && !v.Deferred {
				count++
			}
		}
		return count
	}
	// Urgent requests ask for 600,000 tokens per second of 500,000.
	require.Less(t, admitted(6), 60, "while the demand becomes known")
	require.Zero(t, admitted(6))
	admitted(0)
	require.Equal(t, 200, admitted(0), "lent once the urgent demand is over")
}

// Guards against requests with impossible values, which must neither panic nor count as demand
// without bounds.
func TestInvalidRequestsAreClamped(t *testing.T) {
	c, now := newTestController(1), begin
	for _, change := range []func(r *Request){
		func(r *Request) { r.Rank = -1 },
		func(r *Request) { r.Rank = 17 },
		func(r *Request) { r.Tokens = math.NaN() },
		func(r *Request) { r.Tokens = -5 },
		func(r *Request) { r.TokensPerSecond = 0 },
		func(r *Request) { r.TokensPerSecond = math.Inf(1) },
		func(r *Request) { r.SlotsInUse = -3 },
		func(r *Request) { r.Slots = -3 },
		func(r *Request) { r.Predicted = -time.Second },
	} {
		before := c.invalid
		r := overloaded(1, 9)
		change(&r)
		c.Admit(r, now)
		require.Equal(t, before+1, c.invalid)
	}
	for rank := range RankCount {
		require.False(t, math.IsNaN(c.demand.fleetTokens(rank, now)))
	}
}
