package routing

import (
	"slices"

	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// Scorer puts a price on serving the request at the candidate, in seconds of
// engine time.
type Scorer interface {
	// Name tells the price apart from those of other scorers.
	Name() string
	Score(request *Request, candidate *Candidate) float64
}

// Scheduler filters, scores and picks. It keeps scratch memory between
// decisions and is not safe for concurrent use.
type Scheduler struct {
	scorers  []Scorer
	accepted []int
	costs    []float64
	held     map[prefixindex.Holder]int
}

// NewScheduler returns a scheduler with the given scorers, or with all of them.
func NewScheduler(scorers ...Scorer) *Scheduler {
	if len(scorers) == 0 {
		scorers = []Scorer{WorkScorer{}, WaitScorer{}, AffinityScorer{}}
	}
	return &Scheduler{scorers: scorers, held: map[prefixindex.Holder]int{}}
}

// Decision is the outcome of one placement.
type Decision struct {
	// Index of the chosen candidate, or -1; Next, that of the cheapest other one.
	Index int
	Next  int
	// Refused is why the last refused candidate was refused, for the message
	// when none was accepted. Full wins over the others: it passes by waiting.
	Refused Reason
}

// Schedule chooses among the candidates. It fills in their affinity ranks.
func (scheduler *Scheduler) Schedule(request *Request, candidates []Candidate) Decision {
	decision := Decision{Index: -1, Next: -1}
	scheduler.accepted = scheduler.accepted[:0]
	scheduler.costs = scheduler.costs[:0]
	for index := range candidates {
		reason := Filter(request, &candidates[index])
		if reason == Accepted {
			scheduler.accepted = append(scheduler.accepted, index)
		} else if decision.Refused != ReasonFull {
			decision.Refused = reason
		}
	}
	rank(candidates, scheduler.accepted)
	if request.Draw != 0 && Scarce(candidates) {
		scheduler.accepted = sample(request.Draw, candidates, scheduler.accepted)
	}
	for _, index := range scheduler.accepted {
		scheduler.costs = append(scheduler.costs, scheduler.Cost(request, &candidates[index]))
	}
	decision.Index = Pick(candidates, scheduler.accepted, scheduler.costs)
	decision.Next = scheduler.next(candidates, decision.Index)
	return decision
}

// next returns the cheapest of the accepted candidates besides the chosen one.
func (scheduler *Scheduler) next(candidates []Candidate, chosen int) int {
	place := slices.Index(scheduler.accepted, chosen)
	if place < 0 {
		return -1
	}
	last := len(scheduler.accepted) - 1
	scheduler.accepted[place], scheduler.costs[place] = scheduler.accepted[last], scheduler.costs[last]
	return Pick(candidates, scheduler.accepted[:last], scheduler.costs[:last])
}

// Cost is what it costs to serve the request at a candidate whose affinity rank is filled in, in
// seconds of engine time.
func (scheduler *Scheduler) Cost(request *Request, candidate *Candidate) float64 {
	cost := 0.0
	for _, scorer := range scheduler.scorers {
		cost += scorer.Score(request, candidate)
	}
	return cost
}

// Term is one part of the cost of a candidate, in seconds of engine time.
type Term struct {
	Name    string
	Seconds float64
}

// Terms returns the parts of a candidate's cost that are not 0.
func (scheduler *Scheduler) Terms(request *Request, candidate *Candidate) []Term {
	terms := make([]Term, 0, len(scheduler.scorers))
	for _, scorer := range scheduler.scorers {
		if seconds := scorer.Score(request, candidate); seconds != 0 {
			terms = append(terms, Term{Name: scorer.Name(), Seconds: seconds})
		}
	}
	return terms
}

// rank fills in the places of the few highest affinities; all others share the
// last place. It is linear in the candidates.
func rank(candidates []Candidate, accepted []int) {
	for _, index := range accepted {
		candidates[index].AffinityRank = maximumRank
	}
	for place := range min(maximumRank, len(accepted)) {
		best := -1
		for _, index := range accepted {
			unplaced := candidates[index].AffinityRank == maximumRank
			if unplaced && (best < 0 || candidates[index].Affinity > candidates[best].Affinity) {
				best = index
			}
		}
		candidates[best].AffinityRank = place
	}
}
