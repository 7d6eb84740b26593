package routing

// FailureScorer charges for the risk that the attempt fails.
type FailureScorer struct{}

// Name returns the name of the term.
func (FailureScorer) Name() string { return "failure" }

// Score returns the seconds that a failure costs, times its chance.
func (FailureScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.FailureCost * candidate.FailureShare
}
