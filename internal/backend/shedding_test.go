package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Load pattern: four of eleven servers shed 70% of their requests for half a minute, at a load
// that does not fill the others. Guards against refusals while other servers have capacity:
// shedding servers are still tried now and then, at less than half of their even share.
func TestSheddingServersGetReducedShare(t *testing.T) {
	const (
		servers, shedding = 11, 4
		step, answer      = 5 * time.Millisecond, 50 * time.Millisecond
		warmUp, end       = time.Second, 30 * time.Second
	)
	set := newUniformSet(servers, begin)
	sheds := map[string]bool{"i-0": true, "i-1": true, "i-2": true, "i-3": true}
	request := &routing.Request{ConcurrencyCost: 0.01, FailureCost: 0.3}
	scheduler := routing.NewScheduler(routing.ConcurrencyScorer{}, routing.DistanceScorer{}, routing.FailureScorer{})
	running := map[*Attempt]time.Time{}
	sent, toShedding := 0, 0
	for elapsed := time.Duration(0); elapsed < end; elapsed += step {
		now := begin.Add(elapsed)
		for attempt, ends := range running {
			if !now.Before(ends) {
				attempt.End(exchange.ResultServed, now)
				delete(running, attempt)
			}
		}
		point := ServerKey(now.String())
		all := set.Candidates(nil, Query{Service: "s", HashPoint: point, Distance: func(string) int { return 0 }}, now)
		chosen := all[scheduler.Schedule(request, all).Index].Endpoint
		attempt := send(set, chosen, 0, now)
		shed := sheds[chosen] && ServerKey(chosen+now.String())%10 < 7
		if shed {
			attempt.End(exchange.ResultRefused, now)
		} else {
			running[attempt] = now.Add(answer)
		}
		if elapsed >= warmUp {
			sent++
			if sheds[chosen] {
				toShedding++
			}
		}
	}
	t.Logf("%d of %d requests went to shedding servers", toShedding, sent)
	require.Less(t, float64(toShedding)/float64(sent), 0.5*shedding/servers)
	require.Positive(t, toShedding, "shedding servers are still tried")
}
