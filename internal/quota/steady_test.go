package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// referenceBucket is the yardstick of callers: one token bucket for the whole fleet, filled in
// order of arrival.
type referenceBucket struct {
	level      float64
	at         time.Time
	admissions []admission
}

func (b *referenceBucket) admit(limit Limit, cost float64, now time.Time) {
	if b.at.IsZero() {
		b.level, b.at = limit.Burst, now
	}
	b.level = min(limit.Burst, b.level+limit.PerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.level >= cost {
		b.level -= cost
		b.admissions = append(b.admissions, admission{now, cost})
	}
}

// sumBetween returns the sum admitted from one time to another.
func sumBetween(admissions []admission, from, to time.Time) float64 {
	sum := 0.0
	for _, a := range admissions {
		if !a.at.Before(from) && a.at.Before(to) {
			sum += a.cost
		}
	}
	return sum
}

// overloadBounds are those of deployment A.
var overloadBounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 190_000}

// overloadCase is a demand of several times a limit that begins at once.
type overloadCase struct {
	nodes     int
	perSecond float64
	cost      float64
	// lowered is the factor of the limit in the second half.
	lowered float64
	// maxDelay is the highest age of reports.
	maxDelay time.Duration
}

func (c overloadCase) String() string {
	return fmt.Sprintf("%d nodes, %.0f/s, requests of %.0f, limit x %.2f, reports up to %v old", c.nodes, c.perSecond, c.cost, c.lowered, c.maxDelay)
}

// leastSecond is the least ratio in any second that the test accepts. A second has room for 8 to 17
// requests of 17,000 tokens, whose number at independent nodes varies by 2 to 3.
func (c overloadCase) leastSecond() float64 {
	if c.cost > 1000 {
		return 0.35
	}
	return 0.7
}

func overloadCases() (cases []overloadCase) {
	for _, nodes := range []int{16, 74} {
		for _, perSecond := range []float64{140_000, 300_000} {
			for _, cost := range []float64{350, 17_000} {
				for _, lowered := range []float64{1, 0.85} {
					for _, maxDelay := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
						cases = append(cases, overloadCase{nodes, perSecond, cost, lowered, maxDelay})
					}
				}
			}
		}
	}
	return cases
}

const (
	overloadFactor = 5
	overloadLength = 6 * time.Second
)

// run plays the case after a time of little demand. It returns the fleet and the start of the
// overload.
func (c overloadCase) run(seed uint64) (*simFleet, time.Time) {
	s := newSimFleet(c.nodes, tokenLimit(c.perSecond), seed)
	s.bounds, s.delay, s.maxDelay = overloadBounds, 150*time.Millisecond, c.maxDelay
	s.cost, s.meanCost = func() float64 { return c.cost }, c.cost
	for _, n := range s.nodes {
		s.restart(n)
	}
	s.demandRate = 0.1 * c.perSecond
	s.run(10 * time.Second)
	begin := s.now
	s.admissions, s.reference.admissions = nil, nil
	s.demandRate = overloadFactor * c.perSecond
	s.run(overloadLength / 2)
	s.limit.PerSecond *= c.lowered
	s.limit.Burst *= c.lowered
	s.run(overloadLength / 2)
	return s, begin
}

// overloadResult compares a run with the reference bucket. Ratios are of sums to those of the
// reference.
type overloadResult struct {
	total        float64
	first        float64
	worst, best  float64
	boundedShare float64
}

const overloadSeeds = 10

// play returns the mean total ratio, the ratio of the first second, the mean of the least and of
// the greatest ratio in any second after the first, and the greatest share of the bound used.
func (c overloadCase) play() overloadResult {
	var result overloadResult
	for seed := range uint64(overloadSeeds) {
		s, begin := c.run(seed)
		ratio := func(from, to time.Duration) float64 {
			return sumBetween(s.admissions, begin.Add(from), begin.Add(to)) / sumBetween(s.reference.admissions, begin.Add(from), begin.Add(to))
		}
		worst, best := 10.0, 0.0
		for from := time.Second; from+time.Second <= overloadLength; from += 250 * time.Millisecond {
			worst, best = min(worst, ratio(from, from+time.Second)), max(best, ratio(from, from+time.Second))
		}
		result.total += ratio(0, overloadLength) / overloadSeeds
		result.first += ratio(0, time.Second) / overloadSeeds
		result.worst += worst / overloadSeeds
		result.best += best / overloadSeeds
		bound := overloadBounds.allowed(tokenLimit(c.perSecond))
		result.boundedShare = max(result.boundedShare, s.peakInWindow()/bound)
	}
	return result
}

// Guards against a limit that is first overrun and then starved: a demand of five times the limit
// must be admitted at the limit's rate in every second, as one bucket for the whole fleet does.
func TestOverloadIsAdmittedAtRateInEverySecond(t *testing.T) {
	for _, c := range overloadCases() {
		t.Run(c.String(), func(t *testing.T) {
			r := c.play()
			t.Logf("total %.2f, first second %.2f, seconds %.2f to %.2f, %.2f of the bound", r.total, r.first, r.worst, r.best, r.boundedShare)
			require.LessOrEqual(t, r.boundedShare, 1.0)
			// What is admitted before the first reports of a surge is at most a second and a half of
			// the rate.
			require.InDelta(t, 1.15, r.total, 0.25)
			require.InDelta(t, 1.5, r.first, 0.75)
			require.Greater(t, r.worst, c.leastSecond())
		})
	}
}

// Guards against admitting more than the bound while a surge meets nodes that are cut off or have
// restarted, and a limit that falls.
func TestBoundHoldsInSurgeWithCutOffNodesAndFallingLimit(t *testing.T) {
	property.CheckMany(t, 30, func(t *rapid.T) {
		c := overloadCase{
			nodes:     rapid.SampledFrom([]int{16, 74}).Draw(t, "nodes"),
			perSecond: rapid.Float64Range(140_000, 300_000).Draw(t, "limit"),
			cost:      rapid.SampledFrom([]float64{350, 17_000}).Draw(t, "cost"),
		}
		s := newSimFleet(c.nodes, tokenLimit(c.perSecond), rapid.Uint64().Draw(t, "seed"))
		s.bounds, s.delay, s.maxDelay = overloadBounds, 150*time.Millisecond, 800*time.Millisecond
		s.cost, s.meanCost = func() float64 { return c.cost }, c.cost
		for _, n := range s.nodes {
			s.restart(n)
		}
		s.demandRate = c.perSecond * rapid.Float64Range(0, 2).Draw(t, "before")
		s.run(4 * time.Second)
		s.demandRate = c.perSecond * rapid.Float64Range(3, 7.5).Draw(t, "surge")
		cut := rapid.IntRange(0, len(s.nodes)/3).Draw(t, "cut off")
		restart := rapid.Bool().Draw(t, "restart")
		for _, n := range s.nodes[:cut] {
			if restart {
				s.restart(n)
			}
			n.partitioned = true
		}
		s.run(3 * time.Second)
		s.limit.PerSecond *= 0.85
		s.limit.Burst *= 0.85
		s.run(5 * time.Second)
		require.LessOrEqual(t, s.peakInWindow(), overloadBounds.allowed(tokenLimit(c.perSecond)))
	})
}
