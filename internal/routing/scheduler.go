package routing

import (
	"slices"

	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// Scorer computes one term of the cost of serving a request on a candidate, in seconds
// of engine time.
type Scorer interface {
	// Name returns the name of the term in logs, which must not change. Those of some scorers
	// therefore differ from their types.
	Name() string
	Score(request *Request, candidate *Candidate) float64
}

// Scheduler filters and scores candidates and picks the one with the first rank. It reuses buffers
// between decisions and is not safe for concurrent use.
type Scheduler struct {
	scorers  []Scorer
	accepted []int
	ranks    []Rank
	// scarce reports whether the candidates of the last decision were short of free slots.
	scarce     bool
	heldBlocks map[prefixindex.Holder]int
}

// NewScheduler returns a scheduler with the given scorers. Without any, it uses the
// work, wait and affinity scorers.
func NewScheduler(scorers ...Scorer) *Scheduler {
	if len(scorers) == 0 {
		scorers = []Scorer{WorkScorer{}, WaitScorer{}, AffinityScorer{}}
	}
	return &Scheduler{scorers: scorers, heldBlocks: map[prefixindex.Holder]int{}}
}

// Decision is the outcome of one placement.
type Decision struct {
	// Index is the index of the chosen candidate, and Next that of the next in rank; -1
	// if there is none.
	Index int
	Next  int
	// LastRejection is the reason of the last rejected candidate, for the message when
	// none was accepted. ReasonFull overrides the others, since it passes by waiting.
	LastRejection Reason
}

// Schedule chooses one of the candidates. It fills in their affinity ranks.
func (scheduler *Scheduler) Schedule(request *Request, candidates []Candidate) Decision {
	decision := Decision{Index: -1, Next: -1}
	scheduler.accepted = scheduler.accepted[:0]
	scheduler.ranks = scheduler.ranks[:0]
	for index := range candidates {
		reason := Filter(request, &candidates[index])
		if reason == Accepted {
			scheduler.accepted = append(scheduler.accepted, index)
		} else if decision.LastRejection != ReasonFull {
			decision.LastRejection = reason
		}
	}
	assignAffinityRanks(candidates, scheduler.accepted)
	scheduler.scarce = SlotsScarce(candidates)
	if request.SampleSeed != 0 && scheduler.scarce {
		scheduler.accepted = sampleCandidates(request.SampleSeed, candidates, scheduler.accepted)
	}
	for _, index := range scheduler.accepted {
		scheduler.ranks = append(scheduler.ranks, scheduler.Rank(request, &candidates[index]))
	}
	decision.Index = Pick(candidates, scheduler.accepted, scheduler.ranks)
	decision.Next = scheduler.nextInRank(candidates, decision.Index)
	return decision
}

// nextInRank returns the first accepted candidate in rank other than the chosen one, or -1.
func (scheduler *Scheduler) nextInRank(candidates []Candidate, chosen int) int {
	position := slices.Index(scheduler.accepted, chosen)
	if position < 0 {
		return -1
	}
	last := len(scheduler.accepted) - 1
	scheduler.accepted[position], scheduler.ranks[position] = scheduler.accepted[last], scheduler.ranks[last]
	return Pick(candidates, scheduler.accepted[:last], scheduler.ranks[:last])
}

// Cost returns the cost of serving the request on a candidate, in seconds of engine time. The
// candidate's affinity rank must be filled in.
func (scheduler *Scheduler) Cost(request *Request, candidate *Candidate) float64 {
	cost := 0.0
	for _, scorer := range scheduler.scorers {
		cost += scorer.Score(request, candidate)
	}
	return cost
}

// Term is one term of the cost of a candidate, in seconds of engine time.
type Term struct {
	Name    string
	Seconds float64
}

// Terms returns the non-zero terms of a candidate's cost.
func (scheduler *Scheduler) Terms(request *Request, candidate *Candidate) []Term {
	terms := make([]Term, 0, len(scheduler.scorers))
	for _, scorer := range scheduler.scorers {
		if seconds := scorer.Score(request, candidate); seconds != 0 {
			terms = append(terms, Term{Name: scorer.Name(), Seconds: seconds})
		}
	}
	return terms
}

// assignAffinityRanks ranks the candidates with the highest affinities; all others get
// maxAffinityRank. It takes linear time.
func assignAffinityRanks(candidates []Candidate, accepted []int) {
	for _, index := range accepted {
		candidates[index].AffinityRank = maxAffinityRank
	}
	for position := range min(maxAffinityRank, len(accepted)) {
		best := -1
		for _, index := range accepted {
			unranked := candidates[index].AffinityRank == maxAffinityRank
			if unranked && (best < 0 || candidates[index].Affinity > candidates[best].Affinity) {
				best = index
			}
		}
		candidates[best].AffinityRank = position
	}
}
