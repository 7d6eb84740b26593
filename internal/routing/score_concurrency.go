package routing

// ConcurrencyScorer estimates the delay on a server of a plain service: each running
// request adds a fixed delay.
type ConcurrencyScorer struct{}

// Name returns the name of the term.
func (ConcurrencyScorer) Name() string { return "turn" }

// Score returns seconds.
func (ConcurrencyScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.ConcurrencyCost * float64(candidate.Running)
}
