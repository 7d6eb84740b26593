package routing

// LoadScorer spreads requests by the work known to be on each endpoint, for
// plain services, which have no prefixes.
type LoadScorer struct{}

// Score returns the number of requests at work.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return float64(candidate.Running)
}
