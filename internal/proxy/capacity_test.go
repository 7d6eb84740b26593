package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// newSharedPlacer returns a placer for a service that routes of different priority share, if mixed is
// set, with the given target latency.
func newSharedPlacer(own, servers int, target time.Duration, mixed bool) *placer {
	p := newTestPlacer(own, servers, 0)
	declaration := *p.admitted.replica.Snapshot.Declaration()
	declaration.Routes = []catalog.Route{
		{Name: "urgent", Split: []catalog.Share{{Service: "s", Weight: 1}}},
		{Name: "other", Split: []catalog.Share{{Service: "s", Weight: 1}}},
	}
	if mixed {
		declaration.Routes[1].Priority = 1
	}
	p.proxy.replica.Store(&catalog.Replica{Snapshot: catalog.New(declaration), AsOf: time.Now()})
	p.admitted.replica = p.proxy.replica.Load()
	p.admitted.route = &catalog.Route{TargetLatency: target}
	p.admitted.request.Arrived = boottime.Now()
	return p
}

// teach lets the estimator learn a rate of all servers and a base time of 50 ms.
func (p *placer) teach(servers []string, rate float64) {
	now := boottime.Now()
	for range 10 {
		for _, server := range servers {
			for _, tokens := range []int{300, 4000} {
				elapsed := 50*time.Millisecond + seconds(float64(tokens)/rate)
				p.proxy.capacity.Observe(capacity.Measurement{Service: "s", Server: backend.ServerKey(server), Tokens: tokens, Elapsed: elapsed}, now)
			}
		}
	}
	now = now.Add(-time.Second)
	p.proxy.capacity.Typical("s", now)
}

// queue adds queued tokens of other nodes at the servers.
func (p *placer) queue(tokens map[string]int) {
	var work []backend.Work
	for server, queued := range tokens {
		work = append(work, backend.Work{Server: backend.ServerKey(server), Running: 1, QueuedTokens: queued})
	}
	p.proxy.set.ApplyPeerWork(work, boottime.Now())
}

func (p *placer) mustPlace(t *testing.T) *placement {
	placed, unplaced := p.Place(nil)
	require.Nil(t, unplaced)
	return placed.(*placement)
}

// A service that routes of different priority do not share is placed as before, and teaches the
// estimator nothing.
func TestOtherServicesDoNotUseEstimates(t *testing.T) {
	p := newSharedPlacer(4000, 3, time.Second, false)
	p.teach([]string{"i-0", "i-1", "i-2"}, 50_000)
	request := p.routingRequest()
	require.Equal(t, float64(defaultPrefillRate), request.PrefillTokensPerSecond)
	require.Equal(t, defaultSlotTime.Seconds(), request.SlotSeconds)
	require.Zero(t, request.BaseSeconds)
	require.Zero(t, request.TargetSeconds)
	placed := p.mustPlace(t)
	require.Zero(t, placed.chosen.PrefillTokensPerSecond)
	require.Zero(t, placed.chosen.SlotSeconds)
	require.False(t, placed.prediction().Known)
	require.Equal(t, prefillAllowanceFactor*p.proxy.prefillRate.timeFor(5000), placed.prefillAllowance())
	p.proxy.capacity = capacity.NewEstimator()
	placed.ResponseStarted()
	placed.End(exchange.ResultServed)
	require.Equal(t, capacity.Estimate{}, p.proxy.capacity.Estimate("s", backend.ServerKey(placed.Server()), boottime.Now()))
}

// Guards against a start with a low rate, by which requests that are not late are taken for late.
func TestUnknownServersAreNeitherSlowNorFast(t *testing.T) {
	p := newSharedPlacer(4000, 2, 100*time.Millisecond, true)
	p.queue(map[string]int{"i-0": 50_000, "i-1": 50_000})
	placed := p.mustPlace(t)
	require.False(t, placed.deferred)
	require.False(t, placed.prediction().Known)
	require.Equal(t, float64(assumedPrefillRate), placed.request.PrefillTokensPerSecond)
	p.admitted.request.Arrived = boottime.Now().Add(-time.Second)
	require.True(t, p.mustPlace(t).deferred, "its target has already passed")
}

func TestPredictionDecidesWhetherRequestIsDeferred(t *testing.T) {
	p := newSharedPlacer(4000, 2, 400*time.Millisecond, true)
	p.teach([]string{"i-0", "i-1"}, 50_000)
	p.queue(map[string]int{"i-0": 10_000, "i-1": 30_000})
	placed := p.mustPlace(t)
	require.Equal(t, "i-0", placed.chosen.Endpoint)
	prediction := placed.prediction()
	require.True(t, prediction.Known && prediction.Met)
	require.InDelta(t, 0.35, prediction.FirstToken.Seconds(), 0.05)
	require.InDelta(t, 0.4, prediction.Target.Seconds(), 0.05)
	require.False(t, placed.deferred)
	p.queue(map[string]int{"i-0": 40_000, "i-1": 30_000})
	placed = p.mustPlace(t)
	require.Equal(t, "i-1", placed.chosen.Endpoint, "none meets the target: the least delay")
	require.False(t, placed.prediction().Met)
	require.True(t, placed.deferred)
}

// Guards against a choice that was made for its target and no longer meets it when the attempt
// begins, because of placements in between.
func TestChoiceThatNoLongerMeetsTargetIsNotValid(t *testing.T) {
	p := newSharedPlacer(4000, 2, 400*time.Millisecond, true)
	p.teach([]string{"i-0", "i-1"}, 50_000)
	request := p.routingRequest()
	s := &selection{scheduler: routing.NewScheduler(p.scorers()...), request: request, strict: true}
	s.candidates = p.loadCandidates(p.query(boottime.Now()), nil, boottime.Now())
	s.schedule()
	current := *s.chosen()
	require.True(t, s.stillValid(&current))
	current.QueuedTokens = 30_000
	require.False(t, s.stillValid(&current), "the next candidate meets the target")
	s.candidates[s.decision.Next].QueuedTokens = 60_000
	require.True(t, s.stillValid(&current), "it is still the one with the least delay")
	s.candidates[s.decision.Next].QueuedTokens = 20_000
	require.False(t, s.stillValid(&current))
}

// measure returns the estimator's estimate after attempts in the given state took 150 ms each.
func (p *placer) measure(t *testing.T, change func(placed *placement)) capacity.Estimate {
	p.proxy.capacity = capacity.NewEstimator()
	for range 30 {
		placed := p.mustPlace(t)
		placed.placedAt = boottime.Now().Add(-150 * time.Millisecond)
		change(placed)
		placed.ResponseStarted()
		placed.End(exchange.ResultServed)
	}
	return p.proxy.capacity.Typical("s", boottime.Now().Add(time.Minute))
}

func TestAttemptsTeachUnlessTheyWaitedForSlotsOrYielded(t *testing.T) {
	p := newSharedPlacer(4000, 1, time.Second, true)
	idle := p.measure(t, func(*placement) {})
	require.InEpsilon(t, 5000/0.15, idle.PrefillTokensPerSecond, 0.5)
	busy := p.measure(t, func(placed *placement) { placed.chosen.Running, placed.chosen.QueuedTokens = 5, 5000 })
	require.InEpsilon(t, 10_000/0.15, busy.PrefillTokensPerSecond, 0.5, "queued tokens count")
	require.False(t, p.measure(t, func(placed *placement) { placed.chosen.Slots, placed.chosen.Running = 4, 4 }).Known)
	yielded := func(placed *placement) { placed.deferred, placed.chosen.QueuedTokens = true, 5000 }
	require.False(t, p.measure(t, yielded).Known)
	require.True(t, p.measure(t, func(placed *placement) { placed.deferred = true }).Known, "nothing was ahead of it")
}

func TestPlacementFindsServersByPeersVotesAtOnce(t *testing.T) {
	p := newSharedPlacer(4000, 3, time.Second, true)
	vote := capacity.VoteFor(50_000)
	p.proxy.capacity.SetPeerVotes(func(yield func(uint64, capacity.Votes) bool) {
		for _, server := range []string{"i-0", "i-1", "i-2"} {
			if !yield(backend.ServerKey(server), vote.Plus(vote)) {
				return
			}
		}
	}, boottime.Now())
	prediction := p.mustPlace(t).prediction()
	require.True(t, prediction.Known, "the first placement after a start uses the votes")
	require.InDelta(t, 0.1, prediction.FirstToken.Seconds(), 0.03)
}
