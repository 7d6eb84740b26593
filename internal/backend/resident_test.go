package backend

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/property"
)

// testPrefix returns a shared prefix with a hashed key.
func testPrefix(number, tokens int) Prefix {
	return Prefix{Key: ServerKey(fmt.Sprint("prefix-", number)), Tokens: tokens}
}

// Guards against memory that is far over- or underestimated because prefixes are counted once per
// node or because two share a lane: however many nodes run requests with each of up to nine long
// prefixes, as many as fit into an engine of 151,820 cached tokens, the mean error is small.
func TestSharedPrefixesAreEstimated(t *testing.T) {
	for prefixes := 1; prefixes <= 9; prefixes++ {
		sum, squares := 0.0, 0.0
		const trials = 500
		for trial := range trials {
			total := PrefixSet(0)
			for number := range prefixes {
				one := residents{}
				one.add(0, []Prefix{testPrefix(1000*trial+number, 13_300)})
				for range 5 {
					total = total.Merge(one.lanes)
				}
			}
			off := float64(total.Tokens())/float64(prefixes*13_300) - 1
			sum, squares = sum+off, squares+off*off
		}
		require.InDelta(t, 0, sum/trials, 0.2, "%d prefixes", prefixes)
		require.Less(t, math.Sqrt(squares/trials), 0.3, "%d prefixes", prefixes)
	}
}

func TestMergingPrefixSetsIsOrderless(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		draw := func(name string) PrefixSet { return PrefixSet(rapid.Uint64().Draw(t, name)) }
		a, b, c := draw("a"), draw("b"), draw("c")
		require.Equal(t, a, a.Merge(a))
		require.Equal(t, a.Merge(b), b.Merge(a))
		require.Equal(t, a.Merge(b).Merge(c), a.Merge(b.Merge(c)))
		require.GreaterOrEqual(t, a.Merge(b).Tokens(), 0)
	})
}

// Guards against memory that is never released: whatever attempts begin, start and end, what a node
// counts is that of the attempts in flight, with each prefix once.
func TestResidentTokensAreThoseOfAttemptsInFlight(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		set := NewSet()
		set.Update([]Server{server("x")}, begin)
		type running struct {
			attempt *Attempt
			tokens  int
			shared  []Prefix
		}
		var open []running
		check := func() {
			expected, seen := 0, map[uint64]bool{}
			for _, r := range open {
				expected += r.tokens
				for _, p := range r.shared {
					if !seen[p.Key] || p.Tokens < minPrefixTokens {
						expected += p.Tokens
					}
					seen[p.Key] = true
				}
			}
			require.Equal(t, expected, candidateOf(t, set, query, begin, "x").ResidentTokens)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "begins") {
				number := rapid.IntRange(0, 4).Draw(t, "prefix")
				r := running{tokens: rapid.IntRange(0, 4000).Draw(t, "tokens"), shared: []Prefix{testPrefix(9, 92), testPrefix(number, 1000*number)}}
				placement := unconditionalPlacement("x")
				placement.Query.Shared, placement.ResidentTokens = r.shared, r.tokens
				placement.Deferred = rapid.Bool().Draw(t, "deferred")
				r.attempt = set.Begin(placement, begin)
				if placement.Deferred {
					check()
					r.attempt.ResponseStarted(begin)
				}
				open = append(open, r)
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i].attempt.End(exchange.ResultServed, begin)
				open[i].attempt.End(exchange.ResultServed, begin)
				open = append(open[:i], open[i+1:]...)
			}
			check()
		}
	})
}

func TestCandidateSharesResidentPrefixes(t *testing.T) {
	set := NewSet()
	set.Update([]Server{server("x")}, begin)
	shared := []Prefix{testPrefix(1, 4000), testPrefix(2, 8000)}
	asked := query
	asked.Shared = shared
	require.Zero(t, candidateOf(t, set, asked, begin, "x").SharedResidentTokens)
	peer := residents{}
	peer.add(3000, shared[:1])
	set.ApplyPeerWork([]Work{{Server: ServerKey("x"), ResidentTokens: 3000, SharedPrefixes: peer.lanes}}, begin)
	seen := candidateOf(t, set, asked, begin, "x")
	require.Equal(t, 4000, seen.SharedResidentTokens)
	require.InEpsilon(t, 7000, seen.ResidentTokens, 0.2)
	asked.Shared = []Prefix{shared[1], shared[0]}
	require.Zero(t, candidateOf(t, set, asked, begin, "x").SharedResidentTokens, "parts after one that is missing do not count")
	set.ApplyPeerWork([]Work{{Server: ServerKey("x"), ResidentTokens: -5}}, begin)
	require.Zero(t, candidateOf(t, set, query, begin, "x").ResidentTokens)
}
