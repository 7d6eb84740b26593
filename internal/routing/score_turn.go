package routing

// TurnScorer estimates the wait for a turn at a server without prompts: the
// requests that run there, each taking its share of a typical one's time.
type TurnScorer struct{}

// Name returns the name of the term.
func (TurnScorer) Name() string { return "turn" }

// Score returns seconds.
func (TurnScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.TurnSeconds * float64(candidate.Running)
}
