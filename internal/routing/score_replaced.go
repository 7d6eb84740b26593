package routing

// ReplacedScorer charges for answers that are made on weights after newer ones
// were named: users pay less for them.
type ReplacedScorer struct{}

// Name returns the name of the term.
func (ReplacedScorer) Name() string { return "replaced" }

// Score returns the seconds that the lost share of the answer's worth is worth.
func (ReplacedScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.AnswerWorth * candidate.ReplacedLoss
}
