package routing

// ReplacedScorer charges for answers on weights for which newer ones have been released:
// users pay less for them.
type ReplacedScorer struct{}

// Name returns the name of the term.
func (ReplacedScorer) Name() string { return "replaced" }

// Score returns the lost share of the answer's value, in seconds of engine time.
func (ReplacedScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.AnswerWorth * candidate.ReplacedLoss
}
