package routing

// LoadScorer spreads requests by the load of each endpoint, for plain services, which
// have no prefixes.
type LoadScorer struct{}

// Name returns the name of the term.
func (LoadScorer) Name() string { return "load" }

// Score returns the number of running requests.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return float64(candidate.Running)
}
