package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// burstsOnFewerServers is the load of an urgent class of long prompts beside a less urgent class of
// short prompts, which comes in bursts of twice its usual rate. Both share 12 servers, of which a
// quarter is lost for a time. The usual load is 61 % of the capacity of all servers and 81 % of
// that of the others; during a burst it is 103 % and 137 %.
func burstsOnFewerServers(controlled bool, seed uint64) scenario {
	return scenario{
		classes: []trafficClass{
			{rank: 0, perSecond: 30, tokens: 3720, answer: 144 * time.Millisecond, target: 800 * time.Millisecond, deadline: 10 * time.Second, burstFactor: 1},
			{rank: 2, perSecond: 660, tokens: 383, answer: 54 * time.Millisecond, target: 2 * time.Second, deadline: 5 * time.Second, burstFactor: 2},
		},
		servers: 12, slots: 32, nodes: 6, tokensPerSecond: 50_000, length: 30 * time.Second,
		burstPeriod: 6 * time.Second, burstLength: 2500 * time.Millisecond,
		lost: 3, lostFrom: 5 * time.Second, lostUntil: 25 * time.Second,
		deafNode: -1, controlled: controlled, seed: seed,
	}
}

const (
	// minUrgentOnTime and minLessUrgentOnTime are the shares of requests that must be served on
	// time.
	minUrgentOnTime     = 0.98
	minLessUrgentOnTime = 0.95
	// maxRefusedAgain is the share of refused requests that may be refused again.
	maxRefusedAgain = 0.05
	// maxRefusedUnseen is the same for those refused while a server is free, by nodes that hear no
	// peers.
	maxRefusedUnseen = 0.001
	seeds            = 5
)

// problems returns which requirements the results of an urgent and a less urgent class violate.
func problems(urgent, lessUrgent classResult) []string {
	var found []string
	check := func(ok bool, problem string) {
		if !ok {
			found = append(found, problem)
		}
	}
	refusedShare := func(r classResult) float64 { return float64(r.refused) / float64(max(1, r.arrived)) }
	check(urgent.onTimeShare() >= minUrgentOnTime, fmt.Sprintf("urgent on time: %.3f", urgent.onTimeShare()))
	check(lessUrgent.onTimeShare() >= minLessUrgentOnTime, fmt.Sprintf("less urgent on time: %.3f", lessUrgent.onTimeShare()))
	check(urgent.onTimeShare() >= lessUrgent.onTimeShare(), fmt.Sprintf("urgent on time less often: %.3f, %.3f", urgent.onTimeShare(), lessUrgent.onTimeShare()))
	check(refusedShare(urgent) <= refusedShare(lessUrgent), fmt.Sprintf("urgent refused more often: %.3f, %.3f", refusedShare(urgent), refusedShare(lessUrgent)))
	again, refused := urgent.refusedAgain+lessUrgent.refusedAgain, urgent.refused+lessUrgent.refused
	check(float64(again) <= maxRefusedAgain*float64(refused), fmt.Sprintf("refused again: %d of %d", again, refused))
	unseen := urgent.refusedUnseen + lessUrgent.refusedUnseen
	check(float64(unseen) <= maxRefusedUnseen*float64(refused), fmt.Sprintf("refused by deaf nodes while servers were free: %d of %d", unseen, refused))
	check(urgent.refusedFree+lessUrgent.refusedFree == 0, fmt.Sprintf("refused while servers were free: %d", urgent.refusedFree+lessUrgent.refusedFree))
	return found
}

// Guards against urgent requests that are late behind less urgent ones, and against refusals that
// help nobody. Under the present policy, which sends all requests and defers those that would be
// late, an urgent request that waits behind less urgent ones is deferred and then yields to them.
func TestClassesAreOnTimeDuringBurstsOnFewerServers(t *testing.T) {
	for seed := range uint64(seeds) {
		present := simulate(burstsOnFewerServers(false, seed)).results
		require.NotEmpty(t, problems(present[0], present[1]), "the present policy, seed %d", seed)
		require.Less(t, present[0].onTimeShare(), minUrgentOnTime, "urgent requests under the present policy, seed %d", seed)
		controlled := simulate(burstsOnFewerServers(true, seed)).results
		require.Empty(t, problems(controlled[0], controlled[1]), "seed %d: %+v", seed, controlled)
		require.Positive(t, controlled[1].refused, "seed %d", seed)
	}
}

// shortUrgentPrompts is the load of an urgent class of short prompts with a short target beside a
// less urgent class of long prompts, on the same servers. Either may come in bursts.
func shortUrgentPrompts(urgentBurst, lessUrgentBurst float64, controlled bool, seed uint64) scenario {
	s := burstsOnFewerServers(controlled, seed)
	s.classes = []trafficClass{
		{rank: 0, perSecond: 600, tokens: 383, answer: 45 * time.Millisecond, target: 400 * time.Millisecond, deadline: 4 * time.Second, burstFactor: urgentBurst},
		{rank: 1, perSecond: 40, tokens: 3720, answer: 110 * time.Millisecond, target: 800 * time.Millisecond, deadline: 8 * time.Second, burstFactor: lessUrgentBurst},
	}
	return s
}

// Guards against control that relies on urgent prompts being long, and against urgent requests that
// are served worse than less urgent ones when their own bursts overload the service.
func TestShortUrgentPromptsAreServedBeforeLongOnes(t *testing.T) {
	for _, bursts := range [][2]float64{{1, 2}, {2, 1}, {2, 2}} {
		for seed := range uint64(2) {
			present := simulate(shortUrgentPrompts(bursts[0], bursts[1], false, seed)).results
			results := simulate(shortUrgentPrompts(bursts[0], bursts[1], true, seed)).results
			urgent, lessUrgent := results[0], results[1]
			require.Greater(t, urgent.onTimeShare(), present[0].onTimeShare(), "bursts %v, seed %d", bursts, seed)
			require.Greater(t, urgent.onTimeShare(), 0.98, "bursts %v, seed %d", bursts, seed)
			require.Greater(t, urgent.onTimeShare(), lessUrgent.onTimeShare(), "bursts %v, seed %d", bursts, seed)
			require.LessOrEqual(t, float64(urgent.refusedAgain+lessUrgent.refusedAgain), maxRefusedAgain*float64(urgent.refused+lessUrgent.refused))
			require.Zero(t, urgent.refusedFree+lessUrgent.refusedFree)
		}
	}
}

// Guards against control that only works with reports: a node that hears no peers knows only its own
// requests, and takes the service to be idle but for how late the servers answer. The requirements
// hold for the whole fleet, and for the deaf node's callers as well.
func TestDeafNodeReliesOnItsServers(t *testing.T) {
	for seed := range uint64(seeds) {
		s := burstsOnFewerServers(true, seed)
		s.deafNode = 0
		sim := simulate(s)
		require.Empty(t, problems(sim.results[0], sim.results[1]), "seed %d: %+v", seed, sim.results)
	}
}

// Guards against decisions on outdated reports: the rows of all nodes stop during a burst on fewer
// servers, so that each node knows only its own requests and its last share of the demand.
func TestRowsOfPeersStop(t *testing.T) {
	for seed := range uint64(seeds) {
		s := burstsOnFewerServers(true, seed)
		s.silentFrom = 12 * time.Second
		sim := simulate(s)
		require.Empty(t, problems(sim.results[0], sim.results[1]), "seed %d: %+v", seed, sim.results)
	}
}

// Guards against an effect on services without pressure: half of the load, all servers in use.
func TestServiceWithoutPressureIsNotAffected(t *testing.T) {
	for seed := range uint64(seeds) {
		s := burstsOnFewerServers(true, seed)
		s.lost, s.burstLength = 0, 0
		sim := simulate(s)
		for _, r := range sim.results {
			require.Zero(t, r.refused, "seed %d", seed)
			require.Equal(t, r.arrived, r.onTime, "seed %d", seed)
		}
		for _, changes := range sim.changes {
			require.Zero(t, changes, "seed %d", seed)
		}
	}
}
