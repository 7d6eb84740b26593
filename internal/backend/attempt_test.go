package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// alwaysValid accepts a placement whatever the state of the server.
func alwaysValid(*routing.Candidate) bool { return true }

// unconditionalPlacement returns a placement on a server that is always valid.
func unconditionalPlacement(name string) Placement {
	return Placement{Query: query, Chosen: routing.Candidate{Endpoint: name}, StillValid: alwaysValid}
}

// send begins an attempt unconditionally.
func send(set *Set, name string, tokens int, now time.Time) *Attempt {
	placement := unconditionalPlacement(name)
	placement.Tokens = tokens
	return set.Begin(placement, now)
}

// sendDeferred begins an attempt that yields to all others.
func sendDeferred(set *Set, name string, now time.Time) *Attempt {
	placement := unconditionalPlacement(name)
	placement.Deferred = true
	return set.Begin(placement, now)
}

// passesFilters accepts a placement while the server passes the routing filters.
func passesFilters(current *routing.Candidate) bool {
	return routing.Filter(&routing.Request{}, current) == routing.Accepted
}

// beginConcurrently lets a number of placements read the state of a server before any of them
// begins, and returns the attempts that began.
func beginConcurrently(t *rapid.T, set *Set, name string, number int, now time.Time) []*Attempt {
	var placements []Placement
	for range number {
		chosen := candidateOf(t, set, query, now, name)
		if passesFilters(&chosen) {
			placements = append(placements, Placement{Query: query, Chosen: chosen, StillValid: passesFilters})
		}
	}
	var attempts []*Attempt
	for _, placement := range placements {
		if attempt := set.Begin(placement, now); attempt != nil {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// Guards against a thundering herd on a server whose breaker is half-open: whatever failures
// opened the breaker and however many placements saw it without a probe, only one attempt probes
// the server until that attempt has ended.
func TestConcurrentPlacementsSendOneProbe(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set := NewSet()
		set.Update([]Server{server("x")}, begin)
		now := begin
		var open []*Attempt
		for range rapid.IntRange(0, 4).Draw(t, "stragglers") {
			open = append(open, send(set, "x", 0, now))
		}
		send(set, "x", 0, now).End(exchange.ResultUnreached, now)
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			now = now.Add(connectBreaker.MaxOpenDuration)
			probes := beginConcurrently(t, set, "x", rapid.IntRange(1, 60).Draw(t, "placements"), now)
			require.Len(t, probes, 1)
			// An attempt sent before the breaker opened does not release another probe when it
			// ends.
			for _, straggler := range open {
				straggler.End(rapid.SampledFrom([]exchange.Result{exchange.ResultNeutral, exchange.ResultRefused}).Draw(t, "straggler"), now)
			}
			open = nil
			now = now.Add(refusalBackoff)
			require.Empty(t, beginConcurrently(t, set, "x", 60, now))
			probes[0].End(rapid.SampledFrom([]exchange.Result{exchange.ResultUnreached, exchange.ResultNeutral}).Draw(t, "result"), now)
		}
		now = now.Add(connectBreaker.MaxOpenDuration)
		beginConcurrently(t, set, "x", 60, now)[0].End(exchange.ResultServed, now)
		require.Len(t, beginConcurrently(t, set, "x", 60, now), 60)
	})
}

// Guards against a thundering herd at the end of a backoff: placements that have all seen the
// slow-start window open stay within it.
func TestConcurrentPlacementsStayWithinSlowStartWindow(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set := NewSet()
		set.Update([]Server{server("x")}, begin)
		set.random = func() float64 { return 1 }
		set.Notice("x", Notice{RetryAfter: time.Second}, begin)
		require.Empty(t, beginConcurrently(t, set, "x", 60, begin))
		now := begin.Add(2 * time.Second)
		for window := 1; window < defaultSlots; window *= 2 {
			sent := beginConcurrently(t, set, "x", rapid.IntRange(defaultSlots, 60).Draw(t, "placements"), now)
			require.Len(t, sent, window)
			for _, attempt := range sent {
				attempt.End(exchange.ResultServed, now)
			}
		}
		require.Len(t, beginConcurrently(t, set, "x", 60, now), 60)
	})
}

// Guards against requests to a server that began draining, backed off or was replaced between
// selection and sending.
func TestBeginRejectsStalePlacement(t *testing.T) {
	for name, change := range map[string]func(set *Set){
		"leaves":   func(set *Set) { set.Notice("x", Notice{Leaving: true}, begin) },
		"backoff":  func(set *Set) { set.Notice("x", Notice{RetryAfter: time.Second}, begin) },
		"replaced": func(set *Set) { set.Gone("x", begin) },
		"full":     func(set *Set) { send(set, "x", 0, begin).End(exchange.ResultRefused, begin) },
		"loads": func(set *Set) {
			set.SetLoads(Loads{Loading: []Load{{Instance: "x", Model: "m", Version: 2}}}, begin)
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := NewSet()
			set.Update([]Server{server("x")}, begin)
			placement := Placement{Query: query, Chosen: candidateOf(t, set, query, begin, "x"), StillValid: passesFilters}
			require.NotNil(t, set.Begin(placement, begin))
			change(set)
			require.Nil(t, set.Begin(placement, begin))
		})
	}
	require.Nil(t, NewSet().Begin(unconditionalPlacement("x"), begin), "unknown server")
}
