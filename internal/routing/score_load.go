package routing

// LoadScorer spreads requests by the work known to be on each endpoint, for
// plain services, which have no prefixes.
type LoadScorer struct{}

// Name returns the name of the term.
func (LoadScorer) Name() string { return "load" }

// Score returns the number of requests at work.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return float64(candidate.Running)
}
