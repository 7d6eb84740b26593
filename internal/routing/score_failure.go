package routing

// FailureScorer charges for the expected cost of a failed attempt.
type FailureScorer struct{}

// Name returns the name of the term.
func (FailureScorer) Name() string { return "failure" }

// Score returns the cost of a failure in seconds times its probability.
func (FailureScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.FailureCost * candidate.FailureShare
}
