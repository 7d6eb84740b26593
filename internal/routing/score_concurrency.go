package routing

// ConcurrencyScorer estimates the delay on a server of a plain service: each running
// request adds a fixed delay.
type TurnScorer struct{}

// Name returns the name of the term.
func (TurnScorer) Name() string { return "turn" }

// Score returns seconds.
func (TurnScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.TurnSeconds * float64(candidate.Running)
}
