package routing

// Rank is the position of a candidate in the order in which a request prefers candidates.
type Rank struct {
	// Late is set if the request has a target that the candidate is predicted to miss.
	Late bool
	// Cost is the sum of the cost terms, in seconds of engine time.
	Cost float64
}

// Less reports whether the candidate of rank r is preferred to that of rank other. Candidates that
// meet the target come before those that miss it, and among either the cheapest comes first: the cost
// of a late request contains its wait, and the engine time that it takes from requests that can still
// be on time. Without a target, only the cost counts.
func (r Rank) Less(other Rank) bool {
	if r.Late != other.Late {
		return other.Late
	}
	return r.Cost < other.Cost
}

// Rank returns the rank of a candidate, by the state of the candidates at the last decision. The
// candidate's affinity rank must be filled in. While slots are scarce, only the cost counts: a prompt
// that moves away from its prefix then takes engine time that others need, so that more are late.
func (scheduler *Scheduler) Rank(request *Request, candidate *Candidate) Rank {
	rank := Rank{Cost: scheduler.Cost(request, candidate)}
	rank.Late = !scheduler.scarce && request.TargetSeconds != 0 && !MeetsTarget(request, candidate)
	return rank
}
