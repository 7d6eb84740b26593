package experiment

import (
	"math/rand/v2"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// policy chooses an engine for a request from one node's view of the fleet.
type policy interface {
	name() string
	// perfectInformation reports whether the policy sees the true state of the engines.
	perfect() bool
	// importsBlocks reports whether the policy imports blocks from the prefix store.
	imports() bool
	choose(node int, request *routing.Request, candidates []routing.Candidate) int
}

// PolicyNames lists the policies in the order in which they are reported.
// Policies whose name ends in +import use the prefix store, as do cloverrail and oracle;
// cloverrail-no-import does not.
var PolicyNames = []string{"cloverrail", "cloverrail-no-import", "random", "round-robin", "least-loaded", "rendezvous", "rendezvous+import", "longest-prefix", "oracle"}

func newPolicy(name string, profile Profile, seed uint64) policy {
	switch name {
	case "cloverrail", "cloverrail-no-import":
		return &scheduled{title: name, importing: name == "cloverrail", scheduler: routing.NewScheduler()}
	case "oracle":
		return &scheduled{title: name, importing: true, oracle: true, scheduler: routing.NewScheduler()}
	case "random":
		return &randomPolicy{random: rand.New(rand.NewPCG(seed, 21))}
	case "round-robin":
		return &roundRobin{next: make([]int, profile.Nodes)}
	case "least-loaded":
		return leastLoaded{}
	case "rendezvous", "rendezvous+import":
		return rendezvous{importing: name == "rendezvous+import"}
	case "longest-prefix":
		return longestPrefix{}
	default:
		return nil
	}
}

// schedulerPolicy uses cloverrail's scheduler with a node's view of the fleet or, as the
// oracle, with perfect information.
type scheduled struct {
	title     string
	oracle    bool
	importing bool
	scheduler *routing.Scheduler
}

func (policy *scheduled) name() string  { return policy.title }
func (policy *scheduled) perfect() bool { return policy.oracle }
func (policy *scheduled) imports() bool { return policy.importing }

func (policy *scheduled) choose(_ int, request *routing.Request, candidates []routing.Candidate) int {
	return policy.scheduler.Schedule(request, candidates).Index
}

type randomPolicy struct{ random *rand.Rand }

func (*randomPolicy) name() string  { return "random" }
func (*randomPolicy) perfect() bool { return false }
func (*randomPolicy) imports() bool { return false }
func (policy *randomPolicy) choose(_ int, _ *routing.Request, candidates []routing.Candidate) int {
	return policy.random.IntN(len(candidates))
}

type roundRobin struct{ next []int }

func (*roundRobin) name() string  { return "round-robin" }
func (*roundRobin) perfect() bool { return false }
func (*roundRobin) imports() bool { return false }
func (policy *roundRobin) choose(node int, _ *routing.Request, candidates []routing.Candidate) int {
	policy.next[node]++
	return (policy.next[node] + node) % len(candidates)
}

type leastLoaded struct{}

func (leastLoaded) name() string  { return "least-loaded" }
func (leastLoaded) perfect() bool { return false }
func (leastLoaded) imports() bool { return false }
func (leastLoaded) choose(_ int, _ *routing.Request, candidates []routing.Candidate) int {
	return best(candidates, func(candidate *routing.Candidate) float64 { return -float64(candidate.Running) })
}

type rendezvous struct{ importing bool }

func (policy rendezvous) name() string {
	if policy.importing {
		return "rendezvous+import"
	}
	return "rendezvous"
}
func (rendezvous) perfect() bool        { return false }
func (policy rendezvous) imports() bool { return policy.importing }
func (rendezvous) choose(_ int, _ *routing.Request, candidates []routing.Candidate) int {
	return best(candidates, func(*routing.Candidate) float64 { return 0 })
}

type longestPrefix struct{}

func (longestPrefix) name() string  { return "longest-prefix" }
func (longestPrefix) perfect() bool { return false }
func (longestPrefix) imports() bool { return false }
func (longestPrefix) choose(_ int, _ *routing.Request, candidates []routing.Candidate) int {
	return best(candidates, func(candidate *routing.Candidate) float64 { return float64(candidate.HitBlocks) })
}

// bestCandidate returns the index of the candidate with the highest value and breaks ties
// by rendezvous hashing.
func best(candidates []routing.Candidate, value func(*routing.Candidate) float64) int {
	chosen := 0
	for index := range candidates {
		first, second := value(&candidates[index]), value(&candidates[chosen])
		if first > second || (first == second && candidates[index].Affinity > candidates[chosen].Affinity) {
			chosen = index
		}
	}
	return chosen
}

// rendezvousKey returns the rendezvous key of a prompt: the hash of its first depth
// blocks. Baselines without an index use a depth beyond the tenant's system prompt, as in
// a well-configured deployment.
func keyOf(chain []prefix.Hash, depth int) prefix.Hash {
	return chain[min(len(chain), depth)-1]
}
