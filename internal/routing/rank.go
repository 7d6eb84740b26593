package routing

// Rank is the position of a candidate in the order in which a request prefers candidates.
type Rank struct {
	// Late is set if the request has a target that the candidate is predicted to miss.
	Late bool
	// Delay is the predicted time to the first token in seconds if Late is set, and else 0.
	Delay float64
	// Cost is the sum of the cost terms, in seconds of engine time.
	Cost float64
}

// Less reports whether the candidate of rank r is preferred to that of rank other. Candidates that
// meet the target come first, the cheapest before the others; then those that miss it, the one with
// the least delay first. Without a target, only the cost counts.
func (r Rank) Less(other Rank) bool {
	switch {
	case r.Late != other.Late:
		return other.Late
	case r.Delay != other.Delay:
		return r.Delay < other.Delay
	default:
		return r.Cost < other.Cost
	}
}

// Rank returns the rank of a candidate. The candidate's affinity rank must be filled in.
func (scheduler *Scheduler) Rank(request *Request, candidate *Candidate) Rank {
	rank := Rank{Cost: scheduler.Cost(request, candidate)}
	if request.TargetSeconds == 0 {
		return rank
	}
	if delay := FirstTokenDelay(request, candidate); delay > request.TargetSeconds {
		rank.Late, rank.Delay = true, delay
	}
	return rank
}
