package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

var epoch = time.Unix(1_000_000, 0)

// simulation feeds an estimator with the attempts that servers of known rates would answer.
type simulation struct {
	*Estimator
	now  time.Time
	base time.Duration
}

func newSimulation() *simulation {
	return &simulation{Estimator: NewEstimator(), now: epoch, base: 50 * time.Millisecond}
}

// observe measures one attempt at a server with the given rate. noise is a factor on the time of
// the prefill.
func (s *simulation) observe(server uint64, rate float64, tokens int, noise float64) {
	s.now = s.now.Add(100 * time.Millisecond)
	elapsed := s.base + time.Duration(float64(tokens)/rate*noise*float64(time.Second))
	s.Observe(Measurement{Service: "s", Server: server, Tokens: tokens, Elapsed: elapsed}, s.now)
}

// rate returns the estimated rate of a server.
func (s *simulation) rate(server uint64) float64 {
	s.now = s.now.Add(refreshInterval)
	return s.Estimate("s", server, s.now).PrefillTokensPerSecond
}

// warmUp measures short prompts, and long ones at each of the servers 1 to n, with the given rates.
func (s *simulation) warmUp(rounds int, rates ...float64) {
	for range rounds {
		for i, rate := range rates {
			s.observe(uint64(i+1), rate, 300, 1)
			s.observe(uint64(i+1), rate, 4000, 1)
		}
		s.rate(1)
	}
}

func drawRate(t *rapid.T) float64 { return rapid.Float64Range(8_000, 120_000).Draw(t, "rate") }

func TestUnknownServiceHasNoEstimate(t *testing.T) {
	require.Equal(t, Estimate{}, NewEstimator().Estimate("s", 1, epoch))
}

func TestEstimateConvergesToRateAndBaseTime(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		s, rate := newSimulation(), drawRate(t)
		s.base = time.Duration(rapid.IntRange(35, 90).Draw(t, "base ms")) * time.Millisecond
		for range 60 {
			s.observe(1, rate, rapid.IntRange(100, 500).Draw(t, "short"), 1)
			s.observe(1, rate, rapid.IntRange(2_000, 40_000).Draw(t, "long"), rapid.Float64Range(0.8, 1.25).Draw(t, "noise"))
			s.rate(1)
		}
		require.InEpsilon(t, rate, s.rate(1), 0.2)
		require.InDelta(t, s.base.Seconds(), s.Estimate("s", 1, s.now).BaseSeconds, 0.015)
	})
}

func TestEstimateForgetsFormerRate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		s, before, after := newSimulation(), drawRate(t), drawRate(t)
		s.warmUp(40, before)
		s.now = s.now.Add(4 * halfLife)
		s.warmUp(20, after)
		require.InEpsilon(t, after, s.rate(1), 0.15)
	})
}

// Guards against a server that was slow once and is therefore avoided, so that it gets no sample
// that would show its recovery.
func TestServerWithoutSamplesReturnsToTypicalRate(t *testing.T) {
	s := newSimulation()
	s.warmUp(20, 50_000, 50_000, 50_000, 10_000)
	require.Less(t, s.rate(4), 15_000.0)
	s.now = s.now.Add(3 * halfLife)
	s.warmUp(20, 50_000, 50_000, 50_000)
	require.InEpsilon(t, 50_000, s.rate(4), 0.1)
}

func TestOneWrongSampleDoesNotMoveEstimate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.warmUp(rapid.IntRange(4, 30).Draw(t, "rounds"), 30_000, 50_000, 80_000)
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause s")) * time.Second)
		server := rapid.Uint64Range(1, 5).Draw(t, "server")
		before := s.Estimate("s", server, s.now.Add(refreshInterval)).PrefillTokensPerSecond
		s.observe(server, 1, rapid.IntRange(2_000, 30_000).Draw(t, "tokens"), rapid.SampledFrom([]float64{0, 1e-4, 1}).Draw(t, "noise"))
		require.InEpsilon(t, before, s.rate(server), 0.15)
	})
}

// report is the sum of the votes of several nodes.
type report map[uint64]Votes

func (r report) add(server uint64, rate float64) { r[server] = r[server].Plus(VoteFor(rate)) }

func (r report) all(yield func(uint64, Votes) bool) {
	for server, v := range r {
		if !yield(server, v) {
			return
		}
	}
}

// hear applies a report repeatedly for some seconds.
func (s *simulation) hear(r report) {
	for range 30 {
		s.now = s.now.Add(200 * time.Millisecond)
		s.SetPeerVotes(r.all, s.now)
	}
}

func TestOneFaultyNodeDoesNotMoveEstimate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		rates := []float64{30_000, 50_000, 80_000}
		honest, both := newSimulation(), newSimulation()
		honest.warmUp(10, rates...)
		both.warmUp(10, rates...)
		votes, withLie := report{}, report{}
		nodes := rapid.IntRange(0, 8).Draw(t, "honest nodes")
		for i, rate := range rates {
			for range nodes {
				votes.add(uint64(i+1), rate)
				withLie.add(uint64(i+1), rate)
			}
			withLie.add(uint64(i+1), rapid.Float64Range(1, 1e6).Draw(t, "lie"))
		}
		honest.hear(votes)
		both.hear(withLie)
		for i := range rates {
			require.InEpsilon(t, honest.rate(uint64(i+1)), both.rate(uint64(i+1)), 0.01)
		}
	})
}

// Guards against a node that votes for another rate each time, and so fills all lanes.
func TestChangingVotesOfOneNodeWeighAsOneVote(t *testing.T) {
	s := newSimulation()
	s.warmUp(10, 50_000)
	for lane := range 200 {
		r := report{}
		r.add(1, 50_000)
		r.add(1, laneEdge(float64(lane%lanes)+0.5))
		s.now = s.now.Add(200 * time.Millisecond)
		s.SetPeerVotes(r.all, s.now)
	}
	require.InEpsilon(t, 50_000, s.rate(1), 0.1)
}

func TestRestartedNodeLearnsFromVotesAtOnce(t *testing.T) {
	s, r := newSimulation(), report{}
	rates := map[uint64]float64{}
	for server := range uint64(72) {
		rates[server] = 49_600 * []float64{0.6, 1, 1.6}[server%3]
		for range 5 {
			r.add(server, rates[server])
		}
	}
	s.SetPeerVotes(r.all, s.now)
	for server := range rates {
		s.Estimate("s", server, s.now)
	}
	for server, rate := range rates {
		e := s.Estimate("s", server, s.now.Add(refreshInterval))
		require.True(t, e.Known)
		require.InEpsilon(t, rate, e.PrefillTokensPerSecond, 0.25)
	}
}

func TestVotesExpire(t *testing.T) {
	s, r := newSimulation(), report{}
	s.warmUp(10, 50_000)
	for range 5 {
		r.add(1, 10_000)
	}
	s.hear(r)
	require.Less(t, s.rate(1), 15_000.0)
	s.now = s.now.Add(voteTTL)
	require.InEpsilon(t, 50_000, s.rate(1), 0.1)
}

func TestEqualServersUseOneRate(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		s, rate := newSimulation(), drawRate(t)
		var rates []float64
		for range rapid.IntRange(3, 20).Draw(t, "servers") {
			rates = append(rates, rate*rapid.Float64Range(0.97, 1.03).Draw(t, "spread"))
		}
		s.warmUp(12, rates...)
		first := s.rate(1)
		for i := range rates {
			require.Equal(t, first, s.Estimate("s", uint64(i+1), s.now).PrefillTokensPerSecond)
		}
		require.InEpsilon(t, rate, first, 0.15)
	})
}

func TestDifferentServersHaveTheirOwnRates(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		s, rate := newSimulation(), drawRate(t)/2
		rates := []float64{0.6 * rate, 0.6 * rate, rate, rate, 1.6 * rate, 1.6 * rate}
		s.warmUp(15, rates...)
		for i, rate := range rates {
			require.InEpsilon(t, rate, s.rate(uint64(i+1)), 0.15, fmt.Sprint("server ", i))
		}
	})
}

func TestDifferenceOfServersHasHysteresis(t *testing.T) {
	s := &service{}
	for _, step := range []struct {
		ratio  float64
		differ bool
	}{{1.3, false}, {1.45, true}, {1.3, true}, {1.2, false}, {1.3, false}} {
		s.compare([]float64{100, 110, 100 * step.ratio})
		require.Equal(t, step.differ, s.differ, step.ratio)
	}
}

// Guards against a restarted server that is expected to be as slow or fast as the process before
// it.
func TestNewIncarnationStartsFromTypicalRate(t *testing.T) {
	s := newSimulation()
	s.warmUp(20, 30_000, 50_000, 50_000, 80_000)
	typical := s.Estimate("s", 99, s.now).PrefillTokensPerSecond
	require.InEpsilon(t, 50_000, typical, 0.15)
	require.Less(t, s.rate(1), 35_000.0)
	for range 10 {
		s.observe(99, 80_000, 4000, 1)
	}
	require.InEpsilon(t, 80_000, s.rate(99), 0.15)
}

func TestSlotTimeIsMedianOfServerOrService(t *testing.T) {
	s := newSimulation()
	s.warmUp(10, 30_000, 50_000, 80_000)
	for range 20 {
		s.ObserveSlot("s", 1, 800*time.Millisecond, s.now)
		s.ObserveSlot("s", 2, 500*time.Millisecond, s.now)
		s.ObserveSlot("s", 3, 300*time.Millisecond, s.now)
	}
	s.ObserveSlot("s", 2, time.Minute, s.now)
	s.rate(1)
	require.InEpsilon(t, 0.8, s.Estimate("s", 1, s.now).SlotSeconds, 0.1)
	require.InEpsilon(t, 0.5, s.Estimate("s", 2, s.now).SlotSeconds, 0.1)
	require.InEpsilon(t, 0.5, s.Estimate("s", 99, s.now).SlotSeconds, 0.1, "the typical slot time")
}

func TestNodeVotesOnlyOnServersThatItMeasured(t *testing.T) {
	s := newSimulation()
	require.Zero(t, s.Vote(1, s.now))
	s.warmUp(6, 50_000)
	require.Equal(t, VoteFor(50_000), s.Vote(1, s.now))
	require.Zero(t, s.Vote(2, s.now))
	r := report{}
	r.add(2, 10_000)
	s.hear(r)
	s.rate(2)
	require.Zero(t, s.Vote(2, s.now), "votes of others are not repeated")
	require.Zero(t, s.Vote(1, s.now.Add(5*halfLife)), "old samples give no vote")
}

func TestStateIsBounded(t *testing.T) {
	e := NewEstimator()
	for i := range uint64(3 * maxServers) {
		e.Observe(Measurement{Service: fmt.Sprint("s", i%100), Server: i, Tokens: 4000, Elapsed: time.Second}, epoch)
		e.Estimate("s", i, epoch)
	}
	all := func(yield func(uint64, Votes) bool) {
		for i := range uint64(3 * maxPeerServers) {
			if !yield(i, 1) {
				return
			}
		}
	}
	e.SetPeerVotes(all, epoch)
	require.LessOrEqual(t, len(e.services), maxServices)
	require.LessOrEqual(t, len(e.peers), maxPeerServers)
	for _, s := range e.services {
		require.LessOrEqual(t, len(s.servers), maxServers)
	}
	e.Estimate("s", 1, epoch.Add(time.Hour))
	require.Len(t, e.services["s"].servers, 1, "unused servers are removed")
}
